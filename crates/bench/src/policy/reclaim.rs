//! Generations on engines that are reclaimed, in virtual time.
//!
//! The decisions are those of the product: where a generation and its copies go
//! ([`oriolemux_core::gateway::choose`]) and when it leaves its engine
//! ([`oriolemux_core::gateway::relocation`]). They stand beside ways that decide less,
//! and beside an oracle that knows lengths and moves for nothing.
//! `docs/design/experiments.md` says what is modelled and what is left out.

mod carry;
mod fleet;
mod measure;
mod work;

pub use measure::ReclaimSummary;

use carry::Carrier;
use serde::{Deserialize, Serialize};

/// What is done for generations whose engine goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Nothing: they are lost with it.
    None,
    /// They are copied when the notice comes.
    NoticeOnly,
    /// The product: standing copies, and copies when the notice comes.
    Ours,
    /// Knows every length, and every reclaim from its notice on, told or not; a move
    /// takes no time.
    Oracle,
}

impl Way {
    /// Every way, in the order of the table.
    pub const ALL: [Way; 4] = [Way::None, Way::NoticeOnly, Way::Ours, Way::Oracle];

    /// Returns the name used in tables.
    pub const fn as_str(self) -> &'static str {
        match self {
            Way::None => "none",
            Way::NoticeOnly => "notice-only",
            Way::Ours => "ours",
            Way::Oracle => "oracle",
        }
    }
}

/// One way and what came of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReclaimRun {
    /// The way.
    pub way: Way,
    /// What was measured.
    #[serde(flatten)]
    pub summary: ReclaimSummary,
}

/// Runs `seconds` of arrivals with `seed` under one way, to the end of the last generation.
pub fn run_one(seed: u64, seconds: u32, way: Way) -> ReclaimSummary {
    Carrier::new(seed, seconds, way).run()
}

/// Runs every way on the same arrivals and reclaims.
pub fn run_all(seed: u64, seconds: u32) -> Vec<ReclaimRun> {
    let run = |way| ReclaimRun {
        way,
        summary: run_one(seed, seconds, way),
    };
    Way::ALL.into_iter().map(run).collect()
}

/// Prints the runs for people.
pub fn print(runs: &[ReclaimRun]) {
    println!("\ngenerations on engines that are reclaimed");
    println!(
        "{:<12} {:>6} {:>7} {:>6} {:>6} {:>8} {:>10} {:>10} {:>8} {:>8} {:>9}",
        "way",
        "long",
        "in aim",
        "late",
        "lost",
        "refused",
        "relocated",
        "pause p99",
        "preempt",
        "GB moved",
        "read anew"
    );
    for run in runs {
        let it = &run.summary;
        println!(
            "{:<12} {:>6} {:>7.3} {:>6} {:>6} {:>8} {:>10} {:>7} ms {:>8} {:>8.1} {:>9}",
            run.way.as_str(),
            it.long,
            it.long_in_aim_share,
            it.late,
            it.relocation_lost,
            it.refused,
            it.relocated,
            it.pause_ms_p99,
            it.preemptions,
            it.moved_gb,
            it.tokens_read_anew
        );
    }
}
