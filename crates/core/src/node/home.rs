//! The cells whose home is this node.
//!
//! The home of a cell is the instance that decides for it, chosen by rendezvous hashing.
//!
//! A node serves a cell as soon as a peer sends a request for it, even if its own list ranks
//! another instance first. Two homes at once may over-commit endpoints, which shows in the load
//! reports; a refusal would fail requests during every change of the list.

use super::Node;
use super::timers::TimerKind;
use crate::cell::message::{Grant, Refused, millis, request_id};
use crate::cell::{
    Cell, CellConfig, CellDecision, CellMessage, Distance, EndpointInfo, EndpointKind,
    EndpointState, Requirement,
};
use crate::event::{Action, LoadReport, LoadedModel, PeerId};
use crate::ids::{CellKey, EndpointKey, Incarnation, InstanceKey, RequestId};
use crate::membership;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use rand::Rng;
use std::collections::{BTreeMap, BTreeSet};

/// How often a home polls each endpoint of its cells for its load.
///
/// Between two reports the home knows only its own grants; a report corrects them and shows what
/// others run. `docs/CAPACITY.md` states what the polls cost.
pub const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long the grants of an incarnation are kept after its link went down. Its generations
/// continue at the endpoints meanwhile, so dropping the grants at once would over-commit after
/// every short interruption.
pub(super) const HOLDER_TTL: Duration = Duration::from_secs(10);

/// Retry delay for a request for a cell that this node does not know.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// One cell whose home is this node.
pub(super) struct HomeCell {
    /// The state machine of the cell.
    pub cell: Cell,
    /// The endpoints that the cell has been given.
    pub endpoints: Vec<EndpointKey>,
    /// When the cell is due to be polled.
    next_poll: Time,
}

/// The placement of a request, as its home knows it.
#[derive(Clone, Copy, Debug)]
struct Placement {
    cell: CellKey,
    /// Where it runs; `None` while it is queued.
    endpoint: Option<EndpointKey>,
    /// What it requires of the endpoint; [`Requirement::ANY`] if that is not known.
    needs: Requirement,
}

/// All cells whose home is this node.
///
/// Invariant: `placed` names only cells in `cells`.
#[derive(Default)]
pub(super) struct Homes {
    /// The cells.
    pub cells: BTreeMap<CellKey, HomeCell>,
    /// The placement of each queued or running request.
    placed: BTreeMap<RequestId, Placement>,
    /// Endpoints whose next poll is scheduled.
    polled: BTreeSet<EndpointKey>,
    /// Ejected endpoints that operators have been informed of.
    pub ejected: BTreeSet<EndpointKey>,
    /// Number of running requests in each endpoint's last report, whoever granted them.
    reported: BTreeMap<EndpointKey, u32>,
    /// Reused buffer.
    decisions: Vec<CellDecision>,
}

impl Homes {
    /// Returns when the first cell is due to be polled.
    pub fn next_poll(&self) -> Time {
        let polls = self.cells.values().map(|it| it.next_poll);
        polls.min().unwrap_or(Time::NEVER)
    }

    fn cell_of(&mut self, id: RequestId) -> Option<&mut HomeCell> {
        let placement = self.placed.get(&id)?;
        let home = self.cells.get_mut(&placement.cell)?;
        home.next_poll = Time::ZERO;
        Some(home)
    }

    fn cell_with(&mut self, endpoint: EndpointKey) -> Option<&mut HomeCell> {
        let mut cells = self.cells.values_mut();
        let home = cells.find(|it| it.endpoints.contains(&endpoint))?;
        home.next_poll = Time::ZERO;
        Some(home)
    }

    /// Returns whether an endpoint is in one of the cells.
    fn has(&self, endpoint: EndpointKey) -> bool {
        let mut cells = self.cells.values();
        cells.any(|it| it.endpoints.contains(&endpoint))
    }

    /// Returns whether a generation may run on a model of an endpoint.
    ///
    /// Unloading a model ends the generations that use it. So whatever is not known for certain
    /// counts as use: a grant of another home, which shows only in the load report of the endpoint,
    /// and a request that its entry instance reported after a change of home.
    pub fn may_use(&self, endpoint: EndpointKey, model: &LoadedModel) -> bool {
        let reported = self.reported.get(&endpoint);
        let placed = self.placed.values();
        let here = placed.filter(|it| it.endpoint == Some(endpoint));
        let mut known = 0;
        for placement in here {
            known += 1;
            if placement.needs == Requirement::ANY || needs_model(placement.needs, model) {
                return true;
            }
        }
        reported.is_none_or(|&running| running > known)
    }

