//! What runs at each endpoint, as far as this instance knows.
//!
//! Own requests are counted exactly, those of peers as their bulletins tell.
//! A service may also say in its answers how full it is; that is used where it
//! says more than the count.

use super::bulletin::{PeerTable, Used};
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// A load that an endpoint told longer ago than this says nothing any more. A
/// plain call takes some 15 to 60 ms, so that the queue has turned over by then.
const TOLD_FRESH: Duration = Duration::from_millis(250);

/// How full an endpoint said it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ToldLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// Own use of every endpoint, and what endpoints told.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    own: BTreeMap<EndpointKey, Used>,
    told: BTreeMap<EndpointKey, (Time, ToldLoad)>,
}

impl UsageTable {
    /// Counts a request that is sent.
    pub fn begin(&mut self, endpoint: EndpointKey, tokens: u32, unread: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.running = used.running.saturating_add(1);
        used.unread = used.unread.saturating_add(unread);
        used.tokens = used.tokens.saturating_add(tokens);
    }

    /// Counts the first byte of a request's answer: its prompt was read.
    pub fn first_byte(&mut self, endpoint: EndpointKey, unread: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.unread = used.unread.saturating_sub(unread);
        }
    }

    /// Counts the end of a request, of which `unread` prompt tokens were not read.
    pub fn end(&mut self, endpoint: EndpointKey, tokens: u32, unread: u32) {
        let Some(used) = self.own.get_mut(&endpoint) else {
            debug_assert!(false, "a request at {endpoint} ends that did not begin");
            return;
        };
        used.running = used.running.saturating_sub(1);
        used.tokens = used.tokens.saturating_sub(tokens);
        used.unread = used.unread.saturating_sub(unread);
        self.drop_if_unused(endpoint);
    }

    /// Counts anew what a generation is expected to take.
    pub fn adjust(&mut self, endpoint: EndpointKey, was: u32, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.tokens = used.tokens.saturating_sub(was).saturating_add(tokens);
        }
    }

    /// Counts a standing copy.
    pub fn begin_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.copied = used.copied.saturating_add(tokens);
    }

    /// Counts the end of a standing copy.
    pub fn end_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.copied = used.copied.saturating_sub(tokens);
            self.drop_if_unused(endpoint);
        }
    }

    /// Notes what an endpoint told.
    pub fn told(&mut self, now: Time, endpoint: EndpointKey, load: ToldLoad) {
        self.told.insert(endpoint, (now, load));
    }

    /// Forgets what an endpoint told, because it is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.told.remove(&endpoint);
    }

    /// Returns what this instance uses, to tell peers.
    pub fn own(&self) -> impl Iterator<Item = (EndpointKey, Used)> {
        self.own.iter().map(|(key, used)| (*key, *used))
    }

    /// Returns the use of an endpoint by all instances together.
    pub fn of(&self, now: Time, endpoint: EndpointKey, peers: &PeerTable) -> Used {
        let mut sum = self.own.get(&endpoint).copied().unwrap_or_default();
        for (_, peer) in peers.live(now) {
            if let Some(used) = peer.used.get(&endpoint) {
                sum.running = sum.running.saturating_add(used.running);
                sum.unread = sum.unread.saturating_add(used.unread);
                sum.tokens = sum.tokens.saturating_add(used.tokens);
                sum.copied = sum.copied.saturating_add(used.copied);
            }
        }
        sum
    }

    /// Returns what the endpoint told lately.
    pub fn told_lately(&self, now: Time, endpoint: EndpointKey) -> Option<ToldLoad> {
        let (at, load) = self.told.get(&endpoint)?;
        (now.since(*at) < TOLD_FRESH).then_some(*load)
    }

    fn drop_if_unused(&mut self, endpoint: EndpointKey) {
        if self.own.get(&endpoint) == Some(&Used::default()) {
            self.own.remove(&endpoint);
        }
    }
}
