//! The instance's side of limits: admits requests against its leases.

use super::claim::{Claim, Pair, keys_of};
use super::message::LimitLease;
use super::queue::{WaitQueue, Waiting};
use super::share::Share;
use super::{LimitFleet, LimitKey, LimitsAction, LimitsMessage};
use crate::ids::EntryKey;
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Minimum retry time given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request that holds a slot of each of its limits.
#[derive(Clone, Copy, Debug)]
struct Admitted {
    pair: Pair,
    since: Time,
    uses_tokens: bool,
}

/// The limit that prevents a request from starting.
#[derive(Clone, Copy, Debug)]
struct BlockingLimit {
    key: LimitKey,
    reason: Reason,
}

/// How much of the limits this instance uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseCounts {
    /// Limits that this instance tracks.
    pub limits: usize,
    /// Limits whose home is unreachable, enforced with the local fallback.
    pub without_home: usize,
    /// Requests that hold a slot.
    pub admitted: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
}

/// Admits the requests of this instance against its leases.
///
/// Invariant: a request is either queued or admitted. `in_use` and `waiting` of a share count the
/// requests of `admitted` and `queue` with its key.
#[derive(Clone, Debug)]
pub struct Leases {
    shares: BTreeMap<LimitKey, Share>,
    admitted: BTreeMap<u64, Admitted>,
    queue: WaitQueue,
    instances: u32,
    /// No share is due before this time. It may be too early but never too late, so that it need
    /// not be recomputed with every event.
    shares_due: Time,
}

impl Default for Leases {
    fn default() -> Self {
        Leases {
            shares: BTreeMap::new(),
            admitted: BTreeMap::new(),
            queue: WaitQueue::default(),
            instances: 1,
            shares_due: Time::NEVER,
        }
    }
}

impl Leases {
    /// Creates the state of an instance without leases.
    pub fn new() -> Self {
        Leases::default()
    }

    /// Returns how much of the limits is in use.
    pub fn counts(&self) -> LeaseCounts {
        LeaseCounts {
            limits: self.shares.len(),
            without_home: self.shares.values().filter(|it| it.uses_fallback()).count(),
            admitted: self.admitted.len(),
            waiting: self.queue.len(),
        }
    }

    /// Returns how many requests of this instance hold a slot of a limit.
    pub fn in_use(&self, key: LimitKey) -> u32 {
        self.shares.get(&key).map_or(0, |it| it.in_use)
    }

    /// Submits a request, which is admitted, refused or queued.
    ///
    /// `request` must not have been used before in this process.
    pub fn submit(
        &mut self,
        now: Time,
        request: u64,
        claim: Claim,
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        debug_assert!(!self.admitted.contains_key(&request) && self.queue.get(request).is_none());
        self.instances = fleet.sharing_instances();
        self.ensure_shares(now, &claim);
        let waiting = Waiting {
            claim,
            arrived: now,
        };
        if self
            .blocking_limit(now, claim.pair(), claim.tokens.is_some())
            .is_none()
        {
            self.admit(now, request, &waiting, out);
        } else {
            self.count_waiting(claim.pair(), 1);
            self.queue.push(request, waiting);
            self.refuse_too_late(now, claim.pair(), out);
            self.trim_queue(now, claim.entry, claim.queue, out);
        }
        self.request_leases(now, &claim.keys(), fleet, out);
    }

    /// Releases what a request holds, whether it was admitted or queued.
    pub fn finish(
        &mut self,
        now: Time,
        request: u64,
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        let pair = if let Some(admitted) = self.admitted.remove(&request) {
            self.release(now, &admitted);
            admitted.pair
        } else if let Some(waiting) = self.queue.remove(request) {
            let pair = waiting.claim.pair();
            self.count_waiting(pair, -1);
            pair
        } else {
            return;
        };
        self.admit_waiting(now, out);
        self.request_leases(now, &keys_of(pair), fleet, out);
    }

