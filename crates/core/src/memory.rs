//! What the generations of one endpoint will hold of its KV memory.
//!
//! A generation of prompt `p` and age `a` holds `p + a` tokens until it ends.
//! For each of a few horizons the ledger keeps the mean and the variance of
//! what is held then, summed over everything that runs. Admission asks how
//! likely one more would run when memory is short ([`Margins`]). See
//! `docs/design/admission.md`.

use crate::ids::RequestId;
use crate::length::buckets::bucket_of;
use crate::length::curve::Curve;
use crate::length::{LengthModel, LengthNode};
use crate::time::Time;
use core::time::Duration;
use cranelift_entity::entity_impl;

/// Horizons, in generated tokens from now, at which memory is forecast.
///
/// With fewer, a cohort that started together at the turn of the hour peaks
/// unseen between two of them.
pub const HORIZONS: [u32; 8] = [64, 128, 256, 512, 1024, 2048, 4096, 8192];

/// Points of a forecast: now, and each horizon.
pub const POINTS: usize = 1 + HORIZONS.len();

/// Tokens a second that a generation is assumed to make before any was timed.
const START_RATE: f64 = 30.0;
/// Weight of one timed checkpoint in an endpoint's token rate.
const RATE_GAIN: f64 = 0.2;
/// Share of the estimated tokens since the last checkpoint that are certain:
/// a generation slows down when others join it.
const RATE_DOUBT: f64 = 0.85;
/// Standard deviation of the error of learned hazards, as a logarithm.
const HAZARD_ERROR: f64 = 0.15;
/// Chance below which a generation counts as ended, to bound a logarithm.
const LEAST_ALIVE: f64 = 1e-6;
/// Tokens that a generation takes on average in its last, half empty KV block.
const BLOCK_SLACK: u32 = 8;

/// A class, as one cell counts it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIx(u32);
entity_impl!(ClassIx, "class");

/// What a generation asks of memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of the prompt, corrected.
    pub prompt: u32,
    /// The most tokens that may be generated.
    pub cap: u32,
    /// The answer is known to be at least this long.
    pub floor: u32,
}

/// How many tokens a generation has made, between two bounds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Age {
    /// At least about so many.
    pub low: u32,
    /// At most about so many.
    pub high: u32,
}

impl Age {
    /// Returns the age of a generation known to have made `tokens`.
    pub fn exactly(tokens: u32) -> Age {
        Age {
            low: tokens,
            high: tokens,
        }
    }
}

/// Mean and variance of the memory held at each point, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    mean: [f64; POINTS],
    /// Variance by chance, independent from one generation to the next.
    var: [f64; POINTS],
    /// Change of the mean if all hazards were wrong by a factor of e; shared
    /// by all generations, so that it adds up and does not average out.
    shift: [f64; POINTS],
}

impl Forecast {
    /// Forecasts one generation that has made between `age.low` and `age.high` tokens.
    ///
    /// The low age says when it ends, the high one what it holds: both err on
    /// the side of too much memory.
    pub fn of(demand: Demand, age: Age, curve: &Curve) -> Forecast {
        let mut forecast = Forecast::default();
        let base = demand.prompt + BLOCK_SLACK;
        forecast.mean[0] = f64::from(base + age.high);
        let known = age.low.max(demand.floor);
        let alive = curve.survival(known);
        for (point, horizon) in HORIZONS.iter().enumerate() {
            let then = age.low + horizon;
            let p = match then {
                _ if then >= demand.cap => 0.0,
                _ if then <= known => 1.0,
                _ => (curve.survival(then) / alive).min(1.0),
            };
            let size = f64::from(base + age.high + horizon);
            forecast.mean[point + 1] = p * size;
            forecast.var[point + 1] = p * (1.0 - p) * size * size;
            forecast.shift[point + 1] = -p * p.max(LEAST_ALIVE).ln() * size;
        }
        forecast
    }

    /// Adds `other`.
    pub fn add(&mut self, other: &Forecast) {
        for point in 0..POINTS {
            self.mean[point] += other.mean[point];
            self.var[point] += other.var[point];
            self.shift[point] += other.shift[point];
        }
    }

    /// Takes `other` away, which was added before.
    pub fn sub(&mut self, other: &Forecast) {
        for point in 0..POINTS {
            self.mean[point] = (self.mean[point] - other.mean[point]).max(0.0);
            self.var[point] = (self.var[point] - other.var[point]).max(0.0);
            self.shift[point] = (self.shift[point] - other.shift[point]).max(0.0);
        }
    }

    /// Returns what is held now.
    pub fn now(&self) -> f64 {
        self.mean[0]
    }

    /// Returns the standard deviation at a point.
    fn deviation(&self, point: usize) -> f64 {
        let shared = HAZARD_ERROR * self.shift[point];
        (self.var[point] + shared * shared).sqrt()
    }

