//! What runs at each endpoint, as far as this instance knows.
//!
//! Own requests are counted exactly. What others run at engines is the home's to know
//! ([`home`](super::home)), which tells it now and then. A service may also say in its
//! answers how full it is; that is used where it says more than the count.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What one instance runs at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests sent and not ended.
    pub running: u16,
    /// Prompt tokens of those that were not answered with a first byte.
    pub pending_prefill: u32,
    /// Tokens of memory that generations take or are expected to take.
    pub tokens: u32,
    /// Tokens of memory that standing copies take.
    pub copy_tokens: u32,
}

impl Usage {
    /// Returns both together.
    pub fn plus(self, other: Usage) -> Usage {
        Usage {
            running: self.running.saturating_add(other.running),
            pending_prefill: self.pending_prefill.saturating_add(other.pending_prefill),
            tokens: self.tokens.saturating_add(other.tokens),
            copy_tokens: self.copy_tokens.saturating_add(other.copy_tokens),
        }
    }

    /// Returns whether anything is at an engine: memory of generations or copies.
    fn uses_kv_cache(self) -> bool {
        self.tokens > 0 || self.copy_tokens > 0
    }
}

/// What other instances run at endpoints, and where they saw failures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    used: BTreeMap<EndpointKey, Usage>,
    /// Endpoints of which the last that somebody saw was a failure.
    pub failing: BTreeSet<EndpointKey>,
    /// Endpoints that several of them cannot use.
    pub ejected: BTreeSet<EndpointKey>,
}

impl PeerUsage {
    /// Returns what is known where nothing is.
    pub const fn empty() -> Self {
        PeerUsage {
            used: BTreeMap::new(),
            failing: BTreeSet::new(),
            ejected: BTreeSet::new(),
        }
    }

    /// Counts what one more runs at an endpoint.
    pub fn add(&mut self, endpoint: EndpointKey, used: Usage) {
        let sum = self.used.entry(endpoint).or_default();
        *sum = sum.plus(used);
    }

    /// Returns what is run at an endpoint.
    pub fn of(&self, endpoint: EndpointKey) -> Usage {
        self.used.get(&endpoint).copied().unwrap_or_default()
    }
}

/// A load that an endpoint told longer ago than this says nothing any more. A
/// plain call takes some 15 to 60 ms, so that the queue has turned over by then.
const REPORTED_LOAD_TTL: Duration = Duration::from_millis(250);

/// How full an endpoint said it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
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
    own: BTreeMap<EndpointKey, Usage>,
    reported: BTreeMap<EndpointKey, (Time, ReportedLoad)>,
    /// Counts the changes that a home is to hear of.
    changes: u64,
}

impl UsageTable {
    /// Counts a request that is sent.
    pub fn begin(&mut self, endpoint: EndpointKey, tokens: u32, prompt_tokens: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.running = used.running.saturating_add(1);
        used.pending_prefill = used.pending_prefill.saturating_add(prompt_tokens);
        used.tokens = used.tokens.saturating_add(tokens);
        self.changes += u64::from(tokens > 0);
    }

    /// Counts the first byte of a request's answer: its prompt was read.
    pub fn on_first_byte(&mut self, endpoint: EndpointKey, prompt_tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.pending_prefill = used.pending_prefill.saturating_sub(prompt_tokens);
            self.changes += u64::from(prompt_tokens > 0);
        }
    }

    /// Counts the end of a request, of which `unread` prompt tokens were not read.
    pub fn end(&mut self, endpoint: EndpointKey, tokens: u32, prompt_tokens: u32) {
        let Some(used) = self.own.get_mut(&endpoint) else {
            debug_assert!(false, "a request at {endpoint} ends that did not begin");
            return;
        };
        used.running = used.running.saturating_sub(1);
        used.tokens = used.tokens.saturating_sub(tokens);
        used.pending_prefill = used.pending_prefill.saturating_sub(prompt_tokens);
        self.changes += u64::from(tokens > 0);
        self.drop_if_unused(endpoint);
    }

    /// Counts anew what a generation is expected to take.
    pub fn adjust(&mut self, endpoint: EndpointKey, previous: u32, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.tokens = used.tokens.saturating_sub(previous).saturating_add(tokens);
        }
    }

    /// Counts a standing copy.
    pub fn begin_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.copy_tokens = used.copy_tokens.saturating_add(tokens);
        self.changes += 1;
    }

    /// Counts the end of a standing copy.
    pub fn end_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.copy_tokens = used.copy_tokens.saturating_sub(tokens);
            self.changes += 1;
            self.drop_if_unused(endpoint);
        }
    }

    /// Notes what an endpoint told.
    pub fn observe_load(&mut self, now: Time, endpoint: EndpointKey, load: ReportedLoad) {
        self.reported.insert(endpoint, (now, load));
    }

    /// Forgets what an endpoint told, because it is gone.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.reported.remove(&endpoint);
    }

    /// Returns what this instance runs at engines, to tell their home.
    pub fn engine_usage(&self) -> impl Iterator<Item = (EndpointKey, Usage)> {
        let own = self.own.iter().filter(|(_, used)| used.uses_kv_cache());
        own.map(|(key, used)| (*key, *used))
    }

    /// Returns a number that grows with each change that a home is to hear of at once.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns what this instance runs at an endpoint.
    pub fn own(&self, endpoint: EndpointKey) -> Usage {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns what the endpoint told lately.
    pub fn recent_load(&self, now: Time, endpoint: EndpointKey) -> Option<ReportedLoad> {
        let (at, load) = self.reported.get(&endpoint)?;
        (now.since(*at) < REPORTED_LOAD_TTL).then_some(*load)
    }

    fn drop_if_unused(&mut self, endpoint: EndpointKey) {
        if self.own.get(&endpoint) == Some(&Usage::default()) {
            self.own.remove(&endpoint);
        }
    }
}
