//! The pace of engines: how long the gaps between events are, and how long they become while an
//! engine prefills a prompt or its host is slow.
//!
//! Every instance measures the gaps of the generations that it relays ([`PaceSamples`]) and reports
//! them to the home of the service, which merges them ([`PaceModel`]) and adds the predicted stalls
//! to the cost of an engine (`StallCosts`). See `docs/design/engine-pace.md`.

use super::request::PaceDemand;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Minimum interval between two reports of samples about one service, so that samples add less than
/// 2 KB/s to the reports of an instance.
pub const SAMPLE_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum number of engines in one report of samples; with it, a report with the maximum number of
/// requests still fits a datagram.
pub const MAX_SAMPLED_ENGINES: usize = 24;

/// Samples whose last gap is older are dropped: they say nothing about the present, and an instance
/// without generations does not report.
const SAMPLE_TTL: Duration = Duration::from_secs(1);

/// Events that arrive within this time of each other were sent together: the time between them is
/// not a step of the engine.
const MIN_GAP: Duration = Duration::from_millis(1);

/// Fractional steps of the binary logarithm in a sample.
const LOG_SCALE: f64 = 256.0;

/// Time in which the weight of observations decays to 37 %. It covers several periods in which a
/// host is slow (0.6 s each), and an engine whose pace changes is known again after it.
const DECAY_TIME: Duration = Duration::from_secs(10);

/// Upper bound of the gaps that an estimate stands on. A busy engine yields as many within a few
/// seconds, so that its estimate follows a change; an idle one returns to the prior in about 30 s.
const MAX_OBSERVED_GAPS: f64 = 400.0;

/// Weight of the service's median in the estimate of each engine, in gaps. One report of a slow
/// period contains some ten gaps of a generation and must not classify the engine.
const PRIOR_GAPS: f64 = 20.0;

/// Decayed number of gaps from which an engine counts for the median and the stall ratio of its
/// service. An engine that runs only short answers yields about 100; without such engines the
/// median would be that of the engines to which long generations are sent.
const WELL_OBSERVED_GAPS: f64 = 60.0;

/// Well observed engines that a service needs before any stall is predicted. The median of fewer
/// follows a single engine.
const MIN_WELL_OBSERVED: usize = 3;

/// Upper bound of the ratio of longest to typical gap. A prefill on a slow host lengthens gaps to
/// some five times; a longer gap was caused by the instance, the network or a failing engine.
const MAX_STALL_RATIO: f64 = 10.0;

/// Factor by which a typical gap must differ from the service's median to count as different.
/// Engines of equal speed differ by up to 1.2, from the load that each had in the last seconds.
const DEAD_BAND: f64 = 1.4;

/// Weight of a sample above the estimate, in relation to one below it. Prefills and slow hosts
/// lengthen the gaps of a busy engine for part of the time. The estimate is to be the time of a
/// step without them, which distinguishes engines, and still to follow an engine that is always
/// slower.
const SLOWER_WEIGHT: f64 = 0.25;

/// Duration of a window of longest gaps. The current one and the one before count, so that most
/// engines met a prefill during a slow period (15 % of the time) within them.
const STALL_WINDOW: Duration = Duration::from_secs(15);

/// Minimum interval at which the predictions of a service are computed again.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Estimates of engines that nobody observed for this long are dropped: their weight is a small
/// part of the prior's by then.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Share of the gap target up to which a predicted gap is no risk. The rest absorbs the error of
/// the prediction and the delay between engine and caller.
const RISK_FROM: f64 = 0.7;

/// Share of the gap target from which a predicted gap is certain to be late.
const RISK_TO: f64 = 0.95;

/// Risk above which an engine counts as risky.
const RISKY: f64 = 0.5;

/// Risk below which an engine counts as risk-free.
const RISK_FREE: f64 = 0.1;

/// Expected output from which a generation counts as long, in tokens. A shorter one has a few
/// events and hardly runs into a stall.
const LONG_OUTPUT: u32 = 64;