    /// Returns the highest of mean plus `sigmas` standard deviations over all points.
    pub fn peak(&self, sigmas: f64) -> f64 {
        let mut peak: f64 = 0.0;
        for point in 0..POINTS {
            peak = peak.max(self.mean[point] + sigmas * self.deviation(point));
        }
        peak
    }

    /// Returns [`Forecast::peak`] of this and `other` together.
    pub fn peak_with(&self, other: &Forecast, sigmas: f64) -> f64 {
        let mut both = *self;
        both.add(other);
        both.peak(sigmas)
    }
}

/// What one more generation asks of an endpoint at each point.
///
/// A generation is to blame for a preemption only while it runs itself. So the
/// chance that it still runs at a point *and* memory is short then is held
/// below the accepted risk: the less likely it runs that long, the smaller the
/// margin it must leave to the uncertainty of what runs already.
#[derive(Clone, Copy, Debug, Default)]
pub struct Margins {
    points: [Option<Margin>; POINTS],
}

#[derive(Clone, Copy, Debug)]
struct Margin {
    /// Tokens that the generation holds if it still runs.
    size: f64,
    /// Standard deviations of what runs already that must stay free.
    sigmas: f64,
}

impl Margins {
    /// Returns the margins of one generation, for an accepted risk from 0 to 1.
    pub fn of(forecast: &Forecast, risk: f64) -> Margins {
        let mut margins = Margins::default();
        for point in 0..POINTS {
            let (mean, var) = (forecast.mean[point], forecast.var[point]);
            let square = mean * mean + var;
            if square <= 0.0 {
                continue;
            }
            // Mean and variance of one generation are p·s and p(1-p)·s².
            let alive = mean * mean / square;
            if alive > risk {
                margins.points[point] = Some(Margin {
                    size: square / mean,
                    sigmas: upper_quantile(risk / alive),
                });
            }
        }
        margins
    }

    /// Returns the highest that memory may come to, margins included, when the
    /// generation joins what `sum` forecasts.
    pub fn peak(&self, sum: &Forecast) -> f64 {
        let mut peak: f64 = 0.0;
        for (point, margin) in self.points.iter().enumerate() {
            if let Some(Margin { size, sigmas }) = margin {
                let held = sum.mean[point] + sigmas * sum.deviation(point);
                peak = peak.max(held + size);
            }
        }
        peak
    }
}

/// Returns the point that a standard normal variable exceeds with probability
/// `q`, or 0 for `q` of a half and more.
///
/// The rational approximation is Abramowitz and Stegun's 26.2.23, within 4.5e-4.
fn upper_quantile(q: f64) -> f64 {
    if q >= 0.5 {
        return 0.0;
    }
    let t = (-2.0 * q.ln()).sqrt();
    let above = 2.515_517 + t * (0.802_853 + t * 0.010_328);
    let below = 1.0 + t * (1.432_788 + t * (0.189_269 + t * 0.001_308));
    t - above / below
}

/// A generation that runs at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Held {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassIx,
    /// Whether it counts as urgent.
    pub urgent: bool,
    /// Where its length is estimated.
    pub node: LengthNode,
    /// What it asks of memory.
    pub demand: Demand,
    /// Tokens at the last checkpoint.
    pub told: u32,
    /// When that checkpoint came, or the grant.
    pub told_at: Time,
    /// When it was granted.
    pub granted: Time,
    /// Buckets before this one were counted as passed.
    pub passed: usize,
    /// Its part in the ledger's sums.
    pub forecast: Forecast,
}

impl Held {
    /// Returns how many tokens it has probably made at `now`.
    ///
    /// That is capped just below the next checkpoint, whose report would have come.
    fn age(&self, now: Time, rate: f64) -> Age {
        let more = now.since(self.told_at).as_secs_f64() * rate;
        let last = crate::checkpoint::next_checkpoint(self.told) - 1;
        let after = |more: f64| {
            let age = self.told.saturating_add(more as u32);
            age.min(last).min(self.demand.cap)
        };
        Age {
            low: after(more * RATE_DOUBT),
            high: after(more),
        }
    }
}

/// Everything that runs at one endpoint under this cell's grants.
///
/// Invariant: `sum` is the sum of the forecasts in `held`, up to rounding that
/// each [`Ledger::refresh`] removes.
#[derive(Clone, Debug)]
pub struct Ledger {
    held: Vec<Held>,
    sum: Forecast,
    urgent_now: f64,
    urgent_count: u32,
    rate: f64,
}

impl Default for Ledger {
    fn default() -> Self {
        Ledger {
            held: Vec::new(),
            sum: Forecast::default(),
            urgent_now: 0.0,
            urgent_count: 0,
            rate: START_RATE,
        }
    }
}

impl Ledger {
    /// Adds a generation.
    pub fn add(&mut self, held: Held) {
        self.sum.add(&held.forecast);
        if held.urgent {
            self.urgent_now += held.forecast.now();
            self.urgent_count += 1;
        }
        self.held.push(held);
    }

