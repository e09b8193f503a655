//! The product against the baselines and the oracle.

use super::{PolicyKind, Run, Summary};
use serde::{Deserialize, Serialize};

/// A baseline counts for stall and preemptions only if its goodput reaches this
/// part of the best baseline's: holding requests back until their targets are
/// missed avoids both, and is no way to win.
pub const QUALIFYING_GOODPUT: f64 = 0.9;
/// A baseline that refuses more than this part of all requests wins by refusing
/// and does not count for stall and preemptions either.
pub const QUALIFYING_REFUSALS: f64 = 0.01;
/// Stall below this, for each thousand tokens of goodput of the best baseline,
/// is counted as this: nobody can tell it from none, and no ratio to it means anything.
pub const STALL_FLOOR_S_PER_1000: f64 = 0.001;
/// Preemptions below this are counted as this, for the same reason.
pub const PREEMPTION_FLOOR: f64 = 1.0;

/// The ratios of one mix, or the worst of each over all mixes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ratios {
    /// Stall between tokens over that of the best qualifying baseline.
    pub stall_ratio: f64,
    /// Preemptions over those of the best qualifying baseline.
    pub preemption_ratio: f64,
    /// First token of the most urgent class in 99 of 100, over that of the best baseline.
    pub short_urgent_p99_ratio: f64,
    /// Tokens of requests completed within target over those of the best baseline.
    pub goodput_ratio: f64,
    /// Stall between tokens over that of the oracle.
    pub stall_vs_oracle: f64,
    /// Requests accepted and not accounted for.
    pub lost: u64,
    /// Stall between tokens plus first tokens beyond target, over the best baseline's.
    pub stall_and_late_ratio: f64,
    /// Goodput over the oracle's.
    pub goodput_vs_oracle: f64,
    /// [`Ratios::short_urgent_p99_ratio`] against least outstanding with priorities.
    pub short_urgent_p99_vs_priority: f64,
    /// Stall over that of least outstanding with priorities.
    pub stall_vs_priority: f64,
    /// Stall over the least of any baseline, those that win by refusing or waiting included.
    pub stall_vs_any: f64,
    /// Preemptions over the least of any baseline, likewise.
    pub preemption_vs_any: f64,
}

/// The ratios of each mix and the worst over them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Comparison {
    /// The worst of each ratio over the mixes.
    pub worst: Ratios,
    /// Each mix.
    pub mixes: Vec<MixComparison>,
}

/// The ratios of one mix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MixComparison {
    /// The mix's name.
    pub mix: String,
    /// Its ratios.
    pub ratios: Ratios,
    /// Baselines that qualify for stall and preemptions.
    pub qualifying: Vec<PolicyKind>,
}

impl Comparison {
    /// Compares `runs`, which hold the product under each mix.
    pub fn of(runs: &[Run]) -> Self {
        let mut names: Vec<&str> = runs.iter().map(|run| run.mix.as_str()).collect();
        names.dedup();
        let mixes: Vec<_> = names
            .into_iter()
            .filter_map(|name| {
                let of_mix: Vec<&Run> = runs.iter().filter(|run| run.mix == name).collect();
                compare_mix(name, &of_mix)
            })
            .collect();
        Comparison {
            worst: worst(&mixes),
            mixes,
        }
    }
}

