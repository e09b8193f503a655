//! Pulls the index from peers.

use super::candidate::Origin;
use super::delta::apply;
use super::message::{CatalogueMessage, Edit, Piece};
use super::pieces::{Assembly, Progress};
use super::{CatalogueSync, SyncAction};
use crate::catalogue::Digest;
use crate::ids::InstanceKey;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use rand::Rng;
use std::collections::VecDeque;

/// Jitter of the pulls that follow an announcement.
const PULL_SPREAD: Duration = Duration::from_millis(200);

/// Timeout of a pull; after it another peer is tried.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of each initial pull of a new instance.
const INITIAL_PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of all initial pulls of a new instance together.
const INITIAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Approximate time between the pulls of an instance without a catalogue from its watchers.
const RETRY_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which a revision that was pulled and did not come into force is not pulled again.
/// During an upgrade, newer instances may have an index in force that this one rejects, and each of
/// their messages names its revision.
const REJECTED_PAUSE: Duration = Duration::from_secs(60);

/// Time for which a revision that a peer announced and did not send is not pulled again, even if
/// another peer announces it.
const FAILED_PAUSE: Duration = Duration::from_secs(2);

/// Maximum number of peers to remember that hold a newer revision.
const MAX_HOLDERS: usize = 4;

/// A pull in flight.
#[derive(Debug)]
struct Pull {
    from: InstanceKey,
    assembly: Option<Assembly>,
    until: Time,
}

/// The pulls of the index. At most one is in flight.
#[derive(Debug)]
pub(super) struct Pulls {
    out: Option<Pull>,
    /// Peers that hold a newer revision than the one in force, latest last.
    holders: VecDeque<(InstanceKey, u64)>,
    /// When to pull next.
    due: Time,
    /// A revision whose pull did not succeed, and the time until which announcements of it are
    /// ignored.
    suppressed: Option<(u64, Time)>,
    /// Remaining peers for the initial pulls of a new instance, the next one last.
    initial: Vec<InstanceKey>,
    /// Deadline of the initial pulls, while they run.
    initial_deadline: Option<Time>,
}

impl Default for Pulls {
    fn default() -> Self {
        Pulls {
            out: None,
            holders: VecDeque::new(),
            due: Time::NEVER,
            suppressed: None,
            initial: Vec::new(),
            initial_deadline: None,
        }
    }
}

impl Pulls {
    pub fn next_wake(&self) -> Time {
        let pull = self.out.as_ref().map_or(self.due, |pull| pull.until);
        pull.min(self.initial_deadline.unwrap_or(Time::NEVER))
    }

    /// Returns whether the initial pulls of a new instance are still running.
    pub fn in_initial_pulls(&self) -> bool {
        self.initial_deadline.is_some()
    }

    fn end_initial(&mut self) {
        self.initial.clear();
        self.initial_deadline = None;
    }

    fn is_suppressed(&self, now: Time, revision: u64) -> bool {
        let suppressed = self.suppressed;
        suppressed.is_some_and(|(pulled, until)| revision <= pulled && now < until)
    }

    /// Removes a holder and returns the revision that it announced, or 0.
    fn take_holder(&mut self, holder: InstanceKey) -> u64 {
        let at = self.holders.iter().position(|(it, _)| *it == holder);
        let held = at.and_then(|at| self.holders.remove(at));
        held.map_or(0, |(_, revision)| revision)
    }

    fn add_holder(&mut self, holder: InstanceKey, revision: u64) {
        self.holders.retain(|(known, _)| *known != holder);
        if self.holders.len() == MAX_HOLDERS {
            self.holders.pop_front();
        }
        self.holders.push_back((holder, revision));
    }
}

impl CatalogueSync {
    /// Handles the revision in force that a peer's message states.
    pub fn peer_revision(&mut self, now: Time, from: PeerId, revision: u64) {
        let known = self.highest_known();
        if revision <= known || self.pulls.is_suppressed(now, revision) {
            return;
        }
        self.record_holder(now, from.instance, revision);
    }