    /// Returns the requests that wait or run in the cells.
    pub fn held(&self) -> impl Iterator<Item = RequestId> + '_ {
        self.placed.keys().copied()
    }

    /// Withdraws a request from the cell that it is in.
    fn withdraw(&mut self, now: Time, id: RequestId) {
        if let Some(home) = self.cell_of(id) {
            home.cell.withdraw(now, id);
        }
        self.placed.remove(&id);
    }

    fn forget_holder(&mut self, now: Time, instance: InstanceKey, incarnation: Incarnation) {
        for home in self.cells.values_mut() {
            home.cell.withdraw_incarnation(now, instance, incarnation);
            home.next_poll = Time::ZERO;
        }
        self.placed
            .retain(|id, _| (id.instance, id.incarnation) != (instance, incarnation));
    }
}

fn needs_model(needs: Requirement, model: &LoadedModel) -> bool {
    let version = Some(model.version.as_str());
    let plain = Requirement::new(&model.name, version, None);
    let adapters = model.adapters.iter();
    let mut adapted = adapters.map(|it| Requirement::new(&model.name, version, Some(it)));
    needs == plain || adapted.any(|it| it == needs)
}

impl Node {
    /// Handles a message between an entry instance and a home, in either role.
    pub(super) fn on_cell_message(&mut self, from: PeerId, message: CellMessage) {
        match message {
            CellMessage::Request(request) => {
                let cell = request.cell;
                let seq = request.seq;
                if !self.ensure_cell(cell) {
                    return self.refuse_unknown_cell(from, seq);
                }
                let req = (*request).into_request(from, self.now);
                self.homes.withdraw(self.now, req.id);
                if let Some(home) = self.homes.cells.get_mut(&cell) {
                    let placement = Placement {
                        cell,
                        endpoint: None,
                        needs: req.needs,
                    };
                    self.homes.placed.insert(req.id, placement);
                    home.cell.submit(self.now, req);
                    home.next_poll = Time::ZERO;
                }
            }
            CellMessage::Grant(grant) => self.on_grant(from, &grant),
            CellMessage::Refused(refused) => self.on_refused(from, &refused),
            CellMessage::Progress(checkpoints) => {
                for checkpoint in checkpoints {
                    let id = request_id(from, checkpoint.seq);
                    if let Some(home) = self.homes.cell_of(id) {
                        home.cell.on_progress(self.now, id, checkpoint.tokens);
                    }
                }
            }
            CellMessage::Ended(ended) => {
                for end in ended {
                    let id = request_id(from, end.seq);
                    if let Some(home) = self.homes.cell_of(id) {
                        home.cell.on_ended(self.now, id, end.tokens, end.end);
                    }
                    self.homes.placed.remove(&id);
                }
            }
            CellMessage::Withdraw(seqs) => {
                for seq in seqs {
                    self.homes.withdraw(self.now, request_id(from, seq));
                }
            }
            CellMessage::Resync { cell, running } => self.on_resync(from, cell, running),
            CellMessage::Confirm(seqs) => self.on_confirm(from.instance, seqs),
        }
    }

