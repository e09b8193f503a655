//! Properties of a cell under arbitrary sequences of events.

use core::time::Duration;
use oriolemux_core::cell::*;
use oriolemux_core::event::LoadReport;
use oriolemux_core::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

const ENGINES: u32 = 3;
const KV_TOKENS: u64 = 20_000;

fn engine(n: u32) -> EndpointKey {
    EndpointKey::of(&format!("engine-{n}"))
}

fn id(seq: u64) -> RequestId {
    RequestId {
        instance: InstanceKey(1 + seq % 3),
        incarnation: Incarnation(7),
        seq,
    }
}

fn class(urgent: bool) -> ClassRules {
    match urgent {
        true => ClassRules::new(
            ClassKey::of("verdicts"),
            0,
            Duration::from_secs(1),
            Duration::from_secs(5),
        ),
        false => ClassRules::new(
            ClassKey::of("plans"),
            2,
            Duration::from_secs(20),
            Duration::from_secs(60),
        ),
    }
}

fn request(seq: u64, now: Time, urgent: bool, prompt_tokens: u32) -> CellRequest {
    CellRequest {
        id: id(seq),
        entry: EntryKey(u64::from(urgent)),
        workspace: WorkspaceKey(seq % 5),
        class: class(urgent),
        arrived: now,
        prompt_tokens,
        max_tokens: if urgent { 64 } else { 8_000 },
        prefix: vec![seq % 7],
        exclude: Vec::new(),
        replay_tokens: 0,
        needs: Requirement::ANY,
    }
}

fn load() -> LoadReport {
    LoadReport {
        kv_tokens_total: KV_TOKENS,
        max_running: 16,
        ..LoadReport::default()
    }
}

fn cell() -> Cell {
    let mut cell = Cell::new(CellConfig::default(), 1);
    for n in 0..ENGINES {
        let info = EndpointInfo::near(engine(n), EndpointKind::Model);
        cell.set_endpoint(Time::ZERO, info);
        cell.on_load_report(Time::ZERO, engine(n), &load());
    }
    cell
}

#[derive(Clone, Debug)]
enum Step {
    Submit {
        urgent: bool,
        prompt_tokens: u32,
    },
    Resubmit {
        pick: usize,
    },
    End {
        pick: usize,
        tokens: u32,
        fails: bool,
    },
    Progress {
        pick: usize,
        tokens: u32,
    },
    Withdraw {
        pick: usize,
    },
    ForgetHolder {
        holder: u64,
    },
    Report {
        engine: u32,
        used: u64,
        preemptions: u64,
        leaving: bool,
    },
    Remove {
        engine: u32,
    },
    Wait {
        millis: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        8 => (any::<bool>(), 1..30_000u32)
            .prop_map(|(urgent, prompt_tokens)| Step::Submit { urgent, prompt_tokens }),
        1 => any::<usize>().prop_map(|pick| Step::Resubmit { pick }),
        4 => (any::<usize>(), 0..8_000u32, any::<bool>())
            .prop_map(|(pick, tokens, fails)| Step::End { pick, tokens, fails }),
        2 => (any::<usize>(), 64..8_000u32)
            .prop_map(|(pick, tokens)| Step::Progress { pick, tokens }),
        1 => any::<usize>().prop_map(|pick| Step::Withdraw { pick }),
        1 => (1..4u64).prop_map(|holder| Step::ForgetHolder { holder }),
        3 => (0..ENGINES, 0..KV_TOKENS, 0..20u64, prop::bool::weighted(0.1)).prop_map(
            |(engine, used, preemptions, leaving)| Step::Report { engine, used, preemptions, leaving }
        ),
        1 => (0..ENGINES).prop_map(|engine| Step::Remove { engine }),
        6 => (0..8_000u64).prop_map(|millis| Step::Wait { millis }),
    ]
}

/// Drives a cell and tracks which requests wait or run, as the callers of a home would.
struct Driver {
    cell: Cell,
    now: Time,
    next: u64,
    waiting: BTreeSet<RequestId>,
    running: BTreeMap<RequestId, EndpointKey>,
    out: Vec<CellDecision>,
}

impl Driver {
    fn new() -> Driver {
        Driver {
            cell: cell(),
            now: Time::ZERO,
            next: 0,
            waiting: BTreeSet::new(),
            running: BTreeMap::new(),
            out: Vec::new(),
        }
    }

