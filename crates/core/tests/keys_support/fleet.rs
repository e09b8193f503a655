//! Simulated processes that exchange claims over links that can be blocked.

use core::time::Duration;
use oriolemux_core::event::PeerId;
use oriolemux_core::keys::{
    Claim, ClaimId, HolderState, KeyHash, Keys, KeysAction, KeysConfig, KeysMessage,
};
use oriolemux_core::{
    Incarnation, InstanceKey, Outcome, Reason, RequestId, Time, Verdict, WorkspaceKey,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How a claim was answered.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Granted { valid_until: Time },
    Refused(Verdict),
}

impl Answer {
    pub fn is_granted(&self) -> bool {
        matches!(self, Answer::Granted { .. })
    }

    /// Returns the reason and the outcome of a refusal.
    pub fn refusal(&self) -> (Reason, Outcome) {
        match self {
            Answer::Granted { .. } => panic!("granted"),
            Answer::Refused(verdict) => (verdict.reason(), verdict.outcome()),
        }
    }
}

struct Process {
    id: PeerId,
    keys: Keys,
    /// When the platform last confirmed this process's list.
    confirmed: Time,
    requests: u64,
}

pub struct Fleet {
    pub cfg: KeysConfig,
    pub now: Time,
    processes: Vec<Process>,
    wire: VecDeque<(PeerId, InstanceKey, KeysMessage)>,
    /// Directed links, as pairs of sender and receiver, whose messages are lost.
    blocked: BTreeSet<(usize, usize)>,
    answers: BTreeMap<RequestId, Answer>,
    /// Whether the platform confirms the lists of all processes.
    pub platform_up: bool,
    incarnations: u64,
}

pub fn workspace() -> WorkspaceKey {
    WorkspaceKey::of("counter")
}

pub fn key(text: &str) -> ClaimId {
    ClaimId::Key(KeyHash::of(workspace(), text))
}

impl Fleet {
    /// Returns a fleet of `size` processes whose settle time has passed.
    pub fn settled(size: usize) -> Self {
        let mut fleet = Fleet {
            cfg: KeysConfig::default(),
            now: Time::from_secs(1_000),
            processes: Vec::new(),
            wire: VecDeque::new(),
            blocked: BTreeSet::new(),
            answers: BTreeMap::new(),
            platform_up: true,
            incarnations: 0,
        };
        for n in 0..size {
            let process = fleet.process(n);
            fleet.processes.push(process);
        }
        let all: Vec<_> = (0..size).collect();
        for n in 0..size {
            fleet.set_list(n, 1, &all);
        }
        fleet.pass(fleet.cfg.settle);
        fleet
    }

    fn process(&mut self, n: usize) -> Process {
        self.incarnations += 1;
        let id = PeerId {
            instance: instance(n),
            incarnation: Incarnation(self.incarnations),
        };
        Process {
            id,
            keys: Keys::new(id, self.cfg),
            confirmed: self.now,
            requests: 0,
        }
    }

    pub fn id(&self, n: usize) -> PeerId {
        self.processes[n].id
    }

    /// Returns the process that is the home of the key `text` by the list of process 0.
    pub fn home_of(&self, text: &str) -> usize {
        let ClaimId::Key(hash) = key(text) else {
            unreachable!("a key");
        };
        let home = self.processes[0].keys.homes().home_of(hash.rank_key());
        (0..self.processes.len())
            .find(|&n| Some(instance(n)) == home)
            .expect("a home")
    }

    /// Returns a key whose home is process `n`.
    pub fn key_at(&self, n: usize) -> String {
        (0..)
            .map(|i| format!("order-{i}"))
            .find(|text| self.home_of(text) == n)
            .expect("a key")
    }

    pub fn set_list(&mut self, n: usize, revision: u64, live: &[usize]) {
        let now = self.now;
        let live = live.iter().map(|&n| instance(n));
        let mut out = Vec::new();
        self.processes[n]
            .keys
            .set_list(now, revision, live, &mut out);
        self.carry_out(n, out);
    }

    /// Sets the same list at every process.
    pub fn publish(&mut self, revision: u64, live: &[usize]) {
        for n in 0..self.processes.len() {
            self.set_list(n, revision, live);
        }
    }

    /// Replaces a process by a new incarnation with the same name and address.
    pub fn restart(&mut self, n: usize, revision: u64, live: &[usize]) {
        let old = self.id(n);
        self.processes[n] = self.process(n);
        self.set_list(n, revision, live);
        for other in (0..self.processes.len()).filter(|&other| other != n) {
            self.incarnation_ended(other, old);
        }
    }

    /// Tells process `n` that the incarnation `old` has ended.
    pub fn incarnation_ended(&mut self, n: usize, old: PeerId) {
        let now = self.now;
        let mut out = Vec::new();
        let keys = &mut self.processes[n].keys;
        keys.incarnation_ended(now, old.instance, old.incarnation, &mut out);
        self.carry_out(n, out);
    }

    pub fn block(&mut self, from: usize, to: usize) {
        self.blocked.insert((from, to));
    }

    pub fn partition(&mut self, a: usize, b: usize) {
        self.block(a, b);
        self.block(b, a);
    }

    pub fn heal(&mut self) {
        self.blocked.clear();
    }

