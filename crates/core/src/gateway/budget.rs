//! The fleet's repeats that this instance may spend.
//!
//! The fleet's bound is a share of the service's requests and an allowance on top, over a sliding
//! window. Instances cannot ask each other before each repeat, so each spends what it has earned:
//! a part of a repeat with each of its own requests, and its part of the allowance over time. What
//! was earned may be held for later, up to a limit.
//!
//! An instance starts with nothing. The lives at one address together then spend what one life may:
//! what the first one held at the beginning of a window, and what all of them earn within it.
//!
//! `docs/design/budget.md` does the arithmetic.

use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};

/// The part of the ratio that each request earns.
const EARNED_SHARE: f64 = 0.55;

/// The part of the ratio, for the requests of the last window, that may be held.
const HELD_SHARE: f64 = 0.35;

/// The part of the allowance that is earned within each window.
const ALLOWANCE_EARNED_SHARE: f64 = 0.3;

/// The part of the allowance that may be held.
const ALLOWANCE_HELD_SHARE: f64 = 0.6;

/// Repeats that are kept for generations that go on, where so many may be held: their callers hold
/// a part of the answer already.
const RESERVED_FOR_RESUMES: f64 = 1.0;

/// The fleet's bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed on top, over all instances.
    pub allowance: f64,
    /// The sliding window.
    pub window: Duration,
}

impl BudgetConfig {
    /// Returns the allowance of one of so many instances. One that does not know how many there
    /// are has none.
    fn allowance_share(&self, known: Option<usize>) -> f64 {
        known.map_or(0.0, |it| self.allowance / it.max(1) as f64)
    }
}

impl Default for BudgetConfig {
    fn default() -> Self {
        BudgetConfig {
            ratio: 0.1,
            allowance: 10.0,
            window: Duration::from_secs(10),
        }
    }
}

/// Why a request is sent to one endpoint more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum RetryKind {
    /// retry
    Retry,
    /// read_anew
    Recompute,
    /// go_on
    Resume,
    /// go_on_again
    ResumeAgain,
}

impl RetryKind {
    /// Returns whether a generation goes on that its caller holds a part of.
    pub fn is_resume(self) -> bool {
        matches!(self, RetryKind::Resume | RetryKind::ResumeAgain)
    }
}

/// Whether a request may be sent to one endpoint more, and what that was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether it may.
    pub is_allowed: bool,
    /// Instances that are heard, this one included.
    pub live_instances: usize,
    /// Instances that are known, this one and those that were lost lately included; 0 while this
    /// instance may know a part of the fleet only.
    pub known_instances: usize,
    /// For how long this instance has run.
    pub uptime: Duration,
    /// Repeats that are left.
    pub remaining: f64,
}

/// What this instance has earned for one service and not spent.
#[derive(Clone, Debug)]
struct Account {
    /// Repeats that may be spent.
    held: f64,
    /// When what is earned over time was last added.
    earned_at: Time,
    /// The service's requests of the last window.
    requests: VecDeque<Time>,
}

/// What this instance may spend on repeats, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    cfg: BudgetConfig,
    /// Since when `known` is what it is. Accounts that are opened later have earned since then.
    known_since: Time,
    /// How many instances share the allowance; nothing while that is not known.
    known: Option<usize>,
    accounts: BTreeMap<String, Account>,
}

impl SharedRetryBudget {
    /// Returns the budget of an instance that begins now, which has earned nothing.
    pub fn new(now: Time, cfg: BudgetConfig) -> Self {
        SharedRetryBudget {
            cfg,
            known_since: now,
            known: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Changes the fleet's bound; what was earned by the former one stays within the limits of
    /// the new one.
    pub fn set_bound(&mut self, cfg: BudgetConfig) {
        self.cfg = cfg;
    }

    /// Notes how many instances share the allowance; nothing if that is not known.
    pub fn set_fleet_size(&mut self, now: Time, known: Option<usize>) {
        if known == self.known {
            return;
        }
        // What was earned so far was earned by the former number.
        let (cfg, before) = (self.cfg, self.known);
        for account in self.accounts.values_mut() {
            account.settle(now, &cfg, before);
        }
        self.known_since = now;
        self.known = known;
    }

    /// Notes a caller's request.
    pub fn on_request(&mut self, now: Time, service: &str) {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.requests.push_back(now);
        account.held += EARNED_SHARE * cfg.ratio;
        account.settle(now, &cfg, known);
    }

    /// Spends one repeat if this instance holds one. Where generations may have to go on, other
    /// repeats leave them a part of what may be held.
    pub fn try_spend(
        &mut self,
        now: Time,
        service: &str,
        kind: RetryKind,
        has_generations: bool,
    ) -> bool {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.settle(now, &cfg, known);
        let needed = match has_generations && !kind.is_resume() {
            true => (1.0 + RESERVED_FOR_RESUMES).min(account.limit(&cfg, known).max(1.0)),
            false => 1.0,
        };
        let is_held = account.held >= needed;
        if is_held {
            account.held -= 1.0;
        }
        is_held
    }

    /// Returns how many repeats are left.
    pub fn remaining(&mut self, now: Time, service: &str) -> f64 {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.settle(now, &cfg, known);
        account.held
    }

    fn account(&mut self, service: &str) -> &mut Account {
        let earned_at = self.known_since;
        self.accounts
            .entry(service.to_owned())
            .or_insert_with(|| Account {
                held: 0.0,
                earned_at,
                requests: VecDeque::new(),
            })
    }
}

impl Account {
    /// Adds what was earned over time, and drops what may not be held.
    fn settle(&mut self, now: Time, cfg: &BudgetConfig, known: Option<usize>) {
        while self
            .requests
            .front()
            .is_some_and(|&at| now.since(at) >= cfg.window)
        {
            self.requests.pop_front();
        }
        let windows = now.since(self.earned_at).as_secs_f64() / cfg.window.as_secs_f64();
        self.earned_at = now;
        self.held += ALLOWANCE_EARNED_SHARE * cfg.allowance_share(known) * windows;
        self.held = self.held.min(self.limit(cfg, known));
    }

    /// Returns how many repeats may be held.
    fn limit(&self, cfg: &BudgetConfig, known: Option<usize>) -> f64 {
        let requests = HELD_SHARE * cfg.ratio * self.requests.len() as f64;
        requests + ALLOWANCE_HELD_SHARE * cfg.allowance_share(known)
    }
}
