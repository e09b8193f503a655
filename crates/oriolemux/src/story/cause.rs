//! What became of a request, and why, as far as its lines tell.

use super::line::LogLine;
use oriolemux_gateway::event_log::GatewayEvent;
use serde::Serialize;
use std::collections::BTreeMap;

use crate::events::LogEvent;

/// What became of a request, and why.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// it went well
    Well,
    /// complete, but late: {waited_ms} ms for room, first event after {first_ms} ms, longest pause {pause_ms} ms
    Late {
        /// How long it waited for room at an engine.
        waited_ms: u64,
        /// When its first event came.
        first_ms: u64,
        /// Its longest pause.
        pause_ms: u64,
    },
    /// refused at the front and not run: {0}
    RefusedAtFront(String),
    /// not run: {reason} after {ms} ms
    NotRun {
        /// The reason.
        reason: String,
        /// How long it waited.
        ms: u64,
    },
    /// not run: the operator closed each data centre that serves it: {0}
    Cordoned(String),
    /// the call failed: {reason}; last tried: {endpoint}
    CallFailed {
        /// The reason.
        reason: String,
        /// The endpoint that was tried last.
        endpoint: String,
    },
    /// {endpoint} answered with a failure of its own; {attempts} attempts in all
    FailedThere {
        /// The endpoint that was tried last.
        endpoint: String,
        /// How often the call was sent.
        attempts: usize,
    },
    /// refused: request {request} had ended {ended} endpoints that began it
    EndsEndpoints {
        /// What makes two attempts the same request.
        request: String,
        /// How many endpoints it had ended.
        ended: u64,
    },
    /// its endpoint {endpoint} ended while it began; endpoints that ended so with request {request}: {ended}
    EndedEndpoint {
        /// The endpoint.
        endpoint: String,
        /// What makes two attempts the same request.
        request: String,
        /// How many endpoints it had ended then.
        ended: u64,
    },
    /// its engine {engine} went, and {asked} did not go on with it: {why}
    NotTakenUp {
        /// The engine that it ran at.
        engine: String,
        /// The engine that was asked to go on.
        asked: String,
        /// What that one said.
        why: String,
    },
    /// its engine {engine} went, and no copy of it was complete: {why}
    NoCopy {
        /// The engine that it ran at.
        engine: String,
        /// What its lines say of copies.
        why: NoCopyReason,
    },
    /// ended early: {0}
    Ended(String),
    /// its instance started anew before it ended
    InstanceWentDown,
    /// its instance was stopped before it ended
    InstanceStopped,
    /// no line tells its end: it still runs, or lines were left out
    Unknown,
}

/// Why a generation had no copy to go on from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum NoCopyReason {
    /// no engine had room for one
    NoRoom,
    /// the last that was tried ended with {0}
    Failed(String),
    /// nobody knew before that the engine would leave
    NoNotice,
    /// the copy that was begun at the notice was not complete in time
    NotInTime,
}

impl Cause {
    /// Returns the cause that the lines of a request tell.
    pub(super) fn of(steps: &[LogLine], beside: &[LogLine]) -> Self {
        let cause = Self::of_last(steps, beside);
        match of_suspect(steps) {
            Some(suspect) if !matches!(cause, Cause::Well | Cause::Late { .. }) => suspect,
            _ => cause,
        }
    }

    /// Returns the cause that the last line tells by which it ended.
    fn of_last(steps: &[LogLine], beside: &[LogLine]) -> Self {
        for line in steps.iter().rev() {
            let reason = || line.field("reason").unwrap_or("?").to_owned();
            let ms = line.number("ms");
            match event_of(line) {
                Some(GatewayEvent::GenerationRefused | GatewayEvent::CallFailed)
                    if line.field("reason") == Some(CORDONED) =>
                {
                    return Cause::Cordoned(closed_before(line, beside));
                }
                Some(GatewayEvent::RefusedAtFront) => return Cause::RefusedAtFront(reason()),
                Some(GatewayEvent::GenerationRefused) => {
                    return Cause::NotRun {
                        reason: reason(),
                        ms,
                    };
                }
                Some(GatewayEvent::CallFailed) => {
                    let endpoint = line.field("endpoint").unwrap_or("-").to_owned();
                    return Cause::CallFailed {
                        reason: reason(),
                        endpoint,
                    };
                }
                Some(GatewayEvent::GenerationEnded) => return of_end(line, steps, beside),
                Some(GatewayEvent::CallAttempt) if line.field("repeat") == Some("false") => {
                    return match line.field("what") {
                        Some("answered") => Cause::Well,
                        Some("failed") => failed_there(line, steps),
                        what => Cause::Ended(what.unwrap_or("?").to_owned()),
                    };
                }
                _ => {}
            }
        }
        without_end(steps, beside)
    }
}

/// The reason with which callers are refused whose data centres are all closed.
const CORDONED: &str = "data_centres_cordoned";

