//! A planned stop cuts off no request in flight.

use super::evidence::{CallerRecord, Evidence, PlannedStop};
use super::{Promise, Violations};
use crate::load::CallerEnding;

/// Checks every planned stop.
pub fn check(evidence: &Evidence, found: &mut Violations) {
    for stop in &evidence.stops {
        if stop.exit_code != Some(0) {
            let detail = format!("{} ended with {:?}", stop.instance, stop.exit_code);
            found.push(Promise::PlannedStop, detail);
        }
        let callers = evidence.callers.iter();
        for caller in callers.filter(|caller| in_flight(caller, stop)) {
            if let Some(how) = cut(caller) {
                let detail = format!(
                    "{} through {}: {how}",
                    caller.received.prompt, stop.instance
                );
                found.push(Promise::PlannedStop, detail);
            }
        }
    }
}

fn in_flight(caller: &CallerRecord, stop: &PlannedStop) -> bool {
    let spans = caller.sent_us < stop.at_us && stop.at_us < caller.ended_us;
    caller.instance == stop.instance && spans && !caller.left
}

/// Says how a request was cut off by the stop, if it was. Other failures that
/// happen at the same time end in errors of their own.
fn cut(caller: &CallerRecord) -> Option<String> {
    match &caller.received.ending {
        CallerEnding::Broken { detail, .. } => Some(format!("broken, {detail}")),
        CallerEnding::Error {
            reason, outcome, ..
        } => {
            let by_stop = reason == "stopped_now" || (reason == "stopping" && outcome != "not_run");
            by_stop.then(|| format!("ended with {reason}, {outcome}"))
        }
        CallerEnding::Complete { .. } | CallerEnding::Malformed { .. } => None,
    }
}
