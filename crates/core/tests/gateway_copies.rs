//! Room for generations whose engine leaves: what a home grants, holds and refuses while they wait.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use instances::address;
use oriolemux_core::gateway::EndpointRecord;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::gateway::choose::{PlacementContext, choose_copy_target};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::engines::Engines;
use oriolemux_core::gateway::holds::Holds;
use oriolemux_core::gateway::home::{Home, PlacementReport, REPORT_TTL};
use oriolemux_core::gateway::lengths::{LengthEstimate, LengthTable, expected_kv_tokens};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::queue::{RecentGrants, assign};
use oriolemux_core::gateway::rate_limits::RateLimits;
use oriolemux_core::gateway::relocation::{
    PRE_COPY_DEADLINE, RELOCATE_AFTER, time_until_copy_is_needed,
};
use oriolemux_core::gateway::request::{
    CopyKind, Demand, PaceDemand, PlacementDecision, PlacementError, PlacementKind,
    PlacementRequest, QueuedPlacement, QueuedRequest, service_hash,
};
use oriolemux_core::gateway::usage::{PeerUsage, Usage, UsageTable};
use oriolemux_core::{EndpointKey, Incarnation, Time};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng};
use std::collections::BTreeMap;

const NOW: Time = Time::from_secs(100);

const MODEL: &str = "model";

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 20_000,
    standby_copies: true,
};

const FULL: PlacementError = PlacementError::Full;

fn engine(number: usize) -> EndpointKey {
    EndpointKey::of(&format!("e-{number}"))
}

fn record(number: usize, data_centre: &str) -> EndpointRecord {
    EndpointRecord {
        data_centre: data_centre.to_owned(),
        ..instances::engine(&format!("e-{number}"))
    }
}

fn request(id: u64, tokens: u32, kind: PlacementKind) -> PlacementRequest {
    PlacementRequest {
        queued: QueuedRequest {
            id,
            service: service_hash(MODEL),
            priority: 1,
            arrived: NOW.before(Duration::from_millis(10)).expect("a time"),
            target: Duration::from_millis(1_800),
            tokens,
            prompt: 2_000,
            ..QueuedRequest::default()
        },
        kind,
        exclude: Vec::new(),
    }
}

fn new_request(id: u64, tokens: u32) -> PlacementRequest {
    request(id, tokens, PlacementKind::Queued)
}

/// A request for a pre-copy of a generation that runs at engine 0.
fn pre_copy(id: u64, tokens: u32) -> PlacementRequest {
    pre_copy_of(0, id, tokens)
}

fn pre_copy_of(source: usize, id: u64, tokens: u32) -> PlacementRequest {
    let (source, kind) = (engine(source), CopyKind::PreCopy);
    request(id, tokens, PlacementKind::Copy { source, kind })
}

fn standby(id: u64, tokens: u32) -> PlacementRequest {
    let (source, kind) = (engine(0), CopyKind::Standby);
    request(id, tokens, PlacementKind::Copy { source, kind })
}

fn with_priority(priority: u8, mut request: PlacementRequest) -> PlacementRequest {
    request.queued.priority = priority;
    request
}

fn used(tokens: u32) -> Usage {
    Usage {
        running: 1,
        tokens,
        ..Usage::default()
    }
}

/// A home, and instances that report to it. Engine 0 leaves.
struct Scene {
    now: Time,
    endpoints: EndpointTable,
    home: Home,
    reports: u64,
    decides: bool,
    no_room: Vec<EndpointKey>,
}

impl Scene {
    /// Engine 0 leaves; the others have this many KV cache tokens in use, as instance 9 reports.
    fn new(taken: &[u32]) -> Self {
        let mut endpoints = EndpointTable::default();
        for number in 0..=taken.len() {
            endpoints.apply_record(Time::ZERO, record(number, "north"));
        }
        endpoints.mark_leaving(NOW, engine(0));
        let mut scene = Scene {
            now: NOW,
            endpoints,
            home: Home::default(),
            reports: 0,
            decides: true,
            no_room: Vec::new(),
        };
        scene.occupy(taken);
        scene
    }

