//! The shares of workspaces in what a home grants.
//!
//! While more is requested than engines hold, each workspace is due a share by weighted max-min
//! fairness: what some do not request is divided among the others. Grants count with the KV cache
//! tokens and the time for which they are expected to be kept, so that a workspace with few long
//! generations does not get more than one with many short answers.

use super::request::QueuedRequest;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;

/// Time constant of the decay of grants. With a shorter one, a workspace whose requests arrive at
/// random exceeds its share for a moment although it is within it on average; with a longer one, a
/// workspace that was idle could take all engines for as long.
const DECAY: Duration = Duration::from_secs(8);

/// Decayed use below which a workspace is no longer tracked, in tokens times seconds: less than the
/// smallest answer uses.
const NEGLIGIBLE_USE: f64 = 10.0;

/// What a home recently granted, by workspace.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceGrants {
    /// Granted use in tokens times seconds by the hash of the workspace, decayed until `at`.
    used: BTreeMap<u32, f64>,
    at: Time,
}

impl WorkspaceGrants {
    /// Records a grant.
    pub fn record(&mut self, now: Time, request: &QueuedRequest) {
        self.tick(now);
        *self.used.entry(request.workspace).or_default() += request.expected_use();
    }

    /// Decays what was granted, and removes workspaces with negligible use.
    pub fn tick(&mut self, now: Time) {
        let kept = self.kept(now);
        self.at = now;
        self.used.retain(|_, used| {
            *used *= kept;
            *used >= NEGLIGIBLE_USE
        });
    }

    /// Returns whether no workspace is tracked.
    pub fn is_empty(&self) -> bool {
        self.used.is_empty()
    }

    /// Returns each workspace with its part of all recent grants.
    pub fn parts(&self) -> impl Iterator<Item = (u32, f64)> {
        let total: f64 = self.used.values().sum();
        let used = self.used.iter();
        used.map(move |(workspace, used)| (*workspace, used / total))
    }

    /// Returns the part of grants recorded until now that is left at `now`.
    fn kept(&self, now: Time) -> f64 {
        (-now.since(self.at).as_secs_f64() / DECAY.as_secs_f64()).exp()
    }

    /// Returns for each of `waiting` how far its workspace would be above its share with it: 0
    /// within its share, 1 up to twice its share, 2 up to four times, and so on. `waiting` is in
    /// the order in which requests of the same workspace are served.
    pub fn excess<'a>(
        &self,
        now: Time,
        waiting: impl Iterator<Item = &'a QueuedRequest> + Clone,
        weight: impl Fn(u32) -> f64,
    ) -> Vec<u32> {
        let kept = self.kept(now);
        let mut used: BTreeMap<u32, f64> = BTreeMap::new();
        for (workspace, granted) in &self.used {
            used.insert(*workspace, granted * kept);
        }
        let supply: f64 = used.values().sum();
        let mut demands = used.clone();
        for request in waiting.clone() {
            *demands.entry(request.workspace).or_default() += request.expected_use();
        }
        let weighted = demands.into_iter().map(|(it, sum)| (sum, weight(it)));
        let level = fair_level(supply, weighted.collect());
        let excess = waiting.map(|request| {
            let used = used.entry(request.workspace).or_default();
            *used += request.expected_use();
            excess_class(*used / (weight(request.workspace) * level))
        });
        excess.collect()
    }
}

/// Returns the class of a use that is `ratio` times the share.
fn excess_class(ratio: f64) -> u32 {
    match ratio > 1.0 {
        true => 1 + ratio.log2().min(f64::from(u16::MAX)) as u32,
        false => 0,
    }
}

/// Returns the use per weight up to which each of `demands` (use and weight) is satisfied by
/// `supply`; infinite if all of them are.
fn fair_level(supply: f64, mut demands: Vec<(f64, f64)>) -> f64 {
    demands.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut weights: f64 = demands.iter().map(|(_, weight)| weight).sum();
    let mut left = supply;
    for (demand, weight) in demands {
        let level = left / weights;
        if demand / weight > level {
            return level;
        }
        left -= demand;
        weights -= weight;
    }
    f64::INFINITY
}
