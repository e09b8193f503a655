//! Which instances watch the platform, and which ones keep each shard for their peers.

use super::message::ShardId;
use crate::ids::InstanceKey;
use crate::membership::Membership;
use crate::rendezvous::{self, Candidate};

/// Number of instances per data centre that keep the bytes of a shard.
///
/// One is sufficient and a second covers its loss. Four share the load when a shard that every
/// instance uses changes: with two keepers, the busiest of 390 instances sends 2.0 MB for a change
/// of 35 kB; with four, of which three fetch from the first, it sends 0.8 MB.
pub const KEEPERS: usize = 4;

/// The roles of this instance and its peers, derived from membership.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Roles {
    /// This instance.
    pub me: InstanceKey,
    /// The watchers of this data centre, by rank.
    pub watchers: Vec<InstanceKey>,
    /// The usable instances of this data centre.
    pub near: Vec<InstanceKey>,
    /// The first watcher of each other data centre.
    pub far: Vec<InstanceKey>,
    /// All usable instances.
    pub all: Vec<InstanceKey>,
}

/// A source of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// From a peer.
    Peer(InstanceKey),
    /// From the platform.
    Platform,
}

impl Roles {
    /// Returns the roles that follow from the list in force.
    pub fn of(membership: &Membership) -> Self {
        Roles {
            me: membership.me(),
            watchers: membership.own_watchers(),
            near: membership.own_data_centre_instances(),
            far: membership.foreign_watchers(),
            all: membership.live_instances().collect(),
        }
    }

    /// Returns whether this instance watches the platform.
    pub fn is_watcher(&self) -> bool {
        self.watchers.contains(&self.me)
    }

    /// Returns the peers to notify of a new revision: the watchers of this data centre; from a
    /// watcher also all instances of this data centre and the first watcher of each other one.
    pub fn announce_to(&self) -> Vec<InstanceKey> {
        let mut peers = self.watchers.clone();
        if self.is_watcher() {
            peers.extend(&self.near);
            peers.extend(&self.far);
        }
        peers.sort_unstable();
        peers.dedup();
        peers.retain(|it| *it != self.me);
        peers
    }

    /// Returns the instance that reads a shard from the platform on behalf of all others.
    pub fn reader(&self, id: ShardId) -> Option<InstanceKey> {
        let all = self.all.iter().map(|it| Candidate::anywhere(*it));
        rendezvous::first(shard_key(id), all)
    }

    /// Returns the instances of this data centre that keep a shard, by rank.
    pub fn keepers(&self, id: ShardId) -> Vec<InstanceKey> {
        let mut keepers = Vec::with_capacity(KEEPERS);
        let near = self.near.iter().map(|it| Candidate::anywhere(*it));
        rendezvous::rank(shard_key(id), near, KEEPERS, &mut keepers);
        keepers
    }

    /// Returns whether this instance keeps the bytes of a shard for others.
    pub fn keeps(&self, id: ShardId) -> bool {
        self.keepers(id).contains(&self.me) || self.reader(id) == Some(self.me)
    }

    /// Returns the sources of a shard in the order to try.
    ///
    /// An instance that is not a keeper tries the keepers, starting at a position that differs
    /// between instances. A keeper requests the shard from the first keeper, which requests it from
    /// the reader, which reads the platform. So one read serves the fleet, and each instance serves
    /// only a few others. The platform is the last source of every instance, because views of the
    /// fleet may differ and the chain may then end at an instance that waits for another one.
    pub fn sources(&self, id: ShardId) -> Vec<Source> {
        let reader = self.reader(id);
        let mut peers = Vec::with_capacity(KEEPERS + 1);
        if reader != Some(self.me) {
            peers = self.keepers_to_try(id);
            peers.extend(reader);
        }
        let mut sources: Vec<Source> = peers.into_iter().map(Source::Peer).collect();
        sources.dedup();
        sources.push(Source::Platform);
        sources
    }

    fn keepers_to_try(&self, id: ShardId) -> Vec<InstanceKey> {
        let mut keepers = self.keepers(id);
        match keepers.iter().position(|it| *it == self.me) {
            Some(0) => keepers.clear(),
            Some(_) => keepers.truncate(1),
            None if keepers.is_empty() => {}
            None => {
                let first = rendezvous::score(shard_key(id), self.me.0) as usize;
                let len = keepers.len();
                keepers.rotate_left(first % len);
            }
        }
        keepers
    }
}

/// Returns the rendezvous key of a shard. It is derived from the shard's number and not from its
/// digest, so that a shard stays at its instances when its content changes.
fn shard_key(id: ShardId) -> u64 {
    crate::ids::stable_hash(&[b"catalogue-shard", &id.number.to_be_bytes()])
}
