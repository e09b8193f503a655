//! Fetches shards from keepers, or from the platform as the last source.

use super::message::{CatalogueMessage, Piece, ShardId};
use super::pieces::{Assembly, Progress};
use super::roles::Source;
use super::serve::send_piece;
use super::{CatalogueSync, SyncAction, SyncChange, shard_id, shard_id_or_other};
use crate::catalogue::{Digest, parse_shard};
use crate::ids::InstanceKey;
use crate::time::Time;
use crate::value::ValueName;
use core::time::Duration;
use std::collections::BTreeMap;

/// Maximum number of concurrent requests for shards.
const MAX_ACTIVE: usize = 16;

/// Timeout for each piece from a peer; after it the next source is tried.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout for a read from the platform.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Initial backoff after all sources failed; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum backoff after all sources failed.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Timeout for a shard that requests or peers wait for. It does not apply to the shards of a
/// candidate, because a publisher may pause between two writes.
const FETCH_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a shard is not fetched again after a timeout, so that requests with keys of that
/// shard cannot cause a storm of reads during an outage.
const REFUSAL_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) enum Step {
    /// Waits until fewer than [`MAX_ACTIVE`] requests are in flight.
    Queued,
    /// A request to a peer is in flight.
    Requesting {
        from: InstanceKey,
        assembly: Assembly,
        until: Time,
    },
    /// A read from the platform is in flight.
    Reading { until: Time },
    /// Backs off: all sources failed, or the read budget is used up.
    Waiting { until: Time },
}

#[derive(Debug)]
pub(super) struct Fetch {
    /// Whether a candidate needs the shard to be verified.
    pub verify: bool,
    /// Whether requests need the shard.
    pub hold: bool,
    /// Peers that wait for it.
    pub waiting_peers: Vec<InstanceKey>,
    sources: Vec<Source>,
    /// The source to try next.
    next: usize,
    /// Number of times that all sources failed.
    rounds: u32,
    started: Time,
    step: Step,
}

impl Fetch {
    fn is_active(&self) -> bool {
        matches!(self.step, Step::Requesting { .. } | Step::Reading { .. })
    }

    /// Returns whether a request to this peer is in flight.
    pub fn is_requested_from(&self, peer: InstanceKey) -> bool {
        matches!(self.step, Step::Requesting { from, .. } if from == peer)
    }

    fn due(&self) -> Time {
        let step = match self.step {
            Step::Queued => Time::NEVER,
            Step::Requesting { until, .. } | Step::Reading { until } | Step::Waiting { until } => {
                until
            }
        };
        let time_out = match self.verify {
            true => Time::NEVER,
            false => self.started + FETCH_TIMEOUT,
        };
        step.min(time_out)
    }
}

/// The open fetches.
#[derive(Debug, Default)]
pub(super) struct Fetches {
    pub open: BTreeMap<ShardId, Fetch>,
    /// Time until which a shard is not fetched again.
    refused: BTreeMap<u32, Time>,
}

impl Fetches {
    pub fn next_wake(&self) -> Time {
        let due = self.open.values().map(Fetch::due);
        due.min().unwrap_or(Time::NEVER)
    }

    pub fn is_refused(&self, now: Time, number: u32) -> bool {
        self.refused.get(&number).is_some_and(|until| now < *until)
    }

    fn active(&self) -> usize {
        self.open.values().filter(|fetch| fetch.is_active()).count()
    }
}

impl CatalogueSync {
    /// Fetches a shard of the catalogue in force that a request needs.
    ///
    /// [`SyncChange::ShardReady`] or [`SyncChange::ShardFailed`] follows, or
    /// [`SyncChange::InForce`], after which a caller that still needs the shard must call this
    /// method again.
    pub fn want_shard(&mut self, now: Time, number: u32, out: &mut Vec<SyncAction>) {
        let catalogue = match self.catalogue() {
            Some(catalogue) if number < catalogue.shard_count() => catalogue,
            _ => return,
        };
        let id = shard_id(catalogue, number);
        if self.fetches.is_refused(now, number) {
            out.push(SyncAction::Changed(SyncChange::ShardFailed(number)));
            return;
        }
        self.fetch(now, id).hold = true;
        self.complete_from_kept(now, id, out);
        self.advance_fetches(now, out);
    }

    pub(super) fn fetch_for_candidate(
        &mut self,
        now: Time,
        id: ShardId,
        hold: bool,
        out: &mut Vec<SyncAction>,
    ) {
        let fetch = self.fetch(now, id);
        fetch.verify = true;
        fetch.hold |= hold;
        self.complete_from_kept(now, id, out);
    }

