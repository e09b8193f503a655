//! A writer that never blocks the thread that logs.
//!
//! If the reader of standard error stops reading, the pipe fills, and a direct write of the next
//! log line would block its thread, so that every stream of the instance stalls at once. Here a
//! separate thread writes the lines; lines that do not fit into its queue are dropped and counted.

use crate::metrics::Counter;
use std::io::{self, Write};
use std::sync::OnceLock;
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::time::Duration;

/// The most lines that are queued.
const MAX_QUEUED_LINES: usize = 4096;
/// The longest that a flush waits.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

enum Job {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

static JOBS: OnceLock<SyncSender<Job>> = OnceLock::new();

/// Sends lines to the thread that writes them.
pub(super) struct LineWriter {
    jobs: SyncSender<Job>,
    /// The current line; it arrives in parts and ends with a flush.
    line: Vec<u8>,
}

/// Starts the thread that writes to `out` and returns a writer that sends lines to it.
pub(super) fn spawn(out: impl Write + Send + 'static) -> LineWriter {
    let (jobs, rx) = sync_channel(MAX_QUEUED_LINES);
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

/// Waits until the lines queued so far are written, at most [`FLUSH_TIMEOUT`].
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