    /// Reports how many KV cache tokens are used at engines 1, 2 and so on.
    fn occupy(&mut self, taken: &[u32]) {
        let used: Vec<(EndpointKey, Usage)> = (1..)
            .zip(taken)
            .filter(|(_, tokens)| **tokens > 0)
            .map(|(number, &tokens)| (engine(number), used(tokens)))
            .collect();
        self.report_used(9, &used, &[]);
    }

    fn report(&mut self, instance: u16, requests: &[PlacementRequest]) {
        self.report_used(instance, &[], requests);
    }

    fn report_used(
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
            decides: self.decides,
            used: used.to_vec(),
            failing: Vec::new(),
            ejected: Vec::new(),
            known: 1,
            requests: requests.iter().map(|it| it.to_message(self.now)).collect(),
            pace: Vec::new(),
            no_room: self.no_room.clone(),
        };
        let incarnation = Incarnation(instance.into());
        self.home
            .on_report(self.now, address(instance), incarnation, report);
    }

    /// Returns all decisions by request.
    fn decide(&mut self) -> BTreeMap<u64, PlacementDecision> {
        let named = RateLimits::default();
        let engines = engines(&self.endpoints, &named);
        let answers = self.home.decide(self.now, engines);
        answers
            .into_iter()
            .flat_map(|(_, it)| it.decisions)
            .collect()
    }

    /// Returns the requests that are granted, with their engines.
    fn grants(&mut self) -> Vec<(u64, EndpointKey)> {
        let decisions = self.decide();
        let granted = decisions.into_iter().filter_map(|(id, it)| match it {
            PlacementDecision::Granted(key) => Some((id, key)),
            _ => None,
        });
        granted.collect()
    }
}

fn engines<'a>(endpoints: &'a EndpointTable, named: &'a RateLimits) -> Engines<'a> {
    Engines {
        service: MODEL,
        limits: ENGINE,
        endpoints,
        cold: None,
        named,
        known: 1,
        live: 1,
        pace: &pace::UNKNOWN,
    }
}

/// Guards against generations that are interrupted although room becomes free in time: the home
/// denied their copy, and new requests took the room before they asked again.
#[test]
fn a_pre_copy_without_room_waits_and_gets_the_next_room() {
    let mut scene = Scene::new(&[19_000]);
    scene.report(1, &[pre_copy(1, 3_000)]);
    let at_first = scene.decide();

    scene.occupy(&[16_000]);
    scene.report(2, &[new_request(2, 3_000)]);
    let then = scene.decide();

    assert_eq!(at_first[&1], PlacementDecision::Queued(FULL));
    assert_eq!(then[&1], PlacementDecision::Granted(engine(1)));
    assert_eq!(then[&2], PlacementDecision::Queued(FULL));
}

/// Standby copies and immediate placements have other engines to fall back on, and are not queued.
#[test]
fn standby_copies_and_immediate_placements_do_not_wait() {
    let mut scene = Scene::new(&[19_000]);
    let immediate = request(2, 3_000, PlacementKind::Immediate);

    scene.report(1, &[standby(1, 3_000), immediate]);
    let decisions = scene.decide();

    assert_eq!(decisions[&1], PlacementDecision::Denied(FULL));
    assert_eq!(decisions[&2], PlacementDecision::Denied(FULL));
}