    /// Completes a fetch immediately if this instance keeps the shard for its peers.
    fn complete_from_kept(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        if let Some(bytes) = self.kept.get(id).cloned() {
            self.fetched(now, id, bytes.to_vec(), out);
        }
    }

    pub(super) fn fetch(&mut self, now: Time, id: ShardId) -> &mut Fetch {
        let roles = &self.roles;
        self.fetches.open.entry(id).or_insert_with(|| Fetch {
            verify: false,
            hold: false,
            waiting_peers: Vec::new(),
            sources: roles.sources(id),
            next: 0,
            rounds: 0,
            started: now,
            step: Step::Queued,
        })
    }

    /// Clears the flags of fetches that no catalogue or candidate needs any more, and drops fetches
    /// that nothing needs.
    pub(super) fn prune_fetches(&mut self) {
        let in_force = self.catalogue().cloned();
        let candidates = &self.candidates;
        self.fetches.open.retain(|id, fetch| {
            let in_force = in_force.as_ref();
            let listed = in_force.is_some_and(|it| shard_id_or_other(it, id.number) == *id);
            let proposed = candidates.list(*id);
            fetch.verify &= proposed;
            fetch.hold &= proposed || listed;
            fetch.verify || fetch.hold || !fetch.waiting_peers.is_empty()
        });
    }

    pub(super) fn tick_fetches(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if self.fetches.next_wake() > now {
            return;
        }
        let open = self.fetches.open.iter();
        let due: Vec<ShardId> = open
            .filter(|(_, fetch)| fetch.due() <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            self.tick_fetch(now, id, out);
        }
        self.advance_fetches(now, out);
    }

    fn tick_fetch(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        let Some(fetch) = self.fetches.open.get_mut(&id) else {
            return;
        };
        if !fetch.verify && fetch.started + FETCH_TIMEOUT <= now {
            return self.time_out(now, id, out);
        }
        match fetch.step {
            Step::Waiting { until } if until <= now => fetch.step = Step::Queued,
            Step::Requesting { until, .. } | Step::Reading { until } if until <= now => {
                self.source_failed(now, id);
            }
            _ => {}
        }
    }

    /// Handles the failure of a source: tries the next source, or backs off after the last one.
    fn source_failed(&mut self, now: Time, id: ShardId) {
        let share = self.jitter(Duration::from_secs(1)).as_secs_f64();
        let Some(fetch) = self.fetches.open.get_mut(&id) else {
            return;
        };
        fetch.next += 1;
        if fetch.next < fetch.sources.len() {
            fetch.step = Step::Queued;
            return;
        }
        let most = (MIN_BACKOFF * (1 << fetch.rounds.min(8))).min(MAX_BACKOFF);
        fetch.rounds += 1;
        fetch.next = 0;
        fetch.sources = self.roles.sources(id);
        fetch.step = Step::Waiting {
            until: now + most / 2 + (most / 2).mul_f64(share),
        };
    }

    fn time_out(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        let Some(fetch) = self.fetches.open.remove(&id) else {
            return;
        };
        for to in fetch.waiting_peers {
            let message = CatalogueMessage::ShardAbsent { id };
            out.push(SyncAction::Send { to, message });
        }
        if fetch.hold {
            self.shard_unavailable(now, id.number, out);
        }
    }

    fn shard_unavailable(&mut self, now: Time, number: u32, out: &mut Vec<SyncAction>) {
        self.counters.shards_unavailable += 1;
        self.fetches.refused.retain(|_, until| now < *until);
        self.fetches.refused.insert(number, now + REFUSAL_PERIOD);
        out.push(SyncAction::Changed(SyncChange::ShardFailed(number)));
    }

    /// Starts queued fetches, up to [`MAX_ACTIVE`] in flight.
    pub(super) fn advance_fetches(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        let mut room = MAX_ACTIVE.saturating_sub(self.fetches.active());
        let queued = self.fetches.open.iter();
        let queued = queued.filter(|(_, fetch)| matches!(fetch.step, Step::Queued));
        let queued: Vec<ShardId> = queued.map(|(id, _)| *id).take(room).collect();
        for id in queued {
            if room == 0 {
                break;
            }
            room -= 1;
            self.request_from_source(now, id, out);
        }
    }

    fn request_from_source(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        let Some(fetch) = self.fetches.open.get_mut(&id) else {
            return;
        };
        let source = fetch.sources.get(fetch.next).copied();
        if let Some(Source::Peer(from)) = source {
            fetch.step = Step::Requesting {
                from,
                assembly: Assembly::new(id.digest),
                until: now + PEER_TIMEOUT,
            };
            let message = CatalogueMessage::ShardWanted { id, offset: 0 };
            out.push(SyncAction::Send { to: from, message });
            return;
        }
        fetch.step = match self.budget.take(now) {
            Ok(()) => {
                self.counters.platform_calls += 1;
                out.push(SyncAction::Read(ValueName::CatalogueShard(id.number)));
                Step::Reading {
                    until: now + READ_TIMEOUT,
                }
            }
            Err(wait) => {
                self.counters.reads_deferred += 1;
                Step::Waiting { until: now + wait }
            }
        };
    }