    /// Charges `tokens` that a request used in addition to those charged before.
    pub fn charge(
        &mut self,
        now: Time,
        request: u64,
        tokens: u32,
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(&admitted) = self.admitted.get(&request) else {
            return;
        };
        if !admitted.uses_tokens {
            return;
        }
        let keys = keys_of(admitted.pair);
        for key in &keys {
            if let Some(share) = self.shares.get_mut(key) {
                share.spend(now, u64::from(tokens));
            }
        }
        self.request_leases(now, &keys, fleet, out);
    }

    /// Applies a lease or a revocation from the home of a limit.
    pub fn on_lease(
        &mut self,
        now: Time,
        lease: &LimitLease,
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        let Some(share) = self.shares.get_mut(&lease.key) else {
            return;
        };
        let must_report = share.apply_lease(now, lease);
        self.admit_waiting(now, out);
        self.refuse_waiting(now, lease.key, out);
        if must_report {
            self.request_lease(now, lease.key, true, fleet, out);
        } else {
            self.request_leases(now, &[lease.key], fleet, out);
        }
    }

    /// Reports held leases to the new homes. Must be called whenever homes may have moved.
    pub fn homes_moved(&mut self, now: Time, fleet: &impl LimitFleet, out: &mut Vec<LimitsAction>) {
        self.instances = fleet.sharing_instances();
        let keys: Vec<LimitKey> = self.shares.keys().copied().collect();
        self.request_leases(now, &keys, fleet, out);
    }

