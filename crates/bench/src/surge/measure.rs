//! What is measured of a surge, as callers see it.

use crate::load::{CallerEnding, Received};
use crate::workload::{Mix, Request};
use core::time::Duration;
use serde::Serialize;
use std::collections::BTreeMap;

/// A figure below this counts as this much in a ratio, so that two nearly
/// perfect runs are not told apart by noise. Seconds, milliseconds or counts.
const RATIO_FLOOR: f64 = 1.0;

/// The times of one request.
#[derive(Clone, Debug, Default)]
pub(super) struct Timing {
    pub first: Option<Duration>,
    pub gaps: Vec<Duration>,
    pub tokens: u32,
    pub lasted: Duration,
    pub complete: bool,
    /// The reason of the typed refusal or failure that came.
    pub refused: Option<String>,
    last: Duration,
}

impl Timing {
    /// A token has come, so long after the request was sent.
    pub fn token(&mut self, at: Duration) {
        match self.first {
            None => self.first = Some(at),
            Some(_) => self.gaps.push(at - self.last),
        }
        self.last = at;
        self.tokens += 1;
    }

    /// Returns the times of what a recording caller got.
    pub fn of(received: &Received) -> Timing {
        let gaps = received.gaps_us.iter();
        Timing {
            first: received.first_token_us.map(Duration::from_micros),
            gaps: gaps.map(|&us| Duration::from_micros(us)).collect(),
            tokens: received.tokens,
            lasted: Duration::from_micros(received.lasted_us),
            complete: received.is_complete(),
            refused: match &received.ending {
                CallerEnding::Error { reason, .. } => Some(reason.clone()),
                _ => None,
            },
            last: Duration::ZERO,
        }
    }
}

/// The figures of one run. Times are in the time of the mix, not scaled.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Summary {
    /// Whole answers.
    pub complete: u64,
    /// Whole answers within their class's target.
    pub within_target: u64,
    /// Typed refusals and failures.
    pub refused: u64,
    /// The same by class and reason.
    pub refused_by: BTreeMap<String, u64>,
    /// Requests without any final answer.
    pub lost: u64,
    /// Tokens of the answers within their class's target.
    pub good_tokens: u64,
    /// Time beyond the inter-token target, summed over all tokens after the first.
    pub stall_s: f64,
    /// Preemptions, as the engines counted them.
    pub preemptions: u64,
    /// First token of the most urgent class, in 99 of 100; a refusal counts as
    /// the class's longest wait.
    pub urgent_first_p99_ms: f64,
    /// Time between tokens, in 95 of 100.
    pub inter_token_p95_ms: f64,
    /// Time between tokens, in 99 of 100.
    pub inter_token_p99_ms: f64,
}

/// A run that is under way.
pub(super) struct Run {
    mix: Mix,
    scale: f64,
    summary: Summary,
    urgent_first_ms: Vec<f64>,
    gaps_ms: Vec<f64>,
}

impl Run {
    pub fn new(mix: Mix, scale: f64) -> Self {
        Run {
            mix,
            scale,
            summary: Summary::default(),
            urgent_first_ms: Vec::new(),
            gaps_ms: Vec::new(),
        }
    }

    /// A request whose task failed.
    pub fn add_lost(&mut self) {
        self.summary.lost += 1;
    }

    /// A request has ended.
    pub fn add(&mut self, request: &Request, timing: &Timing) {
        let class = &self.mix.classes()[self.mix.entries()[request.entry].class];
        let summary = &mut self.summary;
        let lasted = timing.lasted.mul_f64(self.scale);
        summary.complete += u64::from(timing.complete);
        if let Some(reason) = &timing.refused {
            summary.refused += 1;
            let key = format!("{}/{reason}", class.name);
            *summary.refused_by.entry(key).or_default() += 1;
        }
        summary.lost += u64::from(!timing.complete && timing.refused.is_none());
        if timing.complete && lasted <= class.completion_target {
            summary.within_target += 1;
            summary.good_tokens += u64::from(timing.tokens);
        }
        let target = class.inter_token_target.as_secs_f64();
        for gap in &timing.gaps {
            let gap = gap.as_secs_f64() * self.scale;
            summary.stall_s += (gap - target).max(0.0);
            self.gaps_ms.push(gap * 1e3);
        }
        if class.urgency == 0 {
            let longest = class.longest_wait.as_secs_f64();
            let first = timing.first.map(|it| it.as_secs_f64() * self.scale);
            self.urgent_first_ms.push(first.unwrap_or(longest) * 1e3);
        }
    }

    /// Returns the figures.
    pub fn summary(mut self, preemptions: u64) -> Summary {
        Summary {
            preemptions,
            urgent_first_p99_ms: quantile(&mut self.urgent_first_ms, 0.99),
            inter_token_p95_ms: quantile(&mut self.gaps_ms, 0.95),
            inter_token_p99_ms: quantile(&mut self.gaps_ms, 0.99),
            ..self.summary
        }
    }
}

fn quantile(values: &mut [f64], q: f64) -> f64 {
    values.sort_unstable_by(f64::total_cmp);
    let index = (values.len() as f64 * q).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// Returns `ours` over `base`, with neither below the floor.
pub(super) fn ratio(ours: f64, base: f64) -> f64 {
    ours.max(RATIO_FLOOR) / base.max(RATIO_FLOOR)
}

/// Prints the figures of one run for people.
pub(super) fn print(name: &str, summary: &Summary) {
    println!(
        "  {name:22} complete {:5}  within target {:5}  refused {:4}  lost {}  good tokens {:8}\n  \
         {:22} stall {:9.1} s  preemptions {:5}  urgent first p99 {:8.0} ms  \
         between tokens p95 {:5.1} ms, p99 {:7.1} ms",
        summary.complete,
        summary.within_target,
        summary.refused,
        summary.lost,
        summary.good_tokens,
        "",
        summary.stall_s,
        summary.preemptions,
        summary.urgent_first_p99_ms,
        summary.inter_token_p95_ms,
        summary.inter_token_p99_ms
    );
    for (reason, count) in &summary.refused_by {
        println!("  {:22} refused {reason}: {count}", "");
    }
}
