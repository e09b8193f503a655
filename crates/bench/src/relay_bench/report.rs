//! The table for people and the JSON for programs.

use super::client::PacedResult;
use super::{Paced, Saturated};
use core::fmt;
use core::time::Duration;
use hdrhistogram::Histogram;
use serde::Serialize;

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    tokens_per_core_second: f64,
    added_inter_token_us_p50: f64,
    added_inter_token_us_p99: f64,
    tokens_per_wall_second: f64,
    paced_tokens_per_core_second: f64,
    direct_latency_us_p50: u64,
    direct_latency_us_p99: u64,
    relayed_latency_us_p50: u64,
    relayed_latency_us_p99: u64,
    direct_gap_us_p99: u64,
    relayed_gap_us_p99: u64,
}

impl Report {
    /// Works out the figures.
    pub(super) fn new(saturated: &Saturated, paced: &Paced) -> Self {
        let (direct, relayed) = (&paced.direct, &paced.relayed);
        Report {
            tokens_per_core_second: rate(saturated.tokens, saturated.cpu),
            added_inter_token_us_p50: added(direct, relayed, 0.5),
            added_inter_token_us_p99: added(direct, relayed, 0.99),
            tokens_per_wall_second: rate(saturated.tokens, saturated.wall),
            paced_tokens_per_core_second: rate(paced.tokens, paced.cpu),
            direct_latency_us_p50: direct.latency.value_at_quantile(0.5),
            direct_latency_us_p99: direct.latency.value_at_quantile(0.99),
            relayed_latency_us_p50: relayed.latency.value_at_quantile(0.5),
            relayed_latency_us_p99: relayed.latency.value_at_quantile(0.99),
            direct_gap_us_p99: direct.gap.value_at_quantile(0.99),
            relayed_gap_us_p99: relayed.gap.value_at_quantile(0.99),
        }
    }
}

fn rate(tokens: u64, time: Duration) -> f64 {
    (tokens as f64 / time.as_secs_f64()).round()
}

fn added(direct: &PacedResult, relayed: &PacedResult, quantile: f64) -> f64 {
    let at = |latency: &Histogram<u64>| latency.value_at_quantile(quantile) as f64;
    at(&relayed.latency) - at(&direct.latency)
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "saturated: {:>9} tokens per core second",
            self.tokens_per_core_second
        )?;
        writeln!(
            f,
            "           {:>9} tokens per second of the wall clock",
            self.tokens_per_wall_second
        )?;
        writeln!(
            f,
            "paced:     {:>9} tokens per core second",
            self.paced_tokens_per_core_second
        )?;
        writeln!(f, "latency of a token, us      p50      p99")?;
        writeln!(
            f,
            "  straight to the engine {:>6} {:>8}",
            self.direct_latency_us_p50, self.direct_latency_us_p99
        )?;
        writeln!(
            f,
            "  through the instance   {:>6} {:>8}",
            self.relayed_latency_us_p50, self.relayed_latency_us_p99
        )?;
        writeln!(
            f,
            "p99 gap between tokens, us: {} straight, {} through the instance",
            self.direct_gap_us_p99, self.relayed_gap_us_p99
        )?;
        let json = serde_json::to_string(self).map_err(|_| fmt::Error)?;
        writeln!(f, "{json}")
    }
}