    /// Returns when [`Leases::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.shares_due.min(self.queue.next_due())
    }

    /// Renews leases, resends unanswered requests and refuses requests past their deadline.
    pub fn tick(&mut self, now: Time, fleet: &impl LimitFleet, out: &mut Vec<LimitsAction>) {
        self.instances = fleet.sharing_instances();
        while let Some(request) = self.queue.overdue(now) {
            self.refuse(now, request, out);
        }
        if now >= self.shares_due {
            self.tick_shares(now, fleet, out);
        }
    }

    fn tick_shares(&mut self, now: Time, fleet: &impl LimitFleet, out: &mut Vec<LimitsAction>) {
        let due = self.shares.values().filter(|it| it.next_wake() <= now);
        let keys: Vec<LimitKey> = due.map(|it| it.key).collect();
        self.request_leases(now, &keys, fleet, out);
        self.admit_waiting(now, out);
        self.shares.retain(|_, it| !it.is_idle(now));
        let due = self.shares.values().map(Share::next_wake);
        self.shares_due = due.min().unwrap_or(Time::NEVER);
    }

    fn ensure_shares(&mut self, now: Time, claim: &Claim) {
        let [workspace, entry] = claim.keys();
        for (key, allowance) in [
            (workspace, claim.workspace_allowance),
            (entry, claim.entry_allowance),
        ] {
            let share = self.shares.entry(key);
            let share = share.or_insert_with(|| Share::new(now, key, allowance));
            share.update_allowance(allowance);
            share.used_at = now;
        }
    }

    /// Returns the first limit that prevents a request of `pair` from starting.
    fn blocking_limit(
        &mut self,
        now: Time,
        pair: Pair,
        uses_tokens: bool,
    ) -> Option<BlockingLimit> {
        let instances = self.instances;
        for key in keys_of(pair) {
            let share = self.shares.get_mut(&key)?;
            if !share.has_free_slot(now, instances) {
                let reason = key.concurrency_reason();
                return Some(BlockingLimit { key, reason });
            }
            if uses_tokens && !share.has_tokens(now) {
                let reason = Reason::TokenRate;
                return Some(BlockingLimit { key, reason });
            }
        }
        None
    }

    fn admit(&mut self, now: Time, request: u64, waiting: &Waiting, out: &mut Vec<LimitsAction>) {
        let claim = &waiting.claim;
        let pair = claim.pair();
        for key in keys_of(pair) {
            let Some(share) = self.shares.get_mut(&key) else {
                continue;
            };
            share.in_use += 1;
            share.used_at = now;
            *share.by_workspace.entry(claim.workspace).or_default() += 1;
            share.spend(now, u64::from(claim.tokens.unwrap_or(0)));
        }
        let admitted = Admitted {
            pair,
            since: now,
            uses_tokens: claim.tokens.is_some(),
        };
        self.admitted.insert(request, admitted);
        out.push(LimitsAction::Admit { request });
    }

    fn release(&mut self, now: Time, admitted: &Admitted) {
        let workspace = admitted.pair.1;
        for key in keys_of(admitted.pair) {
            let Some(share) = self.shares.get_mut(&key) else {
                continue;
            };
            debug_assert!(share.in_use > 0);
            share.in_use -= 1;
            share.used_at = now;
            share.record_hold_time(now.since(admitted.since));
            if let Some(count) = share.by_workspace.get_mut(&workspace) {
                *count -= 1;
                if *count == 0 {
                    share.by_workspace.remove(&workspace);
                }
            }
        }
    }

    fn count_waiting(&mut self, pair: Pair, change: i32) {
        for key in keys_of(pair) {
            if let Some(share) = self.shares.get_mut(&key) {
                share.waiting = share.waiting.saturating_add_signed(change);
            }
        }
    }

    /// Admits all waiting requests that may start.
    ///
    /// Among them, the workspace with the fewest running requests for the entry goes first, so that
    /// a large workspace with hundreds of waiting requests does not starve a small one.
    fn admit_waiting(&mut self, now: Time, out: &mut Vec<LimitsAction>) {
        loop {
            let heads: Vec<(Pair, u64)> = self.queue.heads().collect();
            let mut best: Option<(u32, Time, u64)> = None;
            for (pair, request) in heads {
                let Some(&waiting) = self.queue.get(request) else {
                    continue;
                };
                let uses_tokens = waiting.claim.tokens.is_some();
                if self.blocking_limit(now, pair, uses_tokens).is_some() {
                    continue;
                }
                let rank = (self.running_of(pair), waiting.arrived, request);
                best = Some(best.map_or(rank, |it| it.min(rank)));
            }
            let Some((_, _, request)) = best else {
                return;
            };
            let Some(waiting) = self.queue.remove(request) else {
                return;
            };
            self.count_waiting(waiting.claim.pair(), -1);
            self.admit(now, request, &waiting, out);
        }
    }

    fn running_of(&self, (entry, workspace): Pair) -> u32 {
        let share = self.shares.get(&LimitKey::Entry(entry));
        let running = share.and_then(|it| it.by_workspace.get(&workspace));
        running.copied().unwrap_or(0)
    }

    /// Refuses requests that wait for `key` and cannot start in time.
    fn refuse_waiting(&mut self, now: Time, key: LimitKey, out: &mut Vec<LimitsAction>) {
        let heads: Vec<(Pair, u64)> = self.queue.heads().collect();
        for (pair, head) in heads {
            if !keys_of(pair).contains(&key) {
                continue;
            }
            self.refuse_too_late(now, pair, out);
            let queue = self.queue.get(head).map(|it| it.claim.queue);
            if let Some(queue) = queue {
                self.trim_queue(now, pair.0, queue, out);
            }
        }
    }

    /// Refuses the newest requests of a pair that are not expected to start before their deadline.
    ///
    /// They are refused at once, because waiting until the deadline would only delay the caller's
    /// retry elsewhere.
    fn refuse_too_late(&mut self, now: Time, pair: Pair, out: &mut Vec<LimitsAction>) {
        while let Some(&last) = self.queue.of_pair(pair).last() {
            let Some(waiting) = self.queue.get(last).copied() else {
                return;
            };
            let wait = self.expected_wait(now, pair, waiting.claim.tokens.is_some());
            if wait.is_none_or(|it| now + it <= waiting.claim.deadline) {
                return;
            }
            self.refuse(now, last, out);
        }
    }

    /// Returns the expected wait of the newest request of a pair, if it can be predicted.
    fn expected_wait(&mut self, now: Time, pair: Pair, uses_tokens: bool) -> Option<Duration> {
        let blocking = self.blocking_limit(now, pair, uses_tokens)?;
        let instances = self.instances;
        let share = self.shares.get_mut(&blocking.key)?;
        if blocking.reason == Reason::TokenRate {
            return Some(share.tokens_wait(now));
        }
        if !share.is_exhausted() {
            return None;
        }
        let ahead = share.waiting.saturating_sub(1);
        share.predicted_wait(now, instances, ahead)
    }

    /// Refuses waiting requests beyond this instance's share of the entry's queue, newest first,
    /// from the workspace with the most waiting requests.
    fn trim_queue(&mut self, now: Time, entry: EntryKey, queue: u32, out: &mut Vec<LimitsAction>) {
        let key = LimitKey::Entry(entry);
        if !self.shares.get(&key).is_some_and(Share::is_exhausted) {
            return;
        }
        let max = (queue / self.instances.max(1)).max(1) as usize;
        loop {
            let queues = self.queue.of_entry(entry);
            let queues: Vec<(usize, u64)> = queues
                .filter_map(|(_, requests)| Some((requests.len(), *requests.back()?)))
                .collect();
            let waiting: usize = queues.iter().map(|it| it.0).sum();
            let Some(&(_, newest)) = queues.iter().max().filter(|_| waiting > max) else {
                return;
            };
            self.refuse_for(now, newest, Reason::QueueFull, out);
        }
    }

    fn refuse(&mut self, now: Time, request: u64, out: &mut Vec<LimitsAction>) {
        let Some(waiting) = self.queue.get(request).copied() else {
            return;
        };
        let uses_tokens = waiting.claim.tokens.is_some();
        let blocking = self.blocking_limit(now, waiting.claim.pair(), uses_tokens);
        let reason = blocking.map_or(Reason::WaitExpired, |it| it.reason);
        self.refuse_for(now, request, reason, out);
    }

    fn refuse_for(&mut self, now: Time, request: u64, reason: Reason, out: &mut Vec<LimitsAction>) {
        let Some(waiting) = self.queue.get(request).copied() else {
            return;
        };
        let pair = waiting.claim.pair();
        let wait = self.expected_wait(now, pair, waiting.claim.tokens.is_some());
        self.queue.remove(request);
        self.count_waiting(pair, -1);
        out.push(LimitsAction::Refuse {
            request,
            reason,
            retry_after: wait.unwrap_or(MIN_RETRY_AFTER).max(MIN_RETRY_AFTER),
        });
    }

    fn request_leases(
        &mut self,
        now: Time,
        keys: &[LimitKey],
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        for &key in keys {
            self.request_lease(now, key, false, fleet, out);
        }
    }

    fn request_lease(
        &mut self,
        now: Time,
        key: LimitKey,
        force: bool,
        fleet: &impl LimitFleet,
        out: &mut Vec<LimitsAction>,
    ) {
        let instances = self.instances;
        let Some(share) = self.shares.get_mut(&key) else {
            return;
        };
        let home = fleet.home_of_limit(key);
        let was_alone = share.uses_fallback();
        share.check_home(now, home.is_some(), instances);
        if let Some(to) = home
            && (force || share.is_request_due(now, to))
        {
            let request = share.make_request(now, to);
            let message = LimitsMessage::Request(request);
            out.push(LimitsAction::Send { to, message });
        }
        self.shares_due = self.shares_due.min(share.next_wake());
        if share.uses_fallback() && !was_alone {
            self.admit_waiting(now, out);
        }
    }
}