/// Prompt tokens from which the prefill of a request stalls others. A shorter prefill takes less
/// than one event of a generation.
const LONG_PROMPT: u32 = 256;

/// Cost of an engine where a long generation will be late, in running generations: as much as a
/// risk-free engine costs that has a full KV cache and two prompts to prefill, behind which a
/// generation still gets its first event in time.
const OWN_RISK_COST: f64 = 32.0;

/// Cost for each generation that a prefill would make late, in running generations. It exceeds 1,
/// the cost of sharing an engine, because a late generation is worse than a slower one.
const HARM_COST: f64 = 6.0;

/// Cost of a risk-free engine for a short generation, in running generations: more than the harm at
/// an engine with one long generation. Long ones find capacity there, and no short one is queued
/// for it.
const SHORT_AT_RISK_FREE_COST: f64 = 10.0;

/// Minimum interval at which changes of risk classes in a service are reported, so that an engine
/// at the edge of a class does not fill the log.
const CHANGE_INTERVAL: Duration = Duration::from_secs(3);

/// How an engine counts for generations with the shortest gap target of its service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RiskClass {
    /// A generation is in time there, or nothing is known.
    #[default]
    RiskFree,
    /// Between the other two.
    Uncertain,
    /// A generation is probably late there.
    Risky,
}

impl RiskClass {
    fn of(risk: f64) -> Self {
        if risk > RISKY {
            RiskClass::Risky
        } else if risk < RISK_FREE {
            RiskClass::RiskFree
        } else {
            RiskClass::Uncertain
        }
    }

    /// Returns the name of the class in logs.
    pub fn label(self) -> &'static str {
        match self {
            RiskClass::RiskFree => "risk_free",
            RiskClass::Uncertain => "uncertain",
            RiskClass::Risky => "risky",
        }
    }
}

/// An engine whose risk class changed, with the inputs of the prediction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RiskChange {
    /// The engine.
    pub engine: EndpointKey,
    /// Its class as last reported.
    pub before: RiskClass,
    /// Its class now.
    pub after: RiskClass,
    /// Its typical gap in milliseconds.
    pub typical_ms: u32,
    /// Its predicted gap in milliseconds.
    pub stalled_ms: u32,
    /// The decayed number of gaps that the estimate stands on.
    pub gaps: u32,
    /// The stall ratio of the service, in percent.
    pub stall_percent: u32,
    /// The gap target by which it was classified, in milliseconds.
    pub target_ms: u32,
    /// How many engines changed their class since the last report.
    pub changed: usize,
    /// How many engines are risky now.
    pub risky: usize,
    /// How many engines are known.
    pub engines: usize,
}

/// Gaps between events that one instance relayed from one engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceSample {
    /// Number of gaps.
    pub gaps: u16,
    /// Mean of the binary logarithm of the gaps in milliseconds, times 256.
    pub log_mean: u16,
    /// The longest gap in milliseconds.
    pub longest_ms: u16,
}

/// The gaps of one engine since the last report.
#[derive(Clone, Copy, Debug, Default)]
struct Gaps {
    count: u16,
    log_sum: f64,
    longest: Duration,
    last_at: Time,
}

impl Gaps {
    fn sample(&self) -> PaceSample {
        let log_mean = self.log_sum / f64::from(self.count.max(1)) * LOG_SCALE;
        PaceSample {
            gaps: self.count,
            log_mean: log_mean.clamp(0.0, u16::MAX.into()) as u16,
            longest_ms: u16::try_from(self.longest.as_millis()).unwrap_or(u16::MAX),
        }
    }
}

/// The gaps that this instance measured and has not reported yet.
#[derive(Clone, Debug, Default)]
pub struct PaceSamples {
    by_engine: BTreeMap<EndpointKey, Gaps>,
    /// When samples about a service were last reported.
    reported: BTreeMap<u64, Time>,
}

