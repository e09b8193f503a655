//! Data centres that the operator closed to new work: how cordons spread, and which decisions
//! respect them.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::placement::PlacementStatus;
use oriolemux_core::gateway::reader::WATCH_PAUSE;
use oriolemux_core::gateway::request::{
    CopyKind, PaceDemand, PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
    QueuedRequest, service_hash,
};
use oriolemux_core::gateway::{Cordon, CordonEffect, Demand, EndpointRecord, Gateway};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;
use rstest::rstest;

const SEEDS: usize = 3;

/// Time from the store's acknowledgement until a cordon is in force everywhere.
const IN_FORCE: Duration = Duration::from_millis(500);

/// The slowest response of a healthy store.
const STORE_RESPONSE: Duration = Duration::from_millis(10);

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

fn cordon(data_centre: &str, revision: u64, is_closed: bool) -> Cordon {
    Cordon {
        data_centre: data_centre.to_owned(),
        revision: instances::rev(revision),
        is_closed,
    }
}

fn engine_in(name: &str, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        data_centre: data_centre.to_owned(),
        ..instances::engine(name)
    }
}

fn settled(size: usize, loss: f64) -> Fleet {
    let mut fleet = Fleet::start(size, SEEDS, 7);
    let joined = fleet.until_all_count(size, Duration::from_secs(20));
    assert!(joined.is_some(), "{:?}", fleet.counts());
    fleet.run(Duration::from_secs(1));
    fleet.loss = loss;
    fleet
}

/// Returns how many instances consider a data centre closed.
fn count_closed(fleet: &Fleet, data_centre: &str) -> usize {
    let cores = fleet.nodes.iter().filter_map(|it| it.core.as_ref());
    cores
        .filter(|it| it.endpoints.cordons().is_closed(data_centre))
        .count()
}

/// Guards against instances that keep sending to a closed data centre, and against one for which it
/// stays closed after it was reopened, up to the fleet size of the design.
#[rstest]
#[case::few(6, 0.0)]
#[case::some(64, 0.02)]
#[case::large(195, 0.02)]
#[case::planned(390, 0.02)]
fn a_cordon_is_in_force_everywhere_within_half_a_second(#[case] size: usize, #[case] loss: f64) {
    let mut fleet = settled(size, loss);
    // A watcher learns of a change with this delay.
    let left = IN_FORCE - WATCH_PAUSE - STORE_RESPONSE;

    fleet.apply_cordon(0, &cordon("north", 10, true));
    fleet.run(left);
    let closed = count_closed(&fleet, "north");
    fleet.apply_cordon(0, &cordon("north", 11, false));
    fleet.run(left);
    let open = size - count_closed(&fleet, "north");

    assert_eq!((closed, open), (size, size));
}

/// Guards against cordons whose cost per instance grows with the fleet.
#[rstest]
#[case::few(6)]
#[case::large(195)]
#[case::planned(390)]
fn the_cost_of_a_cordon_per_instance_is_bounded(#[case] size: usize) {
    let usual = {
        let mut fleet = settled(size, 0.0);
        fleet.reset_sent();
        fleet.run(Duration::from_secs(2));
        fleet.nodes.iter().map(|it| it.sent.bytes).max()
    };
    let mut fleet = settled(size, 0.0);
    fleet.reset_sent();

    fleet.apply_cordon(0, &cordon("north", 10, true));
    fleet.run(Duration::from_secs(2));

    let busiest = fleet.nodes.iter().map(|it| it.sent.bytes).max();
    let (usual, busiest) = (usual.expect("instances"), busiest.expect("instances"));
    assert!(busiest <= usual + 2_048, "{usual} bytes, then {busiest}");
}

