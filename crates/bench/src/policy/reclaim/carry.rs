//! The run: arrivals, steps of engines, reclaims, and what is done about them.

mod copies;

use super::Way;
use super::fleet::{ENGINES, Engines, LIMITS, RECLAIM_EVERY, Reclaims};
use super::measure::{Counts, ReclaimSummary};
use super::work::{Ask, GAP_TARGET, generate};
use crate::engine_model::{EngineEvent, Job};
use core::cmp::Reverse;
use core::time::Duration;
use oriolemux_core::gateway::Demand;
use oriolemux_core::gateway::choose::{PlacementContext, choose};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::lengths::{LengthEstimate, LengthTable, expected_kv_tokens};
use oriolemux_core::gateway::pace;
use oriolemux_core::gateway::relocation::{
    EngineView, Relocation, ResumeFrom, Step, silence_timeout,
};
use oriolemux_core::gateway::request::PaceDemand;
use oriolemux_core::gateway::usage::{PeerUsage, UsageTable};
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeSet, BinaryHeap};

/// Tokens that an engine puts into one event.
const EVENT_TOKENS: u32 = 4;

/// How often an engine brings a standing copy up to date.
const STANDING_EVERY: Duration = Duration::from_millis(300);

/// The answer of an engine that cannot copy comes after this time.
const CALL_TIME: Duration = Duration::from_millis(2);

/// The time of a token, by which the oracle tells when a generation will end.
const TOKEN_TIME: Duration = Duration::from_millis(10);

/// A name for the generation at the present engine; things of an earlier one are void.
type Epoch = u32;

/// Something that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Arrival(usize),
    Step(usize),
    Reclaim,
    Gone(usize),
    Start,
    /// A copy ahead ended; the tokens that it holds, if it was made.
    Copied(usize, Epoch, Option<u32>),
    /// A standing copy is brought up to date.
    Standing(usize, Epoch),
    /// A standing copy holds so many tokens.
    Stands(usize, Epoch, u32),
    Wake(usize, Epoch),
}

/// A copy of a generation's memory at another engine.
#[derive(Clone, Copy, Debug)]
struct Copy {
    engine: usize,
    /// Tokens that it holds; 0 before the first part came.
    tokens: u32,
    /// What it is counted with.
    counted: u32,
}

/// One generation.
struct Generation {
    ask: Ask,
    length: LengthEstimate,
    state: Relocation,
    epoch: Epoch,
    /// The engine, while it runs.
    at: Option<usize>,
    counted: u32,
    unread: u32,
    tokens: u32,
    standing: Option<Copy>,
    ahead: Option<Copy>,
    first: Option<Time>,
    last_event: Time,
    longest_pause: Duration,
    /// The next event ends the pause of a move.
    moving: bool,
}

pub(super) struct Carrier {
    way: Way,
    rng: StdRng,
    reclaims: Reclaims,
    end: Time,
    agenda: BinaryHeap<Reverse<(Time, Due)>>,
    engines: Engines,
    endpoints: EndpointTable,
    usage: UsageTable,
    /// One instance serves all, so that there are none.
    others: PeerUsage,
    lengths: LengthTable,
    generations: Vec<Generation>,
    asks: Vec<Ask>,
    waiting: BTreeSet<usize>,
    counts: Counts,
}

impl Carrier {
    pub(super) fn new(seed: u64, seconds: u32, way: Way) -> Self {
        let asks = generate(seed, seconds);
        let mut carrier = Carrier {
            way,
            rng: StdRng::seed_from_u64(seed ^ 1),
            reclaims: Reclaims::new(StdRng::seed_from_u64(seed ^ 2)),
            end: Time::from_secs(seconds.into()),
            agenda: BinaryHeap::new(),
            engines: Engines::new(),
            endpoints: EndpointTable::default(),
            usage: UsageTable::default(),
            others: PeerUsage::default(),
            lengths: LengthTable::default(),
            generations: Vec::new(),
            asks,
            waiting: BTreeSet::new(),
            counts: Counts::default(),
        };
        for _ in 0..ENGINES {
            carrier.start_engine(Time::ZERO);
        }
        for index in 0..carrier.asks.len() {
            carrier.due(carrier.asks[index].at, Due::Arrival(index));
        }
        carrier.due(Time::ZERO + RECLAIM_EVERY, Due::Reclaim);
        carrier
    }