impl PaceSamples {
    /// Records the gap between two consecutive events of one generation at one engine.
    pub fn record(&mut self, now: Time, engine: EndpointKey, gap: Duration) {
        if gap < MIN_GAP {
            return;
        }
        let gaps = self.by_engine.entry(engine).or_default();
        gaps.count = gaps.count.saturating_add(1);
        gaps.log_sum += (gap.as_secs_f64() * 1_000.0).log2();
        gaps.longest = gaps.longest.max(gap);
        gaps.last_at = now;
    }

    /// Takes the samples of a service's engines if a report of them is due. If there are more
    /// engines than a report may contain, those with the most gaps come first.
    pub fn take(
        &mut self,
        now: Time,
        service: u64,
        of_service: impl Fn(&EndpointKey) -> bool,
    ) -> Vec<(EndpointKey, PaceSample)> {
        self.by_engine
            .retain(|_, gaps| now.since(gaps.last_at) < SAMPLE_TTL);
        let last = self.reported.get(&service);
        if last.is_some_and(|at| now.since(*at) < SAMPLE_INTERVAL) {
            return Vec::new();
        }
        let own = self.by_engine.iter().filter(|(key, _)| of_service(key));
        let mut samples: Vec<_> = own.map(|(key, gaps)| (*key, gaps.sample())).collect();
        if samples.is_empty() {
            return samples;
        }
        samples.sort_by_key(|(_, sample)| core::cmp::Reverse(sample.gaps));
        samples.truncate(MAX_SAMPLED_ENGINES);
        for (key, _) in &samples {
            self.by_engine.remove(key);
        }
        self.reported.retain(|_, at| now.since(*at) < SAMPLE_TTL);
        self.reported.insert(service, now);
        samples
    }
}

/// The decayed observations of one engine.
#[derive(Clone, Copy, Debug)]
struct Observed {
    at: Time,
    /// Gaps that were observed.
    seen: f64,
    /// Weight of the samples in `log_sum`, in gaps.
    gaps: f64,
    log_sum: f64,
    /// The largest ratios of longest to typical gap in the current window and in the one before.
    stall_ratios: [f64; 2],
    /// Start of the current window.
    window_start: Time,
    /// The predicted stalled gap in milliseconds, as of the last refresh; 0 if none is predicted.
    stalled_ms: f64,
    /// The risk class as last reported.
    class: RiskClass,
}

impl Observed {
    fn decayed(mut self, now: Time) -> Self {
        let elapsed = now.since(self.at).as_secs_f64();
        let weight = (-elapsed / DECAY_TIME.as_secs_f64()).exp();
        self.seen *= weight;
        self.gaps *= weight;
        self.log_sum *= weight;
        let windows = now.since(self.window_start).as_secs_f64() / STALL_WINDOW.as_secs_f64();
        if windows >= 1.0 {
            let last = if windows < 2.0 {
                self.stall_ratios[0]
            } else {
                1.0
            };
            self.stall_ratios = [1.0, last];
            self.window_start = now;
        }
        self.at = now;
        self
    }

    fn add(&mut self, sample: PaceSample, prior_log: Option<f64>) {
        let log_mean = f64::from(sample.log_mean) / LOG_SCALE;
        let is_slower = self.gaps > 0.0 && log_mean > self.log_typical(prior_log);
        let weight = if is_slower { SLOWER_WEIGHT } else { 1.0 };
        let gaps = f64::from(sample.gaps) * weight;
        self.seen += f64::from(sample.gaps);
        self.gaps += gaps;
        self.log_sum += gaps * log_mean;
        if self.gaps > MAX_OBSERVED_GAPS {
            self.log_sum *= MAX_OBSERVED_GAPS / self.gaps;
            self.gaps = MAX_OBSERVED_GAPS;
        }
        self.seen = self.seen.min(MAX_OBSERVED_GAPS);
        let ratio = f64::from(sample.longest_ms) / self.log_typical(prior_log).exp2();
        self.stall_ratios[0] = self.stall_ratios[0].max(ratio).clamp(1.0, MAX_STALL_RATIO);
    }