fn compare_mix(name: &str, runs: &[&Run]) -> Option<MixComparison> {
    let find = |kind| {
        runs.iter()
            .find(|run| run.policy == kind)
            .map(|run| &run.summary)
    };
    let ours = find(PolicyKind::Ours)?;
    let baselines: Vec<&Run> = runs
        .iter()
        .copied()
        .filter(|run| run.policy.is_baseline())
        .collect();
    let best_goodput = baselines.iter().map(|run| run.summary.good_tokens).max();
    let best_goodput = best_goodput.unwrap_or(0) as f64;
    let serves = |s: &Summary| s.good_tokens as f64 >= best_goodput * QUALIFYING_GOODPUT;
    let takes = |s: &Summary| s.refused as f64 <= s.arrived as f64 * QUALIFYING_REFUSALS;
    let qualifying: Vec<&Run> = baselines
        .iter()
        .copied()
        .filter(|run| serves(&run.summary) && takes(&run.summary))
        .collect();

    let stall_floor = best_goodput / 1e3 * STALL_FLOOR_S_PER_1000;
    let over = |runs: &[&Run], floor: f64, f: fn(&Summary) -> f64| {
        let best = runs
            .iter()
            .map(|run| f(&run.summary))
            .fold(f64::INFINITY, f64::min);
        ratio(f(ours), best, floor)
    };
    let against = |other: Option<&Summary>, floor: f64, f: fn(&Summary) -> f64| {
        other.map_or(0.0, |other| ratio(f(ours), f(other), floor))
    };
    let oracle = find(PolicyKind::Oracle);
    let priority = find(PolicyKind::LeastOutstandingByClass);
    Some(MixComparison {
        mix: name.to_string(),
        ratios: Ratios {
            stall_ratio: over(&qualifying, stall_floor, |s| s.stall_s),
            preemption_ratio: over(&qualifying, PREEMPTION_FLOOR, |s| s.preemptions as f64),
            short_urgent_p99_ratio: over(&baselines, 1.0, |s| s.short_urgent_p99_ms),
            goodput_ratio: ratio(ours.good_tokens as f64, best_goodput, 1.0),
            stall_vs_oracle: against(oracle, stall_floor, |s| s.stall_s),
            lost: ours.lost,
            stall_and_late_ratio: over(&baselines, stall_floor, |s| s.stall_s + s.late_first_s),
            goodput_vs_oracle: against(oracle, 1.0, |s| s.good_tokens as f64),
            short_urgent_p99_vs_priority: against(priority, 1.0, |s| s.short_urgent_p99_ms),
            stall_vs_priority: against(priority, stall_floor, |s| s.stall_s),
            stall_vs_any: over(&baselines, stall_floor, |s| s.stall_s),
            preemption_vs_any: over(&baselines, PREEMPTION_FLOOR, |s| s.preemptions as f64),
        },
        qualifying: qualifying.iter().map(|run| run.policy).collect(),
    })
}

/// Figures below `floor` count as `floor` on both sides.
fn ratio(ours: f64, other: f64, floor: f64) -> f64 {
    ours.max(floor) / other.max(floor)
}

fn worst(mixes: &[MixComparison]) -> Ratios {
    let highest =
        |f: fn(&Ratios) -> f64| mixes.iter().map(|mix| f(&mix.ratios)).fold(0.0, f64::max);
    let lowest = |f: fn(&Ratios) -> f64| {
        mixes
            .iter()
            .map(|mix| f(&mix.ratios))
            .fold(f64::INFINITY, f64::min)
    };
    Ratios {
        stall_ratio: highest(|r| r.stall_ratio),
        preemption_ratio: highest(|r| r.preemption_ratio),
        short_urgent_p99_ratio: highest(|r| r.short_urgent_p99_ratio),
        goodput_ratio: lowest(|r| r.goodput_ratio),
        stall_vs_oracle: highest(|r| r.stall_vs_oracle),
        lost: mixes.iter().map(|mix| mix.ratios.lost).sum(),
        stall_and_late_ratio: highest(|r| r.stall_and_late_ratio),
        goodput_vs_oracle: lowest(|r| r.goodput_vs_oracle),
        short_urgent_p99_vs_priority: highest(|r| r.short_urgent_p99_vs_priority),
        stall_vs_priority: highest(|r| r.stall_vs_priority),
        stall_vs_any: highest(|r| r.stall_vs_any),
        preemption_vs_any: highest(|r| r.preemption_vs_any),
    }
}
