//! The surge of a case: requests of every kind, most of them at once.

use super::scene::Balancer;
use crate::checker::{CallerRecord, Work};
use crate::fleet::catalogue::{BILLED, LOOKUP, PLAN, REPORT, SALE, SCHOOL_KEY, VERDICT};
use crate::load::{CallRequest, Caller, CallerEnding, CompletionCall, Received};
use crate::standins::journal::now_us;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;
use tokio::task::JoinSet;

/// The share of the requests that come in the first second.
const BURST_SHARE: f64 = 0.5;
/// How long a request may take before it counts as never answered.
const ANSWER_LIMIT: Duration = Duration::from_secs(120);
/// The most time between the submissions of one key: shorter than the outcome
/// of the first one is remembered.
const REPEAT_WITHIN: Duration = Duration::from_millis(2_500);
/// The share of streams whose callers go away.
const LEAVING_SHARE: f64 = 0.03;

/// How a request that must not run twice is named.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Naming {
    /// Not at all.
    Bare,
    /// By an idempotency key that two submissions share.
    Key,
    /// By a ticket that two submissions share.
    Ticket,
}

/// One request to be sent.
#[derive(Clone, Debug)]
struct Planned {
    at: Duration,
    entry: &'static str,
    marker: String,
    length: u32,
    naming: Naming,
    leave_after: Option<u32>,
    /// How much later a second submission under the same key is sent.
    repeat_after: Duration,
    /// Which of the instances get the submissions.
    picks: [usize; 2],
}

/// Sends `requests` requests over `lasting`, and returns what each caller got.
pub async fn run(
    balancer: &Balancer,
    seed: u64,
    requests: usize,
    lasting: Duration,
) -> Result<Vec<CallerRecord>, reqwest::Error> {
    let caller = Caller::new(SCHOOL_KEY)?;
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut sent = JoinSet::new();
    for number in 0..requests {
        let planned = plan(&mut rng, number, lasting);
        let caller = caller.clone();
        let balancer = balancer.clone();
        sent.spawn(async move { send(&caller, &balancer, &planned).await });
    }
    let mut records = Vec::new();
    while let Some(done) = sent.join_next().await {
        records.extend(done.unwrap_or_default());
    }
    Ok(records)
}

fn plan(rng: &mut SmallRng, number: usize, lasting: Duration) -> Planned {
    let (entry, length) = match rng.random_range(0..100) {
        0..50 => (VERDICT, rng.random_range(2..9)),
        50..66 => (PLAN, rng.random_range(60..260)),
        66..72 => (REPORT, rng.random_range(40..120)),
        72..84 => (BILLED, rng.random_range(4..40)),
        84..92 => (LOOKUP, 1),
        _ => (SALE, 1),
    };
    let at = match rng.random_bool(BURST_SHARE) {
        true => Duration::from_secs(1).min(lasting),
        false => lasting,
    };
    let naming = match (is_idempotent(entry), rng.random_range(0..3)) {
        (true, _) | (false, 0) => Naming::Bare,
        (false, 1) => Naming::Key,
        (false, _) => Naming::Ticket,
    };
    let leaves = entry == PLAN && rng.random_bool(LEAVING_SHARE);
    Planned {
        at: at.mul_f64(rng.random()),
        entry,
        marker: format!("request {number} {:016x}", rng.random::<u64>()),
        length,
        naming,
        repeat_after: repeat_after(rng),
        leave_after: leaves.then(|| rng.random_range(1..20)),
        picks: [rng.random::<u32>() as usize, rng.random::<u32>() as usize],
    }
}

/// Half of the repeats overtake the end of the first submission, half come later.
fn repeat_after(rng: &mut SmallRng) -> Duration {
    let share: f64 = rng.random();
    match rng.random_bool(0.5) {
        true => REPEAT_WITHIN.mul_f64(share / 50.0),
        false => REPEAT_WITHIN.mul_f64(share),
    }
}

fn is_idempotent(entry: &str) -> bool {
    !matches!(entry, BILLED | SALE)
}