    fn stall_ratio(&self) -> f64 {
        self.stall_ratios[0].max(self.stall_ratios[1])
    }

    fn is_well_observed(&self) -> bool {
        self.seen >= WELL_OBSERVED_GAPS
    }

    /// Returns the binary logarithm of the typical gap in milliseconds.
    fn log_typical(&self, prior_log: Option<f64>) -> f64 {
        match prior_log {
            Some(prior) => (self.log_sum + PRIOR_GAPS * prior) / (self.gaps + PRIOR_GAPS),
            None => self.log_sum / self.gaps.max(f64::EPSILON),
        }
    }
}

/// What is predicted for a service as a whole.
#[derive(Clone, Copy, Debug)]
struct Prediction {
    /// The binary logarithm of the median typical gap in milliseconds.
    log_median: f64,
    /// The median ratio of longest to typical gap.
    stall_ratio: f64,
}

impl Prediction {
    /// Returns the gap in milliseconds of a stalled engine with this typical gap.
    fn stalled_ms(&self, log_typical: f64) -> f64 {
        let is_median = (log_typical - self.log_median).abs() <= DEAD_BAND.log2();
        let log = if is_median {
            self.log_median
        } else {
            log_typical
        };
        log.exp2() * self.stall_ratio
    }
}

/// The model of a service whose engines were never observed.
pub static UNKNOWN: PaceModel = PaceModel::unknown();

/// What is known of the pace of a service's engines.
#[derive(Clone, Debug, Default)]
pub struct PaceModel {
    engines: BTreeMap<EndpointKey, Observed>,
    /// `None` while too few engines are well observed.
    prediction: Option<Prediction>,
    refreshed_at: Option<Time>,
    /// When a change of risk classes was last reported.
    change_reported_at: Option<Time>,
    /// The shortest gap target of recent requests, and when one with it was last seen.
    target: Option<(Duration, Time)>,
}

impl PaceModel {
    /// Returns the model of a service whose engines were never observed.
    pub const fn unknown() -> Self {
        PaceModel {
            engines: BTreeMap::new(),
            prediction: None,
            refreshed_at: None,
            change_reported_at: None,
            target: None,
        }
    }

    /// Merges the samples of one report.
    pub fn merge(&mut self, now: Time, samples: &[(EndpointKey, PaceSample)]) {
        let prior_log = self.prediction.map(|it| it.log_median);
        for &(engine, sample) in samples.iter().filter(|(_, it)| it.gaps > 0) {
            let known = self.engines.get(&engine).map(|it| it.decayed(now));
            let mut observed = known.unwrap_or(Observed {
                at: now,
                seen: 0.0,
                gaps: 0.0,
                log_sum: 0.0,
                stall_ratios: [1.0; 2],
                window_start: now,
                stalled_ms: 0.0,
                class: RiskClass::default(),
            });
            observed.add(sample, prior_log);
            self.engines.insert(engine, observed);
        }
        let is_due = self
            .refreshed_at
            .is_none_or(|at| now.since(at) >= REFRESH_INTERVAL);
        if is_due && !samples.is_empty() {
            self.refresh(now);
        }
    }

    /// Records the gap target of a request; zero if it has none. Requests without one use the
    /// shortest of the recent ones where they affect others.
    pub fn observe_target(&mut self, now: Time, gap_target: Duration) {
        let current = self.gap_target(now);
        if !gap_target.is_zero() && current.is_none_or(|it| gap_target <= it) {
            self.target = Some((gap_target, now));
        }
    }

    /// Returns the shortest gap target of recent requests.
    pub fn gap_target(&self, now: Time) -> Option<Duration> {
        let (target, at) = self.target?;
        (now.since(at) < DECAY_TIME).then_some(target)
    }

