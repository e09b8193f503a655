//! Chooses a cell for a request, requests a grant from the cell's home and handles the answer.
//!
//! A request is first offered to every cell that serves it, nearest first, on condition that it
//! starts within its class's wait target. Only when all have refused does it accept the longest
//! wait, at the cell that predicted the shortest. So one crowded cell does not keep a request that
//! another could start at once. See `docs/design/placement.md`.

use super::Node;
use super::request::{Refusal, Request, Stage};
use super::timers::TimerKind;
use crate::cell::message::{Grant, GrantRequest, Refused};
use crate::cell::{CellMessage, EndKind};
use crate::event::PeerId;
use crate::explain::Step;
use crate::ids::{CellKey, InstanceKey, RequestId};
use crate::membership::EndpointState;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use core::time::Duration;
use rand::Rng;

/// How long a request waits before it may retry an endpoint where it failed.
const EXCLUDED_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Returns whether a refusal concerns only the cell that gave it, so that another cell may grant
/// the request.
fn is_local(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::WaitTooLong
            | Reason::WaitExpired
            | Reason::QueueFull
            | Reason::NoEndpoint
            | Reason::HomeSilent
    )
}

impl Node {
    /// Starts the placement of a request.
    pub(super) fn begin_placement(&mut self, seq: u64) {
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        let at = request.start_deadline();
        self.timers.set(at, TimerKind::Request(seq));
        self.request_next_cell(seq);
    }

    /// Requests a grant from the next cell that has not refused yet, or gives up.
    pub(super) fn request_next_cell(&mut self, seq: u64) {
        if !self.may_be_sent(seq) {
            return;
        }
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let cell = match self.nearest_untried_cell(request) {
            Some(cell) => cell,
            None if request.accepts_longer_wait || request.refusals.is_empty() => {
                return self.finish_with_cell_refusal(seq);
            }
            None => match self.shortest_wait_cell(request) {
                Some(cell) => cell,
                None => return self.finish_with_cell_refusal(seq),
            },
        };
        self.request_grant(seq, cell);
    }

    /// Returns the nearest cell that has not refused the request in this round.
    fn nearest_untried_cell(&self, request: &Request) -> Option<CellKey> {
        let spec = request.spec.as_ref()?;
        let own = self.membership.own_data_centre();
        let name = spec.view().target.name().to_owned();
        let cells = self.membership.cells_serving(&name, own);
        let fresh = |cell: CellKey| !request.refusals.iter().any(|it| it.cell == cell);
        let mut open = cells.iter().filter(|it| fresh(it.plan.key)).peekable();
        let nearest = open.peek()?.data_centre;
        let level: Vec<CellKey> = open
            .take_while(|it| it.data_centre == nearest)
            .map(|it| it.plan.key)
            .collect();
        // Cells of one data centre are equivalent. Starting at a different one for each request
        // spreads the load without any exchange of load figures.
        let pick = crate::rendezvous::score(request.id().seq, self.me.instance.0);
        level.get((pick % level.len() as u64) as usize).copied()
    }

    /// Returns the cell that predicted the shortest wait, if any predicted one that the request
    /// accepts.
    fn shortest_wait_cell(&self, request: &Request) -> Option<CellKey> {
        let queues = request.refusals.iter().filter(|it| {
            matches!(it.reason, Reason::WaitTooLong | Reason::WaitExpired)
                && it.predicted_wait <= request.longest_wait()
        });
        queues.min_by_key(|it| it.predicted_wait).map(|it| it.cell)
    }

