//! Refusal of requests that cannot start in time.
//!
//! A request is refused as soon as this is predictable, and always with a reason.

use crate::cell::Cell;
use crate::cell::decision::CellDecision;
use crate::cell::queue::Waiting;
use crate::ids::RequestId;
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use rand::Rng;

/// Lower bound of the suggested retry delay, before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Upper bound of the suggested retry delay, jitter included.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(300);
/// Suggested retry delay if no endpoint can serve the request at present, before jitter.
const NO_ENDPOINT_RETRY_AFTER: Duration = Duration::from_secs(10);
/// Share of the remaining wait limit after which a waiting request is reviewed again.
const REVIEW_SHARE: f64 = 0.5;

/// Reviews the requests that were submitted since the last poll and not placed.
pub(super) fn review_new(cell: &mut Cell, now: Time, out: &mut Vec<CellDecision>) {
    let unreviewed = core::mem::take(&mut cell.unreviewed);
    for &id in &unreviewed {
        review(cell, now, id, out);
    }
    cell.unreviewed = unreviewed;
    cell.unreviewed.clear();
}

/// Reviews the requests whose review is due.
pub(super) fn review_due(cell: &mut Cell, now: Time, out: &mut Vec<CellDecision>) {
    while let Some((at, id)) = cell.queue.next_review()
        && at <= now
    {
        review(cell, now, id, out);
    }
}

/// Refuses a request that cannot start in time; otherwise schedules its next review.
fn review(cell: &mut Cell, now: Time, id: RequestId, out: &mut Vec<CellDecision>) {
    let Some(needs) = cell.queue.get(id).map(|waiting| waiting.req.needs) else {
        return;
    };
    cell.ensure_indexed(needs);
    let Some(waiting) = cell.queue.get(id) else {
        return;
    };
    let expires = waiting.req.arrived + waiting.req.class.longest_wait;
    let wait = predicted_wait(cell, waiting);
    let reason = match () {
        () if now >= expires => Some(Reason::WaitExpired),
        () if !cell.is_served(&waiting.req) => Some(Reason::NoEndpoint),
        () if !cell.can_ever_fit(&waiting.req) => Some(Reason::PromptTooLong),
        () if cell.queue.len() > cell.cfg.max_queued => Some(Reason::QueueFull),
        () if now + wait > expires => Some(Reason::WaitTooLong),
        () => None,
    };
    match reason {
        Some(reason) => out.push(refuse(cell, now, id, reason, wait)),
        None => {
            let left = expires.since(now).mul_f64(REVIEW_SHARE);
            let next = now + left.max(Duration::from_millis(100));
            cell.queue.review_at(id, next.min(expires));
        }
    }
}

/// Returns the predicted remaining wait of a request.
pub(super) fn predicted_wait(cell: &Cell, waiting: &Waiting) -> Duration {
    let class = waiting.lane.class;
    let ahead = cell.queue.work_before(class, waiting.deadline) - waiting.work;
    let rate = cell.drain_rate(class);
    if ahead <= 0.0 || rate <= 0.0 {
        return Duration::ZERO;
    }
    Duration::from_secs_f64((ahead / rate).min(1e6))
}

fn refuse(
    cell: &mut Cell,
    now: Time,
    id: RequestId,
    reason: Reason,
    wait: Duration,
) -> CellDecision {
    let waiting = cell.take_waiting(id);
    let mut record = cell.describe(now, &waiting);
    record.alternatives = cell.sample_alternatives(now, &waiting.req);
    let retry_after = retry_after(cell, &waiting, reason);
    cell.lengths.release(waiting.node);
    CellDecision::Refuse {
        id,
        reason,
        retry_after,
        predicted_wait: wait,
        record,
    }
}

/// Returns the suggested retry delay: the time in which the current queue drains, with a random
/// addition of up to the same length. Equal delays for callers that were refused together would
/// make them all return at the same time.
fn retry_after(cell: &mut Cell, waiting: &Waiting, reason: Reason) -> Duration {
    let class = waiting.lane.class;
    let rate = cell.drain_rate(class);
    let drained = match reason {
        Reason::NoEndpoint | Reason::PromptTooLong => NO_ENDPOINT_RETRY_AFTER,
        _ if rate > 0.0 => Duration::from_secs_f64((cell.queue.work(class) / rate).min(1e6)),
        _ => NO_ENDPOINT_RETRY_AFTER,
    };
    let base = drained.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER / 2);
    base.mul_f64(1.0 + cell.rng.random::<f64>())
}
