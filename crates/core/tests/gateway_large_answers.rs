//! What homes tell instances where thousands of engines are in use, and what instances do with it
//! while no home answers.

#[path = "fixtures/gateway.rs"]
mod instances;
#[path = "fixtures/large_service.rs"]
mod service;

use bincode::config::standard;
use instances::{address, alive, datagram, gateway};
use oriolemux_core::gateway::catalogue::{CatalogueSource, Service};
use oriolemux_core::gateway::gossip::GossipItems;
use oriolemux_core::gateway::home::{Home, PlacementAnswer, PlacementReport};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::request::{
    PlacementDecision, PlacementError, PlacementKind, PlacementRequest, service_hash,
};
use oriolemux_core::gateway::usage::Usage;
use oriolemux_core::gateway::{Body, Gateway};
use oriolemux_core::{EndpointKey, Incarnation};
use rstest::rstest;
use service::{ENGINE, MODEL, NOW, demand, endpoints, engines, key, record, request, used};
use std::collections::{BTreeMap, BTreeSet};

/// Bytes of the largest datagram that instances send (`crates/gateway/src/gossip.rs`).
const MAX_DATAGRAM: usize = 16 * 1024;

/// A home to which one instance reports as many engines as are in use, and others ask.
fn answer(in_use: usize) -> PlacementAnswer {
    let table = endpoints(in_use);
    let named = RateLimits::default();
    let mut home = Home::default();
    let report =
        |number, used: Vec<(EndpointKey, Usage)>, requests: &[PlacementRequest]| PlacementReport {
            service: service_hash(MODEL),
            number,
            data_centre: "north".to_owned(),
            decides: true,
            failing: used.iter().map(|it| it.0).collect(),
            used,
            ejected: Vec::new(),
            known: 2,
            requests: requests.iter().map(|it| it.to_message(NOW)).collect(),
            pace: Vec::new(),
            no_room: Vec::new(),
        };
    let busy = (0..in_use).map(|it| (key(it), used(1_000 + it as u32)));
    home.on_report(
        NOW,
        address(1),
        Incarnation(1),
        report(1, busy.collect(), &[]),
    );
    let asks = report(1, Vec::new(), &[request(1, 3_000)]);
    home.on_report(NOW, address(2), Incarnation(2), asks);
    let mut answers = home.decide(NOW, engines(&table, &named, &pace::UNKNOWN));
    assert_eq!(answers.len(), 1);
    answers.remove(0).1
}

/// Guards against answers of a home that grow with the engines in use until they fit no datagram:
/// with 4,000 of them instances got no answer at all.
#[rstest]
#[case::half_of_the_engines(3_000)]
#[case::all_engines_of_twice_the_fleet(12_000)]
fn an_answer_does_not_grow_with_the_engines_in_use(#[case] in_use: usize) {
    let answer = answer(in_use);

    let body = Body::PlacementAnswer(answer);
    let message = datagram(1, 1, 1, body);
    let bytes = bincode::serde::encode_to_vec(&message, standard()).expect("encodable");
    assert!(bytes.len() <= 4_096, "{} bytes", bytes.len());
    assert!(bytes.len() < MAX_DATAGRAM);
}

/// Guards against engines that are overfilled while no home answers, because the answer of the last
/// one does not list all engines in use.
#[test]
fn an_engine_that_an_answer_does_not_list_does_not_count_as_empty() {
    let mut one = instance_among(2, 3_000);
    one.request_placement(NOW, request(1, 3_000));
    one.tick(NOW);
    let answer = answer(3_000);
    let view = answer.view.clone().expect("it is due");
    let listed: BTreeMap<EndpointKey, Usage> = (0..3_000)
        .map(|it| (key(it), view.of(key(it))))
        .filter(|(_, it)| *it != Usage::default())
        .collect();

    one.on_datagram(NOW, datagram(1, 0, 0, Body::PlacementAnswer(answer)))
        .expect("it is of the fleet");

    let least = listed.values().map(|it| it.tokens).min().expect("some");
    assert!(listed.len() < 3_000, "all are listed");
    assert!((0..3_000).all(|it| one.used(key(it)).tokens >= least));
    assert!(least >= 3_800, "the fullest are listed: {least}");
}

/// An instance among others that are live, with the engines of a service.
fn instance_among(instances: u16, engines: usize) -> Gateway {
    let mut one = gateway(2);
    for number in (1..=instances).filter(|it| *it != 2) {
        let members = vec![alive(number)];
        let gossip = GossipItems {
            members,
            ..GossipItems::default()
        };
        one.on_datagram(NOW, datagram(number, 0, 0, Body::Gossip(gossip)))
            .expect("it is of the fleet");
    }
    let catalogue = CatalogueSource {
        version: 1,
        services: vec![Service {
            name: MODEL.to_owned(),
            engine: Some(ENGINE),
            cold: None,
        }],
        ..CatalogueSource::default()
    };
    one.publish_catalogue(catalogue).expect("no findings");
    for number in 0..engines {
        one.publish_endpoint(NOW, record(number));
    }
    one
}

/// Guards against an instance without a home that goes over all engines for each of those that it
/// may not use, and against one that uses more than its share.
#[test]
fn an_instance_without_a_home_stays_within_its_share_of_a_large_service() {
    let mut one = instance_among(1_170, 12_000);
    one.request_placement(NOW, request(1, 3_000));
    one.tick(NOW);
    let mut answer = answer(1);
    answer.decisions = vec![(1, PlacementDecision::Queued(PlacementError::Full))];
    one.on_datagram(NOW, datagram(1, 0, 0, Body::PlacementAnswer(answer)))
        .expect("it is of the fleet");

    let mut placed = BTreeSet::new();
    for _ in 0..100 {
        let demand = demand(3_000, &[]);
        let Ok(place) = one.place_without_home(NOW, &demand, PlacementKind::Queued) else {
            break;
        };
        one.usage.begin(place.key, 3_000, 0);
        placed.insert(place.key);
    }

    let share = 12_000usize.div_ceil(1_170);
    assert!((1..=share).contains(&placed.len()), "{}", placed.len());
}