    /// Removes and returns a generation.
    pub fn remove(&mut self, id: RequestId) -> Option<Held> {
        let at = self.held.iter().position(|held| held.id == id)?;
        let held = self.held.swap_remove(at);
        self.sum.sub(&held.forecast);
        if held.urgent {
            self.urgent_now = (self.urgent_now - held.forecast.now()).max(0.0);
            self.urgent_count -= 1;
        }
        Some(held)
    }

    /// Learns that a generation has made `tokens`.
    pub fn progress(&mut self, now: Time, id: RequestId, tokens: u32) {
        let Some(held) = self.held.iter_mut().find(|held| held.id == id) else {
            return;
        };
        if tokens <= held.told {
            return;
        }
        let time = now.since(held.told_at).as_secs_f64();
        // The time to the first checkpoint includes the wait for the first token.
        if held.told > 0 && time > 0.0 {
            let rate = f64::from(tokens - held.told) / time;
            self.rate += RATE_GAIN * (rate - self.rate);
        }
        held.told = tokens;
        held.told_at = now;
    }

    /// Forecasts everything anew, and counts the lengths that were passed.
    pub fn refresh(&mut self, now: Time, lengths: &mut LengthModel) {
        self.sum = Forecast::default();
        self.urgent_now = 0.0;
        for held in &mut self.held {
            let age = held.age(now, self.rate);
            let passed = bucket_of(age.low + 1);
            if passed > held.passed {
                lengths.survived(held.node, held.passed, passed);
                held.passed = passed;
            }
            held.forecast = Forecast::of(held.demand, age, lengths.curve(held.node));
            self.sum.add(&held.forecast);
            if held.urgent {
                self.urgent_now += held.forecast.now();
            }
        }
    }

    /// Returns the sums over everything that runs.
    pub fn sum(&self) -> &Forecast {
        &self.sum
    }

    /// Returns what urgent work holds now, in tokens.
    pub fn urgent_now(&self) -> f64 {
        self.urgent_now
    }

    /// Returns how many urgent generations run.
    pub fn urgent_count(&self) -> u32 {
        self.urgent_count
    }

    /// Returns everything that runs.
    pub fn held(&self) -> &[Held] {
        &self.held
    }

    /// Returns tokens a second of one generation, as far as known.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// What an endpoint's reports show beyond this cell's own grants.
///
/// A report is compared with what the ledger held when its figures were taken,
/// so that grants given since are not counted twice.
#[derive(Clone, Debug, Default)]
pub struct Foreign {
    past: std::collections::VecDeque<Sample>,
    tokens: f64,
    count: f64,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Time,
    tokens: f64,
    count: u32,
}

/// Samples closer together than this are kept as one, the later one.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);
/// The most samples kept; with [`SAMPLE_SPACING`] they reach back 6 s at least.
const MAX_SAMPLES: usize = 128;
/// Weight of one report in the smoothed foreign load.
const FOREIGN_GAIN: f64 = 0.5;
/// Share of an endpoint's memory by which report and ledger may differ
/// before the difference counts as someone else's.
const FOREIGN_DEADBAND: f64 = 0.02;
/// Generations by which report and ledger may differ.
const FOREIGN_DEADBAND_COUNT: f64 = 1.0;

impl Foreign {
    /// Notes what the ledger holds at `now`.
    pub fn sample(&mut self, now: Time, ledger: &Ledger) {
        let sample = Sample {
            at: now,
            tokens: ledger.sum().now(),
            count: ledger.held().len() as u32,
        };
        if let Some(last) = self.past.back_mut()
            && now.since(last.at) < SAMPLE_SPACING
        {
            last.tokens = sample.tokens;
            last.count = sample.count;
            return;
        }
        if self.past.len() == MAX_SAMPLES {
            self.past.pop_front();
        }
        self.past.push_back(sample);
    }

    /// Takes in that `tokens` and `count` were in use at `taken`, of `total` tokens.
    pub fn report(&mut self, taken: Time, tokens: u64, count: u32, total: u64) {
        let own = self.at(taken);
        let (own_tokens, own_count) = own.map_or((0.0, 0.0), |s| (s.tokens, f64::from(s.count)));
        let band = FOREIGN_DEADBAND * total as f64;
        let tokens = (tokens as f64 - own_tokens - band).max(0.0);
        let count = (f64::from(count) - own_count - FOREIGN_DEADBAND_COUNT).max(0.0);
        self.tokens += FOREIGN_GAIN * (tokens - self.tokens);
        self.count += FOREIGN_GAIN * (count - self.count);
    }

    /// Returns the tokens that others hold.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns how many generations of others there are.
    pub fn count(&self) -> u32 {
        self.count.round() as u32
    }

    /// Returns the last sample that is not after `at`, or the oldest.
    fn at(&self, at: Time) -> Option<Sample> {
        let after = self.past.partition_point(|sample| sample.at <= at);
        self.past.get(after.saturating_sub(1)).copied()
    }
}
