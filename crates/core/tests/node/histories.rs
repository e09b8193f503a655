//! Random histories of complete nodes: nothing runs twice, no "not run" is false, and every request
//! ends exactly once.

mod steps;

use crate::world::{Done, Name, World};
use oriolemux_core::event::{AttemptUpdate, Event};
use oriolemux_core::keys::KeysConfig;
use oriolemux_core::{
    AttemptId, Incarnation, Outcome, Ran, Reason, RequestId, RequestOutcome, Time,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::Duration;
use steps::{How, Step, steps};

/// Number of nodes.
const NODES: usize = 4;
const ENGINES: usize = 3;
const KEYS: [&str; 3] = ["order-1", "order-2", "order-3"];
/// Interval at which the results are checked.
const TICK: Duration = Duration::from_millis(250);
/// Maximum duration of a partition or pause (K2 of docs/design/at-most-once.md).
const LONGEST_FAULT: Duration = Duration::from_secs(6);
/// Peers close a link after this much silence.
const SILENCE: Duration = Duration::from_secs(4);
/// Longer than any request waits, is validated or is withdrawn.
const AFTERMATH: Duration = Duration::from_secs(90);

/// Timeouts of claims at a tenth of the defaults, so that a history includes their expiry.
fn keys() -> KeysConfig {
    KeysConfig {
        memory: Duration::from_secs(12),
        settle: Duration::from_secs(12),
        valid: Duration::from_secs(6),
        list_fresh: Duration::from_secs(3),
        ..KeysConfig::default()
    }
}

/// The name that binds orders of which at most one may run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Bound {
    Key(usize),
    Ticket(RequestId),
}

/// A request, as its caller sees it.
#[derive(Debug)]
struct Sent {
    node: usize,
    name: Option<Bound>,
    non_idempotent: bool,
    over: bool,
}

/// A dispatched attempt, as its endpoint sees it.
#[derive(Debug)]
struct Sending {
    attempt: AttemptId,
    /// Whether the endpoint refused it, so that it provably did not run.
    refused: bool,
    /// When it ended, or the process that dispatched it did.
    ended: Option<Time>,
}

struct History {
    world: World,
    sent: BTreeMap<RequestId, Sent>,
    sendings: Vec<Sending>,
    tickets: [Option<RequestId>; 2],
    /// Number of dispatches and verdicts that were checked.
    seen: usize,
    incarnations: u64,
    list: u64,
    fault_since: Option<Time>,
    faults: Vec<String>,
}

impl History {
    fn new() -> Self {
        let mut world = World::with_keys(NODES, ENGINES, keys());
        world.run_for(Duration::from_secs(5));
        History {
            world,
            sent: BTreeMap::new(),
            sendings: Vec::new(),
            tickets: [None; 2],
            seen: 0,
            incarnations: 100,
            list: 1,
            fault_since: None,
            faults: Vec::new(),
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Plan(n) => self.send(n, "plan", None),
            Step::Order(n, name) => self.order(n, name),
            Step::Answer(pick, how) => self.answer(pick, how),
            Step::Leave(pick) => self.leave(pick),
            Step::Kill(n) => self.kill(n),
            Step::Restart(n) => self.restart(n),
            Step::Stop(n) => self.world.feed(self.world.key(n), Event::Stop),
            Step::Partition(a, b) if a == b => {}
            Step::Partition(a, b) => {
                self.start_fault();
                self.world.partition(a, b);
            }
            Step::Isolate(n) => {
                self.start_fault();
                self.world.isolate(n);
            }
            Step::Heal => self.heal(),
            Step::Pause(n) => {
                if self.is_up(n) {
                    self.start_fault();
                    self.world.pause(n);
                }
            }
            Step::Platform(down) => self.world.platform_down = down,
            Step::Relist(n) => self.relist(n),
            Step::PassMillis(millis) => self.pass(Duration::from_millis(millis)),
        }
        self.observe();
    }

    fn start_fault(&mut self) {
        self.fault_since.get_or_insert(self.world.now);
    }

    fn is_up(&self, n: usize) -> bool {
        let seat = self.world.seat(n);
        !seat.dead && !seat.paused
    }

    fn order(&mut self, n: usize, name: Option<usize>) {
        let bound = match name {
            None => None,
            Some(key) if key < KEYS.len() => Some(Bound::Key(key)),
            Some(ticket) => {
                let ticket = ticket - KEYS.len();
                if self.tickets[ticket].is_none() && self.is_up(n) {
                    self.tickets[ticket] = self.world.try_ticket(n);
                }
                let Some(ticket) = self.tickets[ticket] else {
                    return;
                };
                Some(Bound::Ticket(ticket))
            }
        };
        self.send(n, "order", bound);
    }

    fn send(&mut self, n: usize, entry: &str, name: Option<Bound>) {
        if !self.is_up(n) {
            return;
        }
        let world_name = match name {
            None => Name::None,
            Some(Bound::Key(key)) => Name::Key(KEYS[key]),
            Some(Bound::Ticket(ticket)) => Name::Ticket(ticket),
        };
        let id = self.world.send(n, entry, world_name);
        let sent = Sent {
            node: n,
            name,
            non_idempotent: entry == "order",
            over: false,
        };
        self.sent.insert(id, sent);
    }

