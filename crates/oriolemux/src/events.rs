//! Numbered events, reported to operators as log lines and counters.
//!
//! The core reports an event as a [`Note`], the shell as a [`ShellNote`]. [`emit`] and
//! [`emit_shell`] log either as one line with the number of its [`LogEvent`] and count it in
//! `oriolemux_events_total`. `docs/EVENTS.md` lists the events and is generated from the tables
//! here.

mod docs;
mod shell_note;
mod table;
mod throttle;

pub use docs::render as render_docs;
pub use shell_note::ShellNote;
pub use table::LogEvent;

use crate::metrics::{Counter, ReasonCounter};
use log::kv::{self, Key, Source, Value, VisitSource};
use oriolemux_core::explain::Names;
use oriolemux_core::note::Note;
use oriolemux_core::reason::{Reason, ReasonGroup};
use oriolemux_core::{EndpointKey, InstanceKey};

/// The log target of all numbered events.
pub const TARGET: &str = "oriolemux::events";

/// The key under which a log record carries the number of its event.
pub const NUMBER_KEY: &str = "event";

/// Logs and counts a note of the core, with keys in place of names.
pub fn emit(note: &Note) {
    emit_named(note, &NoNames);
}

/// Logs and counts a note of the core. Endpoints and instances are logged by name where it is
/// known, because operators look for the names in the list, and else by key.
pub fn emit_named(note: &Note, names: &impl Names) {
    match note {
        Note::Refused { request, reason } => {
            ReasonCounter::Refusals.add(*reason);
            let fields = [display("request", request), display("reason", reason)];
            record(refusal_event(*reason), &fields);
        }
        Note::Retried { request, reason } => {
            ReasonCounter::Retries.add(*reason);
            let fields = [display("request", request), display("reason", reason)];
            record(LogEvent::RequestRetried, &fields);
        }
        Note::Failed { request, reason } => {
            ReasonCounter::Failures.add(*reason);
            let fields = [display("request", request), display("reason", reason)];
            record(LogEvent::RequestFailed, &fields);
        }
        Note::Discarded { reason } => {
            ReasonCounter::Discards.add(*reason);
            record(discard_event(*reason), &[display("reason", reason)]);
        }
        _ => emit_state(note, names),
    }
}

/// Logs and counts a note that is about the fleet and not about one request.
fn emit_state(note: &Note, names: &impl Names) {
    match note {
        Note::Refused { .. }
        | Note::Retried { .. }
        | Note::Failed { .. }
        | Note::Discarded { .. } => debug_assert!(false, "a note about a request: {note:?}"),
        Note::EndpointLeaving(endpoint) => {
            record(
                LogEvent::EndpointLeaving,
                &[display("endpoint", &endpoint_name(*endpoint, names))],
            );
        }
        Note::EndpointEjected(endpoint) => {
            record(
                LogEvent::EndpointEjected,
                &[display("endpoint", &endpoint_name(*endpoint, names))],
            );
        }
        Note::EndpointReadmitted(endpoint) => {
            record(
                LogEvent::EndpointReadmitted,
                &[display("endpoint", &endpoint_name(*endpoint, names))],
            );
        }
        Note::InstanceGone(instance) => {
            record(
                LogEvent::InstanceGone,
                &[display("instance", &instance_name(*instance, names))],
            );
        }
        Note::ListQuarantined { named, known } => {
            let fields = [display("named", named), display("known", known)];
            record(LogEvent::ListDoubted, &fields);
        }
        Note::ListAccepted { revision } => {
            record(LogEvent::ListAccepted, &[display("revision", revision)]);
        }
        Note::ListStale { age_secs } => {
            record(LogEvent::ListStale, &[display("age_secs", age_secs)]);
        }
        Note::ListEntryUnreadable {
            revision,
            entry,
            unreadable,
        } => {
            let name = entry.name.as_deref().unwrap_or("-");
            let fields = [
                display("revision", revision),
                display("entry", &entry.place),
                display("name", &name),
                display("error", &entry.reason),
                display("unreadable", unreadable),
            ];
            record(LogEvent::ListEntryUnreadable, &fields);
        }
        Note::ListUnreadable { reason } => {
            record(LogEvent::ListUnreadable, &[display("error", reason)]);
        }
        Note::CatalogueAccepted { revision } => {
            record(
                LogEvent::CatalogueAccepted,
                &[display("revision", revision)],
            );
        }
        Note::CatalogueRejected {
            revision,
            findings,
            first,
        } => {
            let fields = [
                display("revision", revision),
                display("findings", findings),
                display("first", first),
            ];
            record(LogEvent::CatalogueRejected, &fields);
        }
        Note::CatalogueStale { revision } => {
            record(LogEvent::CatalogueStale, &[display("revision", revision)]);
        }
        Note::CatalogueWaiting { revision, shards } => {
            let fields = [display("revision", revision), display("shards", shards)];
            record(LogEvent::CatalogueWaiting, &fields);
        }
        Note::PlatformDown => record(LogEvent::PlatformDown, &[]),
        Note::PlatformUp => record(LogEvent::PlatformUp, &[]),
        Note::Ordered { endpoint, fencing } => {
            let endpoint = endpoint_name(*endpoint, names);
            let fields = [display("endpoint", &endpoint), display("fencing", fencing)];
            record(LogEvent::EndpointOrdered, &fields);
        }
        Note::OrderHeld { endpoint } => {
            record(
                LogEvent::OrderHeld,
                &[display("endpoint", &endpoint_name(*endpoint, names))],
            );
        }
    }
}

