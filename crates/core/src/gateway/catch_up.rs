//! How an instance that knows less of the store than its peers gets what it missed.
//!
//! Most instances do not watch the store; they hear that a peer knows more, and ask. A change may be large (a catalogue of some thousand entries takes a
//! megabyte) and the links of instances are small, so that nobody can tell it to all.
//! What goes wrong otherwise: all ask the same peer, its link carries the change to
//! nobody in the time that each allows, what arrived is thrown away and asked for
//! again. The catalogue in force stays old for as long as that lasts, and the datagrams
//! of the peer that is asked wait behind its answers, so that it counts as gone.
//!
//! Three rules prevent it, and each holds alone:
//!
//! * each instance draws whom to ask, and passes over who refused or failed;
//! * a peer tells a large change to few at once ([`MAX_LARGE_TRANSFERS`]) and refuses the
//!   others at once; those that were told can tell it on;
//! * who is still behind after [`DIRECT_READ_AFTER`] reads the store itself.
//!
//! `docs/design/platform.md` has the figures.

use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A peer's revision above the own one is believed to be missing, by an instance that
/// watches the store itself, after this time.
const WATCHER_GRACE: Duration = Duration::from_millis(150);

/// An instance that heard of a change only from those that watch gives so much time to a
/// peer nearer to it, so that two instances are not asked by all others at once.
const DIRECT_FIRST: Duration = Duration::from_millis(60);

/// An instance that is behind for so long reads the store itself, whatever its peers do.
/// Small changes take some 10 ms from peer to peer. A quarter of the tightest bound
/// within which a change must be in force.
pub const DIRECT_READ_AFTER: Duration = Duration::from_millis(500);

/// Records of more bytes than this are much to tell. A hundred peers can be told so much
/// over the smallest links, of 10 Mbit/s, in 0.3 s.
pub const LARGE_DELTA_BYTES: usize = 4 * 1024;

/// Peers to which one instance tells a large change at once, until they have read it. With
/// two, those that know it become three times as many with each round, and datagrams wait
/// behind no more than the windows of two connections.
pub const MAX_LARGE_TRANSFERS: usize = 2;

/// How long a peer that refused is not asked again, on average: some twice as long as a
/// catalogue of 1,200 entries took to one peer (37 to 71 ms, first three of a day with 86
/// instances).
const REFUSAL_PAUSE: Duration = Duration::from_millis(150);

/// How long a peer whose answer did not arrive is not asked again, on average.
const FAILURE_PAUSE: Duration = Duration::from_secs(1);

/// A peer that knows more of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Provider {
    /// Where it answers.
    pub address: SocketAddrV4,
    /// The revision that it knows.
    pub revision: u64,
    /// What that comes to.
    pub digest: u64,
    /// Whether it said so itself to this instance, and not to all.
    pub is_direct: bool,
}

/// Why a peer that knows more did not tell it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchFailure {
    /// It tells others at the moment.
    Refused,
    /// Its answer did not arrive, or cannot be read.
    Failed,
}

/// What an instance knows of its being behind.
#[derive(Clone, Debug, Default)]
pub struct CatchUp {
    behind_since: Option<Time>,
    /// Peers that are not asked until then.
    skipped_until: BTreeMap<SocketAddrV4, Time>,
}

impl CatchUp {
    /// Notes whether some peer knows more of the store than this instance.
    pub fn set_behind(&mut self, now: Time, behind: bool) {
        if !behind {
            self.behind_since = None;
            self.skipped_until.clear();
        } else if self.behind_since.is_none() {
            self.behind_since = Some(now);
        }
    }

    /// Returns whether some peer knows more.
    pub fn is_behind(&self) -> bool {
        self.behind_since.is_some()
    }

    /// Returns whether peers had their time, and the store is to be read instead.
    pub fn needs_direct_read(&self, now: Time) -> bool {
        self.behind_since
            .is_some_and(|since| now.since(since) >= DIRECT_READ_AFTER)
    }

    /// Notes that a peer did not tell what it knows; `draw` is uniform below one.
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

    /// Returns the peers that may be asked: of those that are not passed over, the ones
    /// that know what the best of them knows. An instance that watches the store gives it
    /// some time first.
    pub fn candidates(&self, now: Time, ahead: &[Provider], watches: bool) -> Vec<SocketAddrV4> {
        let Some(since) = self.behind_since else {
            return Vec::new();
        };
        let behind_for = now.since(since);
        if watches && behind_for < WATCHER_GRACE {
            return Vec::new();
        }
        let is_able = |it: &&Provider| {
            let until = self.skipped_until.get(&it.address);
            let is_skipped = until.is_some_and(|&until| now < until);
            !is_skipped && (it.is_direct || behind_for >= DIRECT_FIRST)
        };
        let able = || ahead.iter().filter(is_able);
        let Some(best) = able().max_by_key(|it| it.revision) else {
            return Vec::new();
        };
        let same = able().filter(|it| it.digest == best.digest);
        same.map(|it| it.address).collect()
    }
}
