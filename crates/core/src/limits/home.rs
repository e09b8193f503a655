//! The home of limits: hands out leases.

use super::bucket::TokenBucket;
use super::fair::FairLevel;
use super::message::{LeaseRequest, LimitLease, LimitsMessage};
use super::{Allowance, LEASE_TTL, LimitKey, LimitsAction};
use crate::ids::InstanceKey;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use std::collections::BTreeMap;

/// The home takes back from holders above their share at most so often.
const MIN_REVOKE_INTERVAL: Duration = Duration::from_millis(250);

/// Accounts that nobody holds anything of are dropped so often.
const SWEEP_INTERVAL: Duration = Duration::from_secs(10);

/// A home that meets a limit soon after homes moved leases each asker an equal
/// part at most for so long. Others may hold leases of an earlier home, of
/// which they tell the new one within this time; leasing the whole limit to
/// whoever asks first would run up to twice of it.
const HANDOVER_TIME: Duration = Duration::from_secs(1);

/// For each instance that uses a limit, so much is added to the pause after
/// which a wish that was not met is repeated. Hundreds of instances that want
/// more of a limit that is used up would otherwise keep its home busy.
const RETRY_PAUSE_PER_HOLDER: Duration = Duration::from_millis(20);

/// The least tokens that are worth telling a waiting instance about.
const MIN_TOKENS_AWAITED: u64 = 1;

/// What one instance holds of one limit.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Places that it may be using.
    slots: u32,
    wanted_slots: u32,
    expires: Time,
    seq: u32,
    /// The share that it was asked to come down to since it last asked.
    revoked_to: Option<u32>,
}

/// One limit.
///
/// Invariant while this is the only home: the slots of all holdings add up to
/// at most the allowance, except for what was held under an earlier home or a
/// higher allowance; then nothing is given out until they do.
#[derive(Clone, Debug)]
struct Account {
    allowance: Allowance,
    holdings: BTreeMap<PeerId, Holding>,
    bucket: TokenBucket,
    /// Until when each asker gets an equal part at most.
    equal_shares_until: Time,
    revoked_at: Time,
}

/// Leases out the limits that this instance is home for.
#[derive(Clone, Debug, Default)]
pub struct LimitHome {
    accounts: BTreeMap<LimitKey, Account>,
    sweep_due: Option<Time>,
    /// Usable and listed instances; see [`LimitHome::set_fleet`].
    fleet: (u32, u32),
    /// When homes moved last. Leases of earlier homes have ended
    /// [`LEASE_TTL`] later.
    homes_moved_at: Option<Time>,
}

impl LimitHome {
    /// Creates a home of nothing.
    pub fn new() -> Self {
        LimitHome::default()
    }

    /// Tells how many instances can be reached of those that are listed.
    ///
    /// A home that cannot reach some leaves them their part: on the other side
    /// of a partition they have a home of their own, which gives out the rest.
    ///
    /// To be called whenever homes may have moved.
    pub fn set_fleet(&mut self, now: Time, usable: u32, listed: u32) {
        self.fleet = (usable, listed);
        self.homes_moved_at = Some(now);
    }

    /// Returns how many limits are in use here.
    pub fn accounts(&self) -> usize {
        self.accounts.len()
    }

    /// Returns the places that are leased out of a limit.
    pub fn leased(&self, key: LimitKey) -> u32 {
        let account = self.accounts.get(&key);
        account.map_or(0, |it| it.holdings.values().map(|it| it.slots).sum())
    }

    /// Answers an instance that asks for a lease.
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

    /// Frees what a life held that is known to be over.
    ///
    /// Only for a life that was replaced: one that cannot be reached may be
    /// running its requests on the other side of a partition.
    pub fn incarnation_ended(&mut self, peer: PeerId) {
        for account in self.accounts.values_mut() {
            account.holdings.remove(&peer);
        }
    }

    /// Returns when [`LimitHome::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.sweep_due.unwrap_or(Time::NEVER)
    }

    /// Drops what nobody uses.
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

/// Returns the part of `whole` for the usable instances of those listed. At
/// least one is left, or a small limit would stop its workspace in a partition.
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

    /// Returns whether a later ask of the same life was answered before.
    fn is_superseded(&self, from: PeerId, request: &LeaseRequest) -> bool {
        let holding = self.holdings.get(&from);
        holding.is_some_and(|it| it.seq >= request.seq)
    }

    fn slots_of_others(&self, from: PeerId) -> u32 {
        let others = self.holdings.iter().filter(|(peer, _)| **peer != from);
        others.map(|(_, it)| it.slots).sum()
    }

    /// Returns how the places are shared if `from` wants `wants`.
    fn fair_level(&self, total: u32, from: PeerId, wanted_slots: u32) -> FairLevel {
        let others = self.holdings.iter().filter(|(it, _)| **it != from);
        let others = others.map(|(_, it)| it.wanted_slots);
        FairLevel::of(total, others.chain([wanted_slots]))
    }

    /// Returns what does not divide evenly and is not held by another.
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
            // What the asker regards as its own counts until it asks again: the
            // answer that takes some of it back may be lost.
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

    /// Leases tokens: half of what is there at most, so that a holder that
    /// wants many leaves some to the next one.
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

    /// Asks holders above their share to come down, if `from` got less than its own.
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