/// Resolves no name, so that keys are logged.
struct NoNames;

impl Names for NoNames {
    fn endpoint(&self, _key: EndpointKey) -> Option<&str> {
        None
    }

    fn instance(&self, _key: InstanceKey) -> Option<&str> {
        None
    }
}

fn endpoint_name(key: EndpointKey, names: &impl Names) -> String {
    let name = names.endpoint(key);
    name.map_or_else(|| key.to_string(), str::to_owned)
}

fn instance_name(key: InstanceKey, names: &impl Names) -> String {
    let name = names.instance(key);
    name.map_or_else(|| key.to_string(), str::to_owned)
}

/// Logs and counts a note of the shell.
pub fn emit_shell(note: &ShellNote<'_>) {
    note.with_fields(record);
}

/// Returns the event of a refusal for `reason`.
const fn refusal_event(reason: Reason) -> LogEvent {
    match reason.group() {
        ReasonGroup::Input => LogEvent::InputRefused,
        ReasonGroup::Limit => LogEvent::LimitRefused,
        ReasonGroup::Failure | ReasonGroup::Discard => LogEvent::FailureRefused,
    }
}

/// Returns the event of a received message that was dropped for `reason`.
const fn discard_event(reason: Reason) -> LogEvent {
    match reason {
        Reason::WrongAttempt => LogEvent::AnswerCrossed,
        _ => LogEvent::AnswerDiscarded,
    }
}

type Field<'a> = (&'static str, Value<'a>);

fn display<'a, T: core::fmt::Display>(key: &'static str, value: &'a T) -> Field<'a> {
    (key, Value::from_display(value))
}

/// The number of an event and the fields of its line.
struct EventFields<'a> {
    number: u32,
    fields: &'a [Field<'a>],
}

impl Source for EventFields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(Key::from(NUMBER_KEY), Value::from(self.number))?;
        self.fields.visit(visitor)
    }
}

fn record(event: LogEvent, fields: &[Field<'_>]) {
    event.count();
    if event.level() > log::max_level() {
        return;
    }
    if !throttle::admit(event) {
        Counter::LogLinesDropped.add(1);
        return;
    }
    let source = EventFields {
        number: event.number(),
        fields,
    };
    log::logger().log(
        &log::Record::builder()
            .level(event.level())
            .target(TARGET)
            .key_values(&source)
            .args(format_args!("{}", event.name()))
            .build(),
    );
}
