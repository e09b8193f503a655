//! The order in which queued requests get room at engines.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::gateway::choose::PlacementContext;
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::engines::Engines;
use oriolemux_core::gateway::holds::Holds;
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::queue::{RecentGrants, assign};
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::request::{
    PlacementError, PlacementKind, PlacementRequest, QueuedPlacement, QueuedRequest, service_hash,
};
use oriolemux_core::gateway::usage::{PeerUsage, Usage, UsageTable};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;
use rstest::rstest;

const NOW: Time = Time::from_secs(100);

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

/// The state of the home of all engines.
struct Fleet {
    endpoints: EndpointTable,
    usage: UsageTable,
    others: PeerUsage,
    queue: Vec<QueuedRequest>,
    recent: RecentGrants,
}

fn engine(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

/// Returns a fleet of engines with this many KV cache tokens in use.
fn fleet(taken: &[u32]) -> Fleet {
    let mut fleet = Fleet {
        endpoints: EndpointTable::default(),
        usage: UsageTable::default(),
        others: PeerUsage::default(),
        queue: Vec::new(),
        recent: RecentGrants::default(),
    };
    for (number, &tokens) in taken.iter().enumerate() {
        fleet
            .endpoints
            .apply_record(Time::ZERO, instances::engine(&format!("e-{number}")));
        if tokens > 0 {
            fleet.usage.begin(engine(number), tokens, 0);
        }
    }
    fleet
}

impl Fleet {
    fn place(&self, own: &QueuedRequest) -> Result<EndpointKey, PlacementError> {
        let others = self.queue.iter().filter(|it| it.id != own.id);
        let all: Vec<QueuedPlacement> =
            others.chain([own]).copied().map(queued_placement).collect();
        *self.assign(&all).last().expect("its own")
    }

    fn assign(&self, all: &[QueuedPlacement]) -> Vec<Result<EndpointKey, PlacementError>> {
        let context = PlacementContext {
            now: NOW,
            endpoints: &self.endpoints,
            usage: &self.usage,
            others: &self.others,
            data_centre: "north",
            pace: &pace::UNKNOWN,
        };
        let engines = Engines {
            service: "model",
            limits: ENGINE,
            endpoints: &self.endpoints,
            cold: None,
            named: &RateLimits::default(),
            known: 1,
            live: 1,
            pace: &pace::UNKNOWN,
        };
        let holds = Holds::default();
        assign(context, engines, |_| None, &holds, &self.recent, all.iter()).places
    }

    fn enqueue(&mut self, waiters: &[QueuedRequest]) {
        for queued_request in waiters {
            self.queue.push(*queued_request);
        }
    }
}

fn queued_placement(queued_request: QueuedRequest) -> QueuedPlacement {
    QueuedPlacement {
        request: PlacementRequest {
            queued: queued_request,
            kind: PlacementKind::Queued,
            exclude: Vec::new(),
        },
        data_centre: "north".to_owned(),
        avoid: Vec::new(),
    }
}

/// Returns a request that was queued this long ago.
fn queued_request(id: u64, age_ms: u64, tokens: u32) -> QueuedRequest {
    QueuedRequest {
        id,
        service: service_hash("model"),
        priority: 1,
        arrived: NOW.before(Duration::from_millis(age_ms)).expect("a time"),
        target: Duration::from_millis(1_800),
        tokens,
        prompt: 2_000,
        gap_target: Duration::from_millis(180),
        output: 750,
        workspace: 1,
        deadline: NOW + Duration::from_secs(39),
    }
}

/// Guards against overfull engines, in which generations wait for seconds: when one generation
/// ends, all instances learn of it within milliseconds, and if each decides alone, all their queued
/// requests go there.
#[test]
fn room_for_one_request_is_assigned_once() {
    let mut fleet = fleet(&[16_000, 19_000, 19_000]);
    let all: Vec<QueuedRequest> = (1..=20)
        .map(|id| queued_request(id, 10 * id, 3_000))
        .collect();
    fleet.enqueue(&all);

    let placed: Vec<u64> = all
        .iter()
        .filter(|queued_request| fleet.place(queued_request).is_ok())
        .map(|queued_request| queued_request.id)
        .collect();

    assert_eq!(placed, [1], "the newest of those that can be in time");
}

#[test]
fn consecutive_requests_go_to_different_engines() {
    let mut fleet = fleet(&[16_000, 16_000]);
    let (first, second) = (queued_request(1, 10, 3_000), queued_request(2, 20, 3_000));
    fleet.enqueue(&[first, second]);

    let (one, other) = (fleet.place(&first), fleet.place(&second));

    assert!(one.is_ok() && other.is_ok());
    assert_ne!(one, other);
}

/// Guards against nearly all generations being late under slight overload. If the oldest request
/// goes first, each waits until it is the oldest, and then has no time left for its prefill.
#[test]
fn late_requests_yield_to_those_in_time() {
    let mut fleet = fleet(&[16_000]);
    let (late, in_time) = (
        queued_request(1, 1_700, 3_000),
        queued_request(2, 300, 3_000),
    );
    fleet.enqueue(&[late, in_time]);

    assert_eq!(fleet.place(&late), Err(PlacementError::Full));
    assert_eq!(fleet.place(&in_time), Ok(engine(0)));
}

#[test]
fn the_most_urgent_goes_first() {
    let mut fleet = fleet(&[16_000]);
    let usual = queued_request(1, 10, 3_000);
    let urgent = QueuedRequest {
        priority: 0,
        ..queued_request(2, 500, 3_000)
    };
    fleet.enqueue(&[usual, urgent]);

    assert_eq!(fleet.place(&usual), Err(PlacementError::Full));
    assert_eq!(fleet.place(&urgent), Ok(engine(0)));
}

/// Guards against starvation of long prompts: room becomes free in small pieces, and smaller
/// requests would take each of them.
#[test]
fn room_is_held_for_a_large_request() {
    let mut fleet = fleet(&[14_500, 16_500]);
    let large = queued_request(1, 10, 6_000);
    let small = queued_request(2, 20, 3_000);
    fleet.enqueue(&[large, small]);

    assert_eq!(fleet.place(&large), Err(PlacementError::Full));
    assert_eq!(
        fleet.place(&small),
        Ok(engine(1)),
        "the engine with more room is kept"
    );
}

/// Guards against a request whose age is lost in the report to a home.
/// Guards against idle engines that serve nobody: an engine was held for a request that must not be
/// sent there.
#[test]
fn room_is_not_held_at_an_engine_that_the_request_excludes() {
    let fleet = fleet(&[19_900, 0]);
    let excluding = QueuedPlacement {
        request: PlacementRequest {
            exclude: vec![engine(1)],
            ..queued_placement(queued_request(1, 10, 2_000)).request
        },
        ..queued_placement(queued_request(1, 10, 2_000))
    };
    let other = queued_placement(queued_request(2, 20, 2_000));

    let places = fleet.assign(&[excluding, other]);

    assert_eq!(places, [Err(PlacementError::Full), Ok(engine(1))]);
}

#[test]
fn a_report_preserves_the_age_of_a_request() {
    let one = queued_request(7, 1_234, 3_000);

    assert_eq!(QueuedRequest::from_report(NOW, &one.to_report(NOW)), one);
}

/// Returns a request for this many tokens of KV cache and output.
fn costing(id: u64, age_ms: u64, tokens: u32, output: u32) -> QueuedRequest {
    QueuedRequest {
        output,
        ..queued_request(id, age_ms, tokens)
    }
}

/// Guards against few callers being served under overload: a long generation took the room of
/// several short ones because it was newer.
#[test]
fn cheap_requests_precede_expensive_ones_while_room_is_short() {
    let mut fleet = fleet(&[16_000]);
    let (long, short) = (costing(1, 10, 3_400, 750), costing(2, 400, 3_000, 40));
    fleet.enqueue(&[long, short]);

    assert_eq!(fleet.place(&long), Err(PlacementError::Full));
    assert_eq!(fleet.place(&short), Ok(engine(0)));
}

/// Guards against estimates that differ by little turning the order from newest to oldest first.
#[test]
fn nearly_equal_costs_are_served_newest_first() {
    let mut fleet = fleet(&[16_000]);
    let (newer, older) = (costing(1, 10, 3_400, 800), costing(2, 400, 3_000, 750));
    fleet.enqueue(&[newer, older]);

    assert_eq!(fleet.place(&newer), Ok(engine(0)));
    assert_eq!(fleet.place(&older), Err(PlacementError::Full));
}

/// Guards against starvation of long generations: while short ones keep arriving, each of them
/// would precede a long one until it is late.
#[test]
fn requests_that_wait_for_long_are_promoted() {
    let place_long = |age_ms| {
        let mut fleet = fleet(&[16_000]);
        let (long, short) = (costing(1, age_ms, 3_400, 350), costing(2, 1_020, 3_400, 50));
        fleet.enqueue(&[long, short]);
        fleet.place(&long)
    };

    assert_eq!(place_long(600), Err(PlacementError::Full), "no promotion");
    assert_eq!(place_long(870), Ok(engine(0)), "by three classes");
}

/// Guards against a different choice of engines while there is room for all.
#[test]
fn costs_do_not_matter_while_there_is_room_for_all() {
    let mut fleet = fleet(&[10_000, 16_000]);
    let (long, short) = (costing(1, 10, 3_400, 750), costing(2, 400, 3_000, 40));
    fleet.enqueue(&[long, short]);

    assert_eq!(fleet.place(&long), Ok(engine(0)), "the newest goes first");
    assert!(fleet.place(&short).is_ok());
}

fn urgent(id: u64, tokens: u32) -> QueuedRequest {
    QueuedRequest {
        priority: 0,
        ..costing(id, 10, tokens, 50)
    }
}

/// Guards against urgent requests that wait for the end of a long generation, because less urgent
/// ones took all room between two bursts.
#[test]
fn less_urgent_requests_leave_room_for_urgent_ones() {
    let mut fleet = fleet(&[16_000]);
    for id in 10..13 {
        fleet.recent.record(NOW, &urgent(id, 2_000));
    }
    let usual = queued_request(1, 10, 3_000);
    let late_urgent = urgent(2, 3_000);

    assert_eq!(fleet.place(&usual), Err(PlacementError::Full));
    assert_eq!(fleet.place(&late_urgent), Ok(engine(0)));
}

/// Guards against idle capacity: room was kept for urgent requests that no longer arrive, or for
/// requests that are not more urgent than the ones that wait.
#[rstest]
#[case::two_seconds_ago(0, 2_200)]
#[case::of_the_same_priority(1, 0)]
fn no_room_is_left_without_urgent_requests(#[case] priority: u8, #[case] ago_ms: u64) {
    let mut fleet = fleet(&[16_000]);
    let at = NOW.before(Duration::from_millis(ago_ms)).expect("a time");
    for id in 10..13 {
        let granted = QueuedRequest {
            priority,
            ..urgent(id, 2_000)
        };
        fleet.recent.record(at, &granted);
    }

    let placed = fleet.place(&queued_request(1, 10, 3_000));

    assert_eq!(placed, Ok(engine(0)));
}

/// Guards against starvation of less urgent requests by a flood of urgent ones.
#[test]
fn at_most_a_limited_share_is_left_for_urgent_requests() {
    let mut fleet = fleet(&[13_000]);
    for id in 10..200 {
        fleet.recent.record(NOW, &urgent(id, 6_000));
    }

    let placed = fleet.place(&queued_request(1, 10, 3_000));

    assert_eq!(placed, Ok(engine(0)));
}

/// Places requests one after the other, the newest of those in time first and then the oldest of
/// the late ones.
fn place_newest_first(
    taken: &[u32],
    all: &[QueuedRequest],
) -> Vec<Result<EndpointKey, PlacementError>> {
    let mut fleet = fleet(taken);
    let late = Duration::from_millis(1_080);
    let mut order: Vec<usize> = (0..all.len()).collect();
    order.sort_by_key(|&at| {
        let is_late = NOW.since(all[at].arrived) >= late;
        let arrived = all[at].arrived.as_micros();
        let age = if is_late { arrived } else { u64::MAX - arrived };
        (is_late, age, all[at].id)
    });
    let mut places = vec![Err(PlacementError::Full); all.len()];
    let mut held = None;
    for at in order {
        let mut one = queued_placement(all[at]);
        one.request.exclude.extend(held);
        places[at] = match fleet.assign(&[one])[0] {
            Err(PlacementError::NoEndpoint) => Err(PlacementError::Full),
            place => place,
        };
        match places[at] {
            Ok(key) => fleet.usage.begin(key, all[at].tokens, all[at].prompt),
            Err(_) if held.is_none() => {
                let keys = (0..taken.len()).map(engine);
                // The table of endpoints is ordered by key, and the first of equal engines is held.
                let mut keys: Vec<EndpointKey> = keys.collect();
                keys.sort();
                held = keys
                    .into_iter()
                    .min_by_key(|it| fleet.usage.own(*it).tokens);
            }
            Err(_) => {}
        }
    }
    places
}

fn any_queued_request() -> impl Strategy<Value = (u64, u32)> {
    (0_u64..2_500, 500_u32..7_000)
}

proptest! {
    /// Guards against changes for deployments that need none: with one workspace, one priority and
    /// equal costs, all decisions are those of the order by age, for any queue and any load.
    #[test]
    fn equal_requests_are_served_newest_first(
        taken in prop::collection::vec(0_u32..20_000, 1..8),
        ages in prop::collection::vec(0_u64..2_500, 1..30),
    ) {
        let fleet = fleet(&taken);
        let ids = ages.iter().zip(1_u64..);
        let all: Vec<QueuedRequest> = ids.map(|(&age, id)| queued_request(id, age, 3_000)).collect();
        let waiting: Vec<QueuedPlacement> = all.iter().copied().map(queued_placement).collect();

        let placed = fleet.assign(&waiting);

        prop_assert_eq!(placed, place_newest_first(&taken, &all));
    }

    /// For any queue: all requests that are placed at once fit into their engines.
    #[test]
    fn placed_requests_fit_into_their_engines(
        taken in prop::collection::vec(0_u32..20_000, 1..12),
        waiting in prop::collection::vec(any_queued_request(), 1..30),
    ) {
        let mut fleet = fleet(&taken);
        let all: Vec<QueuedRequest> = waiting
            .iter()
            .zip(1_u64..)
            .map(|(&(age, tokens), id)| queued_request(id, age, tokens))
            .collect();
        fleet.enqueue(&all);

        let mut assigned = vec![Usage::default(); taken.len()];
        for queued_request in &all {
            if let Ok(key) = fleet.place(queued_request) {
                let at = (0..taken.len()).find(|&at| engine(at) == key).expect("one of ours");
                assigned[at].tokens += queued_request.tokens;
                assigned[at].running += 1;
            }
        }

        for (used, &taken) in assigned.iter().zip(&taken) {
            let is_alone = used.running <= 1 && taken == 0;
            prop_assert!(is_alone || taken + used.tokens <= ENGINE.kv_cache_tokens || used.running == 0);
        }
    }
}