/// Guards against a delayed cordon that closes a reopened data centre for good at an instance that
/// missed both changes.
#[test]
fn an_older_cordon_has_no_effect() {
    let mut one = instances::gateway(1);
    let now = Time::from_secs(1);

    let effects = [
        one.publish_cordon(now, cordon("north", 12, false)),
        one.publish_cordon(now, cordon("north", 11, true)),
        one.publish_cordon(now, cordon("south", 9, true)),
        one.publish_cordon(now, cordon("south", 9, true)),
        one.publish_cordon(now, cordon("south", 13, true)),
        one.publish_cordon(now, cordon("south", 14, false)),
    ];

    assert_eq!(
        effects,
        [
            CordonEffect::Unchanged,
            CordonEffect::Outdated,
            CordonEffect::Changed,
            CordonEffect::Outdated,
            CordonEffect::Unchanged,
            CordonEffect::Changed,
        ]
    );
    assert_eq!(one.endpoints.cordons().closed().count(), 0);
}

proptest! {
    /// Guards against a state that depends on the order or the number of cordons received.
    #[test]
    fn the_newest_cordon_wins_in_any_order(
        cordons in proptest::collection::vec((0u8..3, 1u64..40), 1..30),
        order in proptest::collection::vec(0usize..1_000, 60),
    ) {
        // Each revision has one state: even ones close, odd ones open.
        let cordons: Vec<Cordon> = cordons
            .iter()
            .map(|(index, revision)| cordon(&format!("dc-{index}"), *revision, revision % 2 == 0))
            .collect();
        let mut one = instances::gateway(1);
        let mut other = instances::gateway(2);
        for cordon_at in &cordons {
            one.publish_cordon(Time::ZERO, cordon_at.clone());
        }
        for at in order {
            other.publish_cordon(Time::ZERO, cordons[at % cordons.len()].clone());
        }
        for cordon_at in cordons.iter().rev() {
            other.publish_cordon(Time::ZERO, cordon_at.clone());
        }

        for index in 0..3 {
            let name = format!("dc-{index}");
            let of_data_centre = cordons.iter().filter(|it| it.data_centre == name);
            let last = of_data_centre.max_by_key(|it| it.revision);
            let closed = last.is_some_and(|it| it.is_closed);
            prop_assert_eq!(one.endpoints.cordons().is_closed(&name), closed);
            prop_assert_eq!(other.endpoints.cordons().is_closed(&name), closed);
        }
    }
}

/// A single instance that knows an engine of `model` and an endpoint of `desk` in each of two data
/// centres.
fn two_data_centres() -> Gateway {
    let mut one = instances::gateway(1);
    let now = Time::from_secs(1);
    for place in ["north", "south"] {
        one.publish_endpoint(now, engine_in(&format!("e-{place}"), place));
        let desk = EndpointRecord {
            service: "desk".to_owned(),
            ..engine_in(&format!("d-{place}"), place)
        };
        one.publish_endpoint(now, desk);
    }
    let source = CatalogueSource {
        version: 1,
        services: vec![
            Service {
                name: "model".to_owned(),
                engine: Some(ENGINE),
                cold: None,
            },
            Service {
                name: "desk".to_owned(),
                engine: None,
                cold: None,
            },
        ],
        ..CatalogueSource::default()
    };
    one.publish_catalogue(source).expect("no findings");
    one
}

fn demand(service: &str) -> Demand<'_> {
    Demand {
        service,
        engine: (service == "model").then_some(ENGINE),
        tokens: 1_000,
        exclude: &[],
        pace: PaceDemand::default(),
    }
}

fn request(id: u64, kind: PlacementKind) -> PlacementRequest {
    PlacementRequest {
        queued: QueuedRequest {
            id,
            service: service_hash("model"),
            priority: 1,
            arrived: Time::from_secs(1),
            target: Duration::from_secs(2),
            tokens: 1_000,
            prompt: 500,
            ..QueuedRequest::default()
        },
        kind,
        exclude: Vec::new(),
    }
}

/// All kinds of placements at engines.
fn all_kinds() -> Vec<PlacementKind> {
    let source = EndpointKey::of("e-south");
    let copy = |kind| PlacementKind::Copy { source, kind };
    vec![
        PlacementKind::Queued,
        PlacementKind::Immediate,
        copy(CopyKind::Standby),
        copy(CopyKind::PreCopy),
    ]
}

/// Requests a placement from an instance that is its own home.
fn request_and_decide(one: &mut Gateway, now: Time, kind: PlacementKind) -> PlacementStatus {
    one.request_placement(now, request(1, kind));
    one.tick(now);
    let verdict = one.verdict(now, 1);
    one.withdraw_placement(1);
    one.tick(now);
    verdict
}

