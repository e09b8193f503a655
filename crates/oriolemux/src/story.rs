//! The story of one request of a gateway, told from log lines alone.
//!
//! What a gateway decides about a request stands in its log lines, under the caller's
//! name of the attempt; [`Story::of`] puts those in order, adds the lines beside them
//! that explain them, and names the cause. It needs no running process: the one that
//! served the request may be gone. `docs/OPERATIONS.md` shows how it is used.

mod cause;
mod line;

pub use cause::Cause;
pub use line::LogLine;

use core::fmt;
use core::time::Duration;
use oriolemux_gateway::event_log::GatewayEvent;
use serde::Serialize;
use std::collections::BTreeSet;
use std::time::SystemTime;

use crate::events::LogEvent;

/// How long before a request's first line other lines may explain it. An endpoint that
/// leaves is gone some two seconds later; a store that is away is told once, when it goes.
const BEFORE: Duration = Duration::from_secs(30);

/// How long after a request's last line other lines may explain it: the departure of an
/// endpoint may be known only after its connections broke.
const AFTER: Duration = Duration::from_secs(2);

/// The same for a request of which no line tells the end: its process may have ended at
/// any moment of the time that a request may take.
const AFTER_NO_END: Duration = Duration::from_secs(60);

/// A request as its log lines tell it.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Story {
    /// The caller's name of the attempt.
    pub attempt: String,
    /// The lines that name it, in order.
    pub steps: Vec<LogLine>,
    /// Lines that do not name it and say what happened to its endpoints and instance.
    pub beside: Vec<LogLine>,
    /// What became of it, and why.
    pub cause: Cause,
}

impl Story {
    /// Returns the story of `attempt`; nothing if no line names it.
    pub fn of(attempt: &str, lines: &[LogLine]) -> Option<Self> {
        let names_it = |line: &&LogLine| line.field("attempt") == Some(attempt);
        let mut steps: Vec<LogLine> = lines.iter().filter(names_it).cloned().collect();
        steps.sort_by_key(|line| line.time);
        let (first, last) = (steps.first()?.time, steps.last()?.time);
        let endpoints: BTreeSet<&str> = steps.iter().flat_map(LogLine::endpoints).collect();
        let instances: BTreeSet<&str> = steps.iter().map(|line| line.source.as_str()).collect();
        let after = match steps.iter().any(ends_it) {
            true => AFTER,
            false => AFTER_NO_END,
        };
        let span = first.checked_sub(BEFORE).unwrap_or(first)..=last + after;
        let explains = |line: &&LogLine| {
            let of_instance = instances.contains(line.source.as_str());
            let of_endpoint = is_of_endpoint(line.event)
                && line.endpoints().any(|it| endpoints.contains(it))
                && line.field("attempt").is_none();
            span.contains(&line.time) && of_instance && (of_endpoint || is_of_instance(line.event))
        };
        let mut beside: Vec<LogLine> = lines.iter().filter(explains).cloned().collect();
        beside.sort_by_key(|line| line.time);
        keep_judging_catalogue(&mut beside, first);
        let cause = Cause::of(&steps, &beside);
        Some(Story {
            attempt: attempt.to_owned(),
            steps,
            beside,
            cause,
        })
    }
}

/// Leaves only the line of the catalogue by which a request that came at `first` was
/// judged; those before and after it decided nothing.
fn keep_judging_catalogue(beside: &mut Vec<LogLine>, first: SystemTime) {
    let in_force = |line: &LogLine| line.event == GatewayEvent::CatalogueInForce.number();
    let judged_by = beside
        .iter()
        .rposition(|line| in_force(line) && line.time <= first);
    let mut at = 0;
    beside.retain(|line| {
        let keep = !in_force(line) || Some(at) == judged_by;
        at += 1;
        keep
    });
}

/// Returns whether a line tells the end of a request.
fn ends_it(line: &LogLine) -> bool {
    let ends = [
        GatewayEvent::RefusedAtFront,
        GatewayEvent::GenerationRefused,
        GatewayEvent::CallFailed,
        GatewayEvent::GenerationEnded,
    ];
    ends.iter().any(|known| known.number() == line.event) || line.field("repeat") == Some("false")
}

/// Returns whether an event tells what became of an endpoint.
fn is_of_endpoint(event: u32) -> bool {
    event == GatewayEvent::EndpointLeaving.number()
        || event == GatewayEvent::EndpointEjected.number()
}

/// Returns whether an event tells what became of an instance or its store.
fn is_of_instance(event: u32) -> bool {
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
    /// Writes the story for people, with times since its first line.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "attempt {}", self.attempt)?;
        let first = self.steps.first().map(|line| line.time);
        for line in &self.steps {
            write_line(f, first, line)?;
        }
        if !self.beside.is_empty() {
            writeln!(f, "beside it")?;
        }
        for line in &self.beside {
            write_line(f, first, line)?;
        }
        writeln!(f, "cause: {}", self.cause)
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
