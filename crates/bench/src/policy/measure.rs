//! What is measured of one run, as callers see it.

use crate::workload::{ClassSpec, Mix, Workload};
use core::time::Duration;
use hdrhistogram::Histogram;
use oriolemux_core::time::Time;
use serde::{Deserialize, Serialize};

/// Longest time that histograms tell apart, in microseconds.
const LONGEST_US: u64 = 4 * 3_600 * 1_000_000;
/// Significant digits of histograms.
const DIGITS: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Placed,
    Refused,
    Complete,
}

/// One request as its caller sees it.
#[derive(Clone, Copy, Debug)]
struct Track {
    state: State,
    class: u8,
    at: Time,
    /// The last token, or [`Time::NEVER`] before the first.
    last: Time,
}

/// What is counted for each class.
struct ClassMeasures {
    spec: &'static ClassSpec,
    arrived: u64,
    refused: u64,
    complete: u64,
    within_target: u64,
    good_tokens: u64,
    stall: Duration,
    late_first: Duration,
    preemptions: u64,
    first: Histogram<u64>,
    gaps: Histogram<u64>,
}

/// The measures of a run that is under way or over.
pub(super) struct Measures {
    /// Requests that have arrived.
    pub arrived: usize,
    tracks: Vec<Track>,
    classes: Vec<ClassMeasures>,
    placed_twice: u64,
}

/// The measures of one class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassSummary {
    /// The class's name.
    pub class: String,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests whose whole answer came.
    pub complete: u64,
    /// Requests whose whole answer came within the class's target.
    pub within_target: u64,
    /// Tokens of those.
    pub good_tokens: u64,
    /// Time beyond the class's inter-token target, summed over all tokens after the first.
    pub stall_s: f64,
    /// Time beyond the class's wait target, summed over all first tokens.
    pub late_first_s: f64,
    /// Preemptions.
    pub preemptions: u64,
    /// First token after arrival, in 50 of 100; a refusal counts as the class's longest wait.
    pub first_p50_ms: f64,
    /// The same in 99 of 100.
    pub first_p99_ms: f64,
    /// Time between tokens in 50 of 100.
    pub gap_p50_ms: f64,
    /// The same in 95 of 100.
    pub gap_p95_ms: f64,
    /// The same in 99 of 100.
    pub gap_p99_ms: f64,
    /// The longest.
    pub gap_max_ms: f64,
}

/// The measures of one run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Each class, the most urgent first.
    pub classes: Vec<ClassSummary>,
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Requests whose whole answer came.
    pub complete: u64,
    /// Requests whose whole answer came within their class's target.
    pub within_target: u64,
    /// Tokens of those: the goodput.
    pub good_tokens: u64,
    /// See [`ClassSummary::stall_s`].
    pub stall_s: f64,
    /// See [`ClassSummary::late_first_s`].
    pub late_first_s: f64,
    /// Preemptions.
    pub preemptions: u64,
    /// First token of the most urgent class in 99 of 100.
    pub short_urgent_p99_ms: f64,
    /// Time between tokens of all classes in 50 of 100.
    pub gap_p50_ms: f64,
    /// The same in 95 of 100.
    pub gap_p95_ms: f64,
    /// The same in 99 of 100.
    pub gap_p99_ms: f64,
    /// Requests that arrived and neither were refused nor completed, or were decided on twice.
    pub lost: u64,
}

impl Measures {
    pub fn new(mix: Mix, workload: &Workload) -> Self {
        let class_of = |entry: usize| mix.entries()[entry].class as u8;
        let track = |req: &crate::workload::Request| Track {
            state: State::Open,
            class: class_of(req.entry),
            at: req.at,
            last: Time::NEVER,
        };
        let mut classes: Vec<_> = mix.classes().iter().map(ClassMeasures::new).collect();
        for req in &workload.requests {
            classes[class_of(req.entry) as usize].arrived += 1;
        }
        Measures {
            arrived: 0,
            tracks: workload.requests.iter().map(track).collect(),
            classes,
            placed_twice: 0,
        }
    }

    pub fn placed(&mut self, id: u64) {
        let track = &mut self.tracks[id as usize];
        self.placed_twice += u64::from(track.state != State::Open);
        track.state = State::Placed;
    }