/// Guards against a sender that does not check whether a data centre is closed.
#[test]
fn no_sender_chooses_a_closed_data_centre() {
    let mut one = two_data_centres();
    let now = Time::from_secs(1);
    one.publish_cordon(now, cordon("north", 5, true));
    let closed = [EndpointKey::of("e-north"), EndpointKey::of("d-north")];

    for _ in 0..50 {
        for service in ["model", "desk"] {
            let place = one.place(now, &demand(service)).expect("one is open");
            assert!(!closed.contains(&place.key), "{}", place.name);
        }
        for kind in all_kinds() {
            let alone = one.place_without_home(now, &demand("model"), kind);
            assert!(alone.is_err() || alone.is_ok_and(|it| !closed.contains(&it.key)));
            let verdict = request_and_decide(&mut one, now, kind);
            let is_closed = |it: &EndpointKey| closed.contains(it);
            assert!(
                !matches!(verdict, PlacementStatus::Decided(PlacementDecision::Granted(it)) if is_closed(&it)),
                "{kind:?}: {verdict:?}"
            );
        }
    }
    assert!(closed.iter().all(|&it| !one.is_usable(it)));
    assert!(closed.iter().all(|&it| one.place_at(it).is_none()));
}

/// Guards against a placement that was granted before its data centre was closed, and is used
/// afterwards.
#[test]
fn a_placement_granted_before_the_cordon_is_not_used() {
    let mut one = two_data_centres();
    let now = Time::from_secs(1);
    one.request_placement(now, request(1, PlacementKind::Queued));
    one.tick(now);
    let PlacementStatus::Decided(PlacementDecision::Granted(key)) = one.verdict(now, 1) else {
        panic!("an empty engine is given");
    };
    let place = one
        .endpoints
        .get(key)
        .expect("known")
        .record
        .data_centre
        .clone();

    one.publish_cordon(now, cordon(&place, 5, true));
    let taken = one.place_at(key);
    one.retry_placement(now, 1);
    one.tick(now);

    assert_eq!(taken, None);
    let PlacementStatus::Decided(PlacementDecision::Granted(other)) = one.verdict(now, 1) else {
        panic!("the other engine is given: {:?}", one.verdict(now, 1));
    };
    assert_ne!(other, key);
}

/// Guards against using an endpoint that registers after its data centre was closed.
#[test]
fn an_endpoint_that_registers_later_is_covered() {
    let mut one = two_data_centres();
    let now = Time::from_secs(1);
    one.publish_cordon(now, cordon("west", 5, true));

    one.publish_endpoint(now, engine_in("e-west", "west"));

    assert!(!one.is_usable(EndpointKey::of("e-west")));
}

/// Guards against requests that are queued for closed data centres without saying so.
#[test]
fn if_all_are_closed_the_error_says_so() {
    let mut one = two_data_centres();
    let now = Time::from_secs(1);
    one.publish_cordon(now, cordon("north", 5, true));
    one.publish_cordon(now, cordon("south", 6, true));

    assert_eq!(
        one.place(now, &demand("model")),
        Err(PlacementError::Cordoned)
    );
    assert_eq!(
        one.place(now, &demand("desk")),
        Err(PlacementError::Cordoned)
    );
    assert_eq!(
        one.place(now, &demand("other")),
        Err(PlacementError::NoEndpoint)
    );
    let verdict = request_and_decide(&mut one, now, PlacementKind::Queued);
    let waits = PlacementStatus::Decided(PlacementDecision::Queued(PlacementError::Cordoned));
    assert_eq!(verdict, waits);
}

/// Guards against an instance that serves before it knows which data centres are closed, and
/// against one that waits for thousands of endpoints although it could serve with those it knows.
#[test]
fn an_instance_is_ready_once_it_knows_the_cordons() {
    let mut one = two_data_centres();
    let before = one.is_ready();

    one.cordons_read();

    assert!(!before);
    assert!(one.is_ready() && !one.replica.is_complete());
}
