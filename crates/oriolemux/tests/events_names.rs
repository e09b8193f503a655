//! Log lines of notes contain the published names of endpoints and instances.
//!
//! The test has its own file, because a process has only one logger.

use log::{Log, Metadata, Record};
use oriolemux::events::emit_named;
use oriolemux::logs::format_human;
use oriolemux_core::explain::Names;
use oriolemux_core::note::Note;
use oriolemux_core::{EndpointKey, InstanceKey};
use std::sync::Mutex;
use std::time::SystemTime;

/// A logger that stores its lines.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let line = format_human(SystemTime::UNIX_EPOCH, record);
        self.0.lock().expect("not poisoned").push(line);
    }

    fn flush(&self) {}
}

/// Resolves the name of one endpoint only.
struct OneName;

impl Names for OneName {
    fn endpoint(&self, key: EndpointKey) -> Option<&str> {
        (key == EndpointKey::of("engine-1")).then_some("engine-1")
    }

    fn instance(&self, _key: InstanceKey) -> Option<&str> {
        None
    }
}

#[test]
fn known_names_are_logged_instead_of_keys() {
    log::set_logger(&LINES).expect("no logger yet");
    log::set_max_level(log::LevelFilter::Info);

    emit_named(
        &Note::EndpointLeaving(EndpointKey::of("engine-1")),
        &OneName,
    );
    emit_named(&Note::InstanceGone(InstanceKey(255)), &OneName);

    let lines = LINES.0.lock().expect("not poisoned").clone();
    let head = "1970-01-01T00:00:00.000Z INFO ";
    let expected = [
        format!("{head} [301] endpoint_leaving endpoint=engine-1"),
        format!("{head} [401] instance_gone instance=inst-00000000000000ff"),
    ];
    assert_eq!(lines, expected);
}
