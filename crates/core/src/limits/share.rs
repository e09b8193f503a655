//! The share of one limit that this instance holds.

use super::bucket::TokenBucket;
use super::message::{LeaseRequest, LimitLease};
use super::{Allowance, LimitKey};
use crate::ids::{InstanceKey, WorkspaceKey};
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// A lease request that is not answered within this time is sent again.
pub(super) const REQUEST_TIMEOUT: Duration = Duration::from_millis(250);

/// A home that has not answered for this long is considered unreachable, and each instance falls
/// back to an equal share of the limit.
pub(super) const HOME_TIMEOUT: Duration = Duration::from_millis(750);

/// Interval of lease requests to an unreachable home.
const UNREACHABLE_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// A lease is renewed when this much of its time is left.
const RENEW_BEFORE: Duration = Duration::from_secs(10);

/// One slot and this fraction of those in use are requested in advance, so that the next request
/// need not wait for an answer; a divisor.
const SPARE_DIVISOR: u32 = 4;

/// Minimum pause before a request that was not met is retried.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Tokens are requested to last this long at the recent rate.
const TOKEN_HORIZON: Duration = Duration::from_secs(10);

/// Minimum number of tokens requested, as a divisor of a minute's tokens.
const MIN_TOKENS_DIVISOR: u64 = 240;

/// Averaging window of the spending rate.
const SPEND_WINDOW: Duration = Duration::from_secs(10);

/// Weight of the newest slot holding time in the average.
const HOLD_WEIGHT: f64 = 0.2;

/// A limit that is unused for this long is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// A lease request that is not answered yet.
#[derive(Clone, Copy, Debug)]
struct PendingRequest {
    seq: u32,
    sent_at: Time,
    wanted_slots: u32,
    tokens_wanted: u64,
    tokens_owed: u64,
}

/// The share of one limit that this instance holds.
#[derive(Clone, Debug)]
pub(super) struct Share {
    pub key: LimitKey,
    pub allowance: Allowance,
    /// Requests that are admitted and not ended.
    pub in_use: u32,
    /// Requests of this instance that wait for this limit.
    pub waiting: u32,
    /// Admitted requests by workspace; read for entries only.
    pub by_workspace: BTreeMap<WorkspaceKey, u32>,
    /// Leased slots, valid until `expires`.
    slots: u32,
    expires: Time,
    /// Leased tokens that are not spent; negative if more were spent.
    tokens: i64,
    /// The home reported that no tokens are available before this time.
    tokens_expected_at: Time,
    /// Recently spent tokens, decayed over [`SPEND_WINDOW`].
    spent: f64,
    spent_at: Time,
    seq: u32,
    pending: Option<PendingRequest>,
    /// When the first of the consecutive unanswered requests was sent.
    unanswered_since: Option<Time>,
    /// When to send the next request if nothing changes.
    renew_at: Time,
    /// A request that was not met is not retried before this time.
    retry_not_before: Time,
    requested_home: Option<InstanceKey>,
    /// The home leased fewer slots than were wanted, or all slots of the limit.
    is_exhausted: bool,
    /// The local fallback bucket, set while the home is unreachable.
    fallback: Option<TokenBucket>,
    /// Average time for which a slot is held; `None` until one is released.
    mean_hold: Option<Duration>,
    pub used_at: Time,
}

impl Share {
    pub fn new(now: Time, key: LimitKey, allowance: Allowance) -> Self {
        Share {
            key,
            allowance,
            in_use: 0,
            waiting: 0,
            by_workspace: BTreeMap::new(),
            slots: 0,
            expires: Time::ZERO,
            tokens: 0,
            tokens_expected_at: Time::ZERO,
            spent: 0.0,
            spent_at: now,
            seq: 0,
            pending: None,
            unanswered_since: None,
            renew_at: Time::NEVER,
            retry_not_before: Time::ZERO,
            requested_home: None,
            is_exhausted: false,
            fallback: None,
            mean_hold: None,
            used_at: now,
        }
    }

    /// Adopts the values of a later catalogue revision.
    pub fn update_allowance(&mut self, allowance: Allowance) {
        if allowance.revision > self.allowance.revision {
            self.allowance = allowance;
        }
    }

    fn leased(&self, now: Time) -> u32 {
        if now < self.expires { self.slots } else { 0 }
    }

    /// Returns how many slots may be in use.
    pub fn usable_slots(&self, now: Time, instances: u32) -> u32 {
        let leased = self.leased(now);
        match self.fallback {
            Some(_) => leased.max(self.fallback_slots(instances)),
            None => leased,
        }
    }

    /// Returns an equal share of the limit, for an instance whose home is unreachable.
    fn fallback_slots(&self, instances: u32) -> u32 {
        let share = self.allowance.concurrent / instances.max(1);
        share.max(u32::from(self.allowance.concurrent > 0))
    }

    pub fn has_free_slot(&self, now: Time, instances: u32) -> bool {
        self.in_use < self.usable_slots(now, instances)
    }