    /// Running attempts of nodes that are up.
    fn open(&self) -> Vec<usize> {
        let open = |it: &Sending| {
            let request = &self.sent[&it.attempt.request];
            it.ended.is_none() && self.is_up(request.node)
        };
        let all = self.sendings.iter().enumerate();
        all.filter(|(_, it)| open(it)).map(|(i, _)| i).collect()
    }

    fn answer(&mut self, pick: usize, how: How) {
        let open = self.open();
        if let Some(&i) = open.get(pick % open.len().max(1)) {
            self.answer_sending(i, how);
        }
    }

    fn answer_sending(&mut self, i: usize, how: How) {
        let now = self.world.now;
        let sending = &mut self.sendings[i];
        let attempt = sending.attempt;
        if !matches!(how, How::Progress) {
            sending.ended = Some(now);
        }
        sending.refused = matches!(how, How::Refused);
        let failed = |reason, ran, delivered| AttemptUpdate::Failed {
            reason,
            ran,
            delivered,
            retry_after: None,
        };
        let update = match how {
            How::Complete => {
                self.end(attempt.request);
                return self.world.complete(attempt);
            }
            How::Lost => failed(Reason::ConnectionLost, Ran::Maybe, 0),
            How::LostAfterTokens => failed(Reason::Stalled, Ran::Maybe, 7),
            How::Refused => failed(Reason::EndpointRefused, not_run(), 0),
            How::Progress => AttemptUpdate::Progress { tokens: 64 },
        };
        self.world.update(attempt, update);
    }

    fn end(&mut self, id: RequestId) {
        let sent = self.sent.get_mut(&id).expect("sent");
        if sent.over {
            self.faults.push(format!("{id} ended twice"));
        }
        sent.over = true;
    }

    fn leave(&mut self, pick: usize) {
        let waiting = self.sent.iter();
        let waiting = waiting.filter(|(_, it)| !it.over && self.is_up(it.node));
        let waiting: Vec<RequestId> = waiting.map(|(&id, _)| id).collect();
        let Some(&id) = waiting.get(pick % waiting.len().max(1)) else {
            return;
        };
        self.end_sendings(|it| it.attempt.request == id);
        self.end(id);
        self.world.feed(id.instance, Event::CallerGone(id));
    }

    fn end_sendings(&mut self, which: impl Fn(&Sending) -> bool) {
        let now = self.world.now;
        let open = self.sendings.iter_mut().filter(|it| it.ended.is_none());
        for sending in open.filter(|it| which(it)) {
            sending.ended = Some(now);
        }
    }

    fn kill(&mut self, n: usize) {
        if self.world.seat(n).dead {
            return;
        }
        let partitioned = self.world.partitioned.clone();
        self.world.kill(n);
        self.world.partitioned = partitioned;
        let me = self.world.key(n);
        self.end_sendings(|it| it.attempt.request.instance == me);
        let lost = self.sent.values_mut().filter(|it| it.node == n);
        lost.for_each(|it| it.over = true);
    }

    fn restart(&mut self, n: usize) {
        self.kill(n);
        self.incarnations += 1;
        self.world.start_node(n, Incarnation(self.incarnations));
    }

    fn heal(&mut self) {
        self.fault_since = None;
        self.world.heal();
        for n in 0..NODES {
            if self.world.seat(n).paused && !self.world.seat(n).dead {
                self.world.resume(n);
            }
        }
    }

    fn relist(&mut self, n: usize) {
        if !self.world.unlisted.remove(&n) && self.world.unlisted.len() < NODES - 1 {
            self.world.unlisted.insert(n);
        }
        self.list += 1;
        self.world.publish_list(self.list, ENGINES);
    }

    fn pass(&mut self, time: Duration) {
        let end = self.world.now + time;
        while self.world.now < end {
            let now = self.world.now;
            if self.fault_since.is_some_and(|it| now >= it + LONGEST_FAULT) {
                self.heal();
            }
            if self.fault_since.is_some_and(|it| now >= it + SILENCE) {
                let paused = (0..NODES).filter(|&n| self.world.seat(n).paused);
                for n in paused.collect::<Vec<_>>() {
                    self.world.drop_links(n);
                }
            }
            self.world.run_for(TICK.min(end.since(now)));
            self.observe();
        }
    }

    /// Checks the dispatches and verdicts of the nodes since the last call, in the order in which they
    /// were made: a request may run once another one under its name has truthfully not run.
    fn observe(&mut self) {
        while let Some(done) = self.world.done.get(self.seen).cloned() {
            self.seen += 1;
            match done {
                Done::Dispatched(order) => self.on_dispatch(order.attempt, order.send_before),
                Done::Finished(id, verdict) => {
                    self.end(id);
                    if verdict.outcome() == Outcome::NotRun {
                        self.check_not_run(id, verdict.reason());
                    }
                }
            }
        }
        (0..NODES).for_each(|n| self.check_stop(n));
    }