/// Guards against a pre-copy that waits until its engine ends: room becomes free in pieces that are
/// smaller than the copy, and smaller new requests take each of them.
#[test]
fn room_accumulates_for_a_waiting_pre_copy() {
    let mut scene = Scene::new(&[19_000, 19_400]);
    scene.report(1, &[pre_copy(1, 4_000)]);
    scene.report(2, &[new_request(2, 1_500)]);
    scene.decide();

    scene.occupy(&[17_500, 19_400]);
    let while_it_waits = scene.grants();
    scene.occupy(&[15_500, 19_400]);
    let in_the_end = scene.grants();

    assert_eq!(while_it_waits, []);
    assert_eq!(in_the_end, [(1, engine(1))]);
}

/// Guards against engines that stay idle for one copy: the home holds more than one engine for it.
#[test]
fn requests_are_placed_where_nothing_is_held() {
    let mut scene = Scene::new(&[16_000, 17_000]);

    scene.report(1, &[pre_copy(1, 5_000)]);
    scene.report(2, &[new_request(2, 2_000)]);

    assert_eq!(scene.grants(), [(2, engine(2))]);
}

/// Guards against urgent requests that wait for less urgent generations.
#[test]
fn more_urgent_requests_ignore_the_hold() {
    let mut scene = Scene::new(&[16_000]);
    scene.report(1, &[pre_copy(1, 5_000)]);

    scene.report(2, &[with_priority(0, new_request(2, 2_000))]);
    scene.report(3, &[with_priority(1, new_request(3, 1_000))]);

    assert_eq!(scene.grants(), [(2, engine(1))]);
}

/// Guards against losing most work first: the copy with the most tokens is served first, whichever
/// instance reported first.
#[test]
fn the_pre_copy_with_the_most_tokens_comes_first() {
    let mut scene = Scene::new(&[15_000]);

    scene.report(1, &[pre_copy(1, 2_000)]);
    scene.report(2, &[pre_copy(2, 4_000)]);

    assert_eq!(scene.grants(), [(2, engine(1))]);
}

/// Guards against an engine that is overfilled as soon as it starts: it runs nothing, and all
/// copies that wait are granted there at once.
#[test]
fn an_empty_engine_is_not_overfilled_with_pre_copies() {
    let mut scene = Scene::new(&[0]);
    let requests: Vec<PlacementRequest> = (1..=10).map(|id| pre_copy(id, 3_000)).collect();

    scene.report(1, &requests);

    assert_eq!(scene.grants().len(), 6);
}

/// Guards against copies between data centres, which take twice as long, while there is room nearby;
/// and against generations that are lost because all engines of their data centre leave at once.
#[test]
fn a_pre_copy_goes_to_another_data_centre_only_if_it_must() {
    let mut scene = Scene::new(&[12_000, 10_000]);
    scene.endpoints.apply_record(Time::ZERO, record(2, "south"));
    scene.report(1, &[pre_copy(1, 3_000)]);
    let nearby = scene.grants();

    scene.endpoints.mark_leaving(scene.now, engine(1));
    scene.report(1, &[pre_copy(2, 3_000)]);
    let all_leave = scene.grants();

    assert_eq!(nearby, [(1, engine(1))]);
    assert_eq!(all_leave, [(2, engine(2))]);
}

/// Guards against waiting copies that are forgotten when their home dies: the next in rank has the
/// same reports, and decides as soon as it is asked to.
#[test]
fn the_next_home_continues_with_waiting_pre_copies() {
    let mut next = Scene::new(&[19_000]);
    next.decides = false;
    next.report(1, &[pre_copy(1, 3_000)]);
    next.report(2, &[new_request(2, 3_000)]);
    assert!(next.decide().is_empty(), "another home decides");

    next.decides = true;
    next.report(1, &[pre_copy(1, 3_000)]);
    next.report(2, &[new_request(2, 3_000)]);
    next.occupy(&[16_000]);

    assert_eq!(next.grants(), [(1, engine(1))]);
}

