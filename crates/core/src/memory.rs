//! Forecasts the KV cache use of the generations that run at one endpoint.
//!
//! A generation with a prompt of `p` tokens that has generated `a` tokens holds `p + a` tokens
//! until it ends. For each horizon the ledger keeps the mean and the variance of the use at that
//! point, summed over all running generations. Admission bounds the probability that one more
//! generation still runs when the KV cache is full ([`Margins`]). See
//! `docs/design/admission.md`.

use crate::ids::RequestId;
use crate::length::buckets::bucket_of;
use crate::length::curve::Curve;
use crate::length::{LengthModel, LengthNode};
use crate::time::Time;
use core::time::Duration;
use cranelift_entity::entity_impl;

/// Horizons, in generated tokens from now, at which KV cache use is forecast.
///
/// With fewer horizons, the peak of a cohort of generations that started together (at the full
/// hour, for example) falls between two of them and is missed.
pub const HORIZONS: [u32; 8] = [64, 128, 256, 512, 1024, 2048, 4096, 8192];

/// Number of points of a forecast: now, and each horizon.
pub const POINTS: usize = 1 + HORIZONS.len();

/// Tokens per second that a generation is assumed to produce before any rate was measured.
const INITIAL_RATE: f64 = 30.0;
/// Weight of one checkpoint interval in the moving average of an endpoint's token rate.
const RATE_GAIN: f64 = 0.2;
/// Share of the estimated tokens since the last checkpoint that counts as certain, because a
/// generation slows down when others join it.
const CERTAIN_RATE_SHARE: f64 = 0.85;
/// Standard deviation of the error of the logarithm of learned hazards.
const HAZARD_LOG_DEVIATION: f64 = 0.15;
/// Lowest survival probability that is used, to bound its logarithm.
const MIN_SURVIVAL: f64 = 1e-6;
/// Average number of unused tokens in the last, partly filled KV block of a generation.
const BLOCK_SLACK: u32 = 8;

/// A class, as a dense index within one cell.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassIx(u32);
entity_impl!(ClassIx, "class");

/// Bounds of the KV cache use of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Demand {
    /// Tokens of the prompt, after correction of the estimate.
    pub prompt: u32,
    /// Maximum number of tokens that may be generated.
    pub cap: u32,
    /// Minimum number of generated tokens, as far as known.
    pub floor: u32,
}

/// The number of tokens that a generation has produced, as an estimated range.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Age {
    /// Estimated lower bound.
    pub low: u32,
    /// Estimated upper bound.
    pub high: u32,
}

impl Age {
    /// Returns the age of a generation that is known to have produced `tokens`.
    pub fn exactly(tokens: u32) -> Age {
        Age {
            low: tokens,
            high: tokens,
        }
    }
}

/// Mean and variance of the KV cache use at each point, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Forecast {
    mean: [f64; POINTS],
    /// Random variance, independent between generations.
    var: [f64; POINTS],
    /// Change of the mean if all hazards were wrong by a factor of e. The error is common to all
    /// generations, so that it adds up and does not average out.
    shift: [f64; POINTS],
}

impl Forecast {
    /// Forecasts one generation that has produced between `age.low` and `age.high` tokens.
    ///
    /// The low age determines when it ends, the high age how many tokens it holds. Both choices
    /// overestimate the use.
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
            forecast.shift[point + 1] = -p * p.max(MIN_SURVIVAL).ln() * size;
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

    /// Subtracts `other`, which was added before.
    pub fn sub(&mut self, other: &Forecast) {
        for point in 0..POINTS {
            self.mean[point] = (self.mean[point] - other.mean[point]).max(0.0);
            self.var[point] = (self.var[point] - other.var[point]).max(0.0);
            self.shift[point] = (self.shift[point] - other.shift[point]).max(0.0);
        }
    }

    /// Returns the use now, in tokens.
    pub fn now(&self) -> f64 {
        self.mean[0]
    }

    /// Returns the standard deviation at a point.
    fn deviation(&self, point: usize) -> f64 {
        let shared = HAZARD_LOG_DEVIATION * self.shift[point];
        (self.var[point] + shared * shared).sqrt()
    }

    /// Returns the maximum over all points of the mean plus `sigmas` standard deviations.
    pub fn peak(&self, sigmas: f64) -> f64 {
        let mut peak: f64 = 0.0;
        for point in 0..POINTS {
            peak = peak.max(self.mean[point] + sigmas * self.deviation(point));
        }
        peak
    }

    /// Returns the [`Forecast::peak`] of the sum of this and `other`.
    pub fn peak_with(&self, other: &Forecast, sigmas: f64) -> f64 {
        let mut both = *self;
        both.add(other);
        both.peak(sigmas)
    }
}

/// The room that an endpoint needs at each point to admit one more generation.
///
/// A generation can cause a preemption only while it runs. So the probability that it still runs
/// at a point *and* the KV cache is full then is bounded by the accepted risk. The less likely it
/// is to run that long, the smaller the margin that it must leave for the uncertainty of the
/// running generations.
#[derive(Clone, Copy, Debug, Default)]
pub struct Margins {
    points: [Option<Margin>; POINTS],
}

#[derive(Clone, Copy, Debug)]
struct Margin {
    /// Tokens that the generation holds if it still runs at this point.
    size: f64,
    /// Margin, in standard deviations of the use by running generations.
    sigmas: f64,
}