    fn next_request_id(&mut self, n: usize) -> RequestId {
        let process = &mut self.processes[n];
        process.requests += 1;
        RequestId {
            instance: process.id.instance,
            incarnation: process.id.incarnation,
            seq: process.requests,
        }
    }

    pub fn issue(&mut self, n: usize) -> ClaimId {
        let ticket = self.next_request_id(n);
        let now = self.now;
        let keys = &mut self.processes[n].keys;
        keys.issue_ticket(now, ticket, workspace()).expect("room");
        ClaimId::Ticket(ticket)
    }

    fn list_age(&self, n: usize) -> Option<Duration> {
        Some(self.now.since(self.processes[n].confirmed))
    }

    /// Submits a request with the name `id` at process `n`.
    pub fn request_with_body(&mut self, n: usize, id: ClaimId, body_hash: u64) -> RequestId {
        let claimant = self.next_request_id(n);
        let claim = Claim {
            id,
            claimant,
            workspace: workspace(),
            body_hash,
            list_revision: 0,
        };
        let issuer_incarnation = match id {
            ClaimId::Ticket(ticket) => self.known_incarnation(ticket.instance),
            ClaimId::Key(_) => None,
        };
        let (now, age) = (self.now, self.list_age(n));
        let mut out = Vec::new();
        let keys = &mut self.processes[n].keys;
        keys.request_claim(now, age, claim, issuer_incarnation, &mut out);
        self.carry_out(n, out);
        self.deliver();
        claimant
    }

    pub fn request(&mut self, n: usize, id: ClaimId) -> RequestId {
        self.request_with_body(n, id, 1)
    }

    /// Submits a request and waits for the answer to its claim.
    pub fn answer(&mut self, n: usize, id: ClaimId) -> Answer {
        let request = self.request(n, id);
        self.pass(self.cfg.ask_limit);
        self.answer_of(request).expect("an answer")
    }

    pub fn answer_of(&self, request: RequestId) -> Option<Answer> {
        self.answers.get(&request).cloned()
    }

    fn known_incarnation(&self, of: InstanceKey) -> Option<Incarnation> {
        let ids = self.processes.iter().map(|process| process.id);
        let id = ids.into_iter().find(|id| id.instance == of)?;
        Some(id.incarnation)
    }

    /// Ends the request at process `n`.
    pub fn end(&mut self, n: usize, request: RequestId, state: HolderState) {
        let now = self.now;
        let mut out = Vec::new();
        self.processes[n]
            .keys
            .on_request_ended(now, request, state, &mut out);
        self.carry_out(n, out);
        self.deliver();
    }

    /// Delivers a message to process `n` as if `from` had sent it.
    pub fn inject(&mut self, n: usize, from: PeerId, message: KeysMessage) {
        let (now, age) = (self.now, self.list_age(n));
        let mut out = Vec::new();
        let keys = &mut self.processes[n].keys;
        keys.on_message(now, age, from, message, &mut out);
        self.carry_out(n, out);
        self.deliver();
    }

    /// Advances time and runs every timer and message that is due.
    pub fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let wakes = self.processes.iter().map(|it| it.keys.next_wake());
            let next = wakes.min().unwrap_or(Time::NEVER).min(end);
            self.now = self.now.max(next);
            self.tick_all();
        }
    }

    /// Advances time in one step without running timers, as a paused process observes it.
    pub fn jump(&mut self, time: Duration) {
        self.now += time;
    }

    fn tick_all(&mut self) {
        for n in 0..self.processes.len() {
            if self.platform_up {
                self.processes[n].confirmed = self.now;
            }
            let (now, age) = (self.now, self.list_age(n));
            let mut out = Vec::new();
            self.processes[n].keys.tick(now, age, &mut out);
            self.carry_out(n, out);
        }
        self.deliver();
    }

    fn carry_out(&mut self, n: usize, actions: Vec<KeysAction>) {
        for action in actions {
            match action {
                KeysAction::Send { to, message } => {
                    self.wire.push_back((self.id(n), to, message));
                }
                KeysAction::Granted {
                    request,
                    valid_until,
                } => {
                    let answer = Answer::Granted { valid_until };
                    assert_eq!(self.answers.insert(request, answer), None);
                }
                KeysAction::Refused { request, verdict } => {
                    let answer = Answer::Refused(verdict);
                    assert_eq!(self.answers.insert(request, answer), None);
                }
                KeysAction::ReadList => {}
            }
        }
    }

    /// Delivers the messages in flight; those of ended incarnations are dropped.
    pub fn deliver(&mut self) {
        while let Some((from, to, message)) = self.wire.pop_front() {
            let find = |key| self.processes.iter().position(|it| it.id.instance == key);
            let (Some(sender), Some(receiver)) = (find(from.instance), find(to)) else {
                continue;
            };
            let lost = self.blocked.contains(&(sender, receiver));
            if lost || self.id(sender) != from {
                continue;
            }
            let (now, age) = (self.now, self.list_age(receiver));
            let mut out = Vec::new();
            let keys = &mut self.processes[receiver].keys;
            keys.on_message(now, age, from, message, &mut out);
            self.carry_out(receiver, out);
        }
    }

    pub fn counts(&self, n: usize) -> (usize, usize) {
        self.processes[n].keys.counts()
    }
}

fn instance(n: usize) -> InstanceKey {
    InstanceKey::of(&format!("arima-{n}"))
}