    /// Drops the estimates of engines for which `exists` is false, and those that are too old.
    pub fn tick(&mut self, now: Time, exists: impl Fn(EndpointKey) -> bool) {
        self.engines
            .retain(|key, it| now.since(it.at) < FORGET_AFTER && exists(*key));
        if self.gap_target(now).is_none() {
            self.target = None;
        }
        let is_due = self
            .refreshed_at
            .is_some_and(|at| now.since(at) >= REFRESH_INTERVAL);
        if is_due {
            self.refresh(now);
        }
    }

    /// Takes the changes of risk classes since the last call that returned any: the one of the first
    /// engine, and how many there are. Returns nothing within the minimum interval.
    pub fn take_change(&mut self, now: Time) -> Option<RiskChange> {
        let last = self.change_reported_at;
        if last.is_some_and(|at| now.since(at) < CHANGE_INTERVAL) {
            return None;
        }
        let target = self.gap_target(now).unwrap_or_default();
        let prediction = self.prediction;
        let prior_log = prediction.map(|it| it.log_median);
        let (mut change, mut changed, mut risky) = (None, 0, 0);
        for (&engine, observed) in &mut self.engines {
            let after = RiskClass::of(risk(observed.stalled_ms, target));
            risky += usize::from(after == RiskClass::Risky);
            let before = core::mem::replace(&mut observed.class, after);
            if before == after {
                continue;
            }
            changed += 1;
            change.get_or_insert(RiskChange {
                engine,
                before,
                after,
                typical_ms: observed.log_typical(prior_log).exp2() as u32,
                stalled_ms: observed.stalled_ms as u32,
                gaps: observed.seen as u32,
                stall_percent: prediction.map_or(0, |it| (it.stall_ratio * 100.0) as u32),
                target_ms: target.as_millis() as u32,
                changed: 0,
                risky: 0,
                engines: 0,
            });
        }
        let change = change?;
        self.change_reported_at = Some(now);
        Some(RiskChange {
            changed,
            risky,
            engines: self.engines.len(),
            ..change
        })
    }

    /// Returns whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty() && self.target.is_none()
    }

    fn refresh(&mut self, now: Time) {
        self.refreshed_at = Some(now);
        let decayed = self.engines.values().map(|it| it.decayed(now));
        let well: Vec<Observed> = decayed.filter(Observed::is_well_observed).collect();
        let log_median = median(well.iter().map(|it| it.log_typical(None)));
        let stall_ratio = median(well.iter().map(Observed::stall_ratio));
        self.prediction = match (log_median, stall_ratio) {
            (Some(log_median), Some(stall_ratio)) if well.len() >= MIN_WELL_OBSERVED => {
                Some(Prediction {
                    log_median,
                    stall_ratio,
                })
            }
            _ => None,
        };
        let prediction = self.prediction;
        for observed in self.engines.values_mut() {
            observed.stalled_ms = prediction.map_or(0.0, |prediction| {
                let log = observed
                    .decayed(now)
                    .log_typical(Some(prediction.log_median));
                prediction.stalled_ms(log)
            });
        }
    }

    /// Returns the gap in milliseconds that is predicted for `engine` once a prompt is prefilled
    /// beside a generation; 0 if none is predicted.
    pub fn stalled_ms(&self, engine: EndpointKey) -> f64 {
        let observed = self.engines.get(&engine);
        observed.map_or_else(|| self.usual_stalled_ms(), |it| it.stalled_ms)
    }

    /// Returns the gap in milliseconds that is predicted for an engine that was not observed.
    fn usual_stalled_ms(&self) -> f64 {
        let prediction = self.prediction.as_ref();
        prediction.map_or(0.0, |it| it.stalled_ms(it.log_median))
    }

    /// Returns the engines for which another gap is predicted than for one that was not observed.
    pub(super) fn deviating(&self) -> impl Iterator<Item = EndpointKey> {
        let usual = self.usual_stalled_ms();
        let observed = self.engines.iter();
        let deviating = observed.filter(move |(_, it)| it.stalled_ms != usual);
        deviating.map(|(engine, _)| *engine)
    }

    /// Returns how likely a generation at `engine` exceeds `gap_target` between two events once a
    /// prompt is prefilled beside it, from 0 to 1; 0 if there is no target.
    pub fn stall_risk(&self, engine: EndpointKey, gap_target: Duration) -> f64 {
        risk(self.stalled_ms(engine), gap_target)
    }
}

