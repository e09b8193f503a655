//! A real process starts, responds to queries, and stops.

use nix::fcntl::{FcntlArg, fcntl};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;
use std::fmt::Write as _;
use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};

const KEY: &str = "an operators' key";

/// The smallest capacity of a pipe: one page.
const SMALL_PIPE: i32 = 4096;
/// Refusals whose log lines fill the small pipe several times.
const REFUSALS: usize = 90;

/// Writes settings whose listeners take any free port. No platform answers.
fn write_settings(dir: &Path, callers: &str, notice_ms: u32) {
    let nobody = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let platform = nobody.local_addr().expect("an address");
    let mut text = String::new();
    writeln!(text, "name = \"arima-1\"\ndata_centre = \"arima\"").expect("written");
    writeln!(text, "[callers]\nlisten = \"{callers}\"").expect("written");
    writeln!(
        text,
        "[peers]\nlisten = \"127.0.0.1:0\"\nsecret_file = \"secret\""
    )
    .expect("written");
    writeln!(
        text,
        "[operators]\nlisten = \"127.0.0.1:0\"\nkey_file = \"key\""
    )
    .expect("written");
    writeln!(text, "[platform]\naddresses = [\"{platform}\"]").expect("written");
    writeln!(text, "[logs]\nformat = \"json\"\nlevel = \"debug\"").expect("written");
    writeln!(text, "[stop]\nnotice_ms = {notice_ms}").expect("written");
    std::fs::write(dir.join("settings.toml"), text).expect("settings written");
    std::fs::write(dir.join("secret"), "a secret of all instances").expect("secret written");
    std::fs::write(dir.join("key"), KEY).expect("key written");
}

fn command(dir: &Path, args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolemux"));
    command.args(args).current_dir(dir);
    command
}

/// A running instance, killed when it is dropped.
struct Instance {
    dir: tempfile::TempDir,
    child: Child,
    /// The rest of the log; `None` once it is no longer read.
    logs: Option<BufReader<ChildStderr>>,
    callers: SocketAddr,
    operators: SocketAddr,
}