    pub(super) fn on_shard_value(
        &mut self,
        now: Time,
        number: u32,
        bytes: &[u8],
        out: &mut Vec<SyncAction>,
    ) {
        let digest = Digest::of(bytes);
        for id in self.fetches_of(number) {
            if id.digest == digest {
                self.counters.shards_from_platform += 1;
                self.fetched(now, id, bytes.to_vec(), out);
            } else if self.is_reading(id) {
                // The publisher has written the index but not yet the shard, or the reverse. The
                // other write will follow, so nothing is rejected.
                self.counters.digest_mismatches += 1;
                self.source_failed(now, id);
            }
        }
        self.advance_fetches(now, out);
    }

    pub(super) fn on_shard_value_failed(
        &mut self,
        now: Time,
        number: u32,
        out: &mut Vec<SyncAction>,
    ) {
        for id in self.fetches_of(number) {
            if self.is_reading(id) {
                self.source_failed(now, id);
            }
        }
        self.advance_fetches(now, out);
    }

    fn fetches_of(&self, number: u32) -> Vec<ShardId> {
        let open = self.fetches.open.keys().copied();
        open.filter(|id| id.number == number).collect()
    }

    fn is_reading(&self, id: ShardId) -> bool {
        let fetch = self.fetches.open.get(&id);
        fetch.is_some_and(|fetch| matches!(fetch.step, Step::Reading { .. }))
    }

    pub(super) fn on_shard_piece(
        &mut self,
        now: Time,
        sender: InstanceKey,
        id: ShardId,
        piece: &Piece,
        out: &mut Vec<SyncAction>,
    ) {
        let Some(fetch) = self.fetches.open.get_mut(&id) else {
            return;
        };
        let Step::Requesting {
            from,
            assembly,
            until,
        } = &mut fetch.step
        else {
            return;
        };
        if *from != sender {
            return;
        }
        match assembly.add(piece) {
            Progress::More(offset) => {
                *until = now + PEER_TIMEOUT;
                let message = CatalogueMessage::ShardWanted { id, offset };
                out.push(SyncAction::Send {
                    to: sender,
                    message,
                });
            }
            Progress::Complete(bytes) => {
                self.counters.shards_from_peers += 1;
                self.fetched(now, id, bytes, out);
            }
            Progress::Invalid => self.source_failed(now, id),
        }
        self.advance_fetches(now, out);
    }

    pub(super) fn on_shard_absent(
        &mut self,
        now: Time,
        sender: InstanceKey,
        id: ShardId,
        out: &mut Vec<SyncAction>,
    ) {
        let fetch = self.fetches.open.get(&id);
        let asked = fetch.is_some_and(
            |fetch| matches!(fetch.step, Step::Requesting { from, .. } if from == sender),
        );
        if asked {
            self.source_failed(now, id);
            self.advance_fetches(now, out);
        }
    }

    /// Completes a fetch with bytes that have the expected digest.
    fn fetched(&mut self, now: Time, id: ShardId, bytes: Vec<u8>, out: &mut Vec<SyncAction>) {
        debug_assert_eq!(Digest::of(&bytes), id.digest);
        let Some(fetch) = self.fetches.open.remove(&id) else {
            return;
        };
        for to in &fetch.waiting_peers {
            send_piece(*to, id, &bytes, 0, out);
        }
        if fetch.verify || fetch.hold {
            self.verify_fetched(now, id, &fetch, &bytes, out);
        }
        if self.roles.keeps(id) {
            self.kept.insert(id, bytes);
        }
        self.try_accept(now, out);
    }

    fn verify_fetched(
        &mut self,
        now: Time,
        id: ShardId,
        fetch: &Fetch,
        bytes: &[u8],
        out: &mut Vec<SyncAction>,
    ) {
        match parse_shard(bytes, id.number, id.count) {
            Ok(shard) => {
                self.verified.insert(id);
                if fetch.hold {
                    self.store.insert(now, id, shard);
                    out.push(SyncAction::Changed(SyncChange::ShardReady(id.number)));
                }
                self.settle_pending(id);
            }
            Err(findings) => {
                self.reject_listing(id, &findings, out);
                if fetch.hold {
                    self.shard_unavailable(now, id.number, out);
                }
            }
        }
    }
}
