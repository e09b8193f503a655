//! Which instance is the home of a key, and whether it can be sure of it.

use crate::ids::InstanceKey;
use crate::rendezvous::{self, Candidate};
use crate::time::Time;
use core::time::Duration;

/// An instance that the list called live and no longer does.
#[derive(Clone, Copy, Debug)]
struct Departed {
    instance: InstanceKey,
    until: Time,
}

/// The homes of keys by the published list alone.
///
/// What goes wrong otherwise: in a partition each side suspects the other, and
/// if suspicion moved the homes of keys, both sides would grant the same key.
/// The list is the one thing that both sides are told by the same source.
#[derive(Clone, Debug)]
pub struct KeyHomes {
    me: InstanceKey,
    revision: u64,
    live: Vec<InstanceKey>,
    /// Instances that left the list so recently that they may have granted
    /// keys whose outcomes are still promised to be remembered.
    departed: Vec<Departed>,
    /// Since when this process has been listed, for a list that lists it.
    listed_since: Option<Time>,
}

impl KeyHomes {
    /// Creates the state of a process that starts now and knows no list.
    pub(super) fn new(me: InstanceKey) -> Self {
        KeyHomes {
            me,
            revision: 0,
            live: Vec::new(),
            departed: Vec::new(),
            listed_since: None,
        }
    }

    /// Returns the revision of the list in force.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn set_list(
        &mut self,
        now: Time,
        revision: u64,
        live: impl Iterator<Item = InstanceKey>,
        settle: Duration,
    ) {
        let live: Vec<_> = live.collect();
        let until = now + settle;
        let gone = self.live.iter().filter(|it| !live.contains(it));
        let gone = gone.map(|&instance| Departed { instance, until });
        self.departed.retain(|it| it.until > now);
        self.departed.extend(gone);
        self.listed_since = match live.contains(&self.me) {
            true => self.listed_since.or(Some(now)),
            false => None,
        };
        self.revision = revision;
        self.live = live;
    }

    /// Returns the home of the key ranked by `rank_key`.
    pub fn home_of(&self, rank_key: u64) -> Option<InstanceKey> {
        let live = self.live.iter().copied().map(Candidate::anywhere);
        rendezvous::first(rank_key, live)
    }

    /// Returns how long this process must still wait until it may grant the key
    /// to a request that it knows nothing of; zero if it may now, and `None` if
    /// it is not the key's home.
    ///
    /// It may if no other process can have been the key's home within `settle`:
    /// this one ranks first also among those that left the list since, and has
    /// itself been listed for as long. A process that just started has not,
    /// whatever its name granted before.
    pub(super) fn wait_before_grant(
        &self,
        now: Time,
        rank_key: u64,
        settle: Duration,
    ) -> Option<Duration> {
        if self.home_of(rank_key) != Some(self.me) {
            return None;
        }
        let since = self.listed_since?;
        let mine = (since + settle).since(now);
        let ahead = |it: &&Departed| it.until > now && self.outranks(rank_key, it.instance);
        let theirs = self
            .departed
            .iter()
            .filter(ahead)
            .map(|it| it.until.since(now));
        Some(theirs.fold(mine, Duration::max))
    }

    fn outranks(&self, rank_key: u64, other: InstanceKey) -> bool {
        let pair = [other, self.me].map(Candidate::anywhere);
        rendezvous::first(rank_key, pair.into_iter()) == Some(other)
    }
}