impl Margins {
    /// Returns the margins of one generation for an accepted risk between 0 and 1.
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

    /// Returns the peak use, margins included, if the generation joins those that `sum` forecasts.
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

/// Returns the value that a standard normal variable exceeds with probability `q`, or 0 if `q` is
/// 0.5 or more.
///
/// Uses the rational approximation 26.2.23 of Abramowitz and Stegun; its error is below 4.5e-4.
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
    /// Whether it is urgent.
    pub urgent: bool,
    /// The node of the length model that estimates its length.
    pub node: LengthNode,
    /// Bounds of its KV cache use.
    pub demand: Demand,
    /// Tokens at the last checkpoint.
    pub reported: u32,
    /// When that checkpoint was reported, or the time of the grant if none was.
    pub reported_at: Time,
    /// When it was granted.
    pub granted: Time,
    /// First length bucket that the length model has not counted as survived.
    pub passed: usize,
    /// Its contribution to the ledger's sums.
    pub forecast: Forecast,
}

impl Held {
    /// Estimates how many tokens it has produced at `now`.
    ///
    /// The estimate stays below the next checkpoint, because that one has not been reported yet.
    fn age(&self, now: Time, rate: f64) -> Age {
        let more = now.since(self.reported_at).as_secs_f64() * rate;
        let last = crate::checkpoint::next_checkpoint(self.reported) - 1;
        let after = |more: f64| {
            let age = self.reported.saturating_add(more as u32);
            age.min(last).min(self.demand.cap)
        };
        Age {
            low: after(more * CERTAIN_RATE_SHARE),
            high: after(more),
        }
    }
}

/// The generations that run at one endpoint under this cell's grants.
///
/// Invariant: `sum` is the sum of the forecasts in `held`, up to rounding errors, which
/// [`Ledger::refresh`] removes.
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
            rate: INITIAL_RATE,
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

    /// Records that a generation has produced `tokens`.
    pub fn progress(&mut self, now: Time, id: RequestId, tokens: u32) {
        let Some(held) = self.held.iter_mut().find(|held| held.id == id) else {
            return;
        };
        if tokens <= held.reported {
            return;
        }
        let time = now.since(held.reported_at).as_secs_f64();
        // The time to the first checkpoint includes the wait for the first token.
        if held.reported > 0 && time > 0.0 {
            let rate = f64::from(tokens - held.reported) / time;
            self.rate += RATE_GAIN * (rate - self.rate);
        }
        held.reported = tokens;
        held.reported_at = now;
    }

    /// Recomputes all forecasts, and counts in `lengths` the buckets that each generation survived.
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

    /// Returns the sum of the forecasts of all running generations.
    pub fn sum(&self) -> &Forecast {
        &self.sum
    }

    /// Returns the tokens that urgent generations hold now.
    pub fn urgent_now(&self) -> f64 {
        self.urgent_now
    }

    /// Returns the number of running urgent generations.
    pub fn urgent_count(&self) -> u32 {
        self.urgent_count
    }

    /// Returns all running generations.
    pub fn held(&self) -> &[Held] {
        &self.held
    }

    /// Returns the estimated token rate of one generation, in tokens per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }
}

/// The load of an endpoint that does not come from this cell's grants.
///
/// A load report is compared with the ledger's state at the time when its figures were taken, so
/// that later grants do not distort the difference.
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

/// A sample that follows the previous one within this time replaces its values.
const SAMPLE_SPACING: Duration = Duration::from_millis(50);
/// Maximum number of samples; with [`SAMPLE_SPACING`] they cover at least 6 s.
const MAX_SAMPLES: usize = 128;
/// Weight of one report in the smoothed foreign load.
const FOREIGN_GAIN: f64 = 0.5;
/// Share of an endpoint's KV cache by which report and ledger may differ before the difference
/// counts as foreign load.
const FOREIGN_DEADBAND: f64 = 0.02;
/// Number of generations by which report and ledger may differ.
const FOREIGN_DEADBAND_COUNT: f64 = 1.0;

impl Foreign {
    /// Records the ledger's state at `now`.
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

    /// Applies a report that `tokens` of `total` were in use by `count` generations at `taken`.
    pub fn report(&mut self, taken: Time, tokens: u64, count: u32, total: u64) {
        let own = self.at(taken);
        let (own_tokens, own_count) = own.map_or((0.0, 0.0), |s| (s.tokens, f64::from(s.count)));
        let band = FOREIGN_DEADBAND * total as f64;
        let tokens = (tokens as f64 - own_tokens - band).max(0.0);
        let count = (f64::from(count) - own_count - FOREIGN_DEADBAND_COUNT).max(0.0);
        self.tokens += FOREIGN_GAIN * (tokens - self.tokens);
        self.count += FOREIGN_GAIN * (count - self.count);
    }

    /// Returns the estimated tokens that foreign generations hold.
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Returns the estimated number of foreign generations.
    pub fn count(&self) -> u32 {
        self.count.round() as u32
    }

    /// Returns the last sample that is not after `at`, or the oldest.
    fn at(&self, at: Time) -> Option<Sample> {
        let after = self.past.partition_point(|sample| sample.at <= at);
        self.past.get(after.saturating_sub(1)).copied()
    }
}