    fn request_grant(&mut self, seq: u64, cell: CellKey) {
        let Some(home) = self.membership.home_of_cell(cell) else {
            return self.refuse(seq, Reason::NoEndpoint);
        };
        let now = self.now;
        let Some(request) = self.requests.get_mut(&seq) else {
            return;
        };
        request.accepts_longer_wait |= request.refusals.iter().any(|it| it.cell == cell);
        request.stage = Stage::Placing { cell, home };
        let Some(spec) = &request.spec else {
            debug_assert!(false, "a request is validated before it is placed");
            return;
        };
        let grant_request = GrantRequest::from_request(cell, &request.to_cell_request(spec), now);
        let id = request.id();
        self.record(id, Step::GrantRequested { cell, home });
        self.send(
            home,
            PeerMessage::Cell(CellMessage::Request(Box::new(grant_request))),
        );
    }

    /// Handles a grant from a home.
    pub(super) fn on_grant(&mut self, from: PeerId, grant: &Grant) {
        let Some(request) = self.requests.get(&grant.seq) else {
            return self.withdraw_at(from.instance, grant.seq);
        };
        let Stage::Placing { cell, home } = request.stage else {
            // A late grant from a home that received the request earlier. Its lease would reserve KV cache
            // that nobody uses.
            if !matches!(request.stage, Stage::Running { home, .. } if home == from.instance) {
                self.withdraw_at(from.instance, grant.seq);
            }
            return;
        };
        if home != from.instance {
            return self.withdraw_at(from.instance, grant.seq);
        }
        let in_cell = self.membership.endpoints_of_cell(cell);
        let is_known = in_cell.contains(&grant.endpoint);
        let state = self.membership.endpoint_state(grant.endpoint);
        if !is_known || state != EndpointState::Live {
            // This node already knows that the endpoint is leaving; the home does not. Requesting
            // again without it keeps the request off an endpoint that leaves.
            if let Some(request) = self.requests.get_mut(&grant.seq) {
                request.exclude.push(grant.endpoint);
            }
            return self.request_grant(grant.seq, cell);
        }
        self.dispatch(grant.seq, cell, home, grant);
    }

    /// Handles a refusal from a home.
    pub(super) fn on_refused(&mut self, from: PeerId, refused: &Refused) {
        let Some(request) = self.requests.get_mut(&refused.seq) else {
            return;
        };
        let Stage::Placing { cell, home } = request.stage else {
            return;
        };
        if home != from.instance {
            return;
        }
        request.refusals.retain(|it| it.cell != cell);
        request.refusals.push(Refusal {
            cell,
            reason: refused.reason,
            retry_after: Duration::from_millis(refused.retry_after_ms.into()),
            predicted_wait: Duration::from_millis(refused.predicted_wait_ms.into()),
        });
        let step = Step::CellRefused {
            cell,
            reason: refused.reason,
            predicted_wait: Duration::from_millis(refused.predicted_wait_ms.into()),
            record: Box::new(refused.record.clone()),
        };
        let id = request.id();
        self.record(id, step);
        match is_local(refused.reason) {
            true => self.request_next_cell(refused.seq),
            false => self.finish_with_cell_refusal(refused.seq),
        }
    }

    /// Sends pending requests again whose cell has moved to another home.
    pub(super) fn rerequest_from_moved_homes(&mut self) {
        let mut moved: Vec<(u64, CellKey, InstanceKey)> = Vec::new();
        for (&seq, request) in &self.requests {
            if let Stage::Placing { cell, home } = request.stage
                && self.membership.home_of_cell(cell) != Some(home)
            {
                moved.push((seq, cell, home));
            }
        }
        for (seq, cell, old) in moved {
            self.withdraw_from_old_home(old, seq);
            match self.membership.view().cell(cell) {
                Some(_) => self.request_grant(seq, cell),
                None => self.request_next_cell(seq),
            }
        }
    }

    /// Sends again all requests that are pending at `home`, which has lost them or may never have
    /// received them.
    pub(super) fn rerequest_from(&mut self, home: InstanceKey) {
        let pending = self
            .requests
            .iter()
            .filter_map(|(&seq, it)| match it.stage {
                Stage::Placing { cell, home: at } if at == home => Some((seq, cell)),
                _ => None,
            });
        for (seq, cell) in pending.collect::<Vec<_>>() {
            self.request_grant(seq, cell);
        }
    }