async fn send(caller: &Caller, balancer: &Balancer, planned: &Planned) -> Vec<CallerRecord> {
    tokio::time::sleep(planned.at).await;
    match planned.naming {
        Naming::Bare => submit(caller, balancer, planned, 0, None)
            .await
            .into_iter()
            .collect(),
        Naming::Key => {
            let name = Named::Key(planned.marker.clone());
            let again = async {
                tokio::time::sleep(planned.repeat_after).await;
                submit(caller, balancer, planned, 1, Some(&name)).await
            };
            let first = submit(caller, balancer, planned, 0, Some(&name));
            let (first, second) = tokio::join!(first, again);
            first.into_iter().chain(second).collect()
        }
        Naming::Ticket => with_ticket(caller, balancer, planned).await,
    }
}

/// Draws a ticket, and submits again under it when the first end was not whole.
async fn with_ticket(caller: &Caller, balancer: &Balancer, planned: &Planned) -> Vec<CallerRecord> {
    let Some((_, instance)) = balancer.choose(planned.picks[0]) else {
        return Vec::new();
    };
    // Without a ticket nothing is sent: the instance may have died just now.
    let Ok(ticket) = caller.ticket(instance).await else {
        return Vec::new();
    };
    let name = Named::Ticket(ticket);
    let first = submit(caller, balancer, planned, 0, Some(&name)).await;
    let whole = first
        .as_ref()
        .is_some_and(|record| record.received.is_complete());
    let second = match whole {
        true => None,
        false => submit(caller, balancer, planned, 1, Some(&name)).await,
    };
    first.into_iter().chain(second).collect()
}

/// What submissions of the same request share.
#[derive(Clone, Debug)]
enum Named {
    Key(String),
    Ticket(String),
}

impl Named {
    fn key(&self) -> Option<String> {
        match self {
            Named::Key(key) => Some(key.clone()),
            Named::Ticket(_) => None,
        }
    }

    fn ticket(&self) -> Option<String> {
        match self {
            Named::Key(_) => None,
            Named::Ticket(ticket) => Some(ticket.clone()),
        }
    }

    fn text(&self) -> &str {
        match self {
            Named::Key(text) | Named::Ticket(text) => text,
        }
    }
}

async fn submit(
    caller: &Caller,
    balancer: &Balancer,
    planned: &Planned,
    pick: usize,
    name: Option<&Named>,
) -> Option<CallerRecord> {
    let (instance, address) = balancer.choose(planned.picks[pick])?;
    let is_call = matches!(planned.entry, LOOKUP | SALE);
    let sent_us = now_us();
    let exchange = async {
        match is_call {
            true => caller.call(address, &call(planned, name)).await,
            false => caller.complete(address, &completion(planned, name)).await,
        }
    };
    let received = match tokio::time::timeout(ANSWER_LIMIT, exchange).await {
        Ok(received) => received,
        Err(_) => never_answered(planned),
    };
    Some(CallerRecord {
        work: match is_call {
            true => Work::Call,
            false => Work::Completion,
        },
        idempotent: is_idempotent(planned.entry),
        whole: planned.entry == REPORT,
        key: name.map(|name| name.text().to_owned()),
        is_bare_key: matches!(name, Some(Named::Key(_))),
        instance,
        sent_us,
        ended_us: now_us(),
        left: received.left(),
        received,
    })
}

fn completion(planned: &Planned, name: Option<&Named>) -> CompletionCall {
    CompletionCall {
        entry: planned.entry.to_owned(),
        prompt: prompt(planned),
        stream: planned.entry != REPORT,
        idempotency_key: name.and_then(Named::key),
        ticket: name.and_then(Named::ticket),
        leave_after: planned.leave_after,
        ..CompletionCall::default()
    }
}

fn call(planned: &Planned, name: Option<&Named>) -> CallRequest {
    CallRequest {
        entry: planned.entry.to_owned(),
        body: prompt(planned),
        idempotency_key: name.and_then(Named::key),
        ticket: name.and_then(Named::ticket),
    }
}

fn prompt(planned: &Planned) -> String {
    format!("{} #len={}", planned.marker, planned.length)
}

fn never_answered(planned: &Planned) -> Received {
    let mut received = Received::new(&prompt(planned));
    received.ending = CallerEnding::Malformed {
        detail: format!("no end within {} s", ANSWER_LIMIT.as_secs()),
    };
    received
}
