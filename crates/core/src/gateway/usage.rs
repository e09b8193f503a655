//! The load of each endpoint as far as this instance knows it.
//!
//! Its own requests are counted exactly. The home of a service knows the usage of its engines by
//! other instances ([`home`](super::home)) and reports it regularly. A service may also report its
//! load in its responses, which is used if it is higher than the count.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::cmp::Reverse;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The usage of one endpoint by one or more instances.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Requests that were sent and have not ended.
    pub running: u16,
    /// Prompt tokens of requests whose first response byte has not arrived.
    pub pending_prefill: u32,
    /// KV cache tokens that generations use or are expected to use.
    pub tokens: u32,
    /// KV cache tokens of standby copies.
    pub copy_tokens: u32,
}

impl Usage {
    /// An endpoint that is not used.
    pub const NONE: Usage = Usage {
        running: 0,
        pending_prefill: 0,
        tokens: 0,
        copy_tokens: 0,
    };

    /// Returns the order of endpoints by usage: those with pending prompts come first, because a
    /// generation may resume where none is pending.
    fn weight(self) -> (bool, u32, u16) {
        let held = self.tokens.saturating_add(self.copy_tokens);
        (self.pending_prefill > 0, held, self.running)
    }

    /// Returns the sum of both.
    pub fn plus(self, other: Usage) -> Usage {
        Usage {
            running: self.running.saturating_add(other.running),
            pending_prefill: self.pending_prefill.saturating_add(other.pending_prefill),
            tokens: self.tokens.saturating_add(other.tokens),
            copy_tokens: self.copy_tokens.saturating_add(other.copy_tokens),
        }
    }

    /// Returns whether KV cache is used, by generations or copies.
    fn uses_kv_cache(self) -> bool {
        self.tokens > 0 || self.copy_tokens > 0
    }
}

/// Bound on the endpoints that a message lists as used, so that it fits a datagram however many are
/// used, and on those that it lists as failing or ejected. A used one takes some 18 bytes.
pub const MAX_LISTED: usize = 128;

/// Usage by other instances, and the endpoints at which they saw failures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerUsage {
    used: BTreeMap<EndpointKey, Usage>,
    /// Endpoints whose last result at any other instance was a failure.
    pub failing: BTreeSet<EndpointKey>,
    /// Endpoints that several other instances have ejected.
    pub ejected: BTreeSet<EndpointKey>,
    /// What an endpoint that is not listed may be used at most.
    #[serde(skip)]
    unlisted: Usage,
}

impl PeerUsage {
    /// Returns the usage of a fleet with no other instances.
    pub const fn empty() -> Self {
        PeerUsage {
            used: BTreeMap::new(),
            failing: BTreeSet::new(),
            ejected: BTreeSet::new(),
            unlisted: Usage::NONE,
        }
    }

    /// Returns the usage as it is sent: of the endpoints that are used, the [`MAX_LISTED`] ones with
    /// the most usage, and as many of those that failed.
    pub(super) fn to_message(
        used: Vec<(EndpointKey, Usage)>,
        failing: impl Iterator<Item = EndpointKey>,
        ejected: impl Iterator<Item = EndpointKey>,
    ) -> Self {
        let mut listed = used;
        if listed.len() > MAX_LISTED {
            let by_usage = |(key, used): &(EndpointKey, Usage)| Reverse((used.weight(), *key));
            listed.select_nth_unstable_by_key(MAX_LISTED, by_usage);
            listed.truncate(MAX_LISTED);
        }
        PeerUsage {
            used: listed.into_iter().collect(),
            failing: failing.take(MAX_LISTED).collect(),
            ejected: ejected.take(MAX_LISTED).collect(),
            unlisted: Usage::NONE,
        }
    }

    /// Returns the usage that a message states. If it lists as many endpoints as it may, others may
    /// be used as well, but none more than the least used of the listed ones. Where an endpoint that
    /// is not listed counted as empty, an instance without a home would overfill it.
    pub(super) fn from_message(mut message: PeerUsage) -> Self {
        let least = message.used.values().min_by_key(|it| it.weight());
        let is_truncated = message.used.len() >= MAX_LISTED;
        message.unlisted = least.copied().filter(|_| is_truncated).unwrap_or_default();
        message
    }

    /// Adds the usage of an endpoint by one more instance.
    pub fn add(&mut self, endpoint: EndpointKey, used: Usage) {
        let sum = self.used.entry(endpoint).or_default();
        *sum = sum.plus(used);
    }

    /// Returns the endpoints that are used.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = EndpointKey> {
        self.used.keys().copied()
    }

    /// Returns the usage of an endpoint.
    pub fn of(&self, endpoint: EndpointKey) -> Usage {
        self.used.get(&endpoint).copied().unwrap_or(self.unlisted)
    }
}

/// Lifetime of a load report from an endpoint. A plain call takes about 15 to 60 ms, so the queue
/// has been replaced completely by then.
pub const REPORTED_LOAD_TTL: Duration = Duration::from_millis(250);