    pub(super) fn withdraw_at(&mut self, home: InstanceKey, seq: u64) {
        let message = CellMessage::Withdraw(vec![seq]);
        self.send(home, PeerMessage::Cell(message));
    }

    /// Handles the timer of a request.
    pub(super) fn on_request_timer(&mut self, seq: u64) {
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let over = self.now >= request.start_deadline();
        let is_void = self.now >= request.claim_valid_until;
        match request.stage {
            Stage::Validating
                if self.now >= request.waiting_since + super::validate::CATALOGUE_TIMEOUT =>
            {
                self.refuse(seq, Reason::NoCatalogue);
            }
            Stage::AwaitingRunLease
            | Stage::Admitting
            | Stage::Placing { .. }
            | Stage::BackingOff { .. }
                if is_void =>
            {
                self.refuse(seq, Reason::PausedTooLong);
            }
            Stage::AwaitingRunLease if over => self.refuse(seq, Reason::NoRunLease),
            Stage::Placing { .. } | Stage::Admitting if over => {
                self.refuse(seq, Reason::HomeSilent);
            }
            Stage::BackingOff { until } if self.now >= until => self.request_next_cell(seq),
            _ => {}
        }
    }

    /// If only the endpoints where the request failed are left, allows them again after a delay. An
    /// endpoint that dropped a connection is often back within a second, and where a cell has one
    /// endpoint there is no other. Returns whether it does so; [`crate::retry`] bounds the number
    /// of attempts.
    fn retry_excluded_endpoints(&mut self, seq: u64) -> bool {
        let until = self.now + EXCLUDED_RETRY_DELAY;
        let Some(request) = self.requests.get_mut(&seq) else {
            return false;
        };
        let none_left = request
            .refusals
            .iter()
            .all(|it| it.reason == Reason::NoEndpoint);
        if !none_left || request.exclude.is_empty() || until >= request.start_deadline() {
            return false;
        }
        request.exclude.clear();
        request.refusals.clear();
        request.stage = Stage::BackingOff { until };
        self.timers.set(until, TimerKind::Request(seq));
        true
    }

    /// Ends a request that every cell refused, with the reason of the cell that names the shortest
    /// delay before a retry.
    fn finish_with_cell_refusal(&mut self, seq: u64) {
        if self.retry_excluded_endpoints(seq) {
            return;
        }
        let Some(request) = self.requests.get(&seq) else {
            return;
        };
        let best = request.refusals.iter().min_by_key(|it| it.retry_after);
        match best.copied() {
            Some(best) => self.finish(seq, best.reason, Some(best.retry_after)),
            None => self.refuse(seq, Reason::NoEndpoint),
        }
    }

    /// Ends a request with the strongest outcome that its attempts prove.
    pub(super) fn refuse(&mut self, seq: u64, reason: Reason) {
        use crate::reason::ReasonGroup;
        let retry_after = match reason.group() {
            ReasonGroup::Limit | ReasonGroup::Failure => {
                Some(Duration::from_millis(self.rng.random_range(1_000..3_000)))
            }
            ReasonGroup::Input | ReasonGroup::Discard => None,
        };
        self.finish(seq, reason, retry_after);
    }

    /// Releases what a request's home holds for it.
    pub(super) fn release_at_home(
        &mut self,
        id: RequestId,
        stage: Stage,
        tokens: u32,
        end: EndKind,
    ) {
        match stage {
            Stage::Placing { home, .. } => self.withdraw_at(home, id.seq),
            Stage::Running { home, .. } => {
                let ended = crate::cell::message::Ended {
                    seq: id.seq,
                    tokens,
                    end,
                };
                let message = CellMessage::Ended(vec![ended]);
                self.send(home, PeerMessage::Cell(message));
            }
            Stage::Validating
            | Stage::Claiming
            | Stage::Admitting
            | Stage::AwaitingRunLease
            | Stage::BackingOff { .. } => {}
        }
    }
}
