//! The home of limits, which grants leases.

use super::bucket::TokenBucket;
use super::fair::FairLevel;
use super::message::{LeaseRequest, LimitLease, LimitsMessage};
use super::{Allowance, LEASE_TTL, LimitKey, LimitsAction};
use crate::ids::InstanceKey;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use std::collections::BTreeMap;

/// Minimum time between two revocations from holders above their share.
const MIN_REVOKE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval at which accounts without holders are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// A home that first sees a limit soon after homes moved grants each requester at most an equal
/// share for this long. Other instances may hold leases of an earlier home and report them within
/// this time. Granting the whole limit to the first requester could admit up to twice the limit.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// Retry pause for an unmet lease request, for each instance that uses the limit. Without it,
/// hundreds of instances that want more of an exhausted limit would keep its home busy.
const RETRY_PAUSE_PER_HOLDER: Duration = Duration::from_millis(20);

/// A lease without tokens reports the time until this many are available.
const MIN_TOKENS_AWAITED: u64 = 1;

/// What one instance holds of one limit.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Slots that the instance may be using.
    slots: u32,
    wanted_slots: u32,
    expires: Time,
    seq: u32,
    /// The slots that the last revocation left the instance, if it sent no request since.
    revoked_to: Option<u32>,
}

/// The leases of one limit.
///
/// Invariant while this is the only home: the slots of all holdings add up to at most the
/// allowance. Slots held under an earlier home or a higher allowance may exceed it; then no slot is
/// granted until the sum is within the allowance again.
#[derive(Clone, Debug)]
struct Account {
    allowance: Allowance,
    holdings: BTreeMap<PeerId, Holding>,
    bucket: TokenBucket,
    /// Until this time each requester gets at most an equal share.
    equal_shares_until: Time,
    revoked_at: Time,
}

/// Grants leases of the limits for which this instance is the home.
#[derive(Clone, Debug, Default)]
pub struct LimitHome {
    accounts: BTreeMap<LimitKey, Account>,
    sweep_due: Option<Time>,
    /// Numbers of usable and of listed instances; see [`LimitHome::set_fleet`].
    fleet: (u32, u32),
    /// When homes last moved. Leases of earlier homes end [`LEASE_TTL`] later.
    homes_moved_at: Option<Time>,
}

impl LimitHome {
    /// Creates a home without accounts.
    pub fn new() -> Self {
        LimitHome::default()
    }

    /// Sets how many of the listed instances are reachable. Must be called whenever homes may have
    /// moved.
    ///
    /// A home leaves unreachable instances their share of each limit: on the other side of a
    /// partition they have their own home, which grants the rest.
    pub fn set_fleet(&mut self, now: Time, usable: u32, listed: u32) {
        self.fleet = (usable, listed);
        self.homes_moved_at = Some(now);
    }

    /// Returns the number of limits in use.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the number of leased slots of a limit.
    pub fn leased(&self, key: LimitKey) -> u32 {
        let account = self.accounts.get(&key);
        account.map_or(0, |it| it.holdings.values().map(|it| it.slots).sum())
    }

    /// Answers a lease request of an instance.
    pub fn on_request(
        &mut self,
        now: Time,
        from: PeerId,
        request: &LeaseRequest,
        out: &mut Vec<LimitsAction>,
    ) {
        let fleet = self.fleet;
        let account = self.accounts.entry(request.key);
        let others_may_hold = self.homes_moved_at.is_some_and(|it| now < it + LEASE_TTL);
        let account =
            account.or_insert_with(|| Account::new(now, request.allowance, others_may_hold));
        account.update_allowance(now, request.allowance);
        account.expire(now);
        if account.is_superseded(from, request) {
            return;
        }
        let lease = account.lease(now, from, request, fleet);
        out.push(send_lease(from.instance, lease));
        account.revoke_excess(now, from, request, fleet, out);
        self.sweep_due.get_or_insert(now + SWEEP_INTERVAL);
    }

    /// Frees what an incarnation held that is known to have ended.
    ///
    /// Call it only for an incarnation that was replaced. An unreachable one may still be running
    /// its requests on the other side of a partition.
    pub fn incarnation_ended(&mut self, peer: PeerId) {
        for account in self.accounts.values_mut() {
            account.holdings.remove(&peer);
        }
    }