    /// Returns whether the catalogue in force is the newest that any peer has announced.
    pub fn is_current(&self) -> bool {
        let in_force = self.revision();
        let announced = self.pulls.holders.iter();
        in_force > 0
            && self.candidates.iter().next().is_none()
            && announced
                .map(|(_, revision)| *revision)
                .all(|it| it <= in_force)
    }

    /// Handles a new link to a peer. Messages sent while the link was down are lost, so the
    /// announcement, or the request of an instance without a catalogue, is sent again.
    pub fn peer_up(&mut self, now: Time, peer: PeerId, out: &mut Vec<SyncAction>) {
        let to = peer.instance;
        let Some(catalogue) = self.catalogue() else {
            if self.is_pulled_from(to) {
                self.pull_from(now, to, out);
            }
            return;
        };
        let message = CatalogueMessage::InForce {
            revision: catalogue.revision(),
            digest: catalogue.digest(),
        };
        out.push(SyncAction::Send { to, message });
    }

    /// Returns the higher of the revision in force and the adopted one.
    fn highest_known(&self) -> u64 {
        self.revision().max(self.candidates.adopted_revision())
    }

    pub(super) fn on_in_force(
        &mut self,
        now: Time,
        from: InstanceKey,
        revision: u64,
        digest: Digest,
        out: &mut Vec<SyncAction>,
    ) {
        if self.rejected.contains(digest) {
            return;
        }
        if self.is_candidate(digest) {
            return self.adopt_proposed(now, digest, out);
        }
        if revision > self.highest_known() {
            self.record_holder(now, from, revision);
        }
    }

    fn record_holder(&mut self, now: Time, holder: InstanceKey, revision: u64) {
        self.pulls.add_holder(holder, revision);
        if self.pulls.out.is_none() && self.pulls.due > now + PULL_SPREAD {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        }
    }

    /// Starts the initial pulls. A new instance requests the index in force from the watchers
    /// before it accepts one from the platform, which may be stale or may have been down since
    /// before the process started. It also asks a watcher of each other data centre, because the
    /// watchers of its own may have restarted at the same time.
    pub(super) fn start_initial_pulls(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        let me = self.roles.me;
        let mut first = self.roles.far.clone();
        first.extend(self.roles.watchers.iter().filter(|it| **it != me));
        if first.is_empty() || self.in_force.is_some() {
            return;
        }
        self.pulls.initial = first;
        self.pulls.initial_deadline = Some(now + INITIAL_TIMEOUT);
        self.pull_next_initial(now, out);
    }

    /// Pulls from the next of the initial peers, or ends the initial pulls.
    fn pull_next_initial(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        match self.pulls.initial.pop() {
            Some(peer) => self.pull_from(now, peer, out),
            None => {
                self.pulls.end_initial();
                self.pulls.due = now + RETRY_INTERVAL / 2 + self.jitter(RETRY_INTERVAL);
                self.try_accept(now, out);
            }
        }
    }

    /// Pulls the index from a random watcher.
    fn pull_from_watcher(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if let Some(to) = self.choose_watcher() {
            self.pull_from(now, to, out);
        }
    }

    fn choose_watcher(&mut self) -> Option<InstanceKey> {
        let me = self.roles.me;
        let near = self.roles.watchers.iter().filter(|it| **it != me);
        let near: Vec<InstanceKey> = near.copied().collect();
        let from = if near.is_empty() {
            &self.roles.far
        } else {
            &near
        };
        if from.is_empty() {
            return None;
        }
        let at = self.rng.random_range(0..from.len());
        from.get(at).copied()
    }

    fn pull_from(&mut self, now: Time, to: InstanceKey, out: &mut Vec<SyncAction>) {
        let limit = match self.pulls.in_initial_pulls() {
            true => INITIAL_PULL_TIMEOUT,
            false => PULL_TIMEOUT,
        };
        self.pulls.out = Some(Pull {
            from: to,
            assembly: None,
            until: now + limit,
        });
        self.pulls.due = Time::NEVER;
        let have = self.catalogue().map(|catalogue| catalogue.digest());
        let message = CatalogueMessage::IndexWanted { have };
        out.push(SyncAction::Send { to, message });
    }