/// Returns which data centres were closed when `refused` was written, and by which revision.
fn closed_before(refused: &LogLine, beside: &[LogLine]) -> String {
    let mut closed = BTreeMap::new();
    for line in beside.iter().filter(|it| it.time <= refused.time) {
        let data_centre = line.field("data_centre").unwrap_or("-").to_owned();
        match event_of(line) {
            Some(GatewayEvent::DataCentreCordoned) => {
                closed.insert(data_centre, line.number("revision"));
            }
            Some(GatewayEvent::CordonLifted) => {
                closed.remove(&data_centre);
            }
            _ => {}
        }
    }
    let closed: Vec<String> = closed
        .into_iter()
        .map(|(data_centre, revision)| format!("{data_centre} by revision {revision}"))
        .collect();
    closed.join(", ")
}

fn event_of(line: &LogLine) -> Option<GatewayEvent> {
    let mut known = GatewayEvent::ALL.iter();
    known.find(|event| event.number() == line.event).copied()
}

/// Returns what the lines say of endpoints that ended with the request.
fn of_suspect(steps: &[LogLine]) -> Option<Cause> {
    let last = |event| steps.iter().rfind(|line| event_of(line) == Some(event));
    let field = |line: &LogLine, name| line.field(name).unwrap_or("-").to_owned();
    if let Some(line) = last(GatewayEvent::SuspectRefused) {
        return Some(Cause::EndsEndpoints {
            request: field(line, "request"),
            ended: line.number("ended"),
        });
    }
    last(GatewayEvent::EndpointCrashed).map(|line| Cause::EndedEndpoint {
        endpoint: field(line, "endpoint"),
        request: field(line, "request"),
        ended: line.number("ended"),
    })
}

fn failed_there(line: &LogLine, steps: &[LogLine]) -> Cause {
    let attempts = steps.iter().map(event_of);
    Cause::FailedThere {
        endpoint: line.field("endpoint").unwrap_or("-").to_owned(),
        attempts: attempts
            .filter(|event| *event == Some(GatewayEvent::CallAttempt))
            .count(),
    }
}

fn of_end(end: &LogLine, steps: &[LogLine], beside: &[LogLine]) -> Cause {
    match end.field("how") {
        Some("complete") if end.field("late") == Some("true") => Cause::Late {
            waited_ms: end.number("wait_ms"),
            first_ms: end.number("first_ms"),
            pause_ms: end.number("pause_ms"),
        },
        Some("complete") => Cause::Well,
        Some("no_copy") => without_copy(end, steps, beside),
        how => Cause::Ended(how.unwrap_or("?").to_owned()),
    }
}

fn without_copy(end: &LogLine, steps: &[LogLine], beside: &[LogLine]) -> Cause {
    let last = |event| steps.iter().rfind(|line| event_of(line) == Some(event));
    let moved = steps.iter().rfind(|line| {
        let event = event_of(line);
        event == Some(GatewayEvent::ResumedFromPreCopy)
            || event == Some(GatewayEvent::ResumedFromStandby)
    });
    let engine = end.field("endpoint").unwrap_or("-").to_owned();
    if let (Some(moved), Some(refused)) = (moved, last(GatewayEvent::ResumeFailed))
        && refused.time >= moved.time
    {
        return Cause::NotTakenUp {
            engine: moved.field("from").unwrap_or("-").to_owned(),
            asked: refused.field("endpoint").unwrap_or("-").to_owned(),
            why: refused.field("why").unwrap_or("?").to_owned(),
        };
    }
    let told = beside.iter().any(|line| {
        event_of(line) == Some(GatewayEvent::EndpointLeaving)
            && line.field("endpoint") == Some(engine.as_str())
            && line.time < end.time
    });
    let no_room = last(GatewayEvent::NoRoomForCopy)
        .is_some_and(|line| line.field("source") == Some(engine.as_str()));
    let failed = last(GatewayEvent::PreCopyEnded)
        .filter(|line| line.field("from") == Some(engine.as_str()))
        .and_then(|line| line.field("how"));
    let why = match failed {
        _ if !told => NoCopyReason::NoNotice,
        Some(how) => NoCopyReason::Failed(how.to_owned()),
        None if no_room => NoCopyReason::NoRoom,
        None => NoCopyReason::NotInTime,
    };
    Cause::NoCopy { engine, why }
}

/// A request without a line of its end ended with its process, or runs on.
fn without_end(steps: &[LogLine], beside: &[LogLine]) -> Cause {
    let Some(last) = steps.last() else {
        return Cause::Unknown;
    };
    let after = |event: LogEvent| {
        beside
            .iter()
            .any(|line| line.event == event.number() && line.time > last.time)
    };
    if after(LogEvent::StoppedNow) || after(LogEvent::StopFinished) {
        Cause::InstanceStopped
    } else if after(LogEvent::Started) {
        Cause::InstanceWentDown
    } else {
        Cause::Unknown
    }
}
