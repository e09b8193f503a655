//! What endpoints announce in their responses is respected by the instances that received it.

use super::{Evidence, IN_FORCE, Violation, ran_at};
use crate::soak::fault::FaultKind;
use crate::soak::record::{Arrival, Outcome, Sent, What};
use core::time::Duration;
use std::collections::BTreeMap;
use std::time::Instant;

/// Requests that may still arrive after a refusal because they were under way.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests of one instance that an endpoint tolerates within a backoff that it requested.
const MAX_WITHIN_BACKOFF: usize = 2;

/// Checks both rules; bounds of time count `patience` times.
pub(super) fn check(seen: &Evidence, patience: f64, found: &mut Vec<Violation>) {
    announced_gets_nothing_new(seen, IN_FORCE.mul_f64(patience), found);
    backoffs_are_respected(seen, UNDER_WAY.mul_f64(patience), found);
}

/// Returns whether a fault ended or suspended an instance between `from` and `to`.
fn is_interrupted(seen: &Evidence, instance: usize, from: Instant, to: Instant) -> bool {
    seen.timeline.iter().any(|it| match &it.what {
        What::Fault {
            kind: FaultKind::Kill | FaultKind::Stop | FaultKind::Freeze,
            instance: Some(struck),
        } => *struck == instance && it.overlaps(from, to, Duration::ZERO),
        _ => false,
    })
}

/// Returns what callers sent, by attempt.
fn by_attempt(seen: &Evidence) -> BTreeMap<&str, &Sent> {
    let requests = seen.requests.iter();
    requests.map(|it| (it.attempt.as_str(), it)).collect()
}

/// Checks that an instance sends an endpoint nothing that a caller sent later than `bound` after
/// the instance had passed on a response that says that the endpoint leaves. The store does not
/// matter here: the instance has heard it from the endpoint itself.
fn announced_gets_nothing_new(seen: &Evidence, bound: Duration, found: &mut Vec<Violation>) {
    let announces = seen.timeline.iter().filter_map(|it| match &it.what {
        What::Announces(name) => Some((name.as_str(), it.from)),
        _ => None,
    });
    let announces: BTreeMap<&str, Instant> = announces.collect();
    let sent = by_attempt(seen);
    let arrivals = seen.arrivals.iter().filter_map(|it| {
        let since = *announces.get(it.endpoint.as_str())?;
        let sent = *sent.get(it.attempt.as_str())?;
        (it.at >= since).then_some((it, sent))
    });
    let arrivals: Vec<(&Arrival, &Sent)> = arrivals.collect();
    let mut passed_on: BTreeMap<(&str, usize), Instant> = BTreeMap::new();
    for (arrival, sent) in &arrivals {
        let is_response = matches!(&sent.outcome, Outcome::Answer(answer) if answer.signed);
        if is_response && ran_at(seen, &sent.attempt) == Some(arrival.endpoint.as_str()) {
            let at = passed_on.entry((&arrival.endpoint, sent.instance));
            let at = at.or_insert(sent.ended);
            *at = sent.ended.min(*at);
        }
    }
    for (arrival, sent) in &arrivals {
        let Some(&since) = passed_on.get(&(arrival.endpoint.as_str(), sent.instance)) else {
            continue;
        };
        let late = sent.sent.saturating_duration_since(since);
        if late < bound || is_interrupted(seen, sent.instance, since, arrival.at) {
            continue;
        }
        found.push(Violation::Announced {
            attempt: arrival.attempt.clone(),
            endpoint: arrival.endpoint.clone(),
            instance: sent.instance,
            late_ms: late.as_millis(),
        });
    }
}

/// Checks that at most [`MAX_WITHIN_BACKOFF`] requests come from an instance that an endpoint
/// refused, from `under_way` after the refusal until the backoff that it requested ends.
fn backoffs_are_respected(seen: &Evidence, under_way: Duration, found: &mut Vec<Violation>) {
    let sent = by_attempt(seen);
    let instance_of = |it: &Arrival| sent.get(it.attempt.as_str()).map(|sent| sent.instance);
    for refused in &seen.arrivals {
        let (Some(backoff), Some(instance)) = (refused.backoff, instance_of(refused)) else {
            continue;
        };
        let ends = refused.at + backoff;
        let within = seen.arrivals.iter().filter(|it| {
            it.endpoint == refused.endpoint
                && it.at >= refused.at + under_way
                && it.at < ends
                && instance_of(it) == Some(instance)
        });
        let requests = within.count();
        if requests > MAX_WITHIN_BACKOFF && !is_interrupted(seen, instance, refused.at, ends) {
            found.push(Violation::Backoff {
                endpoint: refused.endpoint.clone(),
                instance,
                requests,
            });
        }
    }
}