    pub(super) fn run(mut self) -> ReclaimSummary {
        while let Some(Reverse((now, due))) = self.agenda.pop() {
            self.handle(now, due);
            self.place_waiting(now);
        }
        self.counts.finish(self.engines.moved_bytes)
    }

    fn due(&mut self, at: Time, due: Due) {
        self.agenda.push(Reverse((at, due)));
    }

    fn handle(&mut self, now: Time, due: Due) {
        match due {
            Due::Arrival(index) => self.arrive(now, index),
            Due::Step(engine) => self.step(now, engine),
            Due::Reclaim => self.reclaim(now),
            Due::Gone(engine) => self.gone(now, engine),
            Due::Start => self.start_engine(now),
            Due::Copied(id, epoch, tokens) if self.is_current(id, epoch) => {
                self.copied(now, id, tokens);
            }
            Due::Standing(id, epoch) if self.is_current(id, epoch) => self.refresh(now, id),
            Due::Stands(id, epoch, tokens) if self.is_current(id, epoch) => {
                self.stands(now, id, tokens);
            }
            Due::Wake(id, epoch) if self.is_current(id, epoch) => self.advance(now, id),
            _ => {}
        }
    }

    fn is_current(&self, id: usize, epoch: Epoch) -> bool {
        self.generations[id].epoch == epoch && self.generations[id].at.is_some()
    }

    fn start_engine(&mut self, now: Time) {
        let index = self.engines.start();
        self.endpoints
            .apply_record(now, self.engines.all[index].record.clone());
    }

    fn arrive(&mut self, now: Time, index: usize) {
        let ask = self.asks[index];
        let hint = Some(ask.hint);
        let length = self.lengths.estimate(ask.kind.entry, ask.kind.cap, hint);
        self.counts.summary.asked += 1;
        self.counts.summary.long += u64::from(ask.kind.is_long);
        self.waiting.insert(self.generations.len());
        self.generations.push(Generation {
            ask,
            length,
            state: Relocation::new(silence_timeout(ask.kind.target, GAP_TARGET)),
            epoch: 0,
            at: None,
            counted: 0,
            unread: 0,
            tokens: 0,
            standing: None,
            ahead: None,
            first: None,
            last_event: now,
            longest_pause: Duration::ZERO,
            moving: false,
        });
    }

    fn memory(&self, id: usize) -> u32 {
        let one = &self.generations[id];
        match self.way {
            Way::Oracle => one.ask.prompt + one.ask.output,
            _ => expected_kv_tokens(one.ask.prompt, one.length, one.state.tokens()),
        }
    }

    fn place_waiting(&mut self, now: Time) {
        for id in self.waiting.clone() {
            let ask = self.generations[id].ask;
            if let Some(engine) = self.place_for(now, id) {
                self.waiting.remove(&id);
                self.send(now, id, engine, ask.prompt, 0);
            } else if now >= ask.at + ask.kind.target {
                self.waiting.remove(&id);
                self.counts.summary.refused += 1;
            }
        }
    }

