//! What truly ran, and whether callers were told the truth about it.

use super::evidence::{CallerRecord, EndpointRecord, Evidence, Work};
use super::{Promise, Violations};
use crate::load::CallerEnding;
use crate::standins::journal::{Entry, Fact};
use std::collections::{BTreeMap, BTreeSet};

/// One attempt that an endpoint took in.
#[derive(Clone, Debug)]
pub struct Run {
    /// The endpoint.
    pub endpoint: String,
    /// The attempt's id.
    pub attempt: String,
    /// The request's id, as the instance sent it.
    pub request: String,
    /// The seed of its text.
    pub seed: u64,
    /// Tokens of its whole answer.
    pub length: u32,
    /// When it was taken in.
    pub accepted_us: u64,
    /// When it ended, if it did.
    pub ended_us: Option<u64>,
}

/// Every attempt that an endpoint took in, by prompt.
#[derive(Debug, Default)]
pub struct Runs(BTreeMap<String, Vec<Run>>);

impl Runs {
    /// Gathers the runs of all endpoints.
    pub fn of(evidence: &Evidence) -> Self {
        let mut runs = Runs::default();
        for endpoint in &evidence.endpoints {
            let mut arrived = BTreeMap::new();
            for entry in &endpoint.entries {
                match &entry.fact {
                    Fact::Arrived {
                        attempt,
                        request,
                        prompt,
                        ..
                    } => {
                        arrived.insert(attempt.as_str(), (request, prompt));
                    }
                    Fact::Accepted {
                        attempt,
                        seed,
                        length,
                    } => {
                        if let Some((request, prompt)) = arrived.get(attempt.as_str()) {
                            runs.0.entry((*prompt).clone()).or_default().push(Run {
                                endpoint: endpoint.name.clone(),
                                attempt: attempt.clone(),
                                request: (*request).clone(),
                                seed: *seed,
                                length: *length,
                                accepted_us: entry.at_us,
                                ended_us: end_of(endpoint, attempt),
                            });
                        }
                    }
                    _ => {}
                }
            }
        }
        runs
    }

    /// Returns the runs of a prompt.
    pub fn of_prompt(&self, prompt: &str) -> &[Run] {
        self.0.get(prompt).map_or(&[], Vec::as_slice)
    }

    /// Returns all runs of other prompts.
    pub fn of_others<'a>(&'a self, prompt: &'a str) -> impl Iterator<Item = (&'a str, &'a Run)> {
        let others = self.0.iter().filter(move |(other, _)| *other != prompt);
        others.flat_map(|(other, runs)| runs.iter().map(move |run| (other.as_str(), run)))
    }
}

fn end_of(endpoint: &EndpointRecord, ended: &str) -> Option<u64> {
    let is_end =
        |entry: &&Entry| matches!(&entry.fact, Fact::Ended { attempt, .. } if attempt == ended);
    endpoint
        .entries
        .iter()
        .find(is_end)
        .map(|entry| entry.at_us)
}

/// A request that its caller was told did not run must have run nowhere.
///
/// Submissions that share a key share a prompt as well, so they are told apart
/// by the request's name; all others by their prompt, which leans on nothing
/// that the product says.
pub fn check_claim(caller: &CallerRecord, runs: &Runs, found: &mut Violations) {
    if caller.received.outcome() != Some("not_run") {
        return;
    }
    let runs = runs.of_prompt(&caller.received.prompt).iter();
    let own = |run: &&Run| match (&caller.key, &caller.received.request) {
        (Some(_), Some(name)) => run.request == *name,
        (Some(_), None) => false,
        (None, _) => true,
    };
    if let Some(run) = runs.clone().find(own) {
        let detail = format!(
            "{} was told \"not run\" but {} took it in as {}",
            caller.received.prompt, run.endpoint, run.attempt
        );
        found.push(Promise::NotRunIsTrue, detail);
    }
}

