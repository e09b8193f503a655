//! A real process reads a list with entries that cannot be read, and follows the rest of it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Nesting that overflows the stack of a recursive reader.
const DEEP: usize = 60_000;

/// Memory that a process with a list of one megabyte may have used at most, in kilobytes.
const MAX_RESIDENT_KB: u64 = 200_000;

/// Serves the list `instances` and nothing else; a watch waits for a higher revision.
struct Platform {
    address: SocketAddr,
    list: Arc<Mutex<(u64, String)>>,
}

impl Platform {
    fn start(list: String) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let list = Arc::new(Mutex::new((1, list)));
        let served = list.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                let served = served.clone();
                std::thread::spawn(move || while answer(&connection, &served).is_some() {});
            }
        });
        Platform { address, list }
    }

    fn publish(&self, revision: u64, list: String) {
        *self.list.lock().expect("the list") = (revision, list);
    }
}

/// Answers one request; returns `None` once the connection has ended.
fn answer(mut connection: &TcpStream, list: &Mutex<(u64, String)>) -> Option<()> {
    let mut head = Vec::new();
    let mut byte = [0; 1];
    while !head.ends_with(b"\r\n\r\n") {
        if connection.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8(head).ok()?;
    let target = head.split(' ').nth(1)?;
    let response = match target.strip_prefix("/v1/values/instances") {
        None => "HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n".to_owned(),
        Some(query) => {
            let above = query
                .strip_prefix("?above=")
                .and_then(|it| it.parse().ok())
                .unwrap_or(0);
            loop {
                let (revision, body) = list.lock().ok()?.clone();
                if revision > above {
                    let length = body.len();
                    break format!(
                        "HTTP/1.1 200 OK\r\nx-revision: {revision}\r\ncontent-length: {length}\r\n\r\n{body}"
                    );
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
    };
    connection.write_all(response.as_bytes()).ok()
}

/// A running process, killed when it is dropped.
struct Instance {
    child: Child,
    logs: BufReader<ChildStderr>,
    _dir: tempfile::TempDir,
}

impl Instance {
    fn start(platform: SocketAddr) -> Self {
        let dir = tempfile::tempdir().expect("a directory");
        write_settings(dir.path(), platform);
        let mut child = Command::new(env!("CARGO_BIN_EXE_oriolemux"))
            .args(["serve", "--settings", "settings.toml"])
            .current_dir(dir.path())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the process starts");
        let logs = BufReader::new(child.stderr.take().expect("its log"));
        Instance {
            child,
            logs,
            _dir: dir,
        }
    }

    /// Reads the log until a line of `event` and returns it.
    fn wait_for(&mut self, event: &str) -> String {
        let mut line = String::new();
        loop {
            line.clear();
            let read = self.logs.read_line(&mut line).expect("a line");
            assert!(read > 0, "the process ended before `{event}`");
            assert!(!line.contains("platform_down"), "{line}");
            if line.contains(&format!("\"{event}\"")) {
                return line;
            }
        }
    }

    fn peak_memory_kb(&self) -> u64 {
        let path = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(path).expect("the status of the process");
        let line = status.lines().find(|it| it.starts_with("VmHWM:"));
        let kb = line.and_then(|it| it.split_whitespace().nth(1));
        kb.and_then(|it| it.parse().ok()).expect("a size")
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn write_settings(dir: &Path, platform: SocketAddr) {
    let text = format!(
        r#"
name = "i1"
data_centre = "dc"
[callers]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
secret_file = "secret"
[operators]
listen = "127.0.0.1:0"
key_file = "key"
[platform]
addresses = ["{platform}"]
[logs]
format = "json"
level = "info"
"#
    );
    std::fs::write(dir.join("settings.toml"), text).expect("settings written");
    std::fs::write(dir.join("secret"), "a secret of all instances").expect("secret written");
    std::fs::write(dir.join("key"), "an operators' key").expect("key written");
}

fn list(revision: u64, odd: &str) -> String {
    let own = r#"{"name":"i1","address":"127.0.0.1:7000","peer_address":"127.0.0.1:7001","data_centre":"dc"}"#;
    format!(r#"{{"revision":{revision},"instances":[{own}],"endpoints":[{odd}]}}"#)
}

/// A process must not end, stop following the list or grow without limit by one odd entry.
#[test]
fn a_process_follows_a_list_with_odd_entries() {
    let nested = format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP));
    let platform = Platform::start(list(1, &nested));
    let mut instance = Instance::start(platform.address);
    let line = instance.wait_for("list_entry_unreadable");
    assert!(line.contains("endpoints[0]"), "{line}");
    instance.wait_for("list_accepted");

    let objects = format!("{}1{}", r#"{"a":"#.repeat(DEEP), "}".repeat(DEEP));
    let named = r#"{"name":"e1","address":"127.0.0.1:70000","data_centre":"dc","kind":"model","serves":["m"]}"#;
    let table = [objects.as_str(), named, "1e999"];
    for (revision, odd) in (2..).zip(table) {
        platform.publish(revision, list(revision, odd));
        let line = instance.wait_for("list_entry_unreadable");
        assert_eq!(odd == named, line.contains("\"e1\""), "{line}");
        instance.wait_for("list_accepted");
    }

    platform.publish(5, list(5, &"[".repeat(DEEP)));
    instance.wait_for("list_unreadable");

    platform.publish(6, list(6, &vec!["0"; 400_000].join(",")));
    instance.wait_for("list_accepted");
    let peak = instance.peak_memory_kb();
    assert!(peak < MAX_RESIDENT_KB, "{peak}");
    assert_eq!(instance.child.try_wait().expect("its state"), None);
}