/// Guards against a waiting copy that is lost with a datagram: its request and its hold are kept
/// until the next report, and for no longer than a report is valid.
#[test]
fn a_lost_report_does_not_lose_a_waiting_pre_copy() {
    let mut scene = Scene::new(&[19_000]);
    scene.report(1, &[pre_copy(1, 3_000)]);
    scene.decide();
    scene.now += REPORT_TTL / 2;
    scene.home.tick(scene.now);
    scene.occupy(&[16_500]);
    scene.report(2, &[new_request(2, 3_000)]);
    let after_a_loss = scene.grants();

    scene.now += REPORT_TTL / 2;
    scene.home.tick(scene.now);
    scene.occupy(&[16_500]);
    scene.report(2, &[new_request(2, 3_000)]);

    assert_eq!(after_a_loss, [(1, engine(1))]);
    assert_eq!(scene.grants(), [(2, engine(1))]);
}

/// Guards against room that stays held for a generation that is gone: its engine ended earlier than
/// announced, or the generation itself ended.
#[test]
fn a_withdrawn_pre_copy_releases_its_hold() {
    let mut scene = Scene::new(&[16_000]);
    scene.report(1, &[pre_copy(1, 5_000)]);
    scene.report(2, &[new_request(2, 3_000)]);
    assert_eq!(scene.grants(), []);

    scene.report(1, &[]);

    assert_eq!(scene.grants(), [(2, engine(1))]);
}

/// Guards against copies that fail one after the other at the same engine, which the home believes
/// to have room.
#[test]
fn no_copy_is_placed_at_an_engine_that_refused_one() {
    let mut scene = Scene::new(&[5_000, 12_000]);
    scene.no_room = vec![engine(1)];
    scene.report(7, &[]);
    scene.no_room.clear();

    scene.report(1, &[pre_copy(1, 3_000)]);
    scene.report(2, &[standby(2, 1_000)]);
    let while_reported = scene.decide();
    scene.report(7, &[]);
    scene.report(3, &[pre_copy(3, 3_000)]);
    let afterwards = scene.decide();

    assert_eq!(while_reported[&1], PlacementDecision::Granted(engine(2)));
    assert_eq!(while_reported[&2], PlacementDecision::Denied(FULL));
    assert_eq!(afterwards[&3], PlacementDecision::Granted(engine(1)));
}

/// Returns what a home decides that holds nothing: copies in the order of the reports, then the
/// queue.
fn without_holds(
    scene: &Scene,
    copies: &[PlacementRequest],
    queue: &[PlacementRequest],
) -> BTreeMap<u64, PlacementDecision> {
    let (named, none) = (RateLimits::default(), UsageTable::default());
    let mut others: PeerUsage = scene.home.others(scene.now, None);
    let mut decisions = BTreeMap::new();
    for request in copies {
        let context = context(scene, &none, &others, "north");
        let demand = Demand {
            service: MODEL,
            engine: Some(ENGINE),
            tokens: request.queued.tokens,
            exclude: &[],
            pace: PaceDemand::default(),
        };
        let PlacementKind::Copy { source, kind } = request.kind else {
            unreachable!("a copy")
        };
        let source = scene.endpoints.get(source).expect("an engine");
        let place = choose_copy_target(context, &demand, source, kind, || 0.0);
        let decision = match place {
            Some(key) => {
                let copy_tokens = request.queued.tokens;
                let copy = Usage {
                    copy_tokens,
                    ..Usage::default()
                };
                others.add(key, copy);
                PlacementDecision::Granted(key)
            }
            None => PlacementDecision::Denied(FULL),
        };
        decisions.insert(request.queued.id, decision);
    }
    let queue: Vec<QueuedPlacement> = queue.iter().cloned().map(queued_placement).collect();
    let places = assign(
        context(scene, &none, &others, ""),
        engines(&scene.endpoints, &named),
        |_| None,
        &Holds::default(),
        &RecentGrants::default(),
        queue.iter(),
    )
    .places;
    for (queued, place) in queue.iter().zip(places) {
        let decision = match place {
            Ok(key) => PlacementDecision::Granted(key),
            Err(why) => PlacementDecision::Queued(why),
        };
        decisions.insert(queued.request.queued.id, decision);
    }
    decisions
}

