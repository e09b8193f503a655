//! A request of one of this process's own callers.

use crate::catalogue::{Catalogue, EntryId, EntryView, WorkspaceLimits};
use crate::cell::{CellRequest, ClassRules, Requirement, Running};
use crate::event::RequestArrival;
use crate::ids::{AttemptId, CellKey, EndpointKey, InstanceKey, RequestId, WorkspaceKey};
use crate::keys::HolderState;
use crate::outcome::{Ran, RequestOutcome, Verdict};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use std::sync::Arc;

/// The stage of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Waits for the shard that may hold its workspace.
    Validating,
    /// Waits for the claim of its ticket or key.
    Claiming,
    /// Waits for admission within the limits of its entry and workspace.
    Admitting,
    /// Waits for a run lease, because it may have crashed an endpoint and must not run elsewhere at
    /// the same time.
    AwaitingRunLease,
    /// Waits for a grant from a home.
    Placing {
        /// The cell.
        cell: CellKey,
        /// The instance that received the grant request.
        home: InstanceKey,
    },
    /// Waits before it requests a grant again.
    BackingOff {
        /// Until when.
        until: Time,
    },
    /// An attempt runs.
    Running {
        /// The cell.
        cell: CellKey,
        /// The instance that receives its progress.
        home: InstanceKey,
        /// Where it runs.
        endpoint: EndpointKey,
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of this attempt at the last checkpoint.
        tokens: u32,
    },
}

/// How long beyond the longest wait a request waits for an answer of a home before it is given up.
/// The home refuses in time by itself; this only catches a home that is linked but does not work.
const HOME_GRACE: Duration = Duration::from_secs(1);

impl Stage {
    /// Returns the tokens of the running attempt at its last checkpoint.
    pub fn tokens(&self) -> u32 {
        match self {
            Stage::Running { tokens, .. } => *tokens,
            _ => 0,
        }
    }
}

/// A refusal by the home of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// The cell.
    pub cell: CellKey,
    /// Why.
    pub reason: Reason,
    /// The delay before a retry.
    pub retry_after: Duration,
    /// How long the request would have waited there.
    pub predicted_wait: Duration,
}

/// What the catalogue defines for a request. Fixed when the request is accepted, so that one
/// revision applies from start to end.
#[derive(Clone, Debug)]
pub(super) struct RequestSpec {
    /// The revision that applies to the request.
    pub catalogue: Arc<Catalogue>,
    /// The entry.
    pub entry: EntryId,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// The limits of the workspace.
    pub workspace_limits: WorkspaceLimits,
    /// The rules of the class that the home of a cell needs.
    pub class: ClassRules,
    /// What an endpoint must have loaded.
    pub needs: Requirement,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// Maximum number of tokens to generate; 0 for a plain service.
    pub max_tokens: u32,
}

impl RequestSpec {
    /// Returns the entry with its class and target.
    pub fn view(&self) -> EntryView<'_> {
        self.catalogue.view(self.entry)
    }
}

/// A request of one of this process's own callers.
#[derive(Debug)]
pub(super) struct Request {
    /// The request as it arrived.
    pub arrival: RequestArrival,
    /// Since when the caller waits for a start: the arrival, or the time at which a generation was
    /// lost of which the caller holds a part.
    pub waiting_since: Time,
    /// What the catalogue defines for it; `None` only in [`Stage::Validating`].
    pub spec: Option<RequestSpec>,
    /// Nothing may be sent for the request after this time, because its claim is void then.
    /// Idempotent work has no such time: a long generation is replayed elsewhere long after its
    /// claim was requested.
    pub claim_valid_until: Time,
    /// The current stage.
    pub stage: Stage,
    /// What is known about whether it ran. Private, so that no outcome is stated without looking at
    /// [`claim_valid_until`](Self::claim_valid_until).
    outcome: RequestOutcome,
    /// Number of attempts so far.
    pub attempts: u32,
    /// When the response to the current attempt started.
    pub response_started_at: Option<Time>,
    /// Tokens delivered to the caller.
    pub delivered: u32,
    /// Endpoints where an attempt failed.
    pub exclude: Vec<EndpointKey>,
    /// Cells that refused it since the last attempt.
    pub refusals: Vec<Refusal>,
    /// Whether every cell has refused to start it within the class's wait target, so that a longer
    /// wait is now acceptable.
    pub accepts_longer_wait: bool,
}

