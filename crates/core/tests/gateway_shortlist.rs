//! A home looks at few of a service's engines, and chooses as if it looked at all.

#[path = "fixtures/gateway.rs"]
mod instances;
#[path = "fixtures/large_service.rs"]
mod service;

use core::time::Duration;
use oriolemux_core::EndpointKey;
use oriolemux_core::gateway::choose::{
    Chooser, PlacementContext, choose, choose_by, choose_copy_target, choose_copy_target_by,
};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::holds::Holds;
use oriolemux_core::gateway::pace::{self, PaceModel, PaceSample};
use oriolemux_core::gateway::queue::{RecentGrants, assign};
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::request::{CopyKind, PaceDemand, QueuedPlacement};
use oriolemux_core::gateway::usage::{PeerUsage, Usage, UsageTable};
use oriolemux_core::gateway::{Demand, EndpointState};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng};
use rstest::rstest;
use service::{DATA_CENTRES, NOW, demand, endpoints, engines, key, request, used};

/// Engines of one service in three data centres, some of which run something, failed, are cold,
/// lapsed or uneven.
struct Scene {
    endpoints: EndpointTable,
    others: PeerUsage,
    pace: PaceModel,
    rng: SmallRng,
}

impl Scene {
    fn new(seed: u64, count: usize, is_crowded: bool) -> Self {
        let mut scene = Scene {
            endpoints: endpoints(count),
            others: PeerUsage::default(),
            pace: PaceModel::default(),
            rng: SmallRng::seed_from_u64(seed),
        };
        let share = if is_crowded { 0.97 } else { 0.2 };
        for number in 0..count {
            if scene.rng.random_bool(share) {
                scene.use_one(number);
            }
            if scene.rng.random_bool(0.1) {
                scene.upset(number);
            }
        }
        if seed.is_multiple_of(2) {
            scene.observe_pace(count);
        }
        scene
    }

    fn use_one(&mut self, number: usize) {
        let usage = Usage {
            running: self.rng.random_range(1..12),
            pending_prefill: self.rng.random_range(0..3) * 2_500,
            tokens: self.rng.random_range(1_000..34_000),
            copy_tokens: self.rng.random_range(0..2) * 3_000,
        };
        self.others.add(key(number), usage);
    }

    fn upset(&mut self, number: usize) {
        let key = key(number);
        match self.rng.random_range(0..6) {
            0 => drop(self.endpoints.on_failure(NOW, key)),
            1 => drop(self.endpoints.on_unreachable(NOW, key)),
            2 => drop(self.endpoints.mark_leaving(NOW, key)),
            3 => drop(
                self.endpoints
                    .remove_record(NOW, &format!("e-{number}"), true),
            ),
            4 => self
                .endpoints
                .observe_cold(NOW, key, Duration::from_secs(9)),
            _ => drop(self.others.ejected.insert(key)),
        }
    }

    /// Every fifth engine is slower than the others.
    fn observe_pace(&mut self, count: usize) {
        let sample = |number: usize| PaceSample {
            gaps: 40,
            log_mean: if number.is_multiple_of(5) {
                1_700
            } else {
                1_300
            },
            longest_ms: if number.is_multiple_of(5) { 400 } else { 60 },
        };
        let observed = (0..count).filter(|it| it % 3 == 0);
        let samples: Vec<_> = observed.map(|it| (key(it), sample(it))).collect();
        for second in 1..10 {
            let at = NOW
                .before(Duration::from_secs(10 - second))
                .expect("a time");
            self.pace.merge(at, &samples);
        }
    }

    fn context(&self) -> PlacementContext<'_> {
        static NONE: UsageTable = UsageTable::new();
        PlacementContext {
            now: NOW,
            endpoints: &self.endpoints,
            usage: &NONE,
            others: &self.others,
            data_centre: "south",
            pace: &self.pace,
        }
    }
}

fn no_draw() -> f64 {
    0.0
}

/// Guards against a home that chooses worse because it does not look at all engines.
#[rstest]
#[case::idle(false)]
#[case::crowded(true)]
fn a_home_chooses_what_a_look_at_all_engines_would(#[case] is_crowded: bool) {
    for seed in 0..60 {
        let scene = Scene::new(seed, 450, is_crowded);
        let excluded: Vec<EndpointKey> = (0..450).step_by(7).map(key).collect();
        let demand = demand(3_000, &excluded);

        let by_home = choose_by(Chooser::Home, scene.context(), &demand, no_draw);

        let by_all = choose(scene.context(), &demand, no_draw);
        assert_eq!(by_home, by_all, "seed {seed}");
    }
}