impl Instance {
    /// Starts an instance and waits until it listens.
    fn start(notice_ms: u32) -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        write_settings(dir.path(), "127.0.0.1:0", notice_ms);
        let mut child = command(dir.path(), &["serve", "--settings", "settings.toml"])
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut logs = BufReader::new(child.stderr.take().expect("piped"));
        let callers = wait_for_listener(&mut logs, "callers");
        let operators = wait_for_listener(&mut logs, "operators");
        Instance {
            dir,
            child,
            logs: Some(logs),
            callers,
            operators,
        }
    }

    fn signal(&self) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("signal sent");
    }

    /// Runs a command against the operators' listener.
    fn query(&self, args: &[&str]) -> std::process::Output {
        let address = self.operators.to_string();
        command(self.dir.path(), args)
            .args(["--address", &address, "--key-file", "key"])
            .output()
            .expect("the binary runs")
    }

    fn wait_for(&mut self, message: &str) -> serde_json::Value {
        let logs = self.logs.as_mut().expect("still read");
        wait_for(logs, message)
    }

    /// Waits until the process has ended by itself.
    fn end(mut self) -> ExitStatus {
        self.child.wait().expect("ended")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        // It may have ended by itself, as in most tests.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads log lines until the listener is logged, and returns its address.
fn wait_for_listener(logs: &mut impl BufRead, listener: &str) -> SocketAddr {
    loop {
        let line = wait_for(logs, "listening");
        if line["listener"] == listener {
            let address = line["address"].as_str().expect("an address");
            return address.parse().expect("an address");
        }
    }
}

/// Sends a caller's request without a key, and returns whether it was refused.
fn is_refused(callers: SocketAddr) -> bool {
    let mut connection = TcpStream::connect(callers).expect("connected");
    let request = "GET /v1/models HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    connection.write_all(request.as_bytes()).expect("sent");
    let mut response = String::new();
    connection.read_to_string(&mut response).expect("response");
    response.starts_with("HTTP/1.1 401")
}

/// Reads log lines until one has the message; fails at the end of the log.
fn wait_for(logs: &mut impl BufRead, message: &str) -> serde_json::Value {
    let mut seen = String::new();
    loop {
        let mut line = String::new();
        let read = logs.read_line(&mut line).expect("a line");
        assert!(read > 0, "no `{message}` in:\n{seen}");
        seen.push_str(&line);
        let line: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        if line["message"] == message {
            return line;
        }
    }
}

#[test]
fn first_signal_stops_as_planned() {
    let mut instance = Instance::start(0);

    instance.signal();

    assert_eq!(instance.wait_for("stop_requested")["by"], "signal");
    assert_eq!(instance.wait_for("stop_finished")["event"], 105);
    assert_eq!(instance.end().code(), Some(0));
}

#[rstest]
#[case::nothing_sent("")]
#[case::half_a_head("POST /v1/completions HTTP/1.1\r\nhost: a\r\n")]
#[case::half_a_body("POST /v1/completions HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n{")]
fn connection_without_a_request_does_not_delay_a_stop(#[case] sent: &str) {
    // Guards against a planned stop that never ends although nothing runs: a caller connects, sends
    // nothing or half a request, and stays connected. The listener waits for connections to close,
    // which is required only for those with a stream.
    let mut instance = Instance::start(0);
    let addresses = [instance.callers, instance.operators];
    let connections = addresses.map(|address| {
        let mut connection = TcpStream::connect(address).expect("connected");
        connection.write_all(sent.as_bytes()).expect("sent");
        connection
    });

    instance.signal();

    instance.wait_for("stop_finished");
    assert_eq!(instance.end().code(), Some(0));
    drop(connections);
}

#[test]
fn second_signal_stops_at_once() {
    let a_minute = 60_000;
    let mut instance = Instance::start(a_minute);

    instance.signal();
    instance.wait_for("stop_requested");
    instance.signal();

    assert_eq!(instance.wait_for("stopped_now")["event"], 106);
    assert_eq!(instance.end().code(), Some(5));
}

#[test]
fn operators_can_query_and_drain() {
    let mut instance = Instance::start(0);

    let status = instance.query(&["--json", "status"]);
    let unknown = instance.query(&["explain", "r-1-2-3"]);
    let drain = instance.query(&["drain"]);

    let status: serde_json::Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_eq!(status["instance"], "arima-1");
    assert_eq!(status["readiness"], "starting");
    assert_eq!(unknown.status.code(), Some(8));
    assert_eq!(drain.status.code(), Some(0));
    assert_eq!(instance.wait_for("stop_requested")["by"], "operator");
    assert_eq!(instance.end().code(), Some(0));
}

#[test]
fn port_in_use_is_reported_and_nothing_starts() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let dir = tempfile::tempdir().expect("a directory");
    write_settings(dir.path(), &address, 0);

    let output = command(dir.path(), &["serve", "--settings", "settings.toml"])
        .output()
        .expect("the binary runs");

    let text = String::from_utf8_lossy(&output.stderr);
    let expected = format!("cannot listen for callers on {address}");
    assert_eq!(output.status.code(), Some(3), "{text}");
    assert!(text.contains(&format!("oriolemux: {expected}")), "{text}");
    assert!(text.contains("\"event\":103"), "{text}");
}

#[test]
fn closed_standard_error_does_not_stop_an_instance() {
    // Guards against an instance whose streams all stall, or that dies, without a log line: the
    // reader of standard error closes it, and the next write of a log line blocks or fails in the
    // thread that serves.
    let mut instance = Instance::start(0);
    drop(instance.logs.take());

    let drain = instance.query(&["drain"]);

    assert_eq!(drain.status.code(), Some(0));
    assert_eq!(instance.end().code(), Some(0));
}

#[test]
fn unread_standard_error_stalls_no_request() {
    // Guards against an instance whose streams all stall at once: the reader of standard error
    // hangs, the pipe fills, and the thread that logs the next line waits for room in the pipe.
    let mut instance = Instance::start(0);
    let logs = instance.logs.as_ref().expect("still read").get_ref();
    fcntl(logs, FcntlArg::F_SETPIPE_SZ(SMALL_PIPE)).expect("a small pipe");

    let refused = (0..REFUSALS)
        .filter(|_| is_refused(instance.callers))
        .count();
    let status = instance.query(&["status"]);

    assert_eq!(refused, REFUSALS);
    assert_eq!(status.status.code(), Some(0));
    instance.signal();
    assert_eq!(instance.wait_for("stop_finished")["event"], 105);
    assert_eq!(instance.end().code(), Some(0));
}

#[test]
fn closed_standard_error_does_not_hide_the_exit_code() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = taken.local_addr().expect("an address").to_string();
    let dir = tempfile::tempdir().expect("a directory");
    write_settings(dir.path(), &address, 0);

    let mut child = command(dir.path(), &["serve", "--settings", "settings.toml"])
        .stderr(Stdio::piped())
        .spawn()
        .expect("the binary runs");
    drop(child.stderr.take());

    assert_eq!(child.wait().expect("ended").code(), Some(3));
}
