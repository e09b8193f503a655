//! A real process of `oriolemux gateway`.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Lines};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Output, Stdio};
use std::sync::{Arc, Mutex, PoisonError};

/// The settings of a process that tests choose.
pub struct Settings<'a> {
    pub name: &'a str,
    pub data_centre: &'a str,
    pub store: SocketAddrV4,
    pub seeds: Vec<SocketAddr>,
    pub limits: Limits,
}

/// The limits of a process; its defaults where there is none.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limits {
    pub memory_mb: Option<u32>,
    pub max_descriptors: Option<u32>,
    pub max_connections: Option<u32>,
    pub write_timeout_ms: Option<u32>,
}

impl Limits {
    fn instance(&self) -> String {
        setting("memory_mb", self.memory_mb) + &setting("max_descriptors", self.max_descriptors)
    }

    fn callers(&self) -> String {
        setting("max_connections", self.max_connections)
            + &setting("write_timeout_ms", self.write_timeout_ms)
    }
}

fn setting(key: &str, value: Option<u32>) -> String {
    value.map_or_else(String::new, |value| format!("{key} = {value}\n"))
}

impl Settings<'_> {
    fn text(&self) -> String {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        format!(
            "name = \"{}\"\ndata_centre = \"{}\"\n\
             [instance]\n{}[callers]\nlisten = \"127.0.0.1:0\"\n{}[readiness]\nlisten = \"127.0.0.1:0\"\n\
             [peers]\nlisten = \"127.0.0.1:0\"\nseeds = [{}]\ndeployment = \"test\"\n\
             [store]\naddress = \"{}\"\n[stop]\nnotice_ms = 200\ngrace_secs = 20\n\
             [metrics]\nenabled = true\nlisten = \"127.0.0.1:0\"\n",
            self.name,
            self.data_centre,
            self.limits.instance(),
            self.limits.callers(),
            seeds.join(", "),
            self.store
        )
    }
}

/// Whether the log of the process is read.
#[derive(Clone, Copy)]
pub enum Reader {
    /// It is read to its end.
    Follows,
    /// It is read until the process listens; the pipe stays open.
    Stops,
}

/// A process, killed when it is dropped.
pub struct Process {
    child: Child,
    file: PathBuf,
    lines: Arc<Mutex<Vec<String>>>,
    /// The pipe of a reader that stopped, held open.
    _unread: Option<Lines<BufReader<ChildStdout>>>,
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

impl Process {
    /// Starts a process in `dir` and waits until it has logged its listeners.
    pub fn start(dir: &Path, settings: &Settings<'_>, reader: Reader) -> Process {
        let file = dir.join(format!("{}.toml", settings.name));
        std::fs::write(&file, settings.text()).expect("settings written");
        let child = Command::new(env!("CARGO_BIN_EXE_oriolemux"))
            .arg("gateway")
            .env("ORIOLEMUX_CONFIG", &file)
            .stdout(Stdio::piped())
            .spawn();
        let mut child = child.expect("a process");
        let mut lines = BufReader::new(child.stdout.take().expect("piped")).lines();
        let mut listeners = BTreeMap::new();
        while listeners.len() < 4 {
            let line = lines
                .next()
                .expect("it says where it listens")
                .expect("text");
            let line: serde_json::Value = serde_json::from_str(&line).expect("JSON");
            if line["message"] == "gateway_listening" {
                let address = line["address"].as_str().expect("an address");
                let listener = line["listener"].as_str().expect("a name").to_owned();
                listeners.insert(listener, address.parse().expect("IP and port"));
            }
        }
        let kept = Arc::new(Mutex::new(Vec::new()));
        let keep = Arc::clone(&kept);
        let unread = match reader {
            Reader::Stops => Some(lines),
            Reader::Follows => {
                std::thread::spawn(move || {
                    for line in lines.map_while(Result::ok) {
                        keep.lock()
                            .unwrap_or_else(PoisonError::into_inner)
                            .push(line);
                    }
                });
                None
            }
        };
        Process {
            child,
            file,
            lines: kept,
            _unread: unread,
            front: listeners["front"],
            readiness: listeners["readiness"],
            operators: listeners["metrics"],
            peers: listeners["peers"],
        }
    }

    /// Returns the lines that name `event`.
    pub fn lines_of(&self, event: &str) -> Vec<serde_json::Value> {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        let lines = lines
            .iter()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .filter(|line: &serde_json::Value| line["message"] == event)
            .collect()
    }

    /// Overwrites the settings file with `text`.
    pub fn overwrite_settings(&self, text: &str) {
        std::fs::write(&self.file, text).expect("settings written");
    }

    /// Returns its process id.
    pub fn pid(&self) -> Pid {
        Pid::from_raw(i32::try_from(self.child.id()).expect("a pid"))
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        kill(self.pid(), signal).expect("the process is there");
    }

    /// Returns whether it runs.
    pub fn is_alive(&mut self) -> bool {
        let ended = self.child.try_wait().expect("a status");
        ended.is_none()
    }

    /// Returns the largest memory that it has occupied so far, in bytes.
    pub fn peak_memory(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.pid()));
        let status = status.expect("the process is there");
        let line = status.lines().find(|it| it.starts_with("VmHWM:"));
        let kib = line.and_then(|it| it.split_whitespace().nth(1));
        let kib: usize = kib.and_then(|it| it.parse().ok()).expect("a peak");
        kib * 1_024
    }

    /// Returns how many descriptors it has open.
    pub fn descriptors(&self) -> usize {
        let open = std::fs::read_dir(format!("/proc/{}/fd", self.pid()));
        open.expect("the process is there").count()
    }

    /// Runs a command of the binary against this process, and returns its output.
    pub fn command(&self, words: &[&str]) -> Output {
        let command = Command::new(env!("CARGO_BIN_EXE_oriolemux"))
            .args(words)
            .arg("--settings")
            .arg(&self.file)
            .arg("--address")
            .arg(self.operators.to_string())
            .output();
        command.expect("the command runs")
    }

    /// Returns all log lines so far.
    pub fn log(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.join("\n")
    }

    /// Waits until the process has ended.
    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("the process was started")
    }

    fn end(&mut self) {
        // It may have ended by itself, as some tests expect.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// An address where nothing listens, like that of a stale seed.
pub fn stale_seed() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 0, 9), 9))
}