fn context<'a>(
    scene: &'a Scene,
    usage: &'a UsageTable,
    others: &'a PeerUsage,
    data_centre: &'a str,
) -> PlacementContext<'a> {
    PlacementContext {
        now: scene.now,
        endpoints: &scene.endpoints,
        usage,
        others,
        data_centre,
        pace: &pace::UNKNOWN,
    }
}

fn queued_placement(request: PlacementRequest) -> QueuedPlacement {
    QueuedPlacement {
        request,
        data_centre: "north".to_owned(),
        avoid: Vec::new(),
    }
}

proptest! {
    /// Guards against a change of other decisions: while no pre-copy waits, each request gets what
    /// it would get if nothing could be held.
    #[test]
    fn without_a_waiting_pre_copy_nothing_changes(
        taken in prop::collection::vec(0_u32..20_000, 1..8),
        copies in prop::collection::vec((any::<bool>(), 500_u32..6_000), 0..4),
        queue in prop::collection::vec((0_u8..3, 500_u32..7_000), 0..12),
    ) {
        let mut scene = Scene::new(&taken);
        let mut copies: Vec<PlacementRequest> = (1..)
            .zip(copies)
            .map(|(id, (is_standby, tokens))| match is_standby {
                true => standby(id, tokens),
                false => pre_copy(id, tokens),
            })
            .collect();
        copies.sort_by_key(|it| (it.kind == standby(0, 0).kind, u32::MAX - it.queued.tokens));
        let queue: Vec<PlacementRequest> = (100..)
            .zip(queue)
            .map(|(id, (priority, tokens))| with_priority(priority, new_request(id, tokens)))
            .collect();
        let expected = without_holds(&scene, &copies, &queue);
        let waits = copies.iter().any(|it| {
            it.kind.is_queued() && expected[&it.queued.id] == PlacementDecision::Denied(FULL)
        });
        prop_assume!(!waits);

        scene.report(1, &[copies, queue].concat());

        prop_assert_eq!(scene.decide(), expected);
    }
}

/// Time of one step of the load, about as often as a home decides under load.
const STEP: Duration = Duration::from_millis(20);

/// Time per token at an engine with seven generations.
const TOKEN_TIME: Duration = Duration::from_micros(10_700);

/// Time for prefilling a prompt.
const PREFILL: Duration = Duration::from_millis(400);

/// Time per token of a copy on the link of the engine that leaves: 170 ms for 3,000 tokens.
const COPY_TIME: Duration = Duration::from_micros(57);

/// Time between two departures, notice of an engine that leaves, and time until it is back.
const DEPARTURES: Duration = Duration::from_millis(3_300);
const NOTICE: Duration = Duration::from_millis(1_600);
const ABSENCE: Duration = Duration::from_millis(4_000);

/// Steps before the first departure. All generations begin within the first seconds, so that none
/// ends for a while; after 12 s they end evenly.
const WARM_UP_STEPS: u128 = 600;

const PROMPT: u32 = 2_000;

/// Generations that arrive in each second: 2.5 times what 50 engines serve at 0.8 of their capacity.
const ARRIVALS: f64 = 100.0;

/// How long a generation waits for its first engine.
const PATIENCE: Duration = Duration::from_millis(1_800);

/// One generation of the load.
struct Generation {
    id: u64,
    instance: u16,
    arrived: Time,
    /// Tokens that it will have produced in the end.
    output: u32,
    /// Its engine, once it has one, and when its first token is produced.
    runs: Option<(EndpointKey, Time)>,
    /// The request for a pre-copy that waits.
    asks: Option<PlacementRequest>,
    /// The target of the pre-copy, its size, and when it is complete.
    copy: Option<(EndpointKey, u32, Time)>,
}

