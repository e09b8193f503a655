//! Reconstructs the history of one gateway request from log lines.
//!
//! A gateway logs each decision about a request under the caller's name of the attempt.
//! [`Story::of`] orders these lines, adds other lines that explain them, and determines the
//! cause of the outcome. It works without a running process, because the instance that served
//! the request may be gone. `docs/OPERATIONS.md` shows how it is used.

mod cause;
mod line;
mod reasons;

pub use cause::Cause;
pub use line::LogLine;

use core::fmt;
use core::time::Duration;
use oriolemux_gateway::event_log::GatewayEvent;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::SystemTime;

use crate::events::LogEvent;

/// How long before a request's first line other lines may explain it. A leaving endpoint is gone
/// about two seconds after its line, but the loss of the store is logged only once.
const WINDOW_BEFORE: Duration = Duration::from_secs(30);

/// How long after a request's last line other lines may explain it. An endpoint's departure may
/// become known only after its connections broke.
const WINDOW_AFTER: Duration = Duration::from_secs(2);

/// Like [`WINDOW_AFTER`], for a request whose end was not logged. Its process may have ended at
/// any time while the request ran.
const WINDOW_AFTER_NO_END: Duration = Duration::from_secs(60);

/// The history of one request, reconstructed from log lines.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// The caller's name of the attempt.
    pub attempt: String,
    /// The lines that name the attempt, ordered by time.
    pub steps: Vec<LogLine>,
    /// Lines that do not name the attempt but report what happened to its endpoints and
    /// instances, ordered by time.
    #[serde(rename = "beside")]
    pub context: Vec<LogLine>,
    /// The outcome of the request and its cause.
    pub cause: Cause,
}

impl Story {
    /// Reconstructs the history of `attempt`. Returns `None` if no line names it.
    pub fn of(attempt: &str, lines: &[LogLine]) -> Option<Self> {
        let names_it = |line: &&LogLine| line.field("attempt") == Some(attempt);
        let mut steps: Vec<LogLine> = lines.iter().filter(names_it).cloned().collect();
        steps.sort_by_key(|line| line.time);
        let (first, last) = (steps.first()?.time, steps.last()?.time);
        let endpoints: BTreeSet<&str> = steps.iter().flat_map(LogLine::endpoints).collect();
        let instances: BTreeSet<&str> = steps.iter().map(|line| line.source.as_str()).collect();
        let after = match steps.iter().any(is_end) {
            true => WINDOW_AFTER,
            false => WINDOW_AFTER_NO_END,
        };
        let span = first.checked_sub(WINDOW_BEFORE).unwrap_or(first)..=last + after;
        let explains = |line: &&LogLine| {
            let of_instance = instances.contains(line.source.as_str());
            let of_endpoint = is_endpoint_event(line.event)
                && line.endpoints().any(|it| endpoints.contains(it))
                && line.field("attempt").is_none();
            span.contains(&line.time)
                && of_instance
                && (of_endpoint || is_instance_event(line.event))
        };
        let mut context: Vec<LogLine> = lines.iter().filter(explains).cloned().collect();
        context.sort_by_key(|line| line.time);
        retain_applied_catalogue(&mut context, first);
        let cause = Cause::of(&steps, &context);
        Some(Story {
            attempt: attempt.to_owned(),
            steps,
            context,
            cause,
        })
    }
}

/// Removes all `catalogue_in_force` lines except that of the catalogue in force when the request
/// arrived at `first`; the others did not affect the request.
fn retain_applied_catalogue(context: &mut Vec<LogLine>, first: SystemTime) {
    let in_force = |line: &LogLine| line.event == GatewayEvent::CatalogueInForce.number();
    let applied = context
        .iter()
        .rposition(|line| in_force(line) && line.time <= first);
    let mut at = 0;
    context.retain(|line| {
        let keep = !in_force(line) || Some(at) == applied;
        at += 1;
        keep
    });
}

/// Returns whether a line reports the end of a request.
fn is_end(line: &LogLine) -> bool {
    let ends = [
        GatewayEvent::RefusedAtFront,
        GatewayEvent::GenerationRefused,
        GatewayEvent::CallFailed,
        GatewayEvent::GenerationEnded,
    ];
    ends.iter().any(|known| known.number() == line.event) || line.field("repeat") == Some("false")
}

/// Returns whether an event reports a change of state of an endpoint.
fn is_endpoint_event(event: u32) -> bool {
    event == GatewayEvent::EndpointLeaving.number()
        || event == GatewayEvent::EndpointEjected.number()
}

/// Returns whether an event reports a change of state of an instance, its store or its
/// catalogue, or of a data centre's cordon.
fn is_instance_event(event: u32) -> bool {
    let of_process = [
        LogEvent::Started,
        LogEvent::StopRequested,
        LogEvent::StopFinished,
        LogEvent::StoppedNow,
    ];
    let of_store = [
        GatewayEvent::StoreLost,
        GatewayEvent::StoreRegained,
        GatewayEvent::CatalogueInForce,
        GatewayEvent::DataCentreCordoned,
        GatewayEvent::CordonLifted,
        GatewayEvent::StoppedWithRequests,
    ];
    of_process.iter().any(|known| known.number() == event)
        || of_store.iter().any(|known| known.number() == event)
}

impl fmt::Display for Story {
    /// Writes the history as text, with times relative to the attempt's first line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "attempt {}", self.attempt)?;
        let first = self.steps.first().map(|line| line.time);
        for line in &self.steps {
            write_line(f, first, line)?;
        }
        if !self.context.is_empty() {
            writeln!(f, "beside it")?;
        }
        for line in &self.context {
            write_line(f, first, line)?;
        }
        writeln!(f, "cause: {}", self.cause)?;
        let word = self.cause.word();
        match word.and_then(|word| Some((word, reasons::explain(word)?))) {
            Some((word, text)) => writeln!(f, "{word}: {text}"),
            None => Ok(()),
        }
    }
}

fn write_line(
    f: &mut fmt::Formatter<'_>,
    first: Option<SystemTime>,
    line: &LogLine,
) -> fmt::Result {
    let first = first.unwrap_or(line.time);
    let (sign, distance) = match line.time.duration_since(first) {
        Ok(after) => ('+', after),
        Err(before) => ('-', before.duration()),
    };
    write!(
        f,
        "  {sign}{}.{:03} s  {} [{}]",
        distance.as_secs(),
        distance.subsec_millis(),
        line.name,
        line.event
    )?;
    if !line.source.is_empty() {
        write!(f, " at {}", line.source)?;
    }
    for (key, value) in &line.fields {
        if key != "attempt" {
            write!(f, " {key}={value}")?;
        }
    }
    writeln!(f)
}