    fn submit(&mut self, seq: u64, urgent: bool, prompt_tokens: u32) {
        self.running.remove(&id(seq));
        self.waiting.insert(id(seq));
        let req = request(seq, self.now, urgent, prompt_tokens);
        self.cell.submit(self.now, req);
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Submit {
                urgent,
                prompt_tokens,
            } => {
                self.next += 1;
                self.submit(self.next, urgent, prompt_tokens);
            }
            Step::Resubmit { pick } if self.next > 0 => {
                self.submit(1 + pick as u64 % self.next, false, 100);
            }
            Step::Resubmit { .. } => {}
            Step::End {
                pick,
                tokens,
                fails,
            } => self.end(pick, tokens, fails),
            Step::Progress { pick, tokens } => {
                if let Some(id) = nth(self.running.keys(), pick) {
                    self.cell.on_progress(self.now, id, tokens);
                }
            }
            Step::Withdraw { pick } => {
                if let Some(id) = nth(self.waiting.iter(), pick) {
                    self.waiting.remove(&id);
                    self.cell.withdraw(self.now, id);
                }
            }
            Step::ForgetHolder { holder } => {
                let holder = InstanceKey(holder);
                self.cell
                    .withdraw_incarnation(self.now, holder, Incarnation(7));
                self.waiting.retain(|id| id.instance != holder);
                self.running.retain(|id, _| id.instance != holder);
            }
            Step::Report {
                engine: n,
                used,
                preemptions,
                leaving,
            } => {
                let report = LoadReport {
                    kv_tokens_used: used,
                    preemptions,
                    leaving,
                    ..load()
                };
                self.cell.on_load_report(self.now, engine(n), &report);
            }
            Step::Remove { engine: n } => {
                self.cell.remove_endpoint(self.now, engine(n));
                self.running.retain(|_, at| *at != engine(n));
                let info = EndpointInfo::near(engine(n), EndpointKind::Model);
                self.cell.set_endpoint(self.now, info);
            }
            Step::Wait { millis } => self.now += Duration::from_millis(millis),
        }
        self.poll();
    }

    fn end(&mut self, pick: usize, tokens: u32, fails: bool) {
        let Some(id) = nth(self.running.keys(), pick) else {
            return;
        };
        self.running.remove(&id);
        let end = match fails {
            true => EndKind::Failed(Reason::Stalled),
            false => EndKind::Complete {
                prompt_tokens: Some(tokens),
            },
        };
        self.cell.on_ended(self.now, id, tokens, end);
    }

    fn poll(&mut self) -> Time {
        let next = self.cell.poll(self.now, &mut self.out);
        for decision in self.out.drain(..) {
            let id = decision.id();
            assert!(self.waiting.remove(&id), "a second decision about {id}");
            if let CellDecision::Grant { endpoint, .. } = decision {
                self.running.insert(id, endpoint);
            }
        }
        assert!(
            next > self.now,
            "poll() returned a time that is not in the future"
        );
        next
    }

    /// Advances time and ends every running request until no request waits.
    fn drain(&mut self) {
        for _ in 0..2_000 {
            if self.waiting.is_empty() {
                return;
            }
            let next = self.poll();
            self.now = next.min(self.now + Duration::from_secs(1));
            while !self.running.is_empty() {
                self.end(0, 10, false);
            }
            self.poll();
        }
    }
}