impl Generation {
    fn made(&self, now: Time) -> u32 {
        let runs_for = self
            .runs
            .map_or(Duration::ZERO, |(_, first)| now.since(first));
        (runs_for.as_micros() / TOKEN_TIME.as_micros()) as u32
    }

    fn expected(&self, now: Time, length: LengthEstimate) -> u32 {
        expected_kv_tokens(PROMPT, length, self.made(now))
    }

    /// Returns what its instance reports of it.
    fn usage(&self, now: Time, length: LengthEstimate) -> Vec<(EndpointKey, Usage)> {
        let runs = self.runs.map(|(engine, first)| {
            let pending_prefill = if now < first { PROMPT } else { 0 };
            let used = used(self.expected(now, length));
            (
                engine,
                Usage {
                    pending_prefill,
                    ..used
                },
            )
        });
        let copy = self.copy.map(|(engine, copy_tokens, _)| {
            let usage = Usage {
                copy_tokens,
                ..Usage::default()
            };
            (engine, usage)
        });
        runs.into_iter().chain(copy).collect()
    }
}

/// Overload while engines leave, played against a real home.
struct Load {
    scene: Scene,
    rng: SmallRng,
    /// Whether engines leave.
    has_departures: bool,
    lengths: LengthTable,
    all: Vec<Generation>,
    /// Notices by engine.
    notices: BTreeMap<EndpointKey, Time>,
    /// When the link of an engine that leaves is free again.
    links: BTreeMap<EndpointKey, Time>,
    /// The incarnations of the engines.
    keys: Vec<EndpointKey>,
    arrivals: f64,
    next_id: u64,
    served: usize,
    interrupted: usize,
    preempted: usize,
}

impl Load {
    fn new(seed: u64, has_departures: bool) -> Self {
        let mut scene = Scene::new(&[]);
        scene.endpoints = EndpointTable::default();
        let mut load = Load {
            scene,
            rng: SmallRng::seed_from_u64(seed),
            has_departures,
            lengths: LengthTable::default(),
            all: Vec::new(),
            notices: BTreeMap::new(),
            links: BTreeMap::new(),
            keys: Vec::new(),
            arrivals: 0.0,
            next_id: 0,
            served: 0,
            interrupted: 0,
            preempted: 0,
        };
        for number in 0..60 {
            let key = load.start_engine(number, 0);
            load.keys.push(key);
        }
        for _ in 0..400 {
            let output = load.draw_output();
            load.lengths.record("plan", output);
        }
        load
    }

    fn start_engine(&mut self, number: usize, incarnation: u64) -> EndpointKey {
        let record = EndpointRecord {
            started_unix_ms: Some(incarnation),
            ..record(number, "north")
        };
        let key = record.key();
        self.scene.endpoints.apply_record(self.scene.now, record);
        key
    }

    /// Draws an output length that spreads by a factor of two around 700 tokens.
    fn draw_output(&mut self) -> u32 {
        let normal: f64 = (0..12).map(|_| self.rng.random::<f64>()).sum::<f64>() - 6.0;
        (700.0 * (0.6 * normal).exp()).clamp(64.0, 2_000.0) as u32
    }

    fn length(&self) -> LengthEstimate {
        self.lengths.estimate("plan", 2_000, None)
    }

    fn run(&mut self, time: Duration) {
        let steps = time.as_millis() / STEP.as_millis();
        for step in 0..steps {
            self.scene.now += STEP;
            let interval = DEPARTURES.as_millis() / STEP.as_millis();
            let is_due = self.has_departures && step > WARM_UP_STEPS && step % interval == 0;
            if is_due {
                self.give_notice((step / interval) as usize);
            }
            self.end_engines();
            self.arrive();
            self.advance();
            self.request_copies();
            self.report_and_decide();
            self.preempt();
        }
    }