    /// Returns when [`LimitHome::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.sweep_due.unwrap_or(Time::NEVER)
    }

    /// Drops unused accounts.
    pub fn tick(&mut self, now: Time) {
        if self.sweep_due.is_none_or(|it| now < it) {
            return;
        }
        self.accounts.retain(|_, account| {
            account.expire(now);
            !account.holdings.is_empty() || !account.bucket.is_full(now)
        });
        let more = !self.accounts.is_empty();
        self.sweep_due = more.then_some(now + SWEEP_INTERVAL);
    }
}

fn send_lease(to: InstanceKey, lease: LimitLease) -> LimitsAction {
    let message = LimitsMessage::Lease(lease);
    LimitsAction::Send { to, message }
}

/// Returns the share of `total` for the usable ones among the listed instances. It is at least one,
/// because a small limit would otherwise stop its workspace during a partition.
fn reachable_share(total: u32, (usable, listed): (u32, u32)) -> u32 {
    if usable >= listed || total == 0 {
        return total;
    }
    let share = u64::from(total) * u64::from(usable) / u64::from(listed);
    u32::try_from(share).unwrap_or(total).max(1)
}

impl Account {
    fn new(now: Time, allowance: Allowance, others_may_hold: bool) -> Self {
        let equal_shares_until = match others_may_hold {
            true => now + HANDOVER_TIME,
            false => Time::ZERO,
        };
        Account {
            allowance,
            holdings: BTreeMap::new(),
            bucket: TokenBucket::new(now, allowance.tokens_per_minute),
            equal_shares_until,
            revoked_at: Time::ZERO,
        }
    }

    fn update_allowance(&mut self, now: Time, allowance: Allowance) {
        if allowance.revision <= self.allowance.revision {
            return;
        }
        if allowance.tokens_per_minute != self.allowance.tokens_per_minute {
            self.bucket.set_rate(now, allowance.tokens_per_minute);
        }
        self.allowance = allowance;
    }

    fn expire(&mut self, now: Time) {
        self.holdings.retain(|_, it| now < it.expires);
    }

    /// Returns whether a later request of the same incarnation was already answered.
    fn is_superseded(&self, from: PeerId, request: &LeaseRequest) -> bool {
        let holding = self.holdings.get(&from);
        holding.is_some_and(|it| it.seq >= request.seq)
    }

    fn slots_of_others(&self, from: PeerId) -> u32 {
        let others = self.holdings.iter().filter(|(peer, _)| **peer != from);
        others.map(|(_, it)| it.slots).sum()
    }

    /// Returns the division of `total` slots if `from` wants `wants`.
    fn fair_level(&self, total: u32, from: PeerId, wanted_slots: u32) -> FairLevel {
        let others = self.holdings.iter().filter(|(it, _)| **it != from);
        let others = others.map(|(_, it)| it.wanted_slots);
        FairLevel::of(total, others.chain([wanted_slots]))
    }

    /// Returns the part of the remainder that no other instance holds.
    fn remainder_left(&self, from: PeerId, fair: FairLevel) -> u32 {
        let others = self.holdings.iter().filter(|(it, _)| **it != from);
        let above: u32 = others
            .map(|(_, it)| it.slots.saturating_sub(fair.share(it.wanted_slots)))
            .sum();
        fair.remainder.saturating_sub(above)
    }