fn nth<'a>(
    mut ids: impl ExactSizeIterator<Item = &'a RequestId>,
    pick: usize,
) -> Option<RequestId> {
    match ids.len() {
        0 => None,
        len => ids.nth(pick % len).copied(),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn every_request_is_decided_exactly_once(steps in prop::collection::vec(step(), 1..150)) {
        let mut driver = Driver::new();

        for step in &steps {
            driver.step(step);
            let snapshot = driver.cell.snapshot();
            prop_assert_eq!(snapshot.queued as usize, driver.waiting.len());
            prop_assert_eq!(snapshot.running as usize, driver.running.len());
        }
        driver.drain();

        prop_assert!(driver.waiting.is_empty(), "requests are never decided on");
        for id in driver.running.keys().copied().collect::<Vec<_>>() {
            driver.cell.withdraw(driver.now, id);
        }
        let left = driver.cell.snapshot();
        prop_assert_eq!(left.running, 0);
        for endpoint in left.endpoints {
            prop_assert_eq!(endpoint.counted, 0, "room is leaked");
        }
    }

    #[test]
    fn the_same_events_give_the_same_decisions(steps in prop::collection::vec(step(), 1..60)) {
        let run = || {
            let mut driver = Driver::new();
            let mut all = Vec::new();
            for step in &steps {
                driver.step(step);
                all.push((driver.waiting.clone(), driver.running.clone()));
            }
            all
        };

        prop_assert_eq!(run(), run());
    }
}

/// Token rate of each generation in the starvation tests, in tokens per second.
const RATE: f64 = 30.0;

/// Runs a cell with a single small engine in virtual time under a steady flow of requests of one
/// kind, and returns how long a lone request of another kind waits, or `None` if it is refused.
fn lone_wait(
    lone: CellRequest,
    background: impl Fn(u64, Time) -> CellRequest,
    background_tokens: u32,
) -> Option<Duration> {
    let mut cell = Cell::new(CellConfig::default(), 1);
    let info = EndpointInfo::near(engine(0), EndpointKind::Model);
    cell.set_endpoint(Time::ZERO, info);
    cell.on_load_report(Time::ZERO, engine(0), &load());
    let lone_id = lone.id;
    let lone_at = lone.arrived;
    let mut lone = Some(lone);
    let mut ends: BTreeMap<(Time, RequestId), ()> = BTreeMap::new();
    let mut out = Vec::new();
    let mut now = Time::ZERO;
    let mut seq = 0;
    while now < Time::from_secs(600) {
        now += Duration::from_millis(50);
        if now.as_millis().is_multiple_of(1_000) {
            cell.on_load_report(now, engine(0), &load());
        }
        for _ in 0..2 {
            seq += 1;
            cell.submit(now, background(seq, now));
        }
        if now >= lone_at
            && let Some(lone) = lone.take()
        {
            cell.submit(now, lone);
        }
        while let Some(((at, id), ())) = ends.first_key_value().map(|(k, ())| (*k, ()))
            && at <= now
        {
            ends.pop_first();
            cell.on_ended(
                now,
                id,
                background_tokens,
                EndKind::Complete {
                    prompt_tokens: None,
                },
            );
        }
        cell.poll(now, &mut out);
        for decision in out.drain(..) {
            match decision {
                CellDecision::Grant { id, .. } if id == lone_id => return Some(now.since(lone_at)),
                CellDecision::Refuse { id, .. } if id == lone_id => return None,
                CellDecision::Grant { id, .. } => {
                    let duration = Duration::from_secs_f64(f64::from(background_tokens) / RATE);
                    ends.insert((now + duration, id), ());
                }
                CellDecision::Refuse { .. } => {}
            }
        }
    }
    panic!("the lone request was never decided on");
}

/// Returns the upper bound of the wait that `docs/design/admission.md` guarantees: the wait target,
/// the time by which requests with an earlier deadline may be overdue, and the duration of the
/// generations that run when the room is held, with one second of slack.
fn bound(lone: &CellRequest, background: &ClassRules, background_tokens: u32) -> Duration {
    let overdue = background.longest_wait - background.wait_target;
    let duration = Duration::from_secs_f64(f64::from(background_tokens) / RATE);
    lone.class.wait_target + overdue + duration + Duration::from_secs(1)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    #[test]
    fn long_work_is_not_starved_by_endless_short_work(
        prompt_tokens in 1_000..12_000u32,
        background_prompt in 100..800u32,
        background_tokens in 5..60u32,
        start in 5..60u64,
    ) {
        let mut lone = request(1_000_000, Time::from_secs(start), false, prompt_tokens);
        lone.class.longest_wait = Duration::from_secs(500);
        let bound = bound(&lone, &class(true), background_tokens);

        let background = |seq, now| request(seq, now, true, background_prompt);
        let waited = lone_wait(lone, background, background_tokens);

        prop_assert!(waited.is_some_and(|w| w <= bound), "waited {waited:?}, bound {bound:?}");
    }

    #[test]
    fn short_urgent_work_is_not_starved_by_endless_long_work(
        prompt_tokens in 50..600u32,
        background_prompt in 200..4_000u32,
        background_tokens in 300..3_000u32,
        start in 5..60u64,
    ) {
        let mut lone = request(1_000_000, Time::from_secs(start), true, prompt_tokens);
        lone.class.longest_wait = Duration::from_secs(500);
        // It fits into the urgent reserve, so it does not wait for any long request.
        let bound = lone.class.wait_target;

        let background = |seq, now| request(seq, now, false, background_prompt);
        let waited = lone_wait(lone, background, background_tokens);

        prop_assert!(waited.is_some_and(|w| w <= bound), "waited {waited:?}, bound {bound:?}");
    }
}
