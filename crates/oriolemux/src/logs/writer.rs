//! A writer that never makes the thread that logs wait.
//!
//! What goes wrong without it: whoever reads standard error stops reading, the
//! pipe fills, and the next log line blocks the thread that writes it. One
//! would see every stream of the instance stall at once. Here a thread of its
//! own writes; lines that it cannot take are dropped and counted.

use crate::metrics::Counter;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// Lines that wait to be written.
const MAX_WAITING_LINES: usize = 4096;
/// The longest that a flush waits.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

static JOBS: OnceLock<SyncSender<Job>> = OnceLock::new();

/// Hands lines to the thread that writes them.
pub(super) struct LineWriter {
    jobs: SyncSender<Job>,
    /// The line so far; it comes in pieces and ends with a flush.
    line: Vec<u8>,
}

/// Starts the thread that writes to `out` and returns a writer that feeds it.
pub(super) fn spawn(out: impl Write + Send + 'static) -> LineWriter {
    let (jobs, rx) = sync_channel(MAX_WAITING_LINES);
    let spawned = std::thread::Builder::new()
        .name("logs".to_owned())
        .spawn(move || write_all(&rx, out));
    debug_assert!(spawned.is_ok(), "no thread for logs: {spawned:?}");
    let _ = JOBS.set(jobs.clone());
    LineWriter {
        jobs,
        line: Vec::new(),
    }
}

/// Waits until the lines handed over so far are written, at most [`FLUSH_TIMEOUT`].
pub(super) fn flush() {
    let Some(jobs) = JOBS.get() else { return };
    let (done, rx) = sync_channel(1);
    if jobs.try_send(Job::Flush(done)).is_ok() {
        let _ = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_all(jobs: &Receiver<Job>, mut out: impl Write) {
    for job in jobs {
        match job {
            // There is nowhere left to report that standard error is closed.
            Job::Line(line) => drop(out.write_all(&line)),
            Job::Flush(done) => {
                let _ = out.flush();
                let _ = done.try_send(());
            }
        }
    }
}

impl Write for LineWriter {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.line.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let line = core::mem::take(&mut self.line);
        if let Err(TrySendError::Full(_)) = self.jobs.try_send(Job::Line(line)) {
            Counter::LogLinesDropped.add(1);
        }
        Ok(())
    }
}
