//! What the home of a service's engines grants, and how instances place requests without one.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use instances::address;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::engines::Engines;
use oriolemux_core::gateway::home::{Home, PlacementAnswer, PlacementReport, REPORT_TTL};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::placement::{HOME_TIMEOUT, PlacementStatus, PlacementTable};
use oriolemux_core::gateway::rate_limits::{RateLimits, ResponseLimit};
use oriolemux_core::gateway::request::{
    CopyKind, PlacementDecision, PlacementError, PlacementKind, PlacementRequest, QueuedRequest,
    service_hash,
};
use oriolemux_core::gateway::usage::Usage;
use oriolemux_core::{EndpointKey, Incarnation, Time};

const NOW: Time = Time::from_secs(100);

const MODEL: &str = "model";

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

fn engine(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

/// Returns a table of `count` empty engines.
fn engines(count: usize) -> EndpointTable {
    let mut table = EndpointTable::default();
    for number in 0..count {
        table.apply_record(Time::ZERO, instances::engine(&format!("e-{number}")));
    }
    table
}

/// A request for 3,000 tokens that arrived `age_ms` milliseconds ago.
fn request(id: u64, age_ms: u64, want: PlacementKind) -> PlacementRequest {
    let age = Duration::from_millis(age_ms);
    PlacementRequest {
        queued: QueuedRequest {
            id,
            service: service_hash(MODEL),
            priority: 1,
            arrived: NOW.before(age).expect("a time"),
            target: Duration::from_millis(1_800),
            tokens: 3_000,
            prompt: 2_000,
            ..QueuedRequest::default()
        },
        kind: want,
        exclude: Vec::new(),
    }
}

fn used(tokens: u32) -> Usage {
    Usage {
        running: 1,
        tokens,
        ..Usage::default()
    }
}

/// A home, and instances that report to it.
struct Scene {
    now: Time,
    endpoints: EndpointTable,
    named: RateLimits,
    home: Home,
    reports: u64,
    /// Engines that the next reporting instance cannot use.
    ejected: Vec<EndpointKey>,
}

impl Scene {
    fn new(count: usize) -> Self {
        Scene {
            now: NOW,
            endpoints: engines(count),
            named: RateLimits::default(),
            home: Home::default(),
            reports: 0,
            ejected: Vec::new(),
        }
    }

    fn report(
        &mut self,
        instance: u16,
        used: &[(EndpointKey, Usage)],
        requests: &[PlacementRequest],
    ) {
        self.reports += 1;
        let report = PlacementReport {
            service: service_hash(MODEL),
            number: self.reports,
            data_centre: "north".to_owned(),
            decides: true,
            used: used.to_vec(),
            failing: Vec::new(),
            ejected: self.ejected.clone(),
            known: 1,
            requests: requests.iter().map(|it| it.to_message(self.now)).collect(),
            pace: Vec::new(),
            no_room: Vec::new(),
        };
        let incarnation = Incarnation(instance.into());
        self.home
            .on_report(self.now, address(instance), incarnation, report);
    }

    fn decide(&mut self) -> Vec<(u16, PlacementAnswer)> {
        let engines = Engines {
            service: MODEL,
            limits: ENGINE,
            endpoints: &self.endpoints,
            cold: None,
            named: &self.named,
            known: 1,
            live: 1,
            pace: &pace::UNKNOWN,
        };
        let answers = self.home.decide(self.now, engines);
        let number = |it: std::net::SocketAddrV4| {
            let [_, _, high, low] = it.ip().octets();
            u16::from_be_bytes([high, low])
        };
        answers
            .into_iter()
            .map(|(to, it)| (number(to), it))
            .collect()
    }

    /// Returns the decision about a placement request, if there is one.
    fn decision(&mut self, id: u64) -> Option<PlacementDecision> {
        let answers = self.decide();
        let mut decisions = answers.iter().flat_map(|(_, it)| &it.decisions);
        decisions.find(|it| it.0 == id).map(|it| it.1)
    }
}

fn granted(decision: Option<PlacementDecision>) -> Option<EndpointKey> {
    match decision {
        Some(PlacementDecision::Granted(key)) => Some(key),
        _ => None,
    }
}

/// Guards against overcommitting an engine: two instances request a placement within the time that
/// a report takes, and a grant counted only once its instance had reported it.
#[test]
fn a_grant_is_reserved_until_it_is_reported() {
    let mut scene = Scene::new(1);
    let used_room = [(engine(0), used(15_000))];
    scene.report(9, &used_room, &[]);
    scene.report(1, &[], &[request(1, 5, PlacementKind::Queued)]);
    assert_eq!(
        scene.decision(1),
        Some(PlacementDecision::Granted(engine(0)))
    );

    scene.report(2, &[], &[request(2, 5, PlacementKind::Queued)]);

    assert_eq!(
        scene.decision(2),
        Some(PlacementDecision::Queued(PlacementError::Full))
    );
}

#[test]
fn a_reported_grant_is_counted_once() {
    let mut scene = Scene::new(1);
    scene.report(1, &[], &[request(1, 5, PlacementKind::Queued)]);
    scene.decide();

    scene.report(1, &[(engine(0), used(3_000))], &[]);

    assert_eq!(
        scene.home.others(scene.now, None).of(engine(0)),
        used(3_000)
    );
}

/// A grant that was lost on its way is sent again, and is the same one.
#[test]
fn a_repeated_request_gets_the_same_grant() {
    let mut scene = Scene::new(2);
    let requests = [request(1, 5, PlacementKind::Queued)];
    scene.report(1, &[], &requests);
    let first = granted(scene.decision(1));

    scene.report(1, &[], &requests);

    assert!(first.is_some());
    assert_eq!(granted(scene.decision(1)), first);
    let reserved = scene
        .home
        .others(scene.now, None)
        .of(first.expect("granted"));
    assert_eq!(reserved.running, 1, "room is reserved once");
}

/// Guards against requests that wait although engines have room: the instance whose request is next
/// freezes, and its last report never expired.
#[test]
fn a_silent_instance_holds_nobody_up() {
    let mut scene = Scene::new(1);
    scene.report(9, &[(engine(0), used(16_000))], &[]);
    scene.report(1, &[], &[request(1, 10, PlacementKind::Queued)]);
    let own = request(2, 600, PlacementKind::Queued);
    scene.report(2, &[], std::slice::from_ref(&own));
    assert_eq!(
        scene.decision(2),
        Some(PlacementDecision::Queued(PlacementError::Full))
    );

    scene.now += REPORT_TTL;
    scene.home.tick(scene.now);
    scene.report(9, &[(engine(0), used(16_000))], &[]);
    scene.report(2, &[], &[own]);

    assert_eq!(
        scene.decision(2),
        Some(PlacementDecision::Granted(engine(0)))
    );
}

#[test]
fn freed_room_is_granted_to_queued_requests() {
    let mut scene = Scene::new(1);
    scene.report(9, &[(engine(0), used(19_000))], &[]);
    scene.report(1, &[], &[request(1, 10, PlacementKind::Queued)]);
    assert_eq!(
        scene.decision(1),
        Some(PlacementDecision::Queued(PlacementError::Full))
    );

    scene.report(9, &[], &[]);

    assert_eq!(
        scene.decision(1),
        Some(PlacementDecision::Granted(engine(0)))
    );
}

/// Guards against granting an engine that was already granted to another request: reports arrive in
/// another order than they were sent, and the last arrival won.
#[test]
fn an_outdated_report_is_ignored() {
    let mut scene = Scene::new(1);
    scene.report(1, &[(engine(0), used(3_000))], &[]);
    let late = PlacementReport {
        service: service_hash(MODEL),
        number: 0,
        data_centre: "north".to_owned(),
        decides: true,
        used: Vec::new(),
        failing: Vec::new(),
        ejected: Vec::new(),
        known: 1,
        requests: Vec::new(),
        pace: Vec::new(),
        no_room: Vec::new(),
    };

    scene
        .home
        .on_report(NOW, address(1), Incarnation(1), late.clone());
    let of_this_incarnation = scene.home.others(scene.now, None).of(engine(0));
    scene.home.on_report(NOW, address(1), Incarnation(2), late);

    assert_eq!(of_this_incarnation, used(3_000));
    assert_eq!(
        scene.home.others(scene.now, None).of(engine(0)),
        Usage::default()
    );
}

/// Copies of generations whose engine leaves go to different engines, since each is counted before
/// the next is chosen, and before standby copies.
#[test]
fn copies_from_one_engine_go_to_different_engines() {
    let mut scene = Scene::new(5);
    let ahead = PlacementKind::Copy {
        source: engine(0),
        kind: CopyKind::PreCopy,
    };
    for instance in 1..=8_u16 {
        scene.report(instance, &[], &[request(instance.into(), 5, ahead)]);
    }
    let answers = scene.decide();

    let at = |key| {
        let decisions = answers.iter().flat_map(|(_, it)| &it.decisions);
        decisions
            .filter(|it| it.1 == PlacementDecision::Granted(key))
            .count()
    };
    assert_eq!(at(engine(0)), 0, "not at the engine that leaves");
    let counts: Vec<usize> = (1..5).map(|it| at(engine(it))).collect();
    assert_eq!(counts, [2, 2, 2, 2]);
}

#[test]
fn immediate_placement_is_denied_while_requests_are_queued() {
    let mut scene = Scene::new(2);
    scene.report(
        9,
        &[(engine(0), used(19_000)), (engine(1), used(18_000))],
        &[],
    );
    scene.report(1, &[], &[request(1, 10, PlacementKind::Queued)]);
    scene.decide();

    scene.report(2, &[], &[request(2, 700, PlacementKind::Immediate)]);

    assert_eq!(
        scene.decision(2),
        Some(PlacementDecision::Denied(PlacementError::Full))
    );
}

/// Guards against requests that wait for as long as a home is frozen: the home freezes before it
/// answers, or after it has queued the request, and nothing bounded the wait for its decision.
#[test]
fn an_unresponsive_home_times_out() {
    let mut table = PlacementTable::default();
    table.insert(NOW, request(1, 0, PlacementKind::Queued));
    let soon = NOW + Duration::from_millis(5);
    assert_eq!(table.status(soon, 1), PlacementStatus::Pending);
    assert_eq!(
        table.status(NOW + HOME_TIMEOUT, 1),
        PlacementStatus::TimedOut
    );

    let waits = PlacementDecision::Queued(PlacementError::Full);
    table.on_decision(soon, 1, waits);

    let later = NOW + HOME_TIMEOUT * 2;
    assert_eq!(table.status(later, 1), PlacementStatus::Decided(waits));
    let much_later = NOW + Duration::from_secs(1);
    assert_eq!(table.status(much_later, 1), PlacementStatus::TimedOut);
}

/// A "queued" answer that was sent before a grant and arrives after it does not revoke the grant.
#[test]
fn an_older_decision_does_not_revoke_a_grant() {
    let mut table = PlacementTable::default();
    table.insert(NOW, request(1, 0, PlacementKind::Queued));
    let grant = PlacementDecision::Granted(engine(3));

    table.on_decision(NOW, 1, grant);
    table.on_decision(NOW, 1, PlacementDecision::Queued(PlacementError::Full));

    assert_eq!(table.status(NOW, 1), PlacementStatus::Decided(grant));
}

/// Guards against 120 generations a second that are refused within 50 ms while engines have room:
/// twenty of 62 engines end while the store is unavailable, so that their records stay and they
/// look empty. The home grants them to everybody, and each instance tried several of them, because
/// what one instance found out helped only itself.
#[test]
fn an_engine_that_several_instances_cannot_use_is_ejected_for_all() {
    let mut scene = Scene::new(2);
    scene.ejected = vec![engine(0)];
    scene.report(8, &[], &[]);
    scene.report(9, &[], &[]);
    scene.ejected.clear();

    for id in 1..=3 {
        scene.report(id, &[], &[request(id.into(), 5, PlacementKind::Queued)]);
        let decision = scene.decision(id.into());
        assert_eq!(decision, Some(PlacementDecision::Granted(engine(1))));
    }
}

#[test]
fn an_engine_that_one_instance_cannot_use_is_ejected_for_it_alone() {
    let mut scene = Scene::new(2);
    scene.report(5, &[(engine(1), used(9_000))], &[]);
    scene.ejected = vec![engine(0)];
    scene.report(1, &[], &[request(1, 5, PlacementKind::Queued)]);
    assert_eq!(
        scene.decision(1),
        Some(PlacementDecision::Granted(engine(1)))
    );

    scene.ejected.clear();
    scene.report(2, &[], &[request(2, 5, PlacementKind::Queued)]);

    assert_eq!(
        scene.decision(2),
        Some(PlacementDecision::Granted(engine(0)))
    );
}

/// An engine that recovers gets work again within some seconds, and ejected engines are used when
/// all engines are ejected.
#[test]
fn an_ejection_expires() {
    let mut scene = Scene::new(1);
    scene.ejected = vec![engine(0)];
    scene.report(8, &[], &[]);
    scene.report(9, &[], &[]);
    assert!(
        scene
            .home
            .others(scene.now, None)
            .ejected
            .contains(&engine(0))
    );
    scene.ejected.clear();

    scene.report(1, &[], &[request(1, 5, PlacementKind::Queued)]);
    assert_eq!(
        scene.decision(1),
        Some(PlacementDecision::Granted(engine(0)))
    );
    scene.now += Duration::from_secs(5);

    assert!(scene.home.others(scene.now, None).ejected.is_empty());
}

/// Guards against an instance whose queued request denies its other generations a copy: it requests
/// a queued placement and a copy in one report, the decision about the placement replaced the
/// decision about the copy, and the instance considered its home unresponsive.
#[test]
fn all_requests_of_one_report_are_answered() {
    let mut scene = Scene::new(3);
    let nearly_full = [(engine(1), used(17_500)), (engine(2), used(17_500))];
    scene.report(9, &nearly_full, &[]);
    let copy = PlacementKind::Copy {
        source: engine(0),
        kind: CopyKind::Standby,
    };
    let place = PlacementRequest {
        exclude: vec![engine(0)],
        ..request(1, 5, PlacementKind::Queued)
    };

    scene.report(1, &[], &[place, request(2, 5, copy)]);
    let answers = scene.decide();

    let decisions = &answers[0].1.decisions;
    let about = |id| decisions.iter().find(|it| it.0 == id).map(|it| it.1);
    assert_eq!(
        about(1),
        Some(PlacementDecision::Queued(PlacementError::Full))
    );
    assert_eq!(
        about(2),
        Some(PlacementDecision::Denied(PlacementError::Full))
    );
}

/// Guards against a request that waits until its target and is refused though engines are free: its
/// engine begins to leave while the grant is on its way, and the home granted the same engine again
/// and again, because a reservation outlived the engine.
#[test]
fn an_engine_that_leaves_is_not_granted_again() {
    let mut scene = Scene::new(2);
    let requests = [request(1, 5, PlacementKind::Queued)];
    scene.report(1, &[], &requests);
    let first = granted(scene.decision(1)).expect("there is room");
    scene.endpoints.mark_leaving(scene.now, first);

    scene.report(1, &[], &requests);

    let second = granted(scene.decision(1)).expect("there is room elsewhere");
    assert_ne!(second, first);
}

/// Guards against a home that grants an engine with a rate limit more than the limit, or reserves
/// its room for copies.
#[test]
fn an_engine_is_granted_within_its_rate_limit() {
    let mut scene = Scene::new(1);
    let limit = ResponseLimit::PerSecond(4.0);
    scene
        .named
        .observe_limit(scene.now, engine(0), scene.now, limit);
    let requests: Vec<PlacementRequest> = (1..=6)
        .map(|id| request(id, 5, PlacementKind::Queued))
        .collect();

    let mut grants = 0;
    for _ in 0..4 {
        scene.report(1, &[], &requests);
        for (_, answer) in scene.decide() {
            let granted = answer.decisions.iter();
            grants = granted
                .filter(|it| matches!(it.1, PlacementDecision::Granted(_)))
                .count();
        }
        scene.now += Duration::from_millis(50);
    }

    assert_eq!(grants, 1, "a home grants a part of the limit");
}