    fn give_notice(&mut self, round: usize) {
        for number in (0..10).map(|it| (round * 10 + it) % 60) {
            let key = self.keys[number];
            self.scene.endpoints.mark_leaving(self.scene.now, key);
            self.notices.insert(key, self.scene.now);
        }
    }

    fn end_engines(&mut self) {
        let now = self.scene.now;
        for number in 0..self.keys.len() {
            let key = self.keys[number];
            let Some(&notice) = self.notices.get(&key) else {
                continue;
            };
            if now.since(notice) >= NOTICE {
                let at = |it: &Generation| it.runs.is_some_and(|(engine, _)| engine == key);
                let before = self.all.len();
                self.all.retain(|it| !at(it));
                self.interrupted += before - self.all.len();
                self.all.iter_mut().for_each(|it| {
                    it.copy = it.copy.filter(|(target, _, _)| *target != key);
                });
            }
            if now.since(notice) >= ABSENCE {
                self.notices.remove(&key);
                self.keys[number] = self.start_engine(number, now.as_micros());
            }
        }
    }

    fn arrive(&mut self) {
        self.arrivals += ARRIVALS * STEP.as_secs_f64();
        while self.arrivals >= 1.0 {
            self.arrivals -= 1.0;
            self.next_id += 1;
            let generation = Generation {
                id: self.next_id,
                instance: 1 + (self.next_id % 20) as u16,
                arrived: self.scene.now,
                output: self.draw_output(),
                runs: None,
                asks: None,
                copy: None,
            };
            self.all.push(generation);
        }
    }

    /// Ends generations that are complete or gave up, and moves those that may leave.
    fn advance(&mut self) {
        let now = self.scene.now;
        let before = self.all.iter().filter(|it| it.runs.is_some()).count();
        self.all.retain(|it| match it.runs {
            Some(_) => it.made(now) < it.output,
            None => now.since(it.arrived) < PATIENCE,
        });
        self.served += before - self.all.iter().filter(|it| it.runs.is_some()).count();
        for it in &mut self.all {
            let Some((engine, first)) = it.runs else {
                continue;
            };
            let leaving_for = self.notices.get(&engine).map(|&at| now.since(at));
            let leaves = leaving_for.is_some_and(|it| it >= RELOCATE_AFTER);
            let copy = it.copy.filter(|(_, _, ready)| leaves && *ready <= now);
            if let Some((target, _, _)) = copy {
                it.runs = Some((target, first));
                it.copy = None;
            }
        }
    }

    fn request_copies(&mut self) {
        let (now, length) = (self.scene.now, self.length());
        for it in &mut self.all {
            let Some((engine, _)) = it.runs else {
                continue;
            };
            let leaving_for = self.notices.get(&engine).map(|&at| now.since(at));
            let Some(leaving_for) = leaving_for.filter(|it| *it < PRE_COPY_DEADLINE) else {
                it.asks = None;
                continue;
            };
            let remaining = TOKEN_TIME * length.remaining(it.made(now));
            let is_needed = time_until_copy_is_needed(leaving_for, remaining).is_none();
            if it.copy.is_none() && it.asks.is_none() && is_needed {
                let kind = CopyKind::PreCopy;
                let kind = PlacementKind::Copy {
                    source: engine,
                    kind,
                };
                // The id differs from that of the generation's first request.
                let id = it.id + (1 << 32);
                it.asks = Some(request(id, it.expected(now, length), kind));
            }
        }
    }

