//! What a whole fleet spends on retries during partitions and restarts.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::Time;
use oriolemux_core::gateway::budget::{BudgetConfig, RetryKind};
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

const SEEDS: usize = 3;
const SERVICE: &str = "model";
const RATIO: f64 = 0.2;
const WINDOW: Duration = Duration::from_secs(10);

/// Retries allowed in addition to the ratio, per instance.
const ALLOWANCE_EACH: f64 = 2.6;

/// Requests per second at each instance, all of which fail.
const REQUESTS_EACH: f64 = 1.5;

/// How often each request is retried.
const RETRIES_PER_REQUEST: usize = 3;

/// Generations per second at each instance that need to resume at another engine, while many
/// engines are lost.
const RESUMES_EACH: f64 = 0.8;

/// How long a generation waits for a retry.
const RESUME_WAIT: Duration = Duration::from_secs(1);

/// A fleet whose requests all fail.
struct Scenario {
    fleet: Fleet,
    budget: BudgetConfig,
    rng: SmallRng,
    /// Arrival times of requests.
    requests: Vec<Time>,
    /// Times of retries.
    retries: Vec<Time>,
    /// Generations per second at each instance that need to resume at another engine.
    resumes_each: f64,
    /// Generations that still need to resume: their instance, and since when.
    to_resume: Vec<(usize, Time)>,
    resumes: usize,
}

impl Scenario {
    fn new(size: usize) -> Scenario {
        let mut fleet = Fleet::start(size, SEEDS, 11);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        let mut scenario = Scenario {
            fleet,
            budget: BudgetConfig {
                ratio: RATIO,
                allowance: ALLOWANCE_EACH * size as f64,
                window: WINDOW,
            },
            rng: SmallRng::seed_from_u64(31),
            requests: Vec::new(),
            retries: Vec::new(),
            resumes_each: 0.0,
            to_resume: Vec::new(),
            resumes: 0,
        };
        for index in 0..size {
            scenario.configure(index);
        }
        // Instances earn their budgets over time.
        scenario.fleet.run(Duration::from_secs(15));
        scenario
    }

    fn configure(&mut self, index: usize) {
        let (now, budget) = (self.fleet.now, self.budget);
        if let Some(core) = &mut self.fleet.nodes[index].core {
            let seeds = (1..=SEEDS as u16).map(instances::address).collect();
            core.reload(now, seeds, budget);
            core.publish_catalogue(catalogue()).expect("no findings");
        }
    }

    fn restart(&mut self, index: usize) {
        self.fleet.kill(index);
        self.fleet.start_one(index);
        self.configure(index);
    }

    /// Advances time while requests fail and generations lose their engines.
    fn advance_with_failures(&mut self, time: Duration) {
        let step = Duration::from_millis(50);
        let ends = self.fleet.now + time;
        while self.fleet.now < ends {
            self.fleet.run(step);
            for index in 0..self.fleet.nodes.len() {
                if self.rng.random_bool(REQUESTS_EACH * step.as_secs_f64()) {
                    self.request(index);
                }
                if self.rng.random_bool(self.resumes_each * step.as_secs_f64()) {
                    self.to_resume.push((index, self.fleet.now));
                }
            }
            let now = self.fleet.now;
            for (index, since) in core::mem::take(&mut self.to_resume) {
                if self.retry(index, RetryKind::Resume) {
                    self.resumes += 1;
                } else if now.since(since) < RESUME_WAIT {
                    self.to_resume.push((index, since));
                }
            }
        }
    }

    fn request(&mut self, index: usize) {
        let now = self.fleet.now;
        if let Some(core) = &mut self.fleet.nodes[index].core {
            core.budget.on_request(now, SERVICE);
        }
        self.requests.push(now);
        for _ in 0..RETRIES_PER_REQUEST {
            self.retry(index, RetryKind::Retry);
        }
    }

    fn retry(&mut self, index: usize, kind: RetryKind) -> bool {
        let now = self.fleet.now;
        let Some(core) = &mut self.fleet.nodes[index].core else {
            return false;
        };
        let spent = core.try_spend_retry(now, SERVICE, kind);
        if spent.is_allowed {
            self.retries.push(now);
        }
        spent.is_allowed
    }

