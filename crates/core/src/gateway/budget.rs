//! The share of the fleet's retry budget that this instance may spend.
//!
//! The fleet's bound is a ratio of the service's requests plus a fixed allowance, over a sliding
//! window. Instances cannot coordinate before each retry, so each one spends what it has earned
//! itself: a fraction of a retry with each of its own requests, and its share of the allowance over
//! time. Earned retries may be held for later, up to a limit.
//!
//! An instance starts with an empty account. All incarnations at one address together can therefore
//! spend as much as a single one: what the first one held at the start of a window, and what all of
//! them earn within it.
//!
//! See `docs/design/budget.md` for the arithmetic.

use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, VecDeque};

/// Share of the ratio that each request earns.
const EARNED_SHARE: f64 = 0.55;

/// Share of the ratio that may be held, for the requests of the last window.
const HELD_SHARE: f64 = 0.35;

/// Share of the allowance that is earned within each window.
const ALLOWANCE_EARNED_SHARE: f64 = 0.3;

/// Share of the allowance that may be held.
const ALLOWANCE_HELD_SHARE: f64 = 0.6;

/// Retries that are reserved for generations that resume, if that many may be held: their callers
/// have already received part of the output.
const RESERVED_FOR_RESUMES: f64 = 1.0;

/// The retry bound of the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetConfig {
    /// Retries allowed per request.
    pub ratio: f64,
    /// Retries allowed in addition, over all instances.
    pub allowance: f64,
    /// The length of the sliding window.
    pub window: Duration,
}

impl BudgetConfig {
    /// Returns the allowance of one of `known` instances. While the size of the fleet is not known,
    /// an instance has no allowance.
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

/// Why a request is sent to one more endpoint.
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
    /// Returns whether a generation resumes whose caller has received part of the output.
    pub fn is_resume(self) -> bool {
        matches!(self, RetryKind::Resume | RetryKind::ResumeAgain)
    }
}

/// Whether a request may be sent to one more endpoint, and the state that this was decided from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryDecision {
    /// Whether the retry is allowed.
    pub is_allowed: bool,
    /// Instances that are alive, this one included.
    pub live_instances: usize,
    /// Known instances, including this one and recently lost ones; 0 while this instance may know
    /// only part of the fleet.
    pub known_instances: usize,
    /// Time since the start of this instance.
    pub uptime: Duration,
    /// Retries that remain.
    pub remaining: f64,
}

/// The balance of one service.
#[derive(Clone, Debug)]
struct Account {
    /// Retries that may be spent.
    held: f64,
    /// When the earnings over time were last added.
    earned_at: Time,
    /// The service's requests within the last window.
    requests: VecDeque<Time>,
    /// Generations with a pre-copy from which they are about to resume.
    pending_moves: u32,
}

/// The retry budget of this instance, by service.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    cfg: BudgetConfig,
    /// When `known` last changed. New accounts are credited with earnings since then.
    known_since: Time,
    /// How many instances share the allowance; `None` while that is not known.
    known: Option<usize>,
    accounts: BTreeMap<String, Account>,
}

impl SharedRetryBudget {
    /// Returns the empty budget of an instance that starts now.
    pub fn new(now: Time, cfg: BudgetConfig) -> Self {
        SharedRetryBudget {
            cfg,
            known_since: now,
            known: None,
            accounts: BTreeMap::new(),
        }
    }

    /// Changes the fleet's bound. Earned retries are reduced to the limits of the new bound.
    pub fn set_bound(&mut self, cfg: BudgetConfig) {
        self.cfg = cfg;
    }

    /// Sets how many instances share the allowance; `None` if that is not known.
    pub fn set_fleet_size(&mut self, now: Time, known: Option<usize>) {
        if known == self.known {
            return;
        }
        // Earnings until now are based on the former number of instances.
        let (cfg, before) = (self.cfg, self.known);
        for account in self.accounts.values_mut() {
            account.settle(now, &cfg, before);
        }
        self.known_since = now;
        self.known = known;
    }

    /// Records a request of a caller, which earns part of a retry.
    pub fn on_request(&mut self, now: Time, service: &str) {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.requests.push_back(now);
        account.held += EARNED_SHARE * cfg.ratio;
        account.settle(now, &cfg, known);
    }

    /// Takes back what the last request has earned, because a peer serves it and earns it instead;
    /// returns whether it was still held. Without this, the peer could retry nothing for requests
    /// that are passed on to it; if both earned it, the fleet would spend it twice.
    pub fn hand_over_request(&mut self, now: Time, service: &str) -> bool {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.settle(now, &cfg, known);
        let earned = EARNED_SHARE * cfg.ratio;
        if account.held < earned || account.requests.pop_back().is_none() {
            return false;
        }
        account.held -= earned;
        true
    }

    /// Counts a generation that is about to resume from a pre-copy, until
    /// [`end_move`](Self::end_move).
    pub fn begin_move(&mut self, service: &str) {
        let account = self.account(service);
        account.pending_moves = account.pending_moves.saturating_add(1);
    }

    /// Records that a generation has resumed from its pre-copy, or will not.
    pub fn end_move(&mut self, service: &str) {
        let account = self.account(service);
        debug_assert!(account.pending_moves > 0, "a move ended that did not begin");
        account.pending_moves = account.pending_moves.saturating_sub(1);
    }

    /// Spends one retry if the account holds one. If the service has generations that may need to
    /// resume (`has_generations`), other retries leave a reserve for them, and all but the first
    /// request of a generation to resume leave one retry for each generation that is about to: it is
    /// lost with its engine, and other requests are not. As this only denies retries, the fleet's bound
    /// holds regardless.
    pub fn try_spend(
        &mut self,
        now: Time,
        service: &str,
        kind: RetryKind,
        has_generations: bool,
    ) -> bool {
        let may_spend = self.may_spend(now, service, kind, has_generations);
        if may_spend {
            self.account(service).held -= 1.0;
        }
        may_spend
    }

    /// Returns whether [`try_spend`](Self::try_spend) would spend a retry now.
    pub fn may_spend(
        &mut self,
        now: Time,
        service: &str,
        kind: RetryKind,
        has_generations: bool,
    ) -> bool {
        let (cfg, known) = (self.cfg, self.known);
        let account = self.account(service);
        account.settle(now, &cfg, known);
        let for_moves = 1.0 + f64::from(account.pending_moves);
        let needed = match kind {
            _ if !has_generations => 1.0,
            RetryKind::Resume => 1.0,
            // The engines that refuse one generation would otherwise cost the first request of others.
            RetryKind::ResumeAgain => for_moves,
            RetryKind::Retry | RetryKind::Recompute => {
                let usual = (1.0 + RESERVED_FOR_RESUMES).min(account.limit(&cfg, known).max(1.0));
                usual.max(for_moves)
            }
        };
        account.held >= needed
    }

    /// Returns how many retries remain.
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
                pending_moves: 0,
            })
    }
}

impl Account {
    /// Adds the earnings over time, and drops what exceeds the limit.
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

    /// Returns how many retries may be held.
    fn limit(&self, cfg: &BudgetConfig, known: Option<usize>) -> f64 {
        let requests = HELD_SHARE * cfg.ratio * self.requests.len() as f64;
        requests + ALLOWANCE_HELD_SHARE * cfg.allowance_share(known)
    }
}