    pub fn refused(&mut self, id: u64, now: Time) {
        let track = &mut self.tracks[id as usize];
        self.placed_twice += u64::from(track.state != State::Open);
        track.state = State::Refused;
        let class = &mut self.classes[usize::from(track.class)];
        class.refused += 1;
        let wait = class.spec.longest_wait.max(now.since(track.at));
        record(&mut class.first, wait);
    }

    pub fn token(&mut self, id: u64, at: Time) {
        let track = &mut self.tracks[id as usize];
        let class = &mut self.classes[usize::from(track.class)];
        if track.last == Time::NEVER {
            let wait = at.since(track.at);
            record(&mut class.first, wait);
            class.late_first += wait.saturating_sub(class.spec.wait_target);
        } else {
            let gap = at.since(track.last);
            record(&mut class.gaps, gap);
            class.stall += gap.saturating_sub(class.spec.inter_token_target);
        }
        track.last = at;
    }

    pub fn finished(&mut self, id: u64, tokens: u32, at: Time) {
        let track = &mut self.tracks[id as usize];
        track.state = State::Complete;
        let class = &mut self.classes[usize::from(track.class)];
        class.complete += 1;
        if at.since(track.at) <= class.spec.completion_target {
            class.within_target += 1;
            class.good_tokens += u64::from(tokens);
        }
    }

    pub fn preempted(&mut self, id: u64) {
        let track = &self.tracks[id as usize];
        self.classes[usize::from(track.class)].preemptions += 1;
    }

    pub fn summary(&self) -> Summary {
        let mut gaps = new_histogram();
        for class in &self.classes {
            gaps.add(&class.gaps).expect("equal bounds");
        }
        let classes: Vec<_> = self.classes.iter().map(ClassMeasures::summary).collect();
        let count = |f: fn(&ClassSummary) -> u64| classes.iter().map(f).sum::<u64>();
        let secs = |f: fn(&ClassSummary) -> f64| classes.iter().map(f).sum::<f64>();
        let open = |track: &&Track| matches!(track.state, State::Open | State::Placed);
        Summary {
            arrived: count(|c| c.arrived),
            refused: count(|c| c.refused),
            complete: count(|c| c.complete),
            within_target: count(|c| c.within_target),
            good_tokens: count(|c| c.good_tokens),
            stall_s: secs(|c| c.stall_s),
            late_first_s: secs(|c| c.late_first_s),
            preemptions: count(|c| c.preemptions),
            short_urgent_p99_ms: classes[0].first_p99_ms,
            gap_p50_ms: quantile_ms(&gaps, 0.50),
            gap_p95_ms: quantile_ms(&gaps, 0.95),
            gap_p99_ms: quantile_ms(&gaps, 0.99),
            lost: self.tracks.iter().filter(open).count() as u64 + self.placed_twice,
            classes,
        }
    }
}

impl ClassMeasures {
    fn new(spec: &'static ClassSpec) -> Self {
        ClassMeasures {
            spec,
            arrived: 0,
            refused: 0,
            complete: 0,
            within_target: 0,
            good_tokens: 0,
            stall: Duration::ZERO,
            late_first: Duration::ZERO,
            preemptions: 0,
            first: new_histogram(),
            gaps: new_histogram(),
        }
    }

    fn summary(&self) -> ClassSummary {
        ClassSummary {
            class: self.spec.name.to_owned(),
            arrived: self.arrived,
            refused: self.refused,
            complete: self.complete,
            within_target: self.within_target,
            good_tokens: self.good_tokens,
            stall_s: self.stall.as_secs_f64(),
            late_first_s: self.late_first.as_secs_f64(),
            preemptions: self.preemptions,
            first_p50_ms: quantile_ms(&self.first, 0.50),
            first_p99_ms: quantile_ms(&self.first, 0.99),
            gap_p50_ms: quantile_ms(&self.gaps, 0.50),
            gap_p95_ms: quantile_ms(&self.gaps, 0.95),
            gap_p99_ms: quantile_ms(&self.gaps, 0.99),
            gap_max_ms: self.gaps.max() as f64 / 1e3,
        }
    }
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_US, DIGITS).expect("constant bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn quantile_ms(histogram: &Histogram<u64>, q: f64) -> f64 {
    histogram.value_at_quantile(q) as f64 / 1e3
}
