//! The choice of peers through which a partitioned instance serves its callers.
//!
//! A peer that serves a request for this instance is its *proxy*. Peers say only when they are
//! asked whether they can be one, so nothing is added to datagrams. A peer that declined or did not
//! answer is skipped for a while, and one that served is remembered: where most instances are
//! partitioned, a random choice would ask many of them in vain.
//!
//! See `docs/design/partitions.md`.

use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long a peer that cannot be a proxy is skipped.
const SKIP_FOR: Duration = Duration::from_millis(1_000);

/// How long a peer that served a request is preferred after others declined.
const PREFERRED_FOR: Duration = Duration::from_secs(10);

/// How many peers that served requests are remembered.
const MAX_PREFERRED: usize = 8;

/// Peers whose data centre is remembered.
const MAX_DATA_CENTRES: usize = 64;

/// What an instance knows of its peers as proxies.
#[derive(Clone, Debug, Default)]
pub struct Proxies {
    /// Until when a peer is skipped for a service, by the hash of the service's name.
    skipped: BTreeMap<(u64, SocketAddrV4), Time>,
    /// Peers that served a request for a service, and when.
    served: BTreeMap<(u64, SocketAddrV4), Time>,
    /// The data centres of some peers that have answered.
    data_centres: BTreeMap<SocketAddrV4, String>,
}

/// The peers from which a proxy is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ProxyChoice<'a> {
    /// The hash of the service's name.
    pub service: u64,
    /// The data centre of this instance.
    pub data_centre: &'a str,
    /// Live peers that are not stopping.
    pub peers: &'a [SocketAddrV4],
    /// Peers that this request was offered to already.
    pub tried: &'a [SocketAddrV4],
}

impl Proxies {
    /// Records that a peer serves a request of `service`.
    pub fn on_served(&mut self, now: Time, service: u64, peer: SocketAddrV4) {
        self.skipped.remove(&(service, peer));
        self.served.retain(|_, at| now.since(*at) < PREFERRED_FOR);
        if self.served.len() >= MAX_PREFERRED {
            let oldest = self.served.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(key, _)| *key) {
                self.served.remove(&oldest);
            }
        }
        self.served.insert((service, peer), now);
    }

    /// Records that a peer cannot serve requests of `service`, or did not answer.
    pub fn on_unavailable(&mut self, now: Time, service: u64, peer: SocketAddrV4) {
        self.served.remove(&(service, peer));
        self.skipped.retain(|_, until| now < *until);
        self.skipped.insert((service, peer), now + SKIP_FOR);
    }

    /// Records the data centre of a peer.
    pub fn on_data_centre(&mut self, peer: SocketAddrV4, data_centre: &str) {
        if self.data_centres.get(&peer).map(String::as_str) == Some(data_centre) {
            return;
        }
        if self.data_centres.len() >= MAX_DATA_CENTRES {
            self.data_centres.pop_first();
        }
        self.data_centres.insert(peer, data_centre.to_owned());
    }

    /// Returns a peer that recently served a request of `service`.
    pub fn suggest(&self, now: Time, service: u64) -> Option<SocketAddrV4> {
        let of_service = self
            .served
            .iter()
            .filter(|((it, _), at)| *it == service && now.since(**at) < PREFERRED_FOR);
        of_service
            .max_by_key(|(_, at)| **at)
            .map(|((_, peer), _)| *peer)
    }

    /// Chooses the peer to which a request is offered next.
    ///
    /// The first choice is random, so that load is spread. After a peer declined, one that recently
    /// served is taken.
    pub fn choose(
        &self,
        now: Time,
        choice: ProxyChoice<'_>,
        rng: &mut SmallRng,
    ) -> Option<SocketAddrV4> {
        let ProxyChoice {
            service,
            peers,
            tried,
            ..
        } = choice;
        let open: Vec<SocketAddrV4> = peers
            .iter()
            .copied()
            .filter(|it| !tried.contains(it) && !self.is_skipped(now, service, *it))
            .collect();
        if !tried.is_empty() {
            let known = |it: &&SocketAddrV4| self.served.contains_key(&(service, **it));
            let known: Vec<SocketAddrV4> = open.iter().filter(known).copied().collect();
            if let Some(peer) = known.choose(rng) {
                return Some(*peer);
            }
        }
        let near = self.near(now, choice, &open);
        near.choose(rng).or_else(|| open.choose(rng)).copied()
    }

    /// Returns the peers in `open` that are in the data centre of this instance, or of which that
    /// is not known; none if they would have to serve for more instances than themselves.
    fn near(&self, now: Time, choice: ProxyChoice<'_>, open: &[SocketAddrV4]) -> Vec<SocketAddrV4> {
        let is_near = |it: &SocketAddrV4| {
            let data_centre = self.data_centres.get(it);
            data_centre.is_none_or(|it| it == choice.data_centre)
        };
        let near: Vec<SocketAddrV4> = open.iter().copied().filter(is_near).collect();
        let peers = choice.peers.iter();
        let unable = peers
            .filter(|it| is_near(it) && self.is_skipped(now, choice.service, **it))
            .count();
        match unable < near.len() {
            true => near,
            false => Vec::new(),
        }
    }

    fn is_skipped(&self, now: Time, service: u64, peer: SocketAddrV4) -> bool {
        let until = self.skipped.get(&(service, peer));
        until.is_some_and(|&until| now < until)
    }
}
