//! All events of a flood are counted, and only some of them are logged.
//!
//! The only test in its file, because logger and recorder are global to the process.

use log::{Log, Metadata, Record};
use oriolemux::events::{ShellNote, emit_shell};
use oriolemux::metrics;
use std::sync::atomic::{AtomicUsize, Ordering};

const FLOOD: usize = 10_000;

/// Counts the lines.
struct Lines(AtomicUsize);

static LINES: Lines = Lines(AtomicUsize::new(0));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, _record: &Record<'_>) {
        self.0.fetch_add(1, Ordering::Relaxed);
    }

    fn flush(&self) {}
}

#[test]
fn flood_of_one_event_does_not_suppress_others() {
    // Guards against a log that holds nothing but refused connections and that its reader cannot keep
    // up with: a client connects to the peers' port in a loop, and each refusal writes a line.
    log::set_logger(&LINES).expect("no logger yet");
    log::set_max_level(log::LevelFilter::Info);
    metrics::install().expect("a recorder");

    for _ in 0..FLOOD {
        emit_shell(&ShellNote::PeerRefused { why: "a stranger" });
    }
    let flooded = LINES.0.load(Ordering::Relaxed);
    emit_shell(&ShellNote::StopFinished);

    let page = metrics::render();
    let dropped = FLOOD - flooded;
    assert!((100..FLOOD).contains(&flooded), "{flooded} lines");
    assert_eq!(LINES.0.load(Ordering::Relaxed), flooded + 1);
    assert!(page.contains(&format!("events_total{{event=\"peer_refused\"}} {FLOOD}\n")));
    assert!(
        page.contains(&format!("log_lines_dropped_total {dropped}\n")),
        "{page}"
    );
}
