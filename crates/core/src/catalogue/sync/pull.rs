//! Taking the index over from peers.

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

/// Pulls that follow from one announcement are spread over so long.
const PULL_SPREAD: Duration = Duration::from_millis(200);

/// A peer that does not answer by then is given up for another.
const PULL_LIMIT: Duration = Duration::from_millis(1_500);

/// A new instance gives each peer that it asks first so long to answer.
const FIRST_PULL_LIMIT: Duration = Duration::from_millis(500);

/// A new instance waits no longer than this for the peers that it asks first.
const FIRST_LIMIT: Duration = Duration::from_millis(1_500);

/// A node without any catalogue asks its watchers again after about so long.
const ASK_AGAIN: Duration = Duration::from_secs(2);

/// A revision that was pulled and did not come into force is not asked for again
/// for so long. During an upgrade, newer instances may have an index in force
/// that this one rejects, and each of their messages names its revision.
const FRUITLESS_PAUSE: Duration = Duration::from_secs(60);

/// A revision that a peer named and then did not give is not asked for again for
/// so long, whoever else names it.
const FAILED_PAUSE: Duration = Duration::from_secs(2);

/// Peers that are remembered to hold a newer revision.
const HOLDERS: usize = 4;

/// What is being asked of whom.
#[derive(Debug)]
struct Pull {
    from: InstanceKey,
    assembly: Option<Assembly>,
    until: Time,
}

/// Pulls of the index; at most one is out.
#[derive(Debug)]
pub(super) struct Pulls {
    out: Option<Pull>,
    /// Peers that hold a newer revision than the one in force, latest last.
    holders: VecDeque<(InstanceKey, u64)>,
    /// When to pull next.
    due: Time,
    /// A revision that was pulled to no avail, and until when it is not asked
    /// for because a message names it.
    fruitless: Option<(u64, Time)>,
    /// Peers that a new instance has not asked yet, the next one last.
    first: Vec<InstanceKey>,
    /// Until when a new instance waits for what its peers know.
    first_until: Option<Time>,
}

impl Default for Pulls {
    fn default() -> Self {
        Pulls {
            out: None,
            holders: VecDeque::new(),
            due: Time::NEVER,
            fruitless: None,
            first: Vec::new(),
            first_until: None,
        }
    }
}

impl Pulls {
    pub fn next_wake(&self) -> Time {
        let pull = self.out.as_ref().map_or(self.due, |pull| pull.until);
        pull.min(self.first_until.unwrap_or(Time::NEVER))
    }

    /// Returns whether a new instance still asks what its peers know.
    pub fn is_asking_first(&self) -> bool {
        self.first_until.is_some()
    }

    fn end_first(&mut self) {
        self.first.clear();
        self.first_until = None;
    }

    fn is_fruitless(&self, now: Time, revision: u64) -> bool {
        let fruitless = self.fruitless;
        fruitless.is_some_and(|(pulled, until)| revision <= pulled && now < until)
    }

    /// Forgets a holder; returns the revision that it was said to hold.
    fn take_holder(&mut self, holder: InstanceKey) -> u64 {
        let at = self.holders.iter().position(|(it, _)| *it == holder);
        let held = at.and_then(|at| self.holders.remove(at));
        held.map_or(0, |(_, revision)| revision)
    }

    fn add_holder(&mut self, holder: InstanceKey, revision: u64) {
        self.holders.retain(|(known, _)| *known != holder);
        if self.holders.len() == HOLDERS {
            self.holders.pop_front();
        }
        self.holders.push_back((holder, revision));
    }
}

impl CatalogueSync {
    /// A peer's message said which revision it has in force.
    pub fn peer_revision(&mut self, now: Time, from: PeerId, revision: u64) {
        let known = self.highest_known();
        if revision <= known || self.pulls.is_fruitless(now, revision) {
            return;
        }
        self.learn_holder(now, from.instance, revision);
    }