    /// Returns by how many retries the worst window exceeds the bound; negative if no window does.
    fn max_above_bound(&self) -> f64 {
        let above = self.retries.iter().map(|&from| {
            let retries = count(&self.retries, from, WINDOW);
            let before = |by: Duration| {
                let begins = from.before(by).unwrap_or(Time::ZERO);
                count(&self.requests, begins, WINDOW)
            };
            let requests = [Duration::ZERO, WINDOW / 2, WINDOW].map(before);
            let requests = requests.into_iter().max().unwrap_or(0);
            retries as f64 - RATIO * requests as f64 - self.budget.allowance
        });
        above.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Returns a catalogue in which the service has generations.
fn catalogue() -> CatalogueSource {
    CatalogueSource {
        version: 1,
        services: vec![Service {
            name: SERVICE.to_owned(),
            engine: Some(EngineLimits {
                slots: 24,
                kv_cache_tokens: 20_000,
                standby_copies: true,
            }),
            cold: None,
        }],
        ..CatalogueSource::default()
    }
}

fn count(times: &[Time], from: Time, window: Duration) -> usize {
    let begins = times.partition_point(|it| *it < from);
    let ends = times.partition_point(|it| *it < from + window);
    ends - begins
}

fn all_isolated(_: usize, _: usize) -> bool {
    false
}

fn two_sides(from: usize, to: usize) -> bool {
    from % 2 == to % 2
}

/// Guards against shares of the allowance that exceed it in total during a partition.
#[rstest]
#[case::few(6, two_sides)]
#[case::few_isolated(6, all_isolated)]
#[case::some(64, two_sides)]
#[case::some_isolated(64, all_isolated)]
#[case::planned(390, two_sides)]
fn a_partitioned_fleet_keeps_the_bound(
    #[case] size: usize,
    #[case] passes: fn(usize, usize) -> bool,
) {
    let mut scenario = Scenario::new(size);
    scenario.advance_with_failures(Duration::from_secs(4));
    scenario.fleet.passes = passes;

    scenario.advance_with_failures(Duration::from_secs(14));

    let above = scenario.max_above_bound();
    assert!(above <= 0.0, "{above} above the bound");
}

/// Guards against instances that spend a new share of the allowance after each restart.
#[rstest]
#[case::few(6)]
#[case::some(64)]
#[case::planned(390)]
fn instances_that_restart_repeatedly_keep_the_bound(#[case] size: usize) {
    let mut scenario = Scenario::new(size);
    scenario.advance_with_failures(Duration::from_secs(4));

    for _ in 0..4 {
        for index in (0..size).step_by(3) {
            scenario.restart(index);
        }
        scenario.advance_with_failures(Duration::from_secs(2));
    }
    scenario.advance_with_failures(Duration::from_secs(4));

    let above = scenario.max_above_bound();
    assert!(above <= 0.0, "{above} above the bound");
}

/// Guards against instances that start while they reach few others or none, and use the full
/// allowance.
#[rstest]
#[case::few(6, two_sides)]
#[case::few_isolated(6, all_isolated)]
#[case::some(64, two_sides)]
#[case::some_isolated(64, all_isolated)]
#[case::planned(390, two_sides)]
#[case::planned_isolated(390, all_isolated)]
fn instances_that_start_during_a_partition_keep_the_bound(
    #[case] size: usize,
    #[case] passes: fn(usize, usize) -> bool,
) {
    let mut scenario = Scenario::new(size);
    scenario.advance_with_failures(Duration::from_secs(4));
    scenario.fleet.passes = passes;
    scenario.advance_with_failures(Duration::from_secs(4));

    for _ in 0..3 {
        for index in (0..size).step_by(3) {
            scenario.restart(index);
        }
        scenario.advance_with_failures(Duration::from_secs(2));
    }
    scenario.advance_with_failures(Duration::from_secs(12));

    let above = scenario.max_above_bound();
    assert!(above <= 0.0, "{above} above the bound");
}

/// Guards against a fleet that starts during a partition and spends the full allowance on each
/// side.
#[rstest]
#[case::few(6)]
#[case::some(64)]
fn a_fleet_that_starts_during_a_partition_keeps_the_bound(#[case] size: usize) {
    let mut scenario = Scenario::new(size);
    scenario.advance_with_failures(Duration::from_secs(4));
    scenario.fleet.passes = two_sides;
    for index in 0..size {
        scenario.restart(index);
    }

    scenario.advance_with_failures(Duration::from_secs(16));

    let above = scenario.max_above_bound();
    assert!(above <= 0.0, "{above} above the bound");
}

/// Guards against resumed generations that exceed the bound when there are many of them.
#[rstest]
#[case::few(6)]
#[case::some(64)]
fn generations_that_resume_keep_the_bound(#[case] size: usize) {
    let mut scenario = Scenario::new(size);
    scenario.resumes_each = RESUMES_EACH;

    scenario.advance_with_failures(Duration::from_secs(14));

    let above = scenario.max_above_bound();
    assert!(above <= 0.0, "{above} above the bound");
}

/// Guards against a bound that is kept by sending nothing: most of it is spent, and plain retries
/// leave room for generations that resume.
#[test]
fn a_whole_fleet_spends_most_of_the_bound() {
    let mut scenario = Scenario::new(64);
    scenario.resumes_each = 0.1;

    scenario.advance_with_failures(Duration::from_secs(20));

    let bound = RATIO * REQUESTS_EACH * 64.0 * 20.0;
    assert!(
        scenario.retries.len() as f64 > 0.7 * bound,
        "{} retries of {bound}",
        scenario.retries.len()
    );
    let wanted = scenario.resumes_each * 64.0 * 20.0;
    assert!(
        scenario.resumes as f64 > 0.8 * wanted,
        "{} moves of {wanted}",
        scenario.resumes
    );
}