    /// Returns the engines that the oracle knows to go before `output` tokens are made.
    fn going_soon(&self, now: Time, output: u32) -> Vec<EndpointKey> {
        let ends = now + TOKEN_TIME * output;
        let engines = self.engines.all.iter().filter(|engine| !engine.is_gone);
        match self.way {
            Way::Oracle => engines
                .filter(|engine| engine.gone_at < ends)
                .map(|engine| engine.key)
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Returns an engine for a generation; one that goes soon only if there is no other.
    fn place_for(&mut self, now: Time, id: usize) -> Option<usize> {
        let tokens = self.memory(id);
        let soon = self.going_soon(now, self.generations[id].ask.output);
        let key = self
            .chosen(now, tokens, &soon)
            .or_else(|| self.chosen(now, tokens, &[]))?;
        self.engines.index_of(key)
    }

    fn chosen(&mut self, now: Time, tokens: u32, exclude: &[EndpointKey]) -> Option<EndpointKey> {
        let (world, rng) = self.world(now);
        let demand = demand(tokens, exclude);
        choose(world, &demand, || rng.random()).ok()
    }

    fn world(&mut self, now: Time) -> (PlacementContext<'_>, &mut StdRng) {
        let world = PlacementContext {
            now,
            endpoints: &self.endpoints,
            usage: &self.usage,
            others: &self.others,
            data_centre: "north",
            pace: &pace::UNKNOWN,
        };
        (world, &mut self.rng)
    }

    /// Lets a generation go on at an engine that has `present` tokens of its memory.
    fn move_to(&mut self, now: Time, id: usize, engine: usize, present: u32) {
        let one = &mut self.generations[id];
        one.state.on_relocated(now);
        one.moving = true;
        self.counts.summary.relocated += 1;
        self.send(now, id, engine, 0, present);
    }

    /// Sends a generation to an engine that has `present` tokens of its memory.
    fn send(&mut self, now: Time, id: usize, engine: usize, unread: u32, present: u32) {
        let tokens = self.memory(id);
        let one = &mut self.generations[id];
        one.epoch += 1;
        one.at = Some(engine);
        one.counted = tokens;
        one.unread = unread;
        let made = one.state.tokens().min(one.ask.output - 1);
        one.tokens = made;
        let job = Job {
            id: id as u64,
            prompt_tokens: one.ask.prompt,
            output_tokens: one.ask.output,
            made,
            present: present.min(one.ask.prompt + made),
            // What goes on is admitted first.
            priority: u8::from(present == 0),
            ..Job::default()
        };
        if present > 0 {
            let missing = job.prompt_tokens + made - job.present;
            self.counts.summary.tokens_read_anew += u64::from(missing);
        }
        let at = &mut self.engines.all[engine];
        at.model.let_go(id as u64);
        at.model
            .submit(now, job)
            .expect("a prompt fits into an engine");
        self.usage.begin(at.key, tokens, unread);
        self.choose_standing(now, id);
        self.wake_engine(now, engine);
    }

    fn wake_engine(&mut self, now: Time, engine: usize) {
        let at = &mut self.engines.all[engine];
        if !at.stepping && !at.is_gone {
            at.stepping = true;
            self.due(now, Due::Step(engine));
        }
    }

    fn step(&mut self, now: Time, engine: usize) {
        let at = &mut self.engines.all[engine];
        if at.is_gone {
            return;
        }
        let mut events = Vec::new();
        let next = at.model.step(now, &mut events);
        at.stepping = next.is_some();
        if let Some(next) = next {
            self.due(next, Due::Step(engine));
        }
        for event in events {
            match event {
                EngineEvent::Token { id, index, .. } => self.token(now, id as usize, index + 1),
                EngineEvent::Finished { id, .. } => self.finish(now, id as usize),
                EngineEvent::Preempted { .. } => self.counts.summary.preemptions += 1,
                _ => {}
            }
        }
    }

    fn token(&mut self, now: Time, id: usize, made: u32) {
        let one = &mut self.generations[id];
        one.tokens = made;
        let whole = made.is_multiple_of(EVENT_TOKENS) || made == one.ask.output;
        if !whole {
            return;
        }
        let begins = !one.state.has_event_here();
        let number = u64::from(made.div_ceil(EVENT_TOKENS));
        one.state.on_bytes(now);
        one.state.on_event(now, Some(number));
        if one.first.is_none() {
            one.first = Some(now);
        } else {
            let pause = now.since(one.last_event);
            one.longest_pause = one.longest_pause.max(pause);
            if core::mem::take(&mut one.moving) {
                self.counts.pauses.push(pause);
            }
        }
        one.last_event = now;
        let (Some(at), epoch) = (one.at, one.epoch) else {
            return;
        };
        if begins {
            let unread = core::mem::take(&mut one.unread);
            self.usage.on_first_byte(self.engines.all[at].key, unread);
            self.due(now, Due::Standing(id, epoch));
        }
        self.advance(now, id);
    }

    /// Lets the product decide, and does what it says.
    fn advance(&mut self, now: Time, id: usize) {
        while matches!(self.way, Way::NoticeOnly | Way::Ours) {
            let Some(at) = self.generations[id].at else {
                return;
            };
            let one = &self.generations[id];
            let takes_work = |copy: Option<Copy>| {
                let key = copy.map(|copy| self.engines.all[copy.engine].key);
                key.is_some_and(|key| self.endpoints.is_usable(key))
            };
            let leaves = self.endpoints.get(self.engines.all[at].key);
            let leaves = leaves.and_then(|endpoint| endpoint.leaving_since());
            let target = one.ahead.or(one.standing);
            let quiet = target.is_some_and(|copy| {
                let key = self.engines.all[copy.engine].key;
                self.usage.own(key).pending_prefill == 0
            });
            let view = EngineView {
                leaving_for: leaves.map(|since| now.since(since)),
                standby_is_usable: takes_work(one.standing),
                target_is_quiet: quiet,
                may_recompute: false,
                is_budget_spent: false,
                remaining: None,
            };
            match one.state.next(now, &view) {
                Step::PreCopy => self.copy_ahead(now, id, at),
                Step::Relocate | Step::FailOver => {
                    let from = one.state.resume_from(now, view.standby_is_usable);
                    self.go_on(now, id, from);
                }
                // Nothing here may be read anew, see the view.
                Step::Recompute => return,
                Step::Wait(until) => {
                    if until < Time::NEVER {
                        self.due(until, Due::Wake(id, one.epoch));
                    }
                    return;
                }
            }
        }
    }

    fn leave_engine(&mut self, now: Time, id: usize) {
        let one = &mut self.generations[id];
        if let Some(at) = one.at.take() {
            let engine = &mut self.engines.all[at];
            engine.model.cancel(now, id as u64);
            self.usage.end(engine.key, one.counted, one.unread);
            one.unread = 0;
        }
    }

    fn reclaim(&mut self, now: Time) {
        if now > self.end && self.is_idle() {
            return;
        }
        let there: Vec<usize> = (0..self.engines.all.len())
            .filter(|&index| self.engines.all[index].gone_at == Time::NEVER)
            .collect();
        for reclaim in self.reclaims.draw(&there) {
            let gone_at = now + reclaim.notice;
            self.engines.all[reclaim.engine].gone_at = gone_at;
            self.due(gone_at, Due::Gone(reclaim.engine));
            self.due(now + RECLAIM_EVERY, Due::Start);
            if reclaim.is_told {
                self.told_to_leave(now, reclaim.engine);
            }
        }
        self.due(now + RECLAIM_EVERY, Due::Reclaim);
    }

    fn told_to_leave(&mut self, now: Time, engine: usize) {
        let key = self.engines.all[engine].key;
        self.endpoints.mark_leaving(now, key);
        for id in self.at_engine(engine) {
            self.advance(now, id);
        }
    }

    fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.generations.iter().all(|one| one.at.is_none())
    }

    fn at_engine(&self, engine: usize) -> Vec<usize> {
        let all = self.generations.iter().enumerate();
        all.filter(|(_, one)| one.at == Some(engine))
            .map(|(id, _)| id)
            .collect()
    }

    fn gone(&mut self, now: Time, engine: usize) {
        let runs = self.at_engine(engine);
        self.engines.all[engine].is_gone = true;
        self.endpoints
            .mark_leaving(now, self.engines.all[engine].key);
        for id in 0..self.generations.len() {
            let on_it = |copy: &Copy| copy.engine == engine;
            let one = &mut self.generations[id];
            let lost = [
                one.standing.take_if(|it| on_it(it)),
                one.ahead.take_if(|it| on_it(it)),
            ];
            for copy in lost {
                self.drop_copy(id, copy);
            }
        }
        for id in runs {
            self.engine_gone(now, id);
        }
    }

    fn engine_gone(&mut self, now: Time, id: usize) {
        if self.way == Way::Oracle {
            self.leave_engine(now, id);
            match self.place_for(now, id) {
                Some(engine) => {
                    let present = self.generations[id].ask.prompt + self.generations[id].tokens;
                    self.move_to(now, id, engine, present);
                }
                None => self.counts.summary.relocation_lost += 1,
            }
            return;
        }
        let one = &self.generations[id];
        let from = match (one.ahead, one.standing) {
            (Some(copy), _) if copy.tokens > 0 => Some(ResumeFrom::PreCopy),
            (_, Some(_)) => Some(ResumeFrom::Standby),
            _ => None,
        };
        self.go_on(now, id, from);
    }

    fn finish(&mut self, now: Time, id: usize) {
        self.leave_engine(now, id);
        let one = &mut self.generations[id];
        let copies = [one.standing.take(), one.ahead.take()];
        let ask = one.ask;
        let first = one.first.unwrap_or(now);
        let in_aim = first.since(ask.at) <= ask.kind.target && one.longest_pause <= GAP_TARGET;
        self.counts.complete += 1;
        self.counts.summary.late += u64::from(!in_aim);
        self.counts.long_in_aim += u64::from(in_aim && ask.kind.is_long);
        self.lengths.record(ask.kind.entry, ask.output);
        for copy in copies {
            self.drop_copy(id, copy);
        }
    }
}

fn demand(tokens: u32, exclude: &[EndpointKey]) -> Demand<'_> {
    Demand {
        service: "model",
        engine: Some(LIMITS),
        tokens,
        exclude,
        pace: PaceDemand::default(),
    }
}
