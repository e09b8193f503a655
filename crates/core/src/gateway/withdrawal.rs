//! Whether an instance that sheds connections also withdraws its readiness.
//!
//! The balancer then sends new callers to other instances. It helps where few instances get most of
//! the connections; where many are overloaded, the others would get the connections of all. So an
//! overloaded instance first tells some random peers, and withdraws only if few others that are
//! overloaded come before it in the order of their addresses. Peers that are told at random are heard
//! of with a known probability, so that each instance estimates the number of all.
//!
//! See `docs/design/crowded-instances.md`.

use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Interval at which an overloaded instance tells its peers.
const NOTICE_INTERVAL: Duration = Duration::from_millis(400);

/// Peers that are told at once: with them, a notice takes some 2 KB a second while it lasts.
pub const NOTICE_PEERS: usize = 16;

/// How long a notice counts. One may be lost.
const NOTICE_TTL: Duration = Duration::from_millis(900);

/// How long an instance must be overloaded before it withdraws: until it has heard from others that
/// are overloaded since the same moment.
const WITHDRAW_AFTER: Duration = Duration::from_millis(500);

/// Part of the instances, one in so many, that may be withdrawn at the same time.
const WITHDRAWN_PART: usize = 8;

/// The readiness of an overloaded instance, and what it has heard from others.
#[derive(Clone, Debug, Default)]
pub struct Withdrawal {
    /// Since when this instance is overloaded.
    since: Option<Time>,
    noticed_at: Option<Time>,
    /// When each overloaded peer last said so.
    heard: BTreeMap<SocketAddrV4, Time>,
    is_withdrawn: bool,
}

impl Withdrawal {
    /// Records that a peer is overloaded.
    pub fn on_notice(&mut self, now: Time, peer: SocketAddrV4) {
        self.heard.insert(peer, now);
    }

    /// Decides anew at `now`. `own` is the address of this instance, and `peers` how many others are
    /// live. Returns whether peers are to be told that this instance is overloaded.
    pub fn tick(
        &mut self,
        now: Time,
        own: SocketAddrV4,
        is_overloaded: bool,
        peers: usize,
    ) -> bool {
        self.heard.retain(|_, at| now.since(*at) < NOTICE_TTL);
        if !is_overloaded {
            *self = Withdrawal {
                heard: core::mem::take(&mut self.heard),
                ..Withdrawal::default()
            };
            return false;
        }
        let since = *self.since.get_or_insert(now);
        let allowed = (peers + 1).div_ceil(WITHDRAWN_PART).min(peers);
        let is_settled = now.since(since) >= WITHDRAW_AFTER;
        self.is_withdrawn = is_settled && self.overloaded_before(own, peers) < allowed;
        let is_due = self
            .noticed_at
            .is_none_or(|at| now.since(at) >= NOTICE_INTERVAL);
        if is_due {
            self.noticed_at = Some(now);
        }
        is_due
    }

    /// Returns an estimate of how many overloaded peers come before `own`.
    fn overloaded_before(&self, own: SocketAddrV4, peers: usize) -> usize {
        let heard = self.heard.range(..own).count();
        // Each of them sends two notices within the time for which one counts.
        let missed = 1.0 - (NOTICE_PEERS.min(peers) as f64 / peers.max(1) as f64);
        let probability = 1.0 - missed * missed;
        match probability > 0.0 {
            true => (heard as f64 / probability).round() as usize,
            false => heard,
        }
    }

    /// Returns whether this instance says that it is not ready.
    pub fn is_withdrawn(&self) -> bool {
        self.is_withdrawn
    }
}