/// Guards against copies that a home places worse because it does not look at all engines. Engines
/// at equal cost may differ: the home prefers those that are neither cold nor lapsed.
#[rstest]
#[case::idle(false)]
#[case::crowded(true)]
fn a_home_places_copies_as_a_look_at_all_engines_would(#[case] is_crowded: bool) {
    for seed in 0..60 {
        let scene = Scene::new(seed, 450, is_crowded);
        let source = scene.endpoints.get(key(3)).expect("it is known");
        let demand = demand(3_000, &[]);
        let (context, kind) = (scene.context(), CopyKind::Standby);

        let by_home = choose_copy_target_by(Chooser::Home, context, &demand, source, kind, no_draw);

        let by_all = choose_copy_target(context, &demand, source, kind, no_draw);
        let is_usual = |key: EndpointKey| {
            let endpoint = scene.endpoints.get(key).expect("it is known");
            let is_serving = endpoint.state == EndpointState::Serving;
            is_serving && endpoint.cold_until <= NOW && endpoint.failure_share() <= 0.0
        };
        let idles = |key: EndpointKey| scene.others.of(key) == Usage::default();
        let is_better = || match (by_home, by_all) {
            (Some(home), Some(all)) => {
                idles(home) && idles(all) && is_usual(home) && !is_usual(all)
            }
            _ => false,
        };
        assert!(by_home == by_all || is_better(), "seed {seed}");
    }
}

fn placements(count: usize) -> Vec<QueuedPlacement> {
    let placement = |number: usize| QueuedPlacement {
        request: request(number as u64, 3_000),
        data_centre: DATA_CENTRES[number % 2].to_owned(),
        avoid: vec![key(number)],
    };
    (0..count).map(placement).collect()
}

/// Guards against a batch of requests that a home places worse than one after the other among all
/// engines: two of them at one engine although another idles, or none where there is room.
#[rstest]
#[case::idle(false)]
#[case::crowded(true)]
fn a_batch_is_placed_as_one_after_the_other_among_all(#[case] is_crowded: bool) {
    for seed in 0..40 {
        let scene = Scene::new(seed, 450, is_crowded);
        let placements = placements(20);
        let (named, holds) = (RateLimits::default(), Holds::default());
        let recent = RecentGrants::default();

        let assigned = assign(
            scene.context(),
            engines(&scene.endpoints, &named, &scene.pace),
            |_| None,
            &holds,
            &recent,
            placements.iter(),
        );

        let mut others = scene.others.clone();
        for (placement, place) in placements.iter().zip(&assigned.places) {
            let context = PlacementContext {
                others: &others,
                data_centre: &placement.data_centre,
                ..scene.context()
            };
            let demand = Demand {
                pace: PaceDemand {
                    gap_target: Duration::ZERO,
                    output: 0,
                    prompt: 1_500,
                },
                ..demand(3_000, &placement.avoid)
            };
            let expected = choose(context, &demand, no_draw);
            assert_eq!(*place, expected, "seed {seed}");
            if let Ok(engine) = expected {
                others.add(
                    engine,
                    Usage {
                        pending_prefill: 1_500,
                        ..used(3_000)
                    },
                );
            }
        }
    }
}

/// Guards against a home whose decisions cost more with each engine: it looked at 5,775 of them for
/// each of a hundred requests a second, and answered later than instances wait.
#[test]
fn a_placement_looks_at_no_more_engines_in_a_larger_service() {
    let looked_at = |count: usize| {
        let mut scene = Scene::new(1, 0, false);
        scene.endpoints = endpoints(count);
        (0..300).for_each(|number| scene.use_one(number));
        let placements = placements(10);
        let assigned = assign(
            scene.context(),
            engines(&scene.endpoints, &RateLimits::default(), &pace::UNKNOWN),
            |_| None,
            &Holds::default(),
            &RecentGrants::default(),
            placements.iter(),
        );
        assert!(assigned.places.iter().all(Result::is_ok));
        assigned.looked_at
    };

    let (smaller, larger) = (looked_at(1_200), looked_at(12_000));

    assert_eq!(smaller, larger);
    assert!(larger <= 300 + 3 * 10, "{larger}");
}
