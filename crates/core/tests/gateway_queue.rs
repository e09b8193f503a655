//! The order in which queued requests get room at engines.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::gateway::choose::{PlacementContext, PlacementError};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::home::Engines;
use oriolemux_core::gateway::placement::{PlacementKind, PlacementRequest};
use oriolemux_core::gateway::queue::{QueuedPlacement, QueuedRequest, assign, service_hash};
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::usage::{PeerUsage, Usage, UsageTable};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;

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
    fn turn(&self, me: &QueuedRequest) -> Result<EndpointKey, PlacementError> {
        let world = PlacementContext {
            now: NOW,
            endpoints: &self.endpoints,
            usage: &self.usage,
            others: &self.others,
            data_centre: "north",
        };
        let engines = Engines {
            service: "model",
            limits: ENGINE,
            endpoints: &self.endpoints,
            cold: None,
            named: &RateLimits::default(),
            known: 1,
            live: 1,
        };
        let others = self.queue.iter().filter(|it| it.id != me.id);
        let all: Vec<QueuedPlacement> = others.chain([me]).copied().map(asking).collect();
        let places = assign(world, engines, |_| None, all.iter());
        *places.last().expect("its own")
    }

    fn wait(&mut self, waiters: &[QueuedRequest]) {
        for waiter in waiters {
            self.queue.push(*waiter);
        }
    }
}

fn asking(waiter: QueuedRequest) -> QueuedPlacement {
    QueuedPlacement {
        request: PlacementRequest {
            queued: waiter,
            kind: PlacementKind::Queued,
            exclude: Vec::new(),
        },
        data_centre: "north".to_owned(),
        avoid: Vec::new(),
    }
}

/// Returns a request that was queued this long ago.
fn waiter(id: u64, age_ms: u64, tokens: u32) -> QueuedRequest {
    QueuedRequest {
        id,
        service: service_hash("model"),
        priority: 1,
        arrived: NOW.before(Duration::from_millis(age_ms)).expect("a time"),
        target: Duration::from_millis(1_800),
        tokens,
        prompt: 2_000,
    }
}

/// Guards against overfull engines, in which generations wait for seconds: when one generation
/// ends, all instances learn of it within milliseconds, and if each decides alone, all their queued
/// requests go there.
#[test]
fn room_for_one_goes_to_one_of_all_that_wait() {
    let mut fleet = fleet(&[16_000, 19_000, 19_000]);
    let all: Vec<QueuedRequest> = (1..=20).map(|id| waiter(id, 10 * id, 3_000)).collect();
    fleet.wait(&all);

    let seated: Vec<u64> = all
        .iter()
        .filter(|waiter| fleet.turn(waiter).is_ok())
        .map(|waiter| waiter.id)
        .collect();

    assert_eq!(seated, [1], "the newest of those that can be in time");
}

#[test]
fn those_that_are_next_go_to_different_engines() {
    let mut fleet = fleet(&[16_000, 16_000]);
    let (first, second) = (waiter(1, 10, 3_000), waiter(2, 20, 3_000));
    fleet.wait(&[first, second]);

    let (one, other) = (fleet.turn(&first), fleet.turn(&second));

    assert!(one.is_ok() && other.is_ok());
    assert_ne!(one, other);
}

/// Guards against nearly all generations being late under slight overload. If the oldest request
/// goes first, each waits until it is the oldest, and then has no time left for its prefill.
#[test]
fn what_can_only_be_late_gives_way() {
    let mut fleet = fleet(&[16_000]);
    let (late, in_time) = (waiter(1, 1_700, 3_000), waiter(2, 300, 3_000));
    fleet.wait(&[late, in_time]);

    assert_eq!(fleet.turn(&late), Err(PlacementError::Full));
    assert_eq!(fleet.turn(&in_time), Ok(engine(0)));
}

#[test]
fn the_most_urgent_goes_first() {
    let mut fleet = fleet(&[16_000]);
    let usual = waiter(1, 10, 3_000);
    let urgent = QueuedRequest {
        priority: 0,
        ..waiter(2, 500, 3_000)
    };
    fleet.wait(&[usual, urgent]);

    assert_eq!(fleet.turn(&usual), Err(PlacementError::Full));
    assert_eq!(fleet.turn(&urgent), Ok(engine(0)));
}

/// Guards against starvation of long prompts: room becomes free in small pieces, and smaller
/// requests would take each of them.
#[test]
fn room_is_kept_for_a_large_request() {
    let mut fleet = fleet(&[14_500, 16_500]);
    let large = waiter(1, 10, 6_000);
    let small = waiter(2, 20, 3_000);
    fleet.wait(&[large, small]);

    assert_eq!(fleet.turn(&large), Err(PlacementError::Full));
    assert_eq!(
        fleet.turn(&small),
        Ok(engine(1)),
        "the engine with more room is kept"
    );
}

/// Guards against a request whose age is lost in the report to a home.
#[test]
fn a_request_keeps_its_age_when_it_is_told() {
    let one = waiter(7, 1_234, 3_000);

    assert_eq!(QueuedRequest::from_report(NOW, &one.to_report(NOW)), one);
}

fn any_waiter() -> impl Strategy<Value = (u64, u32)> {
    (0_u64..2_500, 500_u32..7_000)
}

proptest! {
    /// For any queue: all requests that are placed at once fit into their engines.
    #[test]
    fn all_that_go_at_once_fit(
        taken in prop::collection::vec(0_u32..20_000, 1..12),
        waiting in prop::collection::vec(any_waiter(), 1..30),
    ) {
        let mut fleet = fleet(&taken);
        let all: Vec<QueuedRequest> = waiting
            .iter()
            .zip(1_u64..)
            .map(|(&(age, tokens), id)| waiter(id, age, tokens))
            .collect();
        fleet.wait(&all);

        let mut given = vec![Usage::default(); taken.len()];
        for waiter in &all {
            if let Ok(key) = fleet.turn(waiter) {
                let at = (0..taken.len()).find(|&at| engine(at) == key).expect("one of ours");
                given[at].tokens += waiter.tokens;
                given[at].running += 1;
            }
        }

        for (used, &taken) in given.iter().zip(&taken) {
            let is_alone = used.running <= 1 && taken == 0;
            prop_assert!(is_alone || taken + used.tokens <= ENGINE.kv_cache_tokens || used.running == 0);
        }
    }
}
