//! How an instance that is behind its peers fetches the records that it missed.
//!
//! Most instances do not watch the store; they learn from gossip that a peer is ahead, and ask it
//! for a delta. A delta may be large (a catalogue of some thousand entries takes a megabyte) and
//! the links of instances are small, so that no instance can send it to all others. Without the
//! rules below, all instances ask the same peer, whose link delivers the delta to none of them
//! within their timeouts; what arrived is discarded and requested again. The old catalogue stays in
//! force meanwhile, and the datagrams of the peer wait behind its deltas, so that it is considered
//! gone.
//!
//! Three rules prevent this, and each is sufficient alone:
//!
//! * each instance chooses at random whom to ask, and skips peers that refused or failed;
//! * a peer sends a large delta to few instances at once ([`MAX_LARGE_TRANSFERS`]) and refuses the
//!   others immediately; those that received it can pass it on;
//! * an instance that is still behind after [`DIRECT_READ_AFTER`] reads the store itself.
//!
//! `docs/design/platform.md` has the figures.

use super::revision::Revision;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A watcher asks peers that are ahead of it only after this time, since it normally receives the
/// change from the store itself.
const WATCHER_GRACE: Duration = Duration::from_millis(150);

/// For this long an instance asks only peers whose own datagrams show that they are ahead, so that
/// the few watchers whose beacons reach everybody are not asked by all instances at once.
const DIRECT_FIRST: Duration = Duration::from_millis(60);

/// An instance that is behind for this long reads the store itself, whatever its peers do. Small
/// changes take some 10 ms from peer to peer. This is a quarter of the tightest bound within which
/// a change must be in force.
pub const DIRECT_READ_AFTER: Duration = Duration::from_millis(500);

/// Deltas of more bytes than this are large. A hundred peers can be sent this much over the
/// smallest links, of 10 Mbit/s, in 0.3 s.
pub const LARGE_DELTA_BYTES: usize = 4 * 1024;

/// Instances to which one instance sends a large delta at once, until they have read it. With two,
/// the number of instances that have it triples with each round, and datagrams wait behind no more
/// than the windows of two connections.
pub const MAX_LARGE_TRANSFERS: usize = 2;

/// Mean pause before a peer that refused is asked again: about twice the time that a catalogue of
/// 1,200 entries takes to one peer (37 to 71 ms with 86 instances).
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// Mean pause before a peer whose delta did not arrive is asked again.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// A peer that is ahead.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Provider {
    /// Its address.
    pub address: SocketAddrV4,
    /// The revision up to which its replica is complete.
    pub revision: Revision,
    /// The digest of its replica.
    pub digest: u64,
    /// Whether its own datagram to this instance shows this, not only its beacon.
    pub is_direct: bool,
}

/// Why a peer that is ahead sent no delta.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// It is sending to other instances at the moment.
    Refused,
    /// The delta did not arrive, or cannot be decoded.
    Failed,
}

/// Whether this instance is behind, and which peers to skip.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    behind_since: Option<Time>,
    /// Whether a peer has a later catalogue in force than this instance.
    lacks_catalogue: bool,
    /// Peers that are not asked before the given time.
    skipped_until: BTreeMap<SocketAddrV4, Time>,
}

impl CatchUp {
    /// Sets whether some peer is ahead of this instance.
    pub fn set_behind(&mut self, now: Time, behind: bool) {
        if !behind {
            self.behind_since = None;
            if !self.lacks_catalogue {
                self.skipped_until.clear();
            }
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Sets whether some peer has a later catalogue in force than this instance.
    pub fn set_lacks_catalogue(&mut self, lacks: bool) {
        self.lacks_catalogue = lacks;
    }

    /// Returns whether some peer has a later catalogue in force than this instance.
    pub fn lacks_catalogue(&self) -> bool {
        self.lacks_catalogue
    }

    /// Returns whether some peer is ahead, or has a later catalogue in force.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some() || self.lacks_catalogue
    }

    /// Returns whether peers had enough time, and the store is to be read instead.
    pub fn needs_direct_read(&self, now: Time) -> bool {
        self.behind_since
            .is_some_and(|since| now.since(since) >= DIRECT_READ_AFTER)
    }

    /// Returns whether some peer is ahead and still has time to send what it knows.
    pub fn awaits_peer(&self, now: Time) -> bool {
        self.behind_since.is_some() && !self.needs_direct_read(now)
    }

    /// Records that a peer did not send its delta; `draw` is uniform below one.
    pub fn on_fetch_failure(
        &mut self,
        now: Time,
        peer: SocketAddrV4,
        failure: FetchFailure,
        draw: f64,
    ) {
        let pause = match failure {
            FetchFailure::Refused => REFUSAL_PAUSE,
            FetchFailure::Failed => FAILURE_PAUSE,
        };
        self.skipped_until
            .insert(peer, now + pause.mul_f64(0.5 + draw));
    }

    /// Returns whether a peer refused or failed a moment ago.
    pub fn is_skipped(&self, now: Time, peer: SocketAddrV4) -> bool {
        let until = self.skipped_until.get(&peer);
        until.is_some_and(|&until| now < until)
    }

    /// Returns the peers that may be asked now: of those that are not skipped, the ones whose
    /// digest equals that of the peer that is furthest ahead. A watcher waits some time first.
    pub fn candidates(&self, now: Time, ahead: &[Provider], watches: bool) -> Vec<SocketAddrV4> {
        let Some(since) = self.behind_since else {
            return Vec::new();
        };
        let behind_for = now.since(since);
        if watches && behind_for < WATCHER_GRACE {
            return Vec::new();
        }
        let is_able = |it: &&Provider| {
            !self.is_skipped(now, it.address) && (it.is_direct || behind_for >= DIRECT_FIRST)
        };
        let able = || ahead.iter().filter(is_able);
        let Some(best) = able().max_by_key(|it| it.revision) else {
            return Vec::new();
        };
        let same = able().filter(|it| it.digest == best.digest);
        same.map(|it| it.address).collect()
    }
}