/// Returns the upper of the two middle values for an even number of values.
fn median(values: impl Iterator<Item = f64>) -> Option<f64> {
    let mut values: Vec<f64> = values.collect();
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

/// Returns how likely a generation is late whose longest gap is predicted as `stalled_ms`.
fn risk(stalled_ms: f64, gap_target: Duration) -> f64 {
    if gap_target.is_zero() {
        return 0.0;
    }
    let share = stalled_ms / (gap_target.as_secs_f64() * 1_000.0);
    ((share - RISK_FROM) / (RISK_TO - RISK_FROM)).clamp(0.0, 1.0)
}

/// The least and the longest predicted gap of the engines among which one is chosen.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StallRange {
    least_ms: f64,
    most_ms: f64,
    /// The shortest gap target of the service's recent requests; zero if there is none.
    service_target: Duration,
}

impl StallRange {
    /// Returns the range of these engines, none of which has a prediction if `model` has none.
    pub(super) fn of(
        model: &PaceModel,
        now: Time,
        engines: impl Iterator<Item = EndpointKey>,
    ) -> Self {
        if model.prediction.is_none() {
            return StallRange::default();
        }
        let unlimited = StallRange {
            least_ms: f64::INFINITY,
            most_ms: 0.0,
            service_target: model.gap_target(now).unwrap_or_default(),
        };
        engines.fold(unlimited, |range, engine| {
            let stalled = model.stalled_ms(engine);
            StallRange {
                least_ms: range.least_ms.min(stalled),
                most_ms: range.most_ms.max(stalled),
                ..range
            }
        })
    }
}

/// The costs of predicted stalls for one request, in running generations.
///
/// They rank engines and never exclude one. Risks count in relation to the least risk among the
/// engines: if all are equally slow, no choice avoids it, and all costs are zero.
#[derive(Clone, Copy, Debug)]
pub(super) struct StallCosts {
    demand: PaceDemand,
    /// The least risk among the engines.
    least: f64,
    /// The target by which a short request distinguishes risk-free engines; zero if it need not.
    avoided_target: Duration,
}

impl StallCosts {
    /// Returns the costs for a request at engines within `range`.
    pub(super) fn new(range: StallRange, demand: PaceDemand) -> Self {
        let target = match demand.gap_target.is_zero() {
            true => range.service_target,
            false => demand.gap_target,
        };
        let has_both =
            risk(range.least_ms, target) < RISK_FREE && risk(range.most_ms, target) > RISKY;
        let avoids = demand.output < LONG_OUTPUT && has_both;
        StallCosts {
            demand,
            least: risk(range.least_ms, demand.gap_target),
            avoided_target: if avoids { target } else { Duration::ZERO },
        }
    }

    /// Returns the cost of an engine with this predicted gap and number of running generations.
    pub(super) fn cost(&self, stalled_ms: f64, running: u16) -> f64 {
        let risk_here = risk(stalled_ms, self.demand.gap_target) - self.least;
        let mut cost = 0.0;
        if self.demand.output >= LONG_OUTPUT {
            cost += OWN_RISK_COST * risk_here;
        }
        if self.demand.prompt > LONG_PROMPT {
            cost += HARM_COST * risk_here * f64::from(running);
        }
        let avoided = self.avoided_target;
        if !avoided.is_zero() && risk(stalled_ms, avoided) < RISK_FREE {
            cost += SHORT_AT_RISK_FREE_COST;
        }
        cost
    }
}