    /// Returns whether the catalogue in force is the newest that anybody has
    /// told of.
    pub fn is_current(&self) -> bool {
        let in_force = self.revision();
        let told = self.pulls.holders.iter();
        in_force > 0
            && self.candidates.iter().next().is_none()
            && told.map(|(_, revision)| *revision).all(|it| it <= in_force)
    }

    /// A link to a peer is up. What was sent while it was down is lost, so the
    /// announcement is repeated, and a new instance's question too.
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

    /// Returns the highest revision that is in force here or about to be.
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
            self.learn_holder(now, from, revision);
        }
    }

    fn learn_holder(&mut self, now: Time, holder: InstanceKey, revision: u64) {
        self.pulls.add_holder(holder, revision);
        if self.pulls.out.is_none() && self.pulls.due > now + PULL_SPREAD {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        }
    }

    /// Asks the watchers what is in force, as a new instance does before it
    /// believes the platform, which may be stale or have been down since before
    /// the process started. A watcher of each other data centre is asked too,
    /// because the own ones may have restarted together with this instance.
    pub(super) fn ask_first(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        let me = self.roles.me;
        let mut first = self.roles.far.clone();
        first.extend(self.roles.watchers.iter().filter(|it| **it != me));
        if first.is_empty() || self.in_force.is_some() {
            return;
        }
        self.pulls.first = first;
        self.pulls.first_until = Some(now + FIRST_LIMIT);
        self.ask_next_first(now, out);
    }

    /// Asks the next of the first peers, or ends the wait for them.
    fn ask_next_first(&mut self, now: Time, out: &mut Vec<SyncAction>) {
        match self.pulls.first.pop() {
            Some(peer) => self.pull_from(now, peer, out),
            None => {
                self.pulls.end_first();
                self.pulls.due = now + ASK_AGAIN / 2 + self.jitter(ASK_AGAIN);
                self.try_accept(now, out);
            }
        }
    }

    /// Asks any watcher for the index.
    fn ask_for_index(&mut self, now: Time, out: &mut Vec<SyncAction>) {
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
        let limit = match self.pulls.is_asking_first() {
            true => FIRST_PULL_LIMIT,
            false => PULL_LIMIT,
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
        if self.pulls.first_until.is_some_and(|until| until <= now) {
            self.pulls.end_first();
            self.try_accept(now, out);
        }
        if self.pulls.out.is_some() || self.pulls.due > now {
            return;
        }
        self.pulls.due = Time::NEVER;
        match self.pulls.holders.back().copied() {
            Some((holder, _)) => self.pull_from(now, holder, out),
            None if self.in_force.is_none() => self.ask_for_index(now, out),
            None => {}
        }
    }

    fn pull_failed(&mut self, now: Time, from: InstanceKey, out: &mut Vec<SyncAction>) {
        self.pulls.out = None;
        let told = self.pulls.take_holder(from);
        if told > 0 {
            self.pulls.fruitless = Some((told, now + FAILED_PAUSE));
        }
        if !self.pulls.holders.is_empty() {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        } else if self.pulls.is_asking_first() {
            self.ask_next_first(now, out);
        } else if self.in_force.is_none() {
            self.pulls.due = now + ASK_AGAIN / 2 + self.jitter(ASK_AGAIN);
        }
    }

    /// Forgets holders of revisions that are no longer newer than the one in force.
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
                pull.until = now + PULL_LIMIT;
                let message = CatalogueMessage::IndexMore { digest, offset };
                out.push(SyncAction::Send { to: from, message });
            }
            Progress::Whole(bytes) => self.pulled(now, &bytes, out),
            Progress::Wrong => self.pull_failed(now, from, out),
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
        let told = pull.map_or(0, |pull| self.pulls.take_holder(pull.from));
        self.counters.index_pulls += 1;
        self.pulls.end_first();
        self.consider(now, bytes, Origin::Peer, out);
        let known = self.highest_known();
        if known < told {
            self.pulls.fruitless = Some((told, now + FRUITLESS_PAUSE));
        }
        self.pulls.holders.retain(|(_, held)| *held > known);
        if !self.pulls.holders.is_empty() {
            self.pulls.due = now + self.jitter(PULL_SPREAD);
        }
    }
}