    pub fn has_tokens(&mut self, now: Time) -> bool {
        if self.allowance.tokens_per_minute == 0 {
            return true;
        }
        match &mut self.fallback {
            Some(bucket) => bucket.has_tokens(now),
            None => self.tokens > 0 && now < self.expires,
        }
    }

    /// Returns when tokens are expected if none are available.
    pub fn tokens_wait(&mut self, now: Time) -> Duration {
        match &mut self.fallback {
            Some(bucket) => bucket.time_until(now, 1),
            None => self.tokens_expected_at.since(now),
        }
    }

    /// Returns whether no more slots are known to be available. Otherwise a pending request may
    /// still be granted.
    pub fn is_exhausted(&self) -> bool {
        self.fallback.is_some() || self.is_exhausted
    }

    /// Returns whether the share holds nothing, has no pending request and can be dropped.
    pub fn is_idle(&self, now: Time) -> bool {
        let in_use = self.in_use + self.waiting + self.leased(now);
        in_use == 0 && self.pending.is_none() && now >= self.used_at + FORGET_AFTER
    }

    /// Returns the expected wait of a request with `ahead` others ahead of it, from the recent rate
    /// of released slots. Without such data it returns `None`, because a guess could refuse
    /// requests that would have started in time.
    pub fn predicted_wait(&self, now: Time, instances: u32, ahead: u32) -> Option<Duration> {
        let slots = self.usable_slots(now, instances).max(1);
        let rounds = f64::from(ahead + 1) / f64::from(slots);
        self.mean_hold.map(|it| it.mul_f64(rounds))
    }

    pub fn spend(&mut self, now: Time, tokens: u64) {
        if self.allowance.tokens_per_minute == 0 {
            return;
        }
        match &mut self.fallback {
            Some(bucket) => bucket.overdraw(now, tokens),
            None => self.tokens -= i64::try_from(tokens).unwrap_or(i64::MAX),
        }
        self.decay(now);
        self.spent += tokens as f64;
    }

    fn decay(&mut self, now: Time) {
        let passed = now.since(self.spent_at).as_secs_f64();
        self.spent *= (-passed / SPEND_WINDOW.as_secs_f64()).exp();
        self.spent_at = self.spent_at.max(now);
    }

    pub fn record_hold_time(&mut self, time: Duration) {
        let before = self.mean_hold.unwrap_or(time);
        let mean = before.mul_f64(1.0 - HOLD_WEIGHT) + time.mul_f64(HOLD_WEIGHT);
        self.mean_hold = Some(mean);
    }

    fn wanted_slots(&self) -> u32 {
        let needed = self.in_use + self.waiting;
        if needed == 0 {
            return 0;
        }
        let spare = 1 + self.in_use / SPARE_DIVISOR;
        (needed + spare).min(self.allowance.concurrent)
    }

    /// Returns how many tokens to request: enough for [`TOKEN_HORIZON`] and for what was overspent.
    /// Returns 0 while enough are left.
    fn tokens_wanted(&mut self, now: Time) -> u64 {
        if self.allowance.tokens_per_minute == 0 || self.in_use + self.waiting == 0 {
            return 0;
        }
        self.decay(now);
        let rate = self.spent / SPEND_WINDOW.as_secs_f64();
        let soon = (rate * TOKEN_HORIZON.as_secs_f64()) as u64;
        let least = (self.allowance.tokens_per_minute / MIN_TOKENS_DIVISOR).max(1);
        let wanted = i64::try_from(soon.max(least)).unwrap_or(i64::MAX);
        if self.tokens > wanted / 2 {
            return 0;
        }
        u64::try_from(wanted - self.tokens).unwrap_or(0)
    }

    /// Returns whether a request to the home is due.
    pub fn is_request_due(&mut self, now: Time, home: InstanceKey) -> bool {
        let moved = self.requested_home != Some(home);
        if let Some(pending) = self.pending {
            return moved || now >= pending.sent_at + REQUEST_TIMEOUT;
        }
        let must_report = moved && (self.leased(now) > 0 || self.in_use > 0);
        if must_report || now >= self.renew_at {
            return true;
        }
        let needs_more = self.in_use + self.waiting > self.leased(now);
        now >= self.retry_not_before && (needs_more || self.tokens_wanted(now) > 0)
    }

    /// Returns the next time to check this share.
    pub fn next_wake(&self) -> Time {
        let home_timeout = match (self.fallback.is_some(), self.unanswered_since) {
            (false, Some(since)) => since + HOME_TIMEOUT,
            _ => Time::NEVER,
        };
        let request_due = self
            .pending
            .map_or(self.renew_at, |it| it.sent_at + REQUEST_TIMEOUT);
        request_due.min(home_timeout)
    }