    /// Handles the full list of requests that an entry instance runs in a cell.
    fn on_resync(
        &mut self,
        from: PeerId,
        cell: CellKey,
        running: Vec<crate::cell::message::RunningReport>,
    ) {
        if !self.ensure_cell(cell) {
            return;
        }
        // Requests that the entry instance does not name have ended while no link was up. Their
        // grants would otherwise reserve KV cache forever.
        let held = self.homes.placed.iter();
        let held = held.filter(|(id, at)| {
            (id.instance, id.incarnation) == (from.instance, from.incarnation) && at.cell == cell
        });
        for id in held.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.homes.withdraw(self.now, id);
        }
        for report in running {
            let running = report.into_running(from);
            if let Some(home) = self.homes.cells.get_mut(&cell) {
                let placement = Placement {
                    cell,
                    endpoint: Some(running.endpoint),
                    needs: Requirement::ANY,
                };
                self.homes.placed.insert(running.id, placement);
                home.cell.adopt(self.now, running);
                home.next_poll = Time::ZERO;
            }
        }
    }

    fn refuse_unknown_cell(&mut self, from: PeerId, seq: u64) {
        let refused = Refused {
            seq,
            reason: Reason::NoEndpoint,
            retry_after_ms: millis(RETRY_AFTER),
            predicted_wait_ms: 0,
            record: Default::default(),
        };
        let message = CellMessage::Refused(Box::new(refused));
        self.send(from.instance, PeerMessage::Cell(message));
    }

    /// Starts to serve a cell as its home, if the list contains the cell. Returns whether it does.
    fn ensure_cell(&mut self, key: CellKey) -> bool {
        if self.homes.cells.contains_key(&key) {
            return true;
        }
        if self.membership.view().cell(key).is_none() {
            return false;
        }
        let seed = self.rng.random();
        let home = HomeCell {
            cell: Cell::new(CellConfig::default(), seed),
            endpoints: Vec::new(),
            next_poll: Time::ZERO,
        };
        self.homes.cells.insert(key, home);
        self.refresh_cell(key);
        true
    }

    /// Adapts the cells to the list and the homes in force.
    pub(super) fn refresh_cells(&mut self) {
        let own: Vec<CellKey> = self.membership.own_cells().map(|it| it.plan.key).collect();
        for key in &own {
            self.ensure_cell(*key);
        }
        let keys: Vec<CellKey> = self.homes.cells.keys().copied().collect();
        for key in keys {
            let in_use = self.homes.placed.values().any(|it| it.cell == key);
            if own.contains(&key) || (in_use && self.membership.view().cell(key).is_some()) {
                self.refresh_cell(key);
            } else {
                self.homes.cells.remove(&key);
                self.homes.placed.retain(|_, it| it.cell != key);
            }
        }
    }

    /// Updates the endpoints of a cell and their states.
    pub(super) fn refresh_cell(&mut self, key: CellKey) {
        let infos: Vec<EndpointInfo> = self
            .membership
            .endpoints_of_cell(key)
            .iter()
            .filter_map(|&endpoint| self.endpoint_info(endpoint))
            .collect();
        let Some(home) = self.homes.cells.get_mut(&key) else {
            return;
        };
        let endpoints: Vec<EndpointKey> = infos.iter().map(|it| it.key).collect();
        for gone in home.endpoints.iter().filter(|it| !endpoints.contains(it)) {
            home.cell.remove_endpoint(self.now, *gone);
        }
        let new: Vec<EndpointKey> = endpoints
            .iter()
            .copied()
            .filter(|it| !home.endpoints.contains(it))
            .collect();
        for info in infos {
            home.cell.set_endpoint(self.now, info);
        }
        home.endpoints = endpoints;
        home.next_poll = Time::ZERO;
        for endpoint in new {
            self.begin_polls(endpoint);
        }
    }

    /// Updates the state of an endpoint in its cell.
    pub(super) fn refresh_endpoint(&mut self, key: EndpointKey) {
        let Some(info) = self.endpoint_info(key) else {
            return;
        };
        let now = self.now;
        if let Some(home) = self.homes.cell_with(key) {
            home.cell.set_endpoint(now, info);
        }
    }

    fn endpoint_info(&self, key: EndpointKey) -> Option<EndpointInfo> {
        let endpoint = self.membership.view().endpoint(key)?;
        let kind = match endpoint.record.kind {
            membership::EndpointKind::Model => EndpointKind::Model,
            membership::EndpointKind::Service => EndpointKind::Service,
        };
        let state = match self.membership.endpoint_state(key) {
            membership::EndpointState::Live => EndpointState::Live,
            _ => EndpointState::Leaving,
        };
        Some(EndpointInfo {
            key,
            kind,
            distance: Distance::Near,
            state,
        })
    }

    /// Starts to poll an endpoint for its load, for as long as this node is its home or its
    /// controller.
    pub(super) fn begin_polls(&mut self, endpoint: EndpointKey) {
        if self.homes.polled.insert(endpoint) {
            self.timers.set(self.now, TimerKind::PollLoad(endpoint));
        }
    }

    /// Polls an endpoint for its load and schedules the next poll.
    pub(super) fn poll_load(&mut self, endpoint: EndpointKey) {
        if !self.homes.has(endpoint) && !self.orders.controls(endpoint) {
            self.homes.polled.remove(&endpoint);
            self.homes.reported.remove(&endpoint);
            return;
        }
        let Some(target) = self.membership.view().endpoint_target(endpoint) else {
            self.homes.polled.remove(&endpoint);
            return;
        };
        self.out.push(Action::PollLoad(target));
        let spread = self.rng.random_range(90..=110);
        let next = self.now + POLL_INTERVAL * spread / 100;
        self.timers.set(next, TimerKind::PollLoad(endpoint));
    }

    /// Handles a load report of an endpoint.
    pub(super) fn on_load(&mut self, endpoint: EndpointKey, report: &LoadReport) {
        let now = self.now;
        if let Some(home) = self.homes.cell_with(endpoint) {
            home.cell.on_load_report(now, endpoint, report);
        }
        self.homes.reported.insert(endpoint, report.running);
        self.orders.report(now, endpoint, report);
        let leaving = report.leaving;
        self.with_membership(|membership, now, out| {
            membership.endpoint_reported(now, endpoint, leaving, out);
        });
    }

    /// Handles a failed load poll.
    pub(super) fn on_load_failed(&mut self, _endpoint: EndpointKey) {}

    /// Handles the cache events of an endpoint.
    pub(super) fn on_cache(
        &mut self,
        endpoint: EndpointKey,
        gap: bool,
        stored: &[u64],
        evicted: &[u64],
    ) {
        let now = self.now;
        if let Some(home) = self.homes.cell_with(endpoint) {
            home.cell
                .on_cache_events(now, endpoint, gap, stored, evicted);
        }
    }

    /// Drops the requests of an incarnation that has ended.
    pub(super) fn forget_holder(&mut self, instance: InstanceKey, incarnation: Incarnation) {
        self.homes.forget_holder(self.now, instance, incarnation);
    }

    /// Drops the requests of an incarnation whose link has stayed down.
    pub(super) fn forget_holder_if_down(
        &mut self,
        instance: InstanceKey,
        incarnation: Incarnation,
    ) {
        // A link to another incarnation under the same name says nothing about this one. If the
        // list dropped the instance in the meantime, it is no longer known, and nothing else
        // reports the change.
        let linked = self.membership.is_linked(instance);
        if !linked || self.membership.incarnation(instance) != Some(incarnation) {
            self.forget_holder(instance, incarnation);
        }
    }

    /// Polls the cells that are due and sends their decisions; returns whether any was due.
    pub(super) fn poll_cells(&mut self) -> bool {
        let mut decisions = core::mem::take(&mut self.homes.decisions);
        let mut any = false;
        for home in self.homes.cells.values_mut() {
            if home.next_poll <= self.now {
                any = true;
                let next = home.cell.poll(self.now, &mut decisions);
                home.next_poll = next.max(self.now + Duration::from_millis(1));
            }
        }
        for decision in decisions.drain(..) {
            self.send_decision(decision);
        }
        self.homes.decisions = decisions;
        if any {
            self.note_ejections();
        }
        any
    }

    fn send_decision(&mut self, decision: CellDecision) {
        let id = decision.id();
        let message = match decision {
            CellDecision::Grant {
                endpoint,
                priority,
                record,
                ..
            } => {
                if let Some(placement) = self.homes.placed.get_mut(&id) {
                    placement.endpoint = Some(endpoint);
                }
                CellMessage::Grant(Box::new(Grant {
                    seq: id.seq,
                    endpoint,
                    priority,
                    record,
                }))
            }
            CellDecision::Refuse {
                reason,
                retry_after,
                predicted_wait,
                record,
                ..
            } => {
                self.homes.placed.remove(&id);
                CellMessage::Refused(Box::new(Refused {
                    seq: id.seq,
                    reason,
                    retry_after_ms: millis(retry_after),
                    predicted_wait_ms: millis(predicted_wait),
                    record,
                }))
            }
        };
        self.send(id.instance, PeerMessage::Cell(message));
    }
}