impl Request {
    /// Returns a request in its first stage.
    pub fn new(arrival: RequestArrival, now: Time) -> Self {
        let outcome = RequestOutcome::of_arrival(&arrival);
        Request {
            arrival,
            waiting_since: now,
            spec: None,
            claim_valid_until: Time::NEVER,
            stage: Stage::Validating,
            outcome,
            attempts: 0,
            response_started_at: None,
            delivered: 0,
            exclude: Vec::new(),
            refusals: Vec::new(),
            accepts_longer_wait: false,
        }
    }

    /// Returns the request's ID.
    pub fn id(&self) -> RequestId {
        self.arrival.id
    }

    /// Records that the claim was granted: no earlier request under the name ran.
    pub fn on_claim_granted(&mut self) {
        self.outcome.on_claim_granted();
    }

    /// Records that an attempt is handed to the shell.
    pub fn on_dispatch(&mut self, attempt: AttemptId) {
        self.outcome.on_dispatch(attempt);
    }

    /// Records the end of an attempt.
    pub fn on_ended(&mut self, attempt: AttemptId, ran: Ran) {
        self.outcome.on_ended(attempt, ran);
    }

    /// Returns what is known at `now` about whether the request, or another one under its name, ran.
    /// Once its claim has expired another one may have been granted the name.
    pub fn outcome_at(&self, now: Time) -> RequestOutcome {
        let mut outcome = self.outcome.clone();
        if now >= self.claim_valid_until {
            outcome.on_claim_voided();
        }
        outcome
    }

    /// Returns the final response with the strongest outcome that is proven at `now`.
    pub fn verdict_at(&self, now: Time, reason: Reason, retry_after: Option<Duration>) -> Verdict {
        let outcome = self.outcome_at(now);
        outcome.finish(reason, retry_after, self.delivered)
    }

    /// Returns what the home of its claim is told about an incomplete request. That concerns this
    /// request alone, so that one of which nothing was sent frees its name, expired or not.
    pub fn claim_state(&self, reason: Reason) -> HolderState {
        let verdict = self.outcome.finish(reason, None, self.delivered);
        HolderState::of(Some(&verdict))
    }

    /// Returns when the request is given up unless it has started.
    pub fn start_deadline(&self) -> Time {
        self.waiting_since + self.longest_wait() + HOME_GRACE
    }

    /// Returns the longest time that the request may wait for a start.
    pub fn longest_wait(&self) -> Duration {
        let class = self.spec.as_ref().map(|it| it.class.longest_wait);
        let class = class.unwrap_or(super::validate::CATALOGUE_TIMEOUT);
        self.arrival.patience.map_or(class, |it| it.min(class))
    }

    /// Returns the request that the home of a cell receives.
    pub fn to_cell_request(&self, spec: &RequestSpec) -> CellRequest {
        let mut class = spec.class;
        class.longest_wait = if self.accepts_longer_wait {
            self.longest_wait()
        } else {
            self.longest_wait().min(class.wait_target)
        };
        let prefix = match &self.arrival.work {
            crate::event::Work::Completion { prefix, .. } => prefix.clone(),
            crate::event::Work::Call => Vec::new(),
        };
        CellRequest {
            id: self.id(),
            entry: spec.view().entry.key,
            workspace: spec.workspace,
            class,
            arrived: self.waiting_since,
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
            prefix,
            exclude: self.exclude.clone(),
            replay_tokens: self.delivered,
            needs: spec.needs,
        }
    }

    /// Returns the report for a new home, if the request runs in `in_cell`.
    pub fn to_running(&self, in_cell: CellKey) -> Option<Running> {
        let spec = self.spec.as_ref()?;
        let Stage::Running {
            cell,
            endpoint,
            tokens,
            ..
        } = self.stage
        else {
            return None;
        };
        (cell == in_cell).then(|| Running {
            id: self.id(),
            endpoint,
            entry: spec.view().entry.key,
            workspace: spec.workspace,
            class: spec.class,
            prompt_tokens: spec.prompt_tokens,
            max_tokens: spec.max_tokens,
            tokens,
        })
    }
}
