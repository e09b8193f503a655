//! What endpoints announce in their responses: which decisions respect it.

#[path = "fixtures/gateway_fleet.rs"]
mod fleet;
#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use fleet::Fleet;
use oriolemux_core::gateway::catalogue::{CatalogueSource, EngineLimits, Service};
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::placement::PlacementStatus;
use oriolemux_core::gateway::request::{
    CopyKind, PaceDemand, PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
    QueuedRequest, service_hash,
};
use oriolemux_core::gateway::state::SendKind;
use oriolemux_core::gateway::{Demand, EndpointRecord, Gateway};
use oriolemux_core::{EndpointKey, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use std::collections::BTreeMap;

const NOW: Time = Time::from_secs(10);

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

/// Returns an instance that knows engines with these names.
fn instance(names: &[&str]) -> Gateway {
    let mut one = instances::gateway(1);
    for name in names {
        one.publish_endpoint(NOW, instances::engine(name));
    }
    one
}

/// Guards against a returning caller's request, and a generation that is recomputed, at an engine
/// that announced to leave while the connection to it was opened.
#[rstest]
#[case::from_its_beginning(SendKind::Start, false)]
#[case::from_a_copy(SendKind::FromCopy, true)]
fn only_generations_with_a_copy_are_sent_to_an_engine_that_leaves(
    #[case] kind: SendKind,
    #[case] expected: bool,
) {
    let mut one = instance(&["e-1"]);
    let engine = EndpointKey::of("e-1");
    assert!(one.admit_send(NOW, engine, NOW, kind));

    one.endpoints.mark_leaving(NOW, engine);

    let later = NOW + Duration::from_millis(5);
    assert_eq!(one.admit_send(later, engine, NOW, kind), expected);
}

/// Returns an instance that is its own home of engines with these names, and knows endpoints of the
/// plain service `desk` with these names.
fn home_of(engines: &[&str], plain: &[&str]) -> Gateway {
    let mut one = instance(engines);
    for name in plain {
        let record = EndpointRecord {
            service: "desk".to_owned(),
            ..instances::engine(name)
        };
        one.publish_endpoint(NOW, record);
    }
    one.publish_catalogue(catalogue()).expect("no findings");
    one
}

fn catalogue() -> CatalogueSource {
    let service = |name: &str, engine| Service {
        name: name.to_owned(),
        engine,
        cold: None,
    };
    CatalogueSource {
        version: 1,
        services: vec![service("model", Some(ENGINE)), service("desk", None)],
        ..CatalogueSource::default()
    }
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

fn request(id: u64, now: Time, kind: PlacementKind) -> PlacementRequest {
    PlacementRequest {
        queued: QueuedRequest {
            id,
            service: service_hash("model"),
            priority: 1,
            arrived: now,
            target: Duration::from_secs(2),
            tokens: 1_000,
            prompt: 500,
            ..QueuedRequest::default()
        },
        kind,
        exclude: Vec::new(),
    }
}

fn granted(one: &Gateway, now: Time, id: u64) -> Option<EndpointKey> {
    match one.verdict(now, id) {
        PlacementStatus::Decided(PlacementDecision::Granted(key)) => Some(key),
        _ => None,
    }
}

fn after(millis: u64) -> Time {
    NOW + Duration::from_millis(millis)
}

/// Guards against a backoff that a later, shorter one cuts short, and against one that does not
/// end.
#[test]
fn a_backoff_ends_at_the_latest_time_that_was_requested() {
    let mut one = instance(&["e-1"]);
    let engine = EndpointKey::of("e-1");

    one.request_backoff(NOW, engine, Duration::from_secs(3));
    one.request_backoff(after(100), engine, Duration::from_secs(1));

    assert!(!one.may_send(after(2_999), engine));
    assert!(one.may_send(after(3_000), engine));
    assert_eq!(one.tick(after(3_000)).backoffs_ended, [engine]);
    assert_eq!(one.tick(after(3_050)).backoffs_ended, []);
}

/// Guards against a backoff that outlives the process that requested it.
#[test]
fn a_new_incarnation_of_an_endpoint_has_no_backoff() {
    let mut one = instance(&["e-1"]);
    one.request_backoff(NOW, EndpointKey::of("e-1"), Duration::from_secs(3_600));

    let later = EndpointRecord {
        started_unix_ms: Some(5),
        ..instances::engine("e-1")
    };
    let key = later.key();
    one.publish_endpoint(after(10), later);

    assert!(one.may_send(after(10), key));
}

/// Guards against memory that grows with every endpoint that ever requested a backoff.
#[test]
fn the_backoff_of_an_endpoint_that_no_longer_exists_is_dropped() {
    let mut one = instance(&["e-1"]);
    let engine = EndpointKey::of("e-1");
    one.request_backoff(NOW, engine, Duration::from_secs(86_400));

    one.endpoint_vanished(NOW, "e-1", Removal::Stated);
    one.tick(NOW + Duration::from_secs(61));

    assert_eq!(one.backoffs.active(NOW).count(), 0);
}

/// Guards against a sender that does not ask whether an endpoint requested a backoff.
#[test]
fn no_sender_chooses_an_endpoint_with_a_backoff() {
    let mut one = home_of(&["e-1", "e-2"], &["d-1", "d-2"]);
    let backed_off = ["e-1", "d-1"].map(EndpointKey::of);
    for key in backed_off {
        one.request_backoff(NOW, key, Duration::from_secs(3));
    }
    let copy = |kind| PlacementKind::Copy {
        source: EndpointKey::of("e-2"),
        kind,
    };
    let kinds = [
        PlacementKind::Queued,
        PlacementKind::Immediate,
        copy(CopyKind::Standby),
        copy(CopyKind::PreCopy),
    ];

    for service in ["model", "desk"] {
        let place = one.place(after(10), &demand(service)).expect("one is left");
        assert!(!backed_off.contains(&place.key), "{}", place.name);
    }
    for kind in kinds {
        let alone = one.place_without_home(after(10), &demand("model"), kind);
        assert!(alone.is_ok_and(|it| !backed_off.contains(&it.key)) || kind != kinds[0]);
        one.request_placement(after(10), request(1, after(10), kind));
        one.tick(after(10));
        let key = granted(&one, after(10), 1);
        assert!(key.is_none_or(|it| !backed_off.contains(&it)), "{kind:?}");
        one.withdraw_placement(1);
        one.tick(after(10));
    }
    for kind in [SendKind::Start, SendKind::FromCopy] {
        assert!(
            !one.admit_send(after(10), backed_off[0], NOW, kind),
            "{kind:?}"
        );
    }
}

/// Guards against a request that is granted the same engine again and again, although the engine
/// requested a backoff after the first grant.
#[test]
fn a_grant_at_an_engine_with_a_backoff_is_replaced() {
    let mut one = home_of(&["e-1", "e-2"], &[]);
    one.request_placement(NOW, request(1, NOW, PlacementKind::Queued));
    one.tick(NOW);
    let first = granted(&one, NOW, 1).expect("an engine is idle");

    one.request_backoff(NOW, first, Duration::from_secs(3));
    let place = one.granted_place(NOW, first);
    one.retry_placement(NOW, 1);
    one.tick(after(5));

    assert_eq!(place, None);
    let second = granted(&one, after(5), 1).expect("the other engine is idle");
    assert_ne!(second, first);
}

/// Guards against a queued request that does not get an engine whose backoff has ended.
#[test]
fn an_engine_is_granted_again_after_its_backoff() {
    let mut one = home_of(&["e-1"], &[]);
    let engine = EndpointKey::of("e-1");
    one.request_backoff(NOW, engine, Duration::from_millis(300));
    one.request_placement(NOW, request(1, NOW, PlacementKind::Queued));
    one.tick(NOW);
    // A report was just made, so that none is due for a while unless the end of the backoff asks
    // for one.
    one.tick(after(290));
    let before = granted(&one, after(290), 1);

    one.tick(after(300));

    assert_eq!(before, None);
    assert_eq!(granted(&one, after(300), 1), Some(engine));
}

/// Guards against callers that are queued, or told a time before any endpoint may be asked, when all
/// endpoints requested a backoff.
#[test]
fn the_end_of_the_first_backoff_is_known_if_there_is_no_other_endpoint() {
    let mut one = home_of(&[], &["d-1", "d-2"]);
    let [first, second] = ["d-1", "d-2"].map(EndpointKey::of);
    one.request_backoff(NOW, first, Duration::from_secs(5));
    let with_one = one.backed_off_until(NOW, "desk", &[]);
    let without_the_other = one.backed_off_until(NOW, "desk", &[second]);

    one.request_backoff(NOW, second, Duration::from_secs(3));

    assert_eq!(with_one, None);
    assert_eq!(without_the_other, Some(after(5_000)));
    assert_eq!(one.backed_off_until(NOW, "desk", &[]), Some(after(3_000)));
    assert_eq!(
        one.place(NOW, &demand("desk")),
        Err(PlacementError::BackedOff)
    );
}

/// Guards against requests that are queued although no endpoint may be asked before they are given
/// up, and against ones that are refused although one may.
#[test]
fn it_is_known_at_once_that_backoffs_outlast_a_request() {
    let mut one = home_of(&["e-1", "e-2"], &[]);
    let [first, second] = ["e-1", "e-2"].map(EndpointKey::of);
    one.request_backoff(NOW, first, Duration::from_secs(3));
    let with_one = one.is_backed_off_beyond(NOW, "model", &[], after(1_500));
    let one_was_tried = one.is_backed_off_beyond(NOW, "model", &[second], after(1_500));
    one.request_backoff(NOW, second, Duration::from_secs(1));

    let beyond = |tried: &[EndpointKey], millis| {
        one.is_backed_off_beyond(NOW, "model", tried, after(millis))
    };

    assert!(!with_one, "the other may be asked");
    assert!(one_was_tried, "the other refused without a delay");
    assert!(beyond(&[], 900));
    assert!(!beyond(&[], 1_500), "the second may be asked in time");
    assert!(
        beyond(&[second], 1_500),
        "only the first may be asked, too late"
    );
    assert!(beyond(&[first, second], 60_000), "none may be asked again");
}

/// The delay that the refusing engine of [`Storm`] asks for.
const DELAY: Duration = Duration::from_secs(3);

/// How long after a refusal requests that were under way may still arrive.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// A fleet whose generations are granted by a home, in front of engines of which one refuses.
struct Storm {
    fleet: Fleet,
    rng: SmallRng,
    refusing: EndpointKey,
    open: Vec<(usize, u64)>,
    /// When requests of each instance arrived at the refusing engine.
    arrived: BTreeMap<usize, Vec<Time>>,
    served: usize,
}

impl Storm {
    fn new(size: usize) -> Storm {
        let mut fleet = Fleet::start(size, 3, 5);
        let joined = fleet.until_all_count(size, Duration::from_secs(20));
        assert!(joined.is_some(), "{:?}", fleet.counts());
        let names = ["e-1", "e-2", "e-3", "e-4"];
        for name in names {
            fleet.publish(&instances::engine(name));
        }
        for node in &mut fleet.nodes {
            if let Some(core) = node.core.as_mut() {
                core.publish_catalogue(catalogue()).expect("no findings");
            }
        }
        let keys = names.map(EndpointKey::of);
        Storm {
            fleet,
            rng: SmallRng::seed_from_u64(11),
            // A home grants the first of equally loaded engines.
            refusing: *keys.iter().min().expect("engines"),
            open: Vec::new(),
            arrived: BTreeMap::new(),
            served: 0,
        }
    }

    fn core(&mut self, index: usize) -> &mut Gateway {
        self.fleet.nodes[index].core.as_mut().expect("it runs")
    }

    /// Lets callers come to some instances, one every 5 ms.
    fn run(&mut self, time: Duration, callers: usize) {
        let ends = self.fleet.now + time;
        while self.fleet.now < ends {
            let (now, index) = (self.fleet.now, self.rng.random_range(0..callers));
            let id = self.rng.random();
            self.core(index)
                .request_placement(now, request(id, now, PlacementKind::Queued));
            self.fleet.schedule_tick(index);
            self.open.push((index, id));
            self.fleet.run(Duration::from_millis(5));
            for (index, id) in core::mem::take(&mut self.open) {
                self.advance(index, id);
            }
        }
    }

    fn advance(&mut self, index: usize, id: u64) {
        let (now, refusing) = (self.fleet.now, self.refusing);
        let core = self.core(index);
        let Some(key) = granted(core, now, id) else {
            self.open.push((index, id));
            return;
        };
        if core.granted_place(now, key).is_none() {
            core.retry_placement(now, id);
            self.open.push((index, id));
        } else if core.admit_send(now, key, now, SendKind::Start) && key == refusing {
            core.request_backoff(now, key, DELAY);
            core.withdraw_placement(id);
            self.arrived.entry(index).or_default().push(now);
        } else {
            core.withdraw_placement(id);
            self.served += 1;
        }
        self.fleet.schedule_tick(index);
    }
}

/// Guards against instances that are granted an engine that refused them, by a home that does not
/// know of it, up to the fleet size of the design.
#[rstest]
#[case::few(6)]
#[case::some(64)]
#[case::planned(390)]
fn grants_of_a_home_respect_the_backoffs_of_each_instance(#[case] size: usize) {
    let callers = 6;
    let mut storm = Storm::new(size);

    storm.run(Duration::from_secs(8), callers);

    assert_eq!(
        storm.arrived.len(),
        callers,
        "each instance has its own backoff"
    );
    for (index, arrived) in &storm.arrived {
        assert!(
            arrived.len() >= 2,
            "{index} asks again after the delay: {arrived:?}"
        );
        for refused in arrived {
            let within = |it: &&Time| **it >= *refused + UNDER_WAY && **it < *refused + DELAY;
            assert_eq!(
                arrived.iter().filter(within).count(),
                0,
                "{index}: {arrived:?}"
            );
        }
    }
    assert!(storm.served >= 1_500, "{}", storm.served);
    assert!(storm.open.len() <= callers, "{}", storm.open.len());
}