    fn report_and_decide(&mut self) {
        let (now, length) = (self.scene.now, self.length());
        for instance in 1..=20 {
            let own = || self.all.iter().filter(|it| it.instance == instance);
            let mut used: BTreeMap<EndpointKey, Usage> = BTreeMap::new();
            for (engine, usage) in own().flat_map(|it| it.usage(now, length)) {
                let sum = used.entry(engine).or_default();
                *sum = sum.plus(usage);
            }
            let queued = own().filter(|it| it.runs.is_none()).map(|it| {
                let mut request = new_request(it.id, it.expected(now, length));
                request.queued.arrived = it.arrived;
                request
            });
            let copies = own().filter_map(|it| it.asks.clone());
            let requests: Vec<PlacementRequest> = copies.chain(queued).collect();
            let used: Vec<(EndpointKey, Usage)> = used.into_iter().collect();
            self.scene.report_used(instance, &used, &requests);
        }
        self.scene.home.tick(now);
        for (id, engine) in self.scene.grants() {
            self.on_grant(id, engine);
        }
    }

    fn on_grant(&mut self, id: u64, engine: EndpointKey) {
        let now = self.scene.now;
        let mut all = self.all.iter_mut();
        let found = all
            .find(|it| it.id == id & u64::from(u32::MAX))
            .expect("it is open");
        match (found.runs, found.asks.take()) {
            (Some((source, _)), Some(asked)) => {
                let link = self.links.entry(source).or_insert(now);
                *link = (*link).max(now) + COPY_TIME * (PROMPT + found.made(now));
                found.copy = Some((engine, asked.queued.tokens, *link));
            }
            _ => found.runs = Some((engine, now + PREFILL)),
        }
    }

    /// Drops the newest generation of an engine whose KV cache is full.
    fn preempt(&mut self) {
        let now = self.scene.now;
        for &key in &self.keys {
            let uses = |it: &Generation| {
                let runs = it.runs.is_some_and(|(engine, _)| engine == key);
                let copied = it.copy.is_some_and(|(engine, _, _)| engine == key);
                (PROMPT + it.made(now)) * u32::from(runs || copied)
            };
            let total: u32 = self.all.iter().map(uses).sum();
            if total > ENGINE.kv_cache_tokens {
                let at = |it: &Generation| it.runs.is_some_and(|(engine, _)| engine == key);
                if let Some(newest) = self.all.iter().rposition(at) {
                    self.all.remove(newest);
                    self.preempted += 1;
                }
            }
        }
    }
}

/// Plays the load with two seeds; returns how many generations ended, were interrupted and were
/// preempted.
fn play(has_departures: bool) -> (usize, usize, usize) {
    let mut sum = (0, 0, 0);
    for seed in 1..=2 {
        let mut load = Load::new(seed, has_departures);
        load.run(Duration::from_secs(75));
        sum.0 += load.served + load.interrupted + load.preempted;
        sum.1 += load.interrupted;
        sum.2 += load.preempted;
    }
    println!("departures: {has_departures}; ended, interrupted, preempted: {sum:?}");
    sum
}

/// Guards against generations that are interrupted under overload: ten of sixty engines leave every
/// 3.3 s, and 138 of 1,392 generations were lost with them because no engine had room for a copy;
/// and against copies that overfill their targets. Some generations are preempted even while no
/// engine leaves, because the need of each is an estimate; moves may add 10 of 2,600.
#[test]
fn few_generations_are_interrupted_while_engines_leave_under_overload() {
    let (ended, interrupted, preempted) = play(true);
    let (all_stay, _, unavoidable) = play(false);

    assert!(ended > 5_000, "{ended} ended");
    assert!(
        interrupted * 50 < ended,
        "{interrupted} of {ended} interrupted"
    );
    let share = |count: usize, of: usize| count as f64 / of as f64;
    let by_moves = share(preempted, ended) - share(unavoidable, all_stay);
    assert!(by_moves < 10.0 / 2_600.0, "{by_moves} preempted by moves");
}

/// Guards against engines that are granted more than they hold: under the same load less than 10 of
/// 2,600 generations may be preempted, whether or not a move is the cause.
#[test]
fn fewer_than_ten_of_2600_generations_are_preempted_under_overload() {
    let (ended, _, preempted) = play(true);

    assert!(
        preempted * 2_600 < ended * 10,
        "{preempted} of {ended} preempted"
    );
}
