//! Which instance is the home of a key, and whether it can be certain of it.

use crate::ids::InstanceKey;
use crate::rendezvous::{self, Candidate};
use crate::time::Time;
use core::time::Duration;

/// An instance that was live according to the instance list and no longer is.
#[derive(Clone, Copy, Debug)]
struct Departed {
    instance: InstanceKey,
    until: Time,
}

/// The homes of keys, derived from the published instance list alone.
///
/// In a network partition each side suspects the other. If suspicion moved the homes of keys, both
/// sides would grant the same key. The instance list is the only input that both sides receive from
/// the same source.
#[derive(Clone, Debug)]
pub struct KeyHomes {
    me: InstanceKey,
    revision: u64,
    live: Vec<InstanceKey>,
    /// Instances that left the list so recently that they may have granted keys whose outcomes must
    /// still be remembered.
    departed: Vec<Departed>,
    /// Time since which this process has been in the list without a gap, if it is in the list.
    listed_since: Option<Time>,
}

impl KeyHomes {
    /// Returns the state of a process that starts now and has no list.
    pub(super) fn new(me: InstanceKey) -> Self {
        KeyHomes {
            me,
            revision: 0,
            live: Vec::new(),
            departed: Vec::new(),
            listed_since: None,
        }
    }

    /// Returns the revision of the current instance list.
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

    /// Returns the home of the key whose rank value is `rank_key`.
    pub fn home_of(&self, rank_key: u64) -> Option<InstanceKey> {
        let live = self.live.iter().copied().map(Candidate::anywhere);
        rendezvous::first(rank_key, live)
    }

    /// Returns how long this process must still wait before it may grant the key if it has no
    /// record of it: zero if it may grant now, and `None` if it is not the key's home.
    ///
    /// It may grant if no other process can have been the key's home within `settle`. That holds if
    /// this process ranks first even among the instances that left the list since then, and has
    /// been in the list for that long itself. A process that has just started has not, whatever an
    /// earlier process of the same name granted.
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
