//! Model of one entry, two endpoints and the messages between them, advanced one choice at a time.

use core::time::Duration;
use oriolemux_core::delivery::{Delivery, EndMark, ResumeResponse, Step, StreamAction};
use oriolemux_core::event::{AttemptMode, AttemptUpdate, DeliveryMode, Dispatch, EndpointTarget};
use oriolemux_core::outcome::Refusal;
use oriolemux_core::retry::{AttemptFailure, RetryBudget, RetryDecision, decide};
use oriolemux_core::{
    AttemptId, EndpointKey, Incarnation, InstanceKey, Outcome, Ran, Reason, RequestId,
    RequestOutcome, Time, Verdict,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of tokens in every generation.
const TOKENS: u32 = 3;
const NOW: Time = Time::from_secs(100);
const SEND_BEFORE: Time = Time::from_secs(101);
const AFTER_PAUSE: Time = Time::from_secs(160);

/// A rule that is deliberately broken, to verify that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    None,
    RefusedResumeCountsAsProof,
    RepeatsUnprovenWork,
    SkipsReplayComparison,
    TrustsAnyId,
    ForgetsEarlierAttempts,
}

#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub idempotent: bool,
    pub delivery: DeliveryMode,
    /// Whether the second endpoint generates the same text as the first.
    pub same_text: bool,
    /// Maximum number of faults in one history; every pair of failures needs two.
    pub max_faults: u32,
    pub mutant: Mutant,
}

/// The next event. Those for which [`Choice::is_fault`] holds count against the maximum number of
/// faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Start,
    StartAfterPause,
    Connect,
    ConnectFails,
    Arrive,
    ArriveRefused,
    ArriveError,
    DisconnectLost,
    DisconnectLate,
    Stall,
    Next,
    Duplicate,
    Crossed,
    EarlierAttempt,
    Gap,
    Truncate,
    EndpointCrash,
    LateArrival(usize),
    StopNow,
    EntryCrash,
}