    pub(super) fn tick_pulls(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        if let Some(pull) = self.pulls.out.take_if(|pull| pull.until <= now) {
            self.pull_failed(now, pull.from, out);
        }
        if self
            .pulls
            .initial_deadline
            .is_some_and(|until| until <= now)
        {
            self.pulls.end_initial();
            self.try_accept(now, out);
        }
        if self.pulls.out.is_some() || self.pulls.due > now {
            return;
        }
        self.pulls.due = Time::NEVER;
        match self.pulls.holders.back().copied() {
            Some((holder, _)) => self.pull_from(now, holder, out),
            None if self.in_force.is_none() => self.pull_from_watcher(now, out),
            None => {}
        }
    }

    fn pull_failed(&mut self, now: Time, from: InstanceKey, out: &mut Vec<SyncAction>) {
        self.pulls.out = None;
        let announced = self.pulls.take_holder(from);
        if announced > 0 {
            self.pulls.suppressed = Some((announced, now + FAILED_PAUSE));
        }
        if !self.pulls.holders.is_empty() {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        } else if self.pulls.in_initial_pulls() {
            self.pull_next_initial(now, out);
        } else if self.in_force.is_none() {
            self.pulls.due = now + RETRY_INTERVAL / 2 + self.jitter(RETRY_INTERVAL);
        }
    }

    /// Removes holders of revisions that are not newer than the one in force.
    pub(super) fn settle_pulls(&mut self) {
        let revision = self.revision();
        self.pulls.holders.retain(|(_, held)| *held > revision);
    }

    pub(super) fn on_index_absent(
        &mut self,
        now: Time,
        from: InstanceKey,
        out: &mut Vec<SyncAction>,
    ) {
        if self.is_pulled_from(from) {
            self.pull_failed(now, from, out);
        }
    }

    fn is_pulled_from(&self, from: InstanceKey) -> bool {
        let pull = self.pulls.out.as_ref();
        pull.is_some_and(|pull| pull.from == from)
    }

    pub(super) fn on_index_piece(
        &mut self,
        now: Time,
        from: InstanceKey,
        digest: Digest,
        piece: &Piece,
        out: &mut Vec<SyncAction>,
    ) {
        let Some(pull) = self.pulls.out.as_mut().filter(|pull| pull.from == from) else {
            return;
        };
        let assembly = pull.assembly.get_or_insert_with(|| Assembly::new(digest));
        if assembly.digest() != digest {
            // The peer has put another revision in force since the last piece.
            *assembly = Assembly::new(digest);
        }
        match assembly.add(piece) {
            Progress::More(offset) => {
                pull.until = now + PULL_TIMEOUT;
                let message = CatalogueMessage::IndexMore { digest, offset };
                out.push(SyncAction::Send { to: from, message });
            }
            Progress::Complete(bytes) => self.pulled(now, &bytes, out),
            Progress::Invalid => self.pull_failed(now, from, out),
        }
    }

    pub(super) fn on_index_delta(
        &mut self,
        now: Time,
        from: InstanceKey,
        base: Digest,
        to: Digest,
        edits: &[Edit],
        out: &mut Vec<SyncAction>,
    ) {
        if !self.is_pulled_from(from) {
            return;
        }
        let held = self.in_force.as_ref();
        let held = held.filter(|held| held.catalogue.digest() == base);
        let text = held.and_then(|held| core::str::from_utf8(&held.bytes).ok());
        let new = text.and_then(|text| apply(text, edits));
        match new {
            Some(new) if Digest::of(new.as_bytes()) == to => {
                self.pulled(now, new.as_bytes(), out);
            }
            _ => self.pull_failed(now, from, out),
        }
    }

    fn pulled(&mut self, now: Time, bytes: &[u8], out: &mut Vec<SyncAction>) {
        let pull = self.pulls.out.take();
        let announced = pull.map_or(0, |pull| self.pulls.take_holder(pull.from));
        self.counters.index_pulls += 1;
        self.pulls.end_initial();
        self.consider(now, bytes, Origin::Peer, out);
        let known = self.highest_known();
        if known < announced {
            self.pulls.suppressed = Some((announced, now + REJECTED_PAUSE));
        }
        self.pulls.holders.retain(|(_, held)| *held > known);
        if !self.pulls.holders.is_empty() {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        }
    }
}
