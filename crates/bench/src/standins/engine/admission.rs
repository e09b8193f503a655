//! What becomes of a completion that arrives.

use super::fault::{self, Fault, FaultRule};
use super::generation::Generation;
use super::options::EngineArgs;
use super::state::State;
use crate::engine_model::Job;
use crate::standins::http::Refusal;
use crate::standins::journal::Fact;
use crate::standins::text;
use oriolemux::callers::prefix::prefix_hashes;
use oriolemux_core::time::Time;
use serde::Deserialize;
use std::time::Instant;

/// A completion as an instance asks for it.
#[derive(Clone, Debug, Deserialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The adapter, if any.
    #[serde(default)]
    pub adapter: Option<String>,
    /// The prompt.
    pub prompt: String,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The priority; 0 is the most urgent.
    #[serde(default)]
    pub priority: u8,
    /// The request's id.
    pub request_id: String,
    /// The attempt's id.
    pub attempt_id: String,
}

/// What becomes of a completion that was asked for.
#[derive(Debug)]
pub enum Admission {
    /// It is refused definitely.
    Refused(Refusal),
    /// It can never run: the prompt is larger than the memory.
    TooLarge,
    /// It runs, but the answer is an error that says nothing about it.
    Hidden,
    /// It runs; the fault, if any, will strike its stream.
    Taken(Option<FaultRule>),
}

/// Takes a completion in or refuses it.
pub fn arrive(
    state: &mut State,
    args: &EngineArgs,
    now: Time,
    req: &CompletionRequest,
) -> Admission {
    let attempt = req.attempt_id.clone();
    state.journal.push(Fact::Arrived {
        attempt: attempt.clone(),
        request: req.request_id.clone(),
        prompt: req.prompt.clone(),
        priority: req.priority,
    });
    if let Some(reason) = refusal(state, req) {
        state.journal.push(Fact::Refused { attempt, reason });
        return Admission::Refused(reason);
    }
    if state.held.contains_key(&attempt) {
        // The second arrival stays in the journal, where a checker sees the repeat.
        return Admission::Hidden;
    }
    if text::prompt_tokens(&req.prompt) >= args.kv_tokens() {
        return Admission::TooLarge;
    }
    accept(state, args, now, req);
    if take_fault(state, req, |f| f == Fault::ServerError).is_some() {
        return Admission::Hidden;
    }
    Admission::Taken(take_fault(state, req, |fault| !fault.is_refusal()))
}

fn refusal(state: &mut State, req: &CompletionRequest) -> Option<Refusal> {
    if state.leaving || take_fault(state, req, |f| f == Fault::RefuseLeaving).is_some() {
        return Some(Refusal::Leaving);
    }
    if take_fault(state, req, |f| f == Fault::RefuseBusy).is_some() {
        return Some(Refusal::Busy);
    }
    let loaded = state.holdings.serves(&req.model, req.adapter.as_deref());
    (!loaded).then_some(Refusal::NotLoaded)
}

fn take_fault(
    state: &mut State,
    req: &CompletionRequest,
    wanted: impl Fn(Fault) -> bool,
) -> Option<FaultRule> {
    let rule = fault::take(&mut state.faults, &req.prompt, wanted)?;
    state.journal.push(Fact::Fault {
        attempt: req.attempt_id.clone(),
        fault: format!("{:?}", rule.fault),
    });
    Some(rule)
}

/// From here on the completion counts as run: nobody outside the engine could
/// know that it did not.
fn accept(state: &mut State, args: &EngineArgs, now: Time, req: &CompletionRequest) {
    let generation = new_generation(state, args, req);
    state.journal.push(Fact::Accepted {
        attempt: generation.attempt.clone(),
        seed: generation.seed,
        length: generation.length,
    });
    let job = Job {
        id: generation.job,
        prompt_tokens: generation.prompt_tokens,
        prefix: prefix_hashes(req.prompt.as_bytes()),
        output_tokens: generation.length,
        priority: req.priority,
        ..Job::default()
    };
    // The prompt's size was checked before, the only thing that the model refuses.
    let taken = state.model.submit(now, job);
    debug_assert!(taken.is_ok());
    state
        .attempts
        .insert(generation.job, generation.attempt.clone());
    state.held.insert(generation.attempt.clone(), generation);
}

fn new_generation(state: &mut State, args: &EngineArgs, req: &CompletionRequest) -> Generation {
    let seed = args.sampling.seed(&req.model, &req.prompt, &req.attempt_id);
    let prompt_tokens = text::prompt_tokens(&req.prompt);
    let natural = text::natural_length(seed, &req.prompt).max(1);
    let room = args.kv_tokens().saturating_sub(prompt_tokens);
    let length = natural.min(req.max_tokens.max(1)).min(room);
    state.next_job += 1;
    Generation {
        attempt: req.attempt_id.clone(),
        job: state.next_job,
        seed,
        prompt_tokens,
        length,
        cut_by_limit: natural > length,
        generated: 0,
        ended_at: None,
        listeners: 0,
        unheard_since: Some(Instant::now()),
    }
}
