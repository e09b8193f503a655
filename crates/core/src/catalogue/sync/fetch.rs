//! Getting shards: from keepers, else from the platform.

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

/// Shards that are asked for at once.
const MAX_ACTIVE: usize = 16;

/// A peer that does not send a piece by then is given up for the next source.
const PEER_LIMIT: Duration = Duration::from_millis(1_500);

/// A read of the platform that was not answered by then has failed.
const READ_LIMIT: Duration = Duration::from_secs(10);

/// The wait after all sources failed; doubles up to [`RETRY_MOST`].
const RETRY_FIRST: Duration = Duration::from_millis(200);
/// The longest wait after all sources failed.
const RETRY_MOST: Duration = Duration::from_secs(5);

/// A shard that requests or peers wait for is given up after so long. The
/// candidate's shards are not: a publisher may take its time between two writes.
const GIVE_UP: Duration = Duration::from_secs(4);

/// A shard that was given up is not asked for again for so long, so that callers
/// with keys of that shard cannot turn an outage into a storm of reads.
const REFUSE: Duration = Duration::from_secs(1);

#[derive(Debug)]
pub(super) enum Step {
    /// Waits for one of [`MAX_ACTIVE`] places.
    Queued,
    /// A peer was asked.
    Asking {
        from: InstanceKey,
        assembly: Assembly,
        until: Time,
    },
    /// The platform was asked.
    Reading { until: Time },
    /// All sources failed, or the budget is used up.
    Waiting { until: Time },
}

#[derive(Debug)]
pub(super) struct Fetch {
    /// Whether the candidate needs the shard verified.
    pub verify: bool,
    /// Whether requests need the shard.
    pub hold: bool,
    /// Peers that wait for it.
    pub askers: Vec<InstanceKey>,
    sources: Vec<Source>,
    /// The source to try next.
    next: usize,
    /// Rounds through all sources that failed.
    rounds: u32,
    started: Time,
    step: Step,
}

impl Fetch {
    fn is_active(&self) -> bool {
        matches!(self.step, Step::Asking { .. } | Step::Reading { .. })
    }

    /// Returns whether the shard was asked for at this peer.
    pub fn asks(&self, peer: InstanceKey) -> bool {
        matches!(self.step, Step::Asking { from, .. } if from == peer)
    }

    fn due(&self) -> Time {
        let step = match self.step {
            Step::Queued => Time::NEVER,
            Step::Asking { until, .. } | Step::Reading { until } | Step::Waiting { until } => until,
        };
        let give_up = match self.verify {
            true => Time::NEVER,
            false => self.started + GIVE_UP,
        };
        step.min(give_up)
    }
}

/// The fetches that are not done.
#[derive(Debug, Default)]
pub(super) struct Fetches {
    pub open: BTreeMap<ShardId, Fetch>,
    /// Until when a shard is not asked for again.
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
    /// Asks for a shard of the catalogue in force, because a request needs it.
    ///
    /// [`SyncChange::ShardReady`] or [`SyncChange::ShardFailed`] follows, or
    /// [`SyncChange::InForce`], after which whoever still waits asks again.
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
        self.take_kept(now, id, out);
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
        self.take_kept(now, id, out);
    }

    /// Ends a fetch at once if this instance keeps the shard for others.
    fn take_kept(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        if let Some(bytes) = self.kept.get(id).cloned() {
            self.fetched(now, id, bytes.to_vec(), out);
        }
    }

    pub(super) fn fetch(&mut self, now: Time, id: ShardId) -> &mut Fetch {
        let roles = &self.roles;
        self.fetches.open.entry(id).or_insert_with(|| Fetch {
            verify: false,
            hold: false,
            askers: Vec::new(),
            sources: roles.sources(id),
            next: 0,
            rounds: 0,
            started: now,
            step: Step::Queued,
        })
    }

    /// Drops the purposes that fetches no longer have, and fetches without any.
    pub(super) fn prune_fetches(&mut self) {
        let in_force = self.catalogue().cloned();
        let candidates = &self.candidates;
        self.fetches.open.retain(|id, fetch| {
            let in_force = in_force.as_ref();
            let listed = in_force.is_some_and(|it| shard_id_or_other(it, id.number) == *id);
            let proposed = candidates.list(*id);
            fetch.verify &= proposed;
            fetch.hold &= proposed || listed;
            fetch.verify || fetch.hold || !fetch.askers.is_empty()
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
        if !fetch.verify && fetch.started + GIVE_UP <= now {
            return self.give_up(now, id, out);
        }
        match fetch.step {
            Step::Waiting { until } if until <= now => fetch.step = Step::Queued,
            Step::Asking { until, .. } | Step::Reading { until } if until <= now => {
                self.source_failed(now, id);
            }
            _ => {}
        }
    }

    /// The source that was asked does not have the shard: on to the next, or a
    /// pause after the last.
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
        let most = (RETRY_FIRST * (1 << fetch.rounds.min(8))).min(RETRY_MOST);
        fetch.rounds += 1;
        fetch.next = 0;
        fetch.sources = self.roles.sources(id);
        fetch.step = Step::Waiting {
            until: now + most / 2 + (most / 2).mul_f64(share),
        };
    }

    fn give_up(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        let Some(fetch) = self.fetches.open.remove(&id) else {
            return;
        };
        for to in fetch.askers {
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
        self.fetches.refused.insert(number, now + REFUSE);
        out.push(SyncAction::Changed(SyncChange::ShardFailed(number)));
    }

    /// Starts queued fetches while there is room.
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
            self.ask_source(now, id, out);
        }
    }

    fn ask_source(&mut self, now: Time, id: ShardId, out: &mut Vec<SyncAction>) {
        let Some(fetch) = self.fetches.open.get_mut(&id) else {
            return;
        };
        let source = fetch.sources.get(fetch.next).copied();
        if let Some(Source::Peer(from)) = source {
            fetch.step = Step::Asking {
                from,
                assembly: Assembly::new(id.digest),
                until: now + PEER_LIMIT,
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
                    until: now + READ_LIMIT,
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
                // The publisher has written the index and not yet the shard, or
                // the other way round. Either will follow: nothing is rejected.
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
        let Step::Asking {
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
                *until = now + PEER_LIMIT;
                let message = CatalogueMessage::ShardWanted { id, offset };
                out.push(SyncAction::Send {
                    to: sender,
                    message,
                });
            }
            Progress::Whole(bytes) => {
                self.counters.shards_from_peers += 1;
                self.fetched(now, id, bytes, out);
            }
            Progress::Wrong => self.source_failed(now, id),
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
        let asked = fetch
            .is_some_and(|fetch| matches!(fetch.step, Step::Asking { from, .. } if from == sender));
        if asked {
            self.source_failed(now, id);
            self.advance_fetches(now, out);
        }
    }

    /// The bytes of a shard are here and have the right digest.
    fn fetched(&mut self, now: Time, id: ShardId, bytes: Vec<u8>, out: &mut Vec<SyncAction>) {
        debug_assert_eq!(Digest::of(&bytes), id.digest);
        let Some(fetch) = self.fetches.open.remove(&id) else {
            return;
        };
        for to in &fetch.askers {
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
