//! Determines the outcome of a request and its cause from log lines.

use super::line::LogLine;
use oriolemux_gateway::event_log::GatewayEvent;
use serde::Serialize;
use std::collections::BTreeMap;

use crate::events::LogEvent;

/// The outcome of a request and its cause.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, displaydoc::Display)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// it went well
    Well,
    /// complete, but late: {waited_ms} ms for room, first event after {first_ms} ms, longest pause {pause_ms} ms
    Late {
        /// How long it waited for a slot at an engine.
        waited_ms: u64,
        /// The time until its first event.
        first_ms: u64,
        /// The longest pause between its events.
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
    #[serde(rename = "failed_there")]
    EndpointFailed {
        /// The endpoint that was tried last.
        endpoint: String,
        /// How often the call was sent.
        attempts: usize,
    },
    /// refused: request {request} had ended {ended} endpoints that began it
    #[serde(rename = "ends_endpoints")]
    CrashesEndpoints {
        /// The fingerprint that is the same for all attempts of the request.
        request: String,
        /// How many endpoints it had crashed.
        ended: u64,
    },
    /// refused: {ended} endpoints had ended under requests with the part {part} in their prompts
    #[serde(rename = "prompt_part_ends_endpoints")]
    PartCrashesEndpoints {
        /// The fingerprint of the part.
        part: String,
        /// How many endpoints had crashed.
        ended: u64,
    },
    /// its endpoint {endpoint} ended while it began; endpoints that ended so with request {request}: {ended}
    #[serde(rename = "ended_endpoint")]
    CrashedEndpoint {
        /// The endpoint that crashed.
        endpoint: String,
        /// The fingerprint that is the same for all attempts of the request.
        request: String,
        /// How many endpoints it had crashed by then.
        ended: u64,
    },
    /// its engine {engine} went, and {asked} did not go on with it: {why}
    #[serde(rename = "not_taken_up")]
    ResumeFailed {
        /// The engine at which it ran.
        engine: String,
        /// The engine that was to resume it.
        asked: String,
        /// Why that engine did not resume it.
        why: String,
    },
    /// its engine {engine} went, and no copy of it was complete: {why}
    NoCopy {
        /// The engine at which it ran.
        engine: String,
        /// Why no copy was complete.
        why: NoCopyReason,
    },
    /// ended early: {0}
    Ended(String),
    /// its instance started anew before it ended
    #[serde(rename = "instance_went_down")]
    InstanceRestarted,
    /// its instance was stopped before it ended
    InstanceStopped,
    /// no line tells its end: it still runs, or lines were left out
    Unknown,
}

/// Why a generation had no copy of its KV cache from which it could resume.
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
    /// Determines the cause. What is known of endpoint crashes takes precedence unless the request
    /// completed.
    pub(super) fn of(steps: &[LogLine], context: &[LogLine]) -> Self {
        let cause = Self::of_last(steps, context);
        match of_suspect(steps) {
            Some(suspect) if !matches!(cause, Cause::Well | Cause::Late { .. }) => suspect,
            _ => cause,
        }
    }

    /// Returns the word of the log line that the cause names, if it is all that is known of the cause.
    pub(super) fn word(&self) -> Option<&str> {
        match self {
            Cause::RefusedAtFront(word) | Cause::Ended(word) => Some(word),
            Cause::NotRun { reason, .. } | Cause::CallFailed { reason, .. } => Some(reason),
            _ => None,
        }
    }

    /// Determines the cause from the last line that reports an end.
    fn of_last(steps: &[LogLine], context: &[LogLine]) -> Self {
        for line in steps.iter().rev() {
            let reason = || line.field("reason").unwrap_or("?").to_owned();
            let ms = line.number("ms");
            match event_of(line) {
                Some(GatewayEvent::GenerationRefused | GatewayEvent::CallFailed)
                    if line.field("reason") == Some(CORDONED) =>
                {
                    return Cause::Cordoned(cordoned_at(line, context));
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
                Some(GatewayEvent::GenerationEnded) => return of_end(line, steps, context),
                Some(GatewayEvent::CallAttempt) if line.field("repeat") == Some("false") => {
                    return match line.field("what") {
                        Some("answered") => Cause::Well,
                        Some("failed") => endpoint_failed(line, steps),
                        what => Cause::Ended(what.unwrap_or("?").to_owned()),
                    };
                }
                _ => {}
            }
        }
        without_end(steps, context)
    }
}