impl Choice {
    fn is_fault(self) -> bool {
        use Choice::*;
        !matches!(self, Start | Connect | Arrive | Next | LateArrival(_))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Exchange {
    Send,
    Resume { from: u32 },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Connecting,
    InFlight,
    Streaming { next: u32 },
}

#[derive(Clone, Copy, Debug)]
struct Conn {
    endpoint: usize,
    attempt: u32,
    exchange: Exchange,
    stage: Stage,
}

/// A generation that an endpoint ran; it is kept after a crash of the endpoint.
#[derive(Clone, Debug)]
struct Generation {
    endpoint: usize,
    attempt: u32,
    generated: u32,
    lost: bool,
}

#[derive(Debug)]
pub struct World {
    config: Config,
    faults: u32,
    delivery: Delivery,
    outcome: RequestOutcome,
    attempts: u32,
    pending: Option<AttemptMode>,
    conn: Option<Conn>,
    /// Sends in flight on connections that the entry abandoned.
    late_sends: Vec<(usize, u32)>,
    generations: Vec<Generation>,
    received: Vec<Vec<u8>>,
    verdict: Option<Verdict>,
    complete: bool,
    entry_gone: bool,
}

fn attempt_id(number: u32) -> AttemptId {
    let request = RequestId {
        instance: InstanceKey::of("arima-1"),
        incarnation: Incarnation(7),
        seq: 1,
    };
    AttemptId { request, number }
}

fn endpoint_of(attempt: u32) -> usize {
    (attempt as usize + 1) % 2
}

fn busy() -> Refusal {
    let body = br#"{"error":{"reason":"busy","outcome":"not_run"}}"#;
    Refusal::parse(503, None, body).expect("a definite refusal")
}

impl World {
    pub fn new(config: Config) -> Self {
        let mut world = World {
            config,
            faults: 0,
            delivery: Delivery::new(),
            outcome: RequestOutcome::new(),
            attempts: 0,
            pending: None,
            conn: None,
            late_sends: Vec::new(),
            generations: Vec::new(),
            received: Vec::new(),
            verdict: None,
            complete: false,
            entry_gone: false,
        };
        world.dispatch(AttemptMode::Fresh);
        world
    }

    /// The node dispatches an attempt; the stream task has not started it yet.
    fn dispatch(&mut self, mode: AttemptMode) {
        self.attempts += 1;
        if self.config.mutant == Mutant::ForgetsEarlierAttempts {
            self.outcome = RequestOutcome::new();
        }
        self.outcome.on_dispatch(attempt_id(self.attempts));
        self.pending = Some(mode);
    }

    fn treats_as_idempotent(&self) -> bool {
        self.config.idempotent || self.config.mutant == Mutant::RepeatsUnprovenWork
    }

    fn dispatch_order(&self, mode: AttemptMode) -> Dispatch {
        Dispatch {
            attempt: attempt_id(self.attempts),
            endpoint: EndpointTarget {
                key: EndpointKey(endpoint_of(self.attempts) as u64),
                name: String::new(),
                address: "127.0.0.1:1".parse().expect("an address"),
            },
            model: "tailor".into(),
            adapter: None,
            priority: 0,
            max_tokens: TOKENS,
            delivery: self.config.delivery,
            idempotent: self.treats_as_idempotent(),
            mode,
            send_before: SEND_BEFORE,
            stall_limit: Duration::from_secs(5),
        }
    }

    fn text(&self, endpoint: usize, index: u32) -> Vec<u8> {
        let differs = index == 1 && endpoint == 1 && !self.config.same_text;
        format!("t{index}{}", if differs { "'" } else { "" }).into_bytes()
    }

    pub fn choices(&self) -> Vec<Choice> {
        use Choice::*;
        let mut choices: Vec<_> = (0..self.late_sends.len()).map(LateArrival).collect();
        if !self.entry_gone && self.verdict.is_none() && !self.complete {
            choices.extend([StopNow, EntryCrash]);
            if self.pending.is_some() {
                choices.extend([Start, StartAfterPause]);
            }
            choices.extend_from_slice(match self.conn.map(|conn| conn.stage) {
                None => &[],
                Some(Stage::Connecting) => &[Connect, ConnectFails],
                Some(Stage::InFlight) => &[
                    Arrive,
                    ArriveRefused,
                    ArriveError,
                    DisconnectLost,
                    DisconnectLate,
                    Stall,
                    EndpointCrash,
                ],
                Some(Stage::Streaming { .. }) => &[
                    Next,
                    Duplicate,
                    Crossed,
                    EarlierAttempt,
                    Gap,
                    Truncate,
                    DisconnectLost,
                    Stall,
                    ArriveError,
                    EndpointCrash,
                ],
            });
        }
        choices.retain(|choice| self.faults < self.config.max_faults || !choice.is_fault());
        choices
    }

    pub fn apply(&mut self, choice: Choice) {
        self.faults += u32::from(choice.is_fault());
        match choice {
            Choice::Start => self.start(NOW),
            Choice::StartAfterPause => self.start(AFTER_PAUSE),
            Choice::LateArrival(at) => {
                let (endpoint, attempt) = self.late_sends.remove(at);
                self.run(endpoint, attempt);
            }
            Choice::StopNow => {
                self.delivery.cancel();
                let delivered = self.received.len() as u32;
                self.verdict = Some(self.outcome.finish(Reason::StoppedNow, None, delivered));
                self.abandon_conn();
                self.pending = None;
            }
            Choice::EntryCrash => {
                self.entry_gone = true;
                self.abandon_conn();
                self.pending = None;
            }
            _ => self.on_conn(choice),
        }
    }

    fn start(&mut self, now: Time) {
        let mode = self.pending.take().expect("a pending dispatch");
        let step = self.delivery.start(&self.dispatch_order(mode), now);
        if step.action == StreamAction::Send {
            self.conn = Some(Conn {
                endpoint: endpoint_of(self.attempts),
                attempt: self.attempts,
                exchange: Exchange::Send,
                stage: Stage::Connecting,
            });
        }
        self.carry_out(step, &[]);
    }

    fn on_conn(&mut self, choice: Choice) {
        let conn = self.conn.expect("a connection");
        match (choice, conn.stage) {
            (Choice::Connect, _) => self.set_stage(Stage::InFlight),
            (Choice::ConnectFails, _) => {
                let step = self.delivery.on_connect_failed();
                self.carry_out(step, &[]);
            }
            (Choice::Arrive, _) => self.arrive(conn),
            (Choice::ArriveRefused, _) => self.refuse(conn),
            (Choice::ArriveError, _) => {
                let step = self.delivery.on_endpoint_error();
                self.carry_out(step, &[]);
            }
            (Choice::DisconnectLost, _) => {
                let step = self.delivery.on_link_failure();
                self.carry_out(step, &[]);
            }
            (Choice::DisconnectLate, _) => {
                self.abandon_conn();
                let step = self.delivery.on_link_failure();
                self.carry_out(step, &[]);
            }
            (Choice::Stall, _) => {
                self.abandon_conn();
                let step = self.delivery.on_stall();
                self.carry_out(step, &[]);
            }
            (Choice::EndpointCrash, _) => {
                for generation in &mut self.generations {
                    generation.lost |= generation.endpoint == conn.endpoint;
                }
                let step = self.delivery.on_link_failure();
                self.carry_out(step, &[]);
            }
            (_, Stage::Streaming { next }) => self.stream(choice, conn, next),
            other => unreachable!("{other:?}"),
        }
    }

    fn set_stage(&mut self, stage: Stage) {
        self.conn.as_mut().expect("a connection").stage = stage;
    }

    /// Abandons the connection; a send that is still in flight may arrive later.
    fn abandon_conn(&mut self) {
        if let Some(conn) = self.conn.take()
            && conn.exchange == Exchange::Send
            && conn.stage == Stage::InFlight
        {
            self.late_sends.push((conn.endpoint, conn.attempt));
        }
    }

    fn run(&mut self, endpoint: usize, attempt: u32) {
        self.generations.push(Generation {
            endpoint,
            attempt,
            generated: 0,
            lost: false,
        });
    }

    fn arrive(&mut self, conn: Conn) {
        let held = |g: &Generation| g.attempt == conn.attempt && !g.lost;
        match conn.exchange {
            Exchange::Send => {
                self.run(conn.endpoint, conn.attempt);
                self.delivery.on_response_started();
                self.set_stage(Stage::Streaming { next: 0 });
            }
            Exchange::Resume { from } if self.generations.iter().any(held) => {
                let step = self.delivery.on_resume_response(ResumeResponse::Ok);
                self.set_stage(Stage::Streaming { next: from });
                self.carry_out(step, &[]);
            }
            Exchange::Resume { .. } => {
                let step = self.delivery.on_resume_response(ResumeResponse::Lost);
                self.carry_out(step, &[]);
            }
        }
    }

    fn refuse(&mut self, conn: Conn) {
        let broken = self.config.mutant == Mutant::RefusedResumeCountsAsProof;
        if broken && conn.exchange != Exchange::Send {
            self.delivery.cancel();
            self.conn = None;
            let proof = RequestOutcome::new().proof().expect("nothing dispatched");
            return self.failed(Reason::EndpointRefused, Ran::No(proof));
        }
        let step = self.delivery.on_refused(&busy());
        self.carry_out(step, &[]);
    }

    fn stream(&mut self, choice: Choice, conn: Conn, next: u32) {
        let id = attempt_id(conn.attempt).to_string();
        match choice {
            Choice::Next if next == TOKENS => {
                let mark = EndMark {
                    index: TOKENS,
                    completion_tokens: Some(TOKENS),
                    prompt_tokens: None,
                };
                let step = self.delivery.on_end(&id, mark);
                self.carry_out(step, &[]);
            }
            Choice::Next => {
                self.generated(conn.attempt, next + 1);
                self.set_stage(Stage::Streaming { next: next + 1 });
                self.token(&id, next, self.text(conn.endpoint, next));
            }
            Choice::Duplicate => {
                let index = next.saturating_sub(1);
                self.generated(conn.attempt, index + 1);
                self.token(&id, index, self.text(conn.endpoint, index));
            }
            Choice::Gap => {
                self.generated(conn.attempt, TOKENS);
                self.token(&id, next + 1, self.text(conn.endpoint, next + 1));
            }
            Choice::Crossed => self.foreign_token("r-1-2-3.1", &id, next, b"crossed".to_vec()),
            Choice::EarlierAttempt => {
                let earlier = conn.attempt.saturating_sub(1);
                let text = self.text(endpoint_of(earlier), next);
                self.foreign_token(&attempt_id(earlier).to_string(), &id, next, text);
            }
            Choice::Truncate => {
                let step = self.delivery.on_closed();
                self.carry_out(step, &[]);
            }
            other => unreachable!("{other:?}"),
        }
    }

    fn generated(&mut self, attempt: u32, tokens: u32) {
        let running = |g: &&mut Generation| g.attempt == attempt && !g.lost;
        if let Some(generation) = self.generations.iter_mut().find(running) {
            generation.generated = generation.generated.max(tokens.min(TOKENS));
        }
    }

    fn foreign_token(&mut self, id: &str, own: &str, index: u32, text: Vec<u8>) {
        let trusts = self.config.mutant == Mutant::TrustsAnyId;
        self.token(if trusts { own } else { id }, index, text);
    }

    fn token(&mut self, id: &str, index: u32, mut text: Vec<u8>) {
        if self.config.mutant == Mutant::SkipsReplayComparison
            && let Some(held) = self.received.get(index as usize)
        {
            text.clone_from(held);
        }
        let step = self.delivery.on_token(id, index, &text);
        self.carry_out(step, &text);
    }

    /// Performs a step as the shell does.
    fn carry_out(&mut self, step: Step, text: &[u8]) {
        match step.action {
            StreamAction::Deliver => self.received.push(text.to_vec()),
            StreamAction::Resume { after, .. } => {
                self.conn = Some(Conn {
                    endpoint: endpoint_of(self.attempts),
                    attempt: self.attempts,
                    exchange: Exchange::Resume {
                        from: after.map_or(0, |index| index + 1),
                    },
                    stage: Stage::Connecting,
                });
            }
            StreamAction::Close { .. } => self.conn = None,
            StreamAction::Complete => {
                self.received
                    .extend(self.delivery.held().map(<[u8]>::to_vec));
                self.delivery.on_held_delivered();
                self.conn = None;
                self.complete = true;
            }
            StreamAction::Idle
            | StreamAction::Send
            | StreamAction::Hold
            | StreamAction::Discard(_) => {}
        }
        if let Some(AttemptUpdate::Failed { reason, ran, .. }) = step.report {
            self.failed(reason, ran);
        }
    }

    /// Handles a failed attempt as the node does.
    fn failed(&mut self, reason: Reason, ran: Ran) {
        self.outcome.on_ended(attempt_id(self.attempts), ran);
        let failure = AttemptFailure {
            reason,
            outcome: &self.outcome,
            idempotent: self.treats_as_idempotent(),
            delivered: self.delivery.delivered(),
            attempts: self.attempts,
            remaining_wait: Duration::from_secs(60),
            retry_after: None,
        };
        let mut rng = SmallRng::seed_from_u64(1);
        match decide(&failure, &mut RetryBudget::new(), NOW, &mut rng) {
            RetryDecision::Retry { .. } => self.dispatch(AttemptMode::Fresh),
            RetryDecision::Replay { .. } => {
                let delivered = self.delivery.delivered();
                self.dispatch(AttemptMode::Replay { delivered });
            }
            RetryDecision::Finish(verdict) => self.verdict = Some(verdict),
        }
    }

    /// Returns the guarantee that this state violates, if any.
    pub fn violation(&self) -> Option<&'static str> {
        let ran = self.generations.len();
        let outcome = self.verdict.as_ref().map(Verdict::outcome);
        if outcome == Some(Outcome::NotRun) && ran > 0 {
            return Some("false not_run");
        }
        if !self.config.idempotent && ran > 1 {
            return Some("ran twice");
        }
        if !self.received.is_empty() && !self.generations.iter().any(|g| self.is_prefix_of(g)) {
            return Some("tokens not from one generation");
        }
        if self.complete && self.received.len() as u32 != TOKENS {
            return Some("complete without the full output");
        }
        let reported = self.verdict.as_ref().map_or(0, Verdict::delivered);
        if self.verdict.is_some() && reported as usize != self.received.len() {
            return Some("wrong number of delivered tokens reported");
        }
        let ended = self.entry_gone || self.complete || self.verdict.is_some();
        (self.choices().is_empty() && !ended).then_some("no answer")
    }

    fn is_prefix_of(&self, generation: &Generation) -> bool {
        self.received.len() as u32 <= generation.generated
            && (0..)
                .zip(&self.received)
                .all(|(index, text)| *text == self.text(generation.endpoint, index))
    }
}