    /// Creates a lease request and returns the slots and tokens that it does not claim.
    pub fn make_request(&mut self, now: Time, home: InstanceKey) -> LeaseRequest {
        let is_retry = self.pending.is_some() && self.requested_home == Some(home);
        if !is_retry || self.unanswered_since.is_none() {
            self.unanswered_since = Some(now);
        }
        let wanted_slots = self.wanted_slots();
        self.slots = self.leased(now).min(wanted_slots);
        let returned = match wanted_slots {
            0 => u64::try_from(self.tokens).unwrap_or(0),
            _ => 0,
        };
        self.tokens -= i64::try_from(returned).unwrap_or(0);
        // An unanswered request may not have arrived, so its owed tokens are reported again. If it
        // did arrive, they count twice, which errs on the safe side.
        let owed_before = self.pending.map_or(0, |it| it.tokens_owed);
        let owed = owed_before + self.tokens.min(0).unsigned_abs();
        self.tokens = self.tokens.max(0);
        let tokens_wanted = self.tokens_wanted(now);
        self.seq += 1;
        self.pending = Some(PendingRequest {
            seq: self.seq,
            sent_at: now,
            wanted_slots,
            tokens_wanted,
            tokens_owed: owed,
        });
        self.requested_home = Some(home);
        self.renew_at = Time::NEVER;
        LeaseRequest {
            key: self.key,
            allowance: self.allowance,
            seq: self.seq,
            held_slots: self.in_use.max(self.slots),
            wanted_slots,
            tokens_wanted,
            tokens_returned: returned,
            tokens_owed: owed,
        }
    }

    /// Switches to the local fallback if the home does not answer in time.
    pub fn check_home(&mut self, now: Time, has_home: bool, instances: u32) {
        let since = self.unanswered_since.filter(|_| self.pending.is_some());
        let is_unreachable = since.is_some_and(|it| now >= it + HOME_TIMEOUT);
        if has_home && !is_unreachable {
            return;
        }
        if self.fallback.is_none() {
            self.fallback = Some(self.fallback_bucket(now, instances));
        }
        if self
            .pending
            .is_none_or(|it| now >= it.sent_at + REQUEST_TIMEOUT)
        {
            self.pending = None;
            self.renew_at = now + UNREACHABLE_RETRY_INTERVAL;
        }
    }

    fn fallback_bucket(&mut self, now: Time, instances: u32) -> TokenBucket {
        let share = self.allowance.tokens_per_minute / u64::from(instances.max(1));
        // Tokens overspent under the home stay owed.
        let owed_before = self.pending.map_or(0, |it| it.tokens_owed);
        let mut bucket = TokenBucket::new(now, share);
        bucket.overdraw(now, owed_before + self.tokens.min(0).unsigned_abs());
        self.tokens = self.tokens.max(0);
        bucket
    }

    pub fn uses_fallback(&self) -> bool {
        self.fallback.is_some()
    }

    /// Applies a lease; returns whether the number of slots fell, which must be reported to the
    /// home.
    pub fn apply_lease(&mut self, now: Time, lease: &LimitLease) -> bool {
        if lease.is_revocation {
            return self.apply_revocation(lease);
        }
        let Some(pending) = self.pending.filter(|it| it.seq == lease.seq) else {
            return false;
        };
        let held = self.leased(now);
        self.pending = None;
        self.unanswered_since = None;
        self.fallback = None;
        self.slots = lease.slots;
        self.expires = pending.sent_at + Duration::from_millis(u64::from(lease.ttl_ms));
        self.tokens = self
            .tokens
            .saturating_add(i64::try_from(lease.tokens).unwrap_or(i64::MAX));
        self.tokens_expected_at = now + Duration::from_millis(u64::from(lease.tokens_wait_ms));
        self.schedule(now, &pending, lease);
        lease.slots < held
    }

    fn apply_revocation(&mut self, lease: &LimitLease) -> bool {
        let is_current = self.pending.is_none() && lease.seq == self.seq;
        if !is_current || lease.slots >= self.slots {
            return false;
        }
        self.slots = lease.slots;
        true
    }

    /// Sets when to send the next request if nothing else happens.
    fn schedule(&mut self, now: Time, pending: &PendingRequest, lease: &LimitLease) {
        let renew = self.expires.since(now).saturating_sub(RENEW_BEFORE);
        let idle = self.in_use + self.waiting == 0 && self.slots == 0;
        self.renew_at = if idle { Time::NEVER } else { now + renew };
        let lacks_slots = lease.slots < pending.wanted_slots;
        let lacks_tokens = lease.tokens < pending.tokens_wanted;
        self.is_exhausted = lacks_slots || lease.slots >= self.allowance.concurrent;
        self.retry_not_before = now;
        if lacks_slots || lacks_tokens {
            let retry_after = Duration::from_millis(u64::from(lease.retry_after_ms));
            let retry_at = now + retry_after.max(MIN_RETRY_PAUSE);
            self.retry_not_before = if lacks_slots {
                retry_at
            } else {
                retry_at.max(self.tokens_expected_at)
            };
            self.renew_at = self.renew_at.min(self.retry_not_before);
        }
    }
}