/// The reason of a refusal because all data centres that serve the request are cordoned.
const CORDONED: &str = "data_centres_cordoned";

/// Lists the data centres that were cordoned when `refused` was logged, each with its revision.
fn cordoned_at(refused: &LogLine, context: &[LogLine]) -> String {
    let mut cordoned = BTreeMap::new();
    for line in context.iter().filter(|it| it.time <= refused.time) {
        let data_centre = line.field("data_centre").unwrap_or("-").to_owned();
        match event_of(line) {
            Some(GatewayEvent::DataCentreCordoned) => {
                cordoned.insert(data_centre, line.number("revision"));
            }
            Some(GatewayEvent::CordonLifted) => {
                cordoned.remove(&data_centre);
            }
            _ => {}
        }
    }
    let cordoned: Vec<String> = cordoned
        .into_iter()
        .map(|(data_centre, revision)| format!("{data_centre} by revision {revision}"))
        .collect();
    cordoned.join(", ")
}

fn event_of(line: &LogLine) -> Option<GatewayEvent> {
    let mut known = GatewayEvent::ALL.iter();
    known.find(|event| event.number() == line.event).copied()
}

/// Returns the cause if the lines report that the request crashed endpoints.
fn of_suspect(steps: &[LogLine]) -> Option<Cause> {
    let last = |event| steps.iter().rfind(|line| event_of(line) == Some(event));
    let field = |line: &LogLine, name| line.field(name).unwrap_or("-").to_owned();
    if let Some(line) = last(GatewayEvent::SuspectRefused) {
        return Some(Cause::CrashesEndpoints {
            request: field(line, "request"),
            ended: line.number("ended"),
        });
    }
    if let Some(line) = last(GatewayEvent::PartRefused) {
        return Some(Cause::PartCrashesEndpoints {
            part: field(line, "part"),
            ended: line.number("ended"),
        });
    }
    last(GatewayEvent::EndpointCrashed).map(|line| Cause::CrashedEndpoint {
        endpoint: field(line, "endpoint"),
        request: field(line, "request"),
        ended: line.number("ended"),
    })
}

fn endpoint_failed(line: &LogLine, steps: &[LogLine]) -> Cause {
    let attempts = steps.iter().map(event_of);
    Cause::EndpointFailed {
        endpoint: line.field("endpoint").unwrap_or("-").to_owned(),
        attempts: attempts
            .filter(|event| *event == Some(GatewayEvent::CallAttempt))
            .count(),
    }
}

fn of_end(end: &LogLine, steps: &[LogLine], context: &[LogLine]) -> Cause {
    match end.field("how") {
        Some("complete") if end.field("late") == Some("true") => Cause::Late {
            waited_ms: end.number("wait_ms"),
            first_ms: end.number("first_ms"),
            pause_ms: end.number("pause_ms"),
        },
        Some("complete") => Cause::Well,
        Some("no_copy") => without_copy(end, steps, context),
        how => Cause::Ended(how.unwrap_or("?").to_owned()),
    }
}

fn without_copy(end: &LogLine, steps: &[LogLine], context: &[LogLine]) -> Cause {
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
        return Cause::ResumeFailed {
            engine: moved.field("from").unwrap_or("-").to_owned(),
            asked: refused.field("endpoint").unwrap_or("-").to_owned(),
            why: refused.field("why").unwrap_or("?").to_owned(),
        };
    }
    let had_notice = context.iter().any(|line| {
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
        _ if !had_notice => NoCopyReason::NoNotice,
        Some(how) => NoCopyReason::Failed(how.to_owned()),
        None if no_room => NoCopyReason::NoRoom,
        None => NoCopyReason::NotInTime,
    };
    Cause::NoCopy { engine, why }
}

/// Determines the cause for a request whose end was not logged: it ended with its process, or it
/// is still running.
fn without_end(steps: &[LogLine], context: &[LogLine]) -> Cause {
    let Some(last) = steps.last() else {
        return Cause::Unknown;
    };
    let after = |event: LogEvent| {
        context
            .iter()
            .any(|line| line.event == event.number() && line.time > last.time)
    };
    if after(LogEvent::StoppedNow) || after(LogEvent::StopFinished) {
        Cause::InstanceStopped
    } else if after(LogEvent::Started) {
        Cause::InstanceRestarted
    } else {
        Cause::Unknown
    }
}