/// How long work takes on the host of an endpoint, in percent of the usual duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown(u16);

impl Slowdown {
    /// Work takes its usual time.
    pub const USUAL: Slowdown = Slowdown(100);

    /// Bounds of what is believed, in percent. A false statement of an endpoint then attracts or
    /// repels no more work than a queue that is four times shorter or ten times longer.
    const BOUNDS: (u32, u32) = (25, 1_000);

    /// Returns the slowdown that an endpoint stated, within bounds.
    pub fn from_percent(percent: u32) -> Self {
        let (least, most) = Self::BOUNDS;
        Slowdown(percent.clamp(least, most) as u16)
    }

    /// Returns the factor by which work takes longer than usual.
    pub fn factor(self) -> f64 {
        f64::from(self.0) / 100.0
    }
}

/// The load that an endpoint reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedLoad {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes on its host.
    pub slowdown: Slowdown,
}

/// The usage of all endpoints by this instance, and the loads that endpoints reported.
#[derive(Clone, Debug, Default)]
pub struct UsageTable {
    own: BTreeMap<EndpointKey, Usage>,
    reported: BTreeMap<EndpointKey, (Time, ReportedLoad)>,
    /// Counts the changes that are reported to a home immediately.
    changes: u64,
}

impl UsageTable {
    /// Returns the usage of an instance that runs nothing.
    pub const fn new() -> Self {
        UsageTable {
            own: BTreeMap::new(),
            reported: BTreeMap::new(),
            changes: 0,
        }
    }

    /// Adds a request that is sent with `prompt_tokens` and is expected to use `tokens` of KV
    /// cache.
    pub fn begin(&mut self, endpoint: EndpointKey, tokens: u32, prompt_tokens: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.running = used.running.saturating_add(1);
        used.pending_prefill = used.pending_prefill.saturating_add(prompt_tokens);
        used.tokens = used.tokens.saturating_add(tokens);
        self.changes += u64::from(tokens > 0);
    }

    /// Records the first response byte of a request: its `prompt_tokens` have been prefilled.
    pub fn on_first_byte(&mut self, endpoint: EndpointKey, prompt_tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.pending_prefill = used.pending_prefill.saturating_sub(prompt_tokens);
            self.changes += u64::from(prompt_tokens > 0);
        }
    }

    /// Removes a request that ended; `prompt_tokens` of it were still pending.
    pub fn end(&mut self, endpoint: EndpointKey, tokens: u32, prompt_tokens: u32) {
        let Some(used) = self.own.get_mut(&endpoint) else {
            debug_assert!(false, "a request ended at {endpoint} that was not counted");
            return;
        };
        used.running = used.running.saturating_sub(1);
        used.tokens = used.tokens.saturating_sub(tokens);
        used.pending_prefill = used.pending_prefill.saturating_sub(prompt_tokens);
        self.changes += u64::from(tokens > 0);
        self.drop_if_unused(endpoint);
    }

    /// Replaces the expected KV cache usage of a generation.
    pub fn adjust(&mut self, endpoint: EndpointKey, previous: u32, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.tokens = used.tokens.saturating_sub(previous).saturating_add(tokens);
        }
    }

    /// Adds a standby copy.
    pub fn begin_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        let used = self.own.entry(endpoint).or_default();
        used.copy_tokens = used.copy_tokens.saturating_add(tokens);
        self.changes += 1;
    }

    /// Removes a standby copy.
    pub fn end_copy(&mut self, endpoint: EndpointKey, tokens: u32) {
        if let Some(used) = self.own.get_mut(&endpoint) {
            used.copy_tokens = used.copy_tokens.saturating_sub(tokens);
            self.changes += 1;
            self.drop_if_unused(endpoint);
        }
    }

    /// Records the load that an endpoint reported.
    pub fn observe_load(&mut self, now: Time, endpoint: EndpointKey, load: ReportedLoad) {
        self.reported.insert(endpoint, (now, load));
    }

    /// Drops the reported load of an endpoint that no longer exists.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.reported.remove(&endpoint);
    }

    /// Returns the usage of engines by this instance, for the report to their home.
    pub fn engine_usage(&self) -> impl Iterator<Item = (EndpointKey, Usage)> {
        let own = self.own.iter().filter(|(_, used)| used.uses_kv_cache());
        own.map(|(key, used)| (*key, *used))
    }

    /// Returns the endpoints that this instance uses.
    pub(super) fn endpoints(&self) -> impl Iterator<Item = EndpointKey> {
        self.own.keys().copied()
    }

    /// Returns a counter that increases with each change that is reported to a home immediately.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Returns the usage of an endpoint by this instance.
    pub fn own(&self, endpoint: EndpointKey) -> Usage {
        self.own.get(&endpoint).copied().unwrap_or_default()
    }

    /// Returns the load that an endpoint reported, if it is recent.
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
