//! A request of one of this process's own callers.

use crate::catalogue::{Catalogue, EntryId, EntryView, WorkspaceLimits};
use crate::cell::{CellRequest, ClassRules, Requirement, Running};
use crate::event::RequestArrival;
use crate::ids::{AttemptId, CellKey, EndpointKey, InstanceKey, RequestId, WorkspaceKey};
use crate::outcome::RequestOutcome;
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use std::sync::Arc;

/// Where a request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The shard that may hold its workspace is being fetched.
    Validating,
    /// The claim of its ticket or key was asked for.
    Claiming,
    /// A place in the limits of its entry and workspace was asked for.
    Admitting,
    /// It ended an endpoint, and waits until it runs nowhere else.
    AwaitingRunLease,
    /// A home was asked for a grant.
    Placing {
        /// The cell.
        cell: CellKey,
        /// The instance that was asked.
        home: InstanceKey,
    },
    /// Waits before it asks again.
    BackingOff {
        /// Until when.
        until: Time,
    },
    /// An attempt runs.
    Running {
        /// The cell.
        cell: CellKey,
        /// The instance that is told about its progress.
        home: InstanceKey,
        /// Where it runs.
        endpoint: EndpointKey,
        /// The attempt.
        attempt: AttemptId,
        /// Tokens of this attempt, as reported last.
        tokens: u32,
    },
}

/// How long past the class's longest wait a home may be silent before the
/// request is given up. The home refuses in time by itself; this only catches
/// a home that is linked but does not work.
const HOME_GRACE: Duration = Duration::from_secs(1);

impl Stage {
    /// Returns the tokens of the attempt that runs, as reported last.
    pub fn tokens(&self) -> u32 {
        match self {
            Stage::Running { tokens, .. } => *tokens,
            _ => 0,
        }
    }
}

/// A cell whose home refused, and what it said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    /// The cell.
    pub cell: CellKey,
    /// Why.
    pub reason: Reason,
    /// When it is worth coming back.
    pub retry_after: Duration,
    /// How long the request would have waited there.
    pub predicted_wait: Duration,
}

/// What the catalogue says about a request; fixed when it is accepted, so that
/// it is judged by one revision from start to end.
#[derive(Clone, Debug)]
pub(super) struct Facts {
    /// The revision that the request is judged by.
    pub catalogue: Arc<Catalogue>,
    /// The entry.
    pub entry: EntryId,
    /// The workspace.
    pub workspace: WorkspaceKey,
    /// What the workspace may take.
    pub workspace_limits: WorkspaceLimits,
    /// The class, as the cell's home needs it.
    pub class: ClassRules,
    /// What an endpoint must hold.
    pub needs: Requirement,
    /// Tokens of the prompt; 0 for a plain service.
    pub prompt_tokens: u32,
    /// The most tokens to generate; 0 for a plain service.
    pub max_tokens: u32,
}

impl Facts {
    /// Returns the entry with its class and target.
    pub fn view(&self) -> EntryView<'_> {
        self.catalogue.view(self.entry)
    }
}

/// A request of one of this process's own callers.
#[derive(Debug)]
pub(super) struct Request {
    /// What the caller asked for.
    pub arrival: RequestArrival,
    /// Since when its caller waits for a start: its arrival, or the moment at
    /// which the generation that it holds a part of was lost.
    pub waiting_since: Time,
    /// What the catalogue says; `None` only in [`Stage::Judging`].
    pub facts: Option<Facts>,
    /// Nothing may be sent for it after this point, when its claim is void.
    /// Work that may run twice has no such point: a long answer is replayed
    /// elsewhere long after its claim was asked for.
    pub claim_valid_until: Time,
    /// Where it stands.
    pub stage: Stage,
    /// What is known about whether it ran.
    pub outcome: RequestOutcome,
    /// Attempts so far.
    pub attempts: u32,
    /// When the answer to the present attempt began.
    pub response_started_at: Option<Time>,
    /// Tokens that the caller holds.
    pub delivered: u32,
    /// Endpoints where it failed.
    pub exclude: Vec<EndpointKey>,
    /// Homes that refused it since the last attempt.
    pub refusals: Vec<Refusal>,
    /// Every cell refused to start it within the class's wait target; now a
    /// longer wait is asked for.
    pub accepts_longer_wait: bool,
}

impl Request {
    /// Returns a request that nothing was decided about.
    pub fn new(arrival: RequestArrival, now: Time) -> Self {
        let outcome = RequestOutcome::of_arrival(&arrival);
        Request {
            arrival,
            waiting_since: now,
            facts: None,
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

    /// Returns the request's name.
    pub fn id(&self) -> RequestId {
        self.arrival.id
    }

    /// Returns when the request is given up if it has not started.
    pub fn start_deadline(&self) -> Time {
        self.waiting_since + self.longest_wait() + HOME_GRACE
    }

    /// Returns the longest that the request may wait for a start.
    pub fn longest_wait(&self) -> Duration {
        let class = self.facts.as_ref().map(|it| it.class.longest_wait);
        let class = class.unwrap_or(super::validate::CATALOGUE_TIMEOUT);
        self.arrival.patience.map_or(class, |it| it.min(class))
    }

    /// Returns what the home of a cell is asked.
    pub fn to_cell_request(&self, facts: &Facts) -> CellRequest {
        let mut class = facts.class;
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
            entry: facts.view().entry.key,
            workspace: facts.workspace,
            class,
            arrived: self.waiting_since,
            prompt_tokens: facts.prompt_tokens,
            max_tokens: facts.max_tokens,
            prefix,
            exclude: self.exclude.clone(),
            replay_tokens: self.delivered,
            needs: facts.needs,
        }
    }

    /// Returns what a new home is told, if the request runs in `cell`.
    pub fn to_running(&self, in_cell: CellKey) -> Option<Running> {
        let facts = self.facts.as_ref()?;
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
            entry: facts.view().entry.key,
            workspace: facts.workspace,
            class: facts.class,
            prompt_tokens: facts.prompt_tokens,
            max_tokens: facts.max_tokens,
            tokens,
        })
    }
}
