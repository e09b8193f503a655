//! Child processes that do not outlive the experiment that started them.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::ffi::OsString;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child as StdChild, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

/// How long a child may take to print its first line.
const START_LIMIT: Duration = Duration::from_secs(30);
/// How often a child is asked whether it has ended.
const EXIT_POLL: Duration = Duration::from_millis(10);

/// Lines of a child's log that are told when it failed.
const LAST_LINES: usize = 8;

/// Set for children: they end when their standard input does.
///
/// The parent holds the other end of that pipe, so a parent that is killed
/// takes its children along; otherwise they would stay and hold the machine.
const GUARD_VARIABLE: &str = "ORIOLEMUX_BENCH_GUARD";

/// Ends this process when its standard input ends, if it is a guarded child.
pub fn guard() {
    if std::env::var_os(GUARD_VARIABLE).is_none() {
        return;
    }
    std::thread::spawn(|| {
        let mut buf = [0u8; 64];
        while matches!(io::stdin().read(&mut buf), Ok(n) if n > 0) {}
        std::process::exit(GUARD_EXIT_CODE);
    });
}

/// The exit code of a child whose parent is gone.
const GUARD_EXIT_CODE: i32 = 86;

/// What can go wrong with a child.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ChildError {
    /// {name} could not be started: {source}
    Start {
        /// The child's name.
        name: String,
        /// The system's error.
        source: io::Error,
    },
    /// {name} did not say where it listens; its log is {log}
    Silent {
        /// The child's name.
        name: String,
        /// Its log file.
        log: PathBuf,
    },
    /// {name} could not be signalled: {source}
    Signal {
        /// The child's name.
        name: String,
        /// The system's error.
        source: nix::Error,
    },
    /// {name} did not end within {seconds} s
    StillRunning {
        /// The child's name.
        name: String,
        /// How long it was waited for.
        seconds: u64,
    },
}

/// A child process; killed when dropped.
#[derive(Debug)]
pub struct Child {
    name: String,
    process: StdChild,
    log: PathBuf,
}

impl Child {
    /// Starts `program` with `args`; standard error and output go to `log`.
    pub fn start<I, A>(name: &str, program: &Path, args: I, log: &Path) -> Result<Self, ChildError>
    where
        I: IntoIterator<Item = A>,
        A: Into<OsString>,
    {
        Self::start_with(name, program, args, log, false)
    }

    /// Starts `program` with `args` and waits for its line `listening ADDR`.
    pub fn start_listening<I, A>(
        name: &str,
        program: &Path,
        args: I,
        log: &Path,
    ) -> Result<(Self, SocketAddr), ChildError>
    where
        I: IntoIterator<Item = A>,
        A: Into<OsString>,
    {
        let mut child = Self::start_with(name, program, args, log, true)?;
        let address = child.listening()?;
        Ok((child, address))
    }

    fn start_with<I, A>(
        name: &str,
        program: &Path,
        args: I,
        log: &Path,
        pipe: bool,
    ) -> Result<Self, ChildError>
    where
        I: IntoIterator<Item = A>,
        A: Into<OsString>,
    {
        let start = || -> io::Result<StdChild> {
            let file = File::options().create(true).append(true).open(log)?;
            let stdout = match pipe {
                true => Stdio::piped(),
                false => Stdio::from(file.try_clone()?),
            };
            Command::new(program)
                .args(args.into_iter().map(Into::into))
                .env(GUARD_VARIABLE, "1")
                .stdin(Stdio::piped())
                .stdout(stdout)
                .stderr(Stdio::from(file))
                .spawn()
        };
        let process = start().map_err(|source| ChildError::Start {
            name: name.to_owned(),
            source,
        })?;
        Ok(Child {
            name: name.to_owned(),
            process,
            log: log.to_owned(),
        })
    }

    fn listening(&mut self) -> Result<SocketAddr, ChildError> {
        let (tx, rx) = mpsc::channel();
        if let Some(stdout) = self.process.stdout.take() {
            std::thread::spawn(move || drain_lines(stdout, &tx));
        }
        let line = rx.recv_timeout(START_LIMIT).unwrap_or_default();
        let address = line.strip_prefix("listening ").map(str::parse);
        match address {
            Some(Ok(address)) => Ok(address),
            _ => Err(ChildError::Silent {
                name: self.name.clone(),
                log: self.log.clone(),
            }),
        }
    }

    /// Returns the name given at the start.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the file that holds what the child printed.
    pub fn log(&self) -> &Path {
        &self.log
    }

    /// Returns the last lines of what the child printed.
    pub fn last_words(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(LAST_LINES)..].join(" | ")
    }

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    /// Sends `signal` to the child.
    pub fn signal(&self, signal: Signal) -> Result<(), ChildError> {
        let pid = Pid::from_raw(self.process.id().cast_signed());
        kill(pid, signal).map_err(|source| ChildError::Signal {
            name: self.name.clone(),
            source,
        })
    }

    /// Returns the exit status if the child has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.process.try_wait().ok().flatten()
    }

    /// Waits until the child ends by itself.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus, ChildError> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended() {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                return Err(ChildError::StillRunning {
                    name: self.name.clone(),
                    seconds: limit.as_secs(),
                });
            }
            std::thread::sleep(EXIT_POLL);
        }
    }

    /// Kills the child and waits for its end.
    pub fn kill(&mut self) {
        // Both calls fail only when the child is gone already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Hands the first line on and reads the rest, so that the child never blocks on a full pipe.
fn drain_lines(stdout: impl Read, tx: &mpsc::Sender<String>) {
    for line in BufReader::new(stdout).lines().map_while(Result::ok) {
        // The receiver is gone after the first line.
        let _ = tx.send(line);
    }
}