/// Work that may not be repeated must have run at most once, over all
/// submissions with the same prompt. Under a bare key that holds until the
/// outcome of the first run is forgotten, a stated time after its end.
pub fn check_at_most_once(evidence: &Evidence, runs: &Runs, found: &mut Violations) {
    let once = evidence.callers.iter().filter(|caller| !caller.idempotent);
    let by_prompt: BTreeMap<&str, bool> = once
        .map(|caller| (caller.received.prompt.as_str(), caller.is_bare_key))
        .collect();
    for (prompt, is_bare_key) in by_prompt {
        let mut ran: Vec<&Run> = runs.of_prompt(prompt).iter().collect();
        ran.sort_by_key(|run| run.accepted_us);
        let remembered = |first: &Run, second: &Run| {
            let end = first.ended_us.unwrap_or(u64::MAX);
            !is_bare_key || second.accepted_us < end.saturating_add(evidence.key_memory_us)
        };
        if ran.windows(2).any(|pair| remembered(pair[0], pair[1])) {
            let attempts: Vec<&str> = ran.iter().map(|run| run.attempt.as_str()).collect();
            found.push(Promise::AtMostOnce, format!("{prompt} ran as {attempts:?}"));
        }
    }
}

/// Nothing may run that no caller asked for.
pub fn check_asked_for(evidence: &Evidence, runs: &Runs, found: &mut Violations) {
    let prompts = evidence.callers.iter().map(|c| c.received.prompt.as_str());
    let asked: BTreeSet<&str> = prompts.collect();
    for prompt in runs.0.keys().filter(|p| !asked.contains(p.as_str())) {
        found.push(
            Promise::Accounted,
            format!("{prompt} ran but was not asked for"),
        );
    }
}

/// Every request must end with an answer or a typed error, unless its caller
/// left or its instance was killed meanwhile.
pub fn check_ending(caller: &CallerRecord, evidence: &Evidence, found: &mut Violations) {
    let detail = match &caller.received.ending {
        CallerEnding::Complete { .. } => return,
        CallerEnding::Error {
            reason, outcome, ..
        } => {
            let known = is_known_outcome(outcome, caller.work)
                || (outcome == "complete" && first_is_complete(caller, evidence));
            if !reason.is_empty() && known {
                return;
            }
            format!("untyped error, reason {reason:?}, outcome {outcome:?}")
        }
        CallerEnding::Broken { detail, .. } => {
            if caller.left || was_down(caller, evidence) {
                return;
            }
            format!("broken without a word: {detail}")
        }
        CallerEnding::Malformed { detail } => format!("malformed answer: {detail}"),
    };
    let prompt = &caller.received.prompt;
    let instance = &caller.instance;
    found.push(
        Promise::Accounted,
        format!("{prompt} through {instance}: {detail}"),
    );
}

fn is_known_outcome(outcome: &str, work: Work) -> bool {
    match work {
        Work::Completion => matches!(outcome, "not_run" | "unknown" | "partial"),
        Work::Call => matches!(outcome, "not_run" | "unknown"),
    }
}

/// A repeat under a key may be told that the request is complete, if another
/// submission under that key has the answer, or lost it with its connection.
fn first_is_complete(caller: &CallerRecord, evidence: &Evidence) -> bool {
    let same = |other: &&CallerRecord| {
        caller.key.is_some() && other.key == caller.key && !std::ptr::eq(*other, caller)
    };
    let mut others = evidence.callers.iter().filter(same);
    others.any(|other| {
        matches!(
            other.received.ending,
            CallerEnding::Complete { .. } | CallerEnding::Broken { .. }
        )
    })
}

fn was_down(caller: &CallerRecord, evidence: &Evidence) -> bool {
    let outages = evidence.outages.iter();
    outages
        .filter(|outage| outage.instance == caller.instance)
        .any(|outage| caller.sent_us <= outage.until_us && outage.from_us <= caller.ended_us)
}