    fn lease(
        &mut self,
        now: Time,
        from: PeerId,
        request: &LeaseRequest,
        fleet: (u32, u32),
    ) -> LimitLease {
        let total = reachable_share(self.allowance.concurrent, fleet);
        let free = total.saturating_sub(self.slots_of_others(from));
        let fair = self.fair_level(total, from, request.wanted_slots);
        let share = fair.share(request.wanted_slots) + self.remainder_left(from, fair);
        let slots = share
            .min(free)
            .min(request.wanted_slots)
            .min(self.handover_cap(now, total, fleet));
        if request.wanted_slots == 0 && request.held_slots == 0 {
            self.holdings.remove(&from);
        } else {
            // The slots that the requester considers its own count until its next request, because
            // the answer that revokes some of them may be lost.
            let holding = Holding {
                slots: slots.max(request.held_slots),
                wanted_slots: request.wanted_slots.max(request.held_slots),
                expires: now + LEASE_TTL,
                seq: request.seq,
                revoked_to: None,
            };
            self.holdings.insert(from, holding);
        }
        let (tokens, wait) = self.lease_tokens(now, request, fleet);
        LimitLease {
            key: request.key,
            seq: request.seq,
            slots,
            tokens,
            ttl_ms: u32::try_from(LEASE_TTL.as_millis()).unwrap_or(u32::MAX),
            tokens_wait_ms: u32::try_from(wait.as_millis()).unwrap_or(u32::MAX),
            retry_after_ms: self.retry_after_ms(),
            is_revocation: false,
        }
    }

    fn retry_after_ms(&self) -> u32 {
        let holders = u32::try_from(self.holdings.len()).unwrap_or(u32::MAX);
        let pause = RETRY_PAUSE_PER_HOLDER.saturating_mul(holders);
        u32::try_from(pause.as_millis()).unwrap_or(u32::MAX)
    }

    fn handover_cap(&self, now: Time, total: u32, (_, listed): (u32, u32)) -> u32 {
        if now >= self.equal_shares_until || listed == 0 {
            return total;
        }
        total.div_ceil(listed)
    }

    /// Leases at most half of the available tokens, so that a holder with a large demand leaves
    /// some for the next one.
    fn lease_tokens(
        &mut self,
        now: Time,
        request: &LeaseRequest,
        fleet: (u32, u32),
    ) -> (u64, Duration) {
        if self.allowance.tokens_per_minute == 0 {
            return (0, Duration::ZERO);
        }
        let (usable, listed) = fleet;
        let rate = match usable < listed {
            true => self.allowance.tokens_per_minute * u64::from(usable.max(1)) / u64::from(listed),
            false => self.allowance.tokens_per_minute,
        };
        self.bucket.set_rate(now, rate);
        self.bucket.put_back(now, request.tokens_returned);
        self.bucket.overdraw(now, request.tokens_owed);
        if request.tokens_wanted == 0 {
            return (0, Duration::ZERO);
        }
        let available = self.bucket.clone().take_up_to(now, u64::MAX);
        let tokens = self
            .bucket
            .take_up_to(now, request.tokens_wanted.min(available.div_ceil(2)));
        let wait = match tokens {
            0 => self.bucket.time_until(now, MIN_TOKENS_AWAITED),
            _ => Duration::ZERO,
        };
        (
            tokens,
            wait.max(Duration::from_millis(u64::from(tokens == 0))),
        )
    }

    /// Sends revocations to holders above their share if `from` got less than its share.
    fn revoke_excess(
        &mut self,
        now: Time,
        from: PeerId,
        request: &LeaseRequest,
        fleet: (u32, u32),
        out: &mut Vec<LimitsAction>,
    ) {
        let total = reachable_share(self.allowance.concurrent, fleet);
        let fair = self.fair_level(total, from, request.wanted_slots);
        let own_share = fair.share(request.wanted_slots);
        let has = self.holdings.get(&from).map_or(0, |it| it.slots);
        if has >= own_share || now < self.revoked_at + MIN_REVOKE_INTERVAL {
            return;
        }
        self.revoked_at = now;
        let others = self.holdings.iter_mut().filter(|(it, _)| **it != from);
        for (peer, holding) in others {
            let share = fair.share(holding.wanted_slots);
            let is_notified = holding.revoked_to.is_some_and(|it| it <= share);
            if holding.slots > share && !is_notified {
                holding.revoked_to = Some(share);
                let lease = LimitLease {
                    key: request.key,
                    seq: holding.seq,
                    slots: share,
                    tokens: 0,
                    ttl_ms: 0,
                    tokens_wait_ms: 0,
                    retry_after_ms: 0,
                    is_revocation: true,
                };
                out.push(send_lease(peer.instance, lease));
            }
        }
    }
}