    fn check_stop(&mut self, n: usize) {
        let seat = self.world.seat(n);
        if !seat.stopped || seat.dead {
            return;
        }
        let unfinished = self.sent.iter().find(|(_, it)| it.node == n && !it.over);
        if let Some((id, _)) = unfinished {
            let fault = format!("{id} was interrupted by a planned stop");
            self.faults.push(fault);
        }
        self.kill(n);
    }

    fn on_dispatch(&mut self, attempt: AttemptId, send_before: Time) {
        let id = attempt.request;
        if send_before <= self.world.now {
            let update = AttemptUpdate::Failed {
                reason: Reason::PausedTooLong,
                ran: not_run(),
                delivered: 0,
                retry_after: None,
            };
            return self.world.update(attempt, update);
        }
        let sent = &self.sent[&id];
        if sent.over {
            self.faults
                .push(format!("{id} is dispatched after its end"));
        }
        if sent.non_idempotent
            && let Some(other) = self.other_run(id)
        {
            let fault = format!(
                "{id} is dispatched, and {other} may have run: {:?}",
                sent.name
            );
            self.faults.push(fault);
        }
        self.sendings.push(Sending {
            attempt,
            refused: false,
            ended: None,
        });
    }

    /// Returns an attempt, of this request or of another under the same name, that may have run and
    /// whose claim must still be remembered.
    fn other_run(&self, id: RequestId) -> Option<AttemptId> {
        let (now, memory) = (self.world.now, keys().memory);
        let name = self.sent[&id].name;
        let mut runs = self.sendings.iter().filter(|it| !it.refused);
        let found = runs.find(|it| {
            let other = it.attempt.request;
            let remembered = match name {
                Some(Bound::Key(_)) => it.ended.is_none_or(|end| now < end + memory),
                Some(Bound::Ticket(_)) | None => true,
            };
            let same_name = name.is_some() && self.sent[&other].name == name;
            other == id || (same_name && remembered)
        });
        found.map(|it| it.attempt)
    }

    fn check_not_run(&mut self, id: RequestId, reason: Reason) {
        if let Some(run) = self.other_run(id) {
            let fault = format!("{id} is reported as not_run ({reason}), and {run} may have run");
            self.faults.push(fault);
        }
    }

    /// Heals all faults, completes all attempts, and returns the violations.
    fn heal_and_check(mut self) -> Vec<String> {
        self.heal();
        self.world.platform_down = false;
        self.world.unlisted.clear();
        self.list += 1;
        self.world.publish_list(self.list, ENGINES);
        let end = self.world.now + AFTERMATH;
        while self.world.now < end {
            self.pass(Duration::from_secs(1));
            for i in self.open() {
                self.answer_sending(i, How::Complete);
            }
        }
        self.check_idle();
        self.faults
    }

    fn check_idle(&mut self) {
        for (id, sent) in self.sent.iter().filter(|(_, it)| !it.over) {
            let seat = self.world.seat(sent.node);
            let why = seat.node.explain(*id);
            self.faults.push(format!("{id} never ended: {why:?}"));
        }
        let up: Vec<usize> = (0..NODES).filter(|&n| self.is_up(n)).collect();
        for n in up {
            let snapshot = self.world.seat(n).node.snapshot();
            if snapshot.requests != Default::default() {
                let fault = format!("node {n} still has {:?}", snapshot.requests);
                self.faults.push(fault);
            }
            let running: u32 = snapshot.cells.iter().map(|(_, it)| it.running).sum();
            let queued: u32 = snapshot.cells.iter().map(|(_, it)| it.queued).sum();
            if running + queued > 0 {
                let fault = format!("node {n} counts {running} running, {queued} queued");
                self.faults.push(fault);
            }
        }
    }
}

fn not_run() -> Ran {
    Ran::No(RequestOutcome::new().proof().expect("nothing was sent"))
}

/// Guards against a repeat that runs while the first request under its ticket is reported as not run
/// although it may have run. Here the first one is refused before the repeat is granted the ticket.
#[test]
fn a_repeat_may_run_after_the_first_request_was_refused() {
    let mut history = History::new();

    for step in [
        Step::Order(2, Some(4)),
        Step::Order(1, Some(4)),
        Step::Restart(3),
        Step::Heal,
    ] {
        history.apply(step);
    }

    assert_eq!(history.heal_and_check(), Vec::<String>::new());
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 150, failure_persistence: None, ..ProptestConfig::default() })]

    // Failure: a request runs twice, is falsely reported as "not run", ends twice or never, is
    // interrupted by a planned stop, or its grant is never released. Caused by any combination of
    // kills, restarts, planned stops, partitions, pauses, platform outages and list changes, in the
    // middle of requests and duplicates, that the other tests do not cover.
    #[test]
    fn no_history_breaks_a_guarantee_of_complete_nodes(steps in steps()) {
        let mut history = History::new();
        for step in steps {
            history.apply(step);
            prop_assert!(history.faults.is_empty(), "{:#?}", history.faults);
        }
        let faults = history.heal_and_check();
        prop_assert!(faults.is_empty(), "{faults:#?}");
    }
}
