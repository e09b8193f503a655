//! A real process, and a caller that reads one response after the other.

#![allow(dead_code, reason = "each test file uses a part of this")]

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::io::{BufRead, BufReader, ErrorKind, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::time::Duration;

/// The longest wait for an answer that does not depend on another caller.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns an address at which nothing answers.
pub fn nobody() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

/// Writes settings whose listeners take any free port. Callers may take longer for a body than the
/// tests run.
fn write_settings(dir: &Path, notice_ms: u32, platform: SocketAddr, more: &str) {
    let text = format!(
        "name = \"arima-1\"\ndata_centre = \"arima\"\n\
         [callers]\nlisten = \"127.0.0.1:0\"\nread_timeout_ms = 120000\n\
         [peers]\nlisten = \"127.0.0.1:0\"\nsecret_file = \"secret\"\n\
         [operators]\nlisten = \"127.0.0.1:0\"\nkey_file = \"key\"\n\
         [platform]\naddresses = [\"{platform}\"]\n\
         [logs]\nformat = \"json\"\nlevel = \"debug\"\n\
         [stop]\nnotice_ms = {notice_ms}\n{more}"
    );
    std::fs::write(dir.join("settings.toml"), text).expect("settings written");
    std::fs::write(dir.join("secret"), "a secret of all instances").expect("secret written");
    std::fs::write(dir.join("key"), "an operators' key").expect("key written");
}

/// A running instance, killed when it is dropped.
pub struct Instance {
    _dir: tempfile::TempDir,
    pub child: Child,
    pub logs: BufReader<ChildStderr>,
    pub callers: SocketAddr,
}

impl Instance {
    /// Starts an instance and waits until it listens.
    pub fn start(notice_ms: u32, platform: SocketAddr) -> Self {
        Instance::start_with(notice_ms, platform, "")
    }

    /// Starts an instance with more sections of settings, and waits until it listens.
    pub fn start_with(notice_ms: u32, platform: SocketAddr, more: &str) -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        write_settings(dir.path(), notice_ms, platform, more);
        let mut child = Command::new(env!("CARGO_BIN_EXE_oriolemux"))
            .args(["serve", "--settings", "settings.toml"])
            .current_dir(dir.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the binary runs");
        let mut logs = BufReader::new(child.stderr.take().expect("piped"));
        let callers = loop {
            let line = wait_for(&mut logs, "listening");
            if line["listener"] == "callers" {
                let address = line["address"].as_str().expect("an address");
                break address.parse().expect("an address");
            }
        };
        Instance {
            _dir: dir,
            child,
            logs,
            callers,
        }
    }

    /// Returns the largest memory that it has occupied so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is there");
        let line = status.lines().find(|it| it.starts_with("VmHWM:"));
        let kib = line.and_then(|it| it.split_whitespace().nth(1));
        let kib: usize = kib.and_then(|it| it.parse().ok()).expect("a peak");
        kib * 1_024
    }

    /// Sends SIGTERM and waits until the stop has begun.
    pub fn stop(&mut self) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        kill(Pid::from_raw(pid), Signal::SIGTERM).expect("signal sent");
        wait_for(&mut self.logs, "stop_requested");
    }

    pub fn connect(&self) -> std::io::Result<TcpStream> {
        let connection = TcpStream::connect(self.callers)?;
        connection.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        Ok(connection)
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads log lines until one has the message; fails at the end of the log.
pub fn wait_for(logs: &mut impl BufRead, message: &str) -> serde_json::Value {
    loop {
        let mut line = String::new();
        let read = logs.read_line(&mut line).expect("a line");
        assert!(read > 0, "no `{message}`");
        let line: serde_json::Value = serde_json::from_str(&line).unwrap_or_default();
        if line["message"] == message {
            return line;
        }
    }
}

/// Reads one response with a length, or the head of a streamed one.
pub fn read_response(connection: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        if connection.read(&mut byte)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8(bytes).expect("text");
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a number"));
    if head.contains("transfer-encoding: chunked") {
        return Ok(head);
    }
    let mut body = vec![0; length];
    connection.read_exact(&mut body)?;
    Ok(head + &String::from_utf8_lossy(&body))
}
