//! Checks a new request against the catalogue.

use super::Node;
use super::request::{Request, RequestSpec, Stage};
use super::stop::StopPhase;
use super::timers::TimerKind;
use crate::catalogue::sync::Lookup;
use crate::catalogue::{EntryView, TargetView, Workspace};
use crate::cell::{ClassRules, Requirement};
use crate::event::{Action, RequestArrival, Work};
use crate::explain::Step;
use crate::outcome::RequestOutcome;
use crate::reason::Reason;
use core::time::Duration;

/// How long a new request waits for the shard that may hold its workspace.
pub(super) const CATALOGUE_TIMEOUT: Duration = Duration::from_secs(5);

/// Retry delay for a caller whose request reached an instance that is not ready.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Output tokens of a request if neither the request nor the entry names a limit.
const DEFAULT_MAX_TOKENS: u32 = 1_024;

impl Node {
    /// Accepts a new request, or refuses it.
    pub(super) fn on_arrival(&mut self, arrival: RequestArrival) {
        debug_assert!(!self.requests.contains_key(&arrival.id.seq));
        if let Err(reason) = self.check_accepting() {
            let outcome = RequestOutcome::of_arrival(&arrival);
            let verdict = outcome.finish(reason, Some(RETRY_AFTER), 0);
            self.note_verdict(arrival.id, verdict.outcome(), reason);
            self.out.push(Action::Finish {
                request: arrival.id,
                verdict,
            });
            return;
        }
        let seq = arrival.id.seq;
        self.budget.on_request(self.now);
        self.requests.insert(seq, Request::new(arrival, self.now));
        self.timers
            .set(self.now + CATALOGUE_TIMEOUT, TimerKind::Request(seq));
        self.validate(seq);
    }

    fn check_accepting(&self) -> Result<(), Reason> {
        if self.stop_phase == StopPhase::Draining {
            return Err(Reason::Stopping);
        }
        if self.requests.len() >= self.cfg.max_requests {
            return Err(Reason::InstanceFull);
        }
        match self.sync.catalogue() {
            Some(_) => Ok(()),
            None => Err(Reason::NoCatalogue),
        }
    }

    /// Validates a request, unless the shard that it needs is still being fetched.
    pub(super) fn validate(&mut self, seq: u64) {
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let digest = request.arrival.key_digest;
        let workspace = match self.sync.lookup(self.now, &digest) {
            Lookup::Found(workspace) => workspace.clone(),
            Lookup::Unknown => return self.refuse(seq, Reason::BadKey),
            Lookup::NoCatalogue | Lookup::Unavailable(_) => {
                return self.refuse(seq, Reason::NoCatalogue);
            }
            Lookup::Missing(shard) => {
                return self.with_sync(|sync, now, out| sync.want_shard(now, shard, out));
            }
        };
        match self.resolve_spec(seq, &workspace) {
            Ok(spec) => {
                self.record_accepted(seq, &spec);
                if let Some(request) = self.requests.get_mut(&seq) {
                    request.spec = Some(spec);
                }
                self.begin_run(seq);
                if !self.begin_claim(seq) {
                    self.begin_admission(seq);
                }
            }
            Err(reason) => self.refuse(seq, reason),
        }
    }

    fn record_accepted(&mut self, seq: u64, spec: &RequestSpec) {
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let step = Step::Accepted {
            entry: request.arrival.entry.clone(),
            catalogue_revision: spec.catalogue.revision(),
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
        };
        self.record(request.id(), step);
    }

    /// Validates every request that waits for a shard. Those whose shard cannot be fetched are
    /// refused.
    pub(super) fn validate_waiting(&mut self) {
        self.resolve_tickets();
        let waiting = self.requests.iter();
        let waiting = waiting.filter(|(_, it)| it.stage == Stage::Validating);
        let waiting: Vec<u64> = waiting.map(|(&seq, _)| seq).collect();
        for seq in waiting {
            self.validate(seq);
        }
    }

    fn resolve_spec(&self, seq: u64, workspace: &Workspace) -> Result<RequestSpec, Reason> {
        let catalogue = self.sync.catalogue().ok_or(Reason::NoCatalogue)?;
        let arrival = &self.requests[&seq].arrival;
        let view = catalogue
            .entry(&arrival.entry)
            .ok_or(Reason::UnknownEntry)?;
        if !workspace.allows(view.entry.key) {
            return Err(Reason::EntryForbidden);
        }
        let (prompt_tokens, max_tokens) = tokens_of(&arrival.work, &view)?;
        Ok(RequestSpec {
            entry: view.id,
            workspace: workspace.key,
            workspace_limits: workspace.limits,
            class: class_rules(&view),
            needs: requirement(&view),
            prompt_tokens,
            max_tokens,
            catalogue: catalogue.clone(),
        })
    }
}

/// Returns the prompt's tokens and the maximum number of tokens to generate.
fn tokens_of(work: &Work, view: &EntryView<'_>) -> Result<(u32, u32), Reason> {
    match (work, view.target.is_service()) {
        (Work::Call, true) => Ok((0, 0)),
        (
            Work::Completion {
                prompt_tokens,
                max_tokens,
                ..
            },
            false,
        ) => {
            let limits = &view.entry.limits;
            if *prompt_tokens > limits.prompt_tokens {
                return Err(Reason::PromptTooLong);
            }
            let most = match limits.output_tokens {
                0 => DEFAULT_MAX_TOKENS,
                limit => limit,
            };
            Ok((*prompt_tokens, max_tokens.unwrap_or(most).min(most)))
        }
        _ => Err(Reason::BadRequest),
    }
}

/// Returns the rules of the class that the home of a cell needs.
fn class_rules(view: &EntryView<'_>) -> ClassRules {
    let class = view.class;
    ClassRules {
        key: class.key,
        urgency: class.urgency,
        wait_target: class.wait_target,
        longest_wait: class.longest_wait,
        idempotent: class.idempotent,
        preemption_risk: class.preemption_risk as f32,
    }
}

/// Returns what an endpoint must have loaded to serve the entry.
fn requirement(view: &EntryView<'_>) -> Requirement {
    match view.target {
        TargetView::Model { model, adapter } => {
            Requirement::new(&model.name, Some(&model.version), adapter)
        }
        TargetView::Service(_) => Requirement::ANY,
    }
}
