//! Random histories of one idempotency key.

#[path = "keys_support/fleet.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod fleet;

use core::time::Duration;
use fleet::{Fleet, key};
use oriolemux_core::keys::HolderState;
use oriolemux_core::outcome::PriorOutcome;
use oriolemux_core::{RequestId, Time};
use proptest::prelude::*;
use std::collections::BTreeSet;

const DONE: HolderState = HolderState::Ended(PriorOutcome::Complete);
const ALL: [usize; 4] = [0, 1, 2, 3];

/// One step of a random history.
#[derive(Clone, Copy, Debug)]
enum Step {
    Request(usize),
    /// Ends the oldest running request; the flag says whether it ran.
    End(bool),
    Block(usize, usize),
    Heal,
    Restart(usize),
    /// Removes the process from the instance list, or adds it back.
    Relist(usize),
    PassSecs(u64),
    PassMillis(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..4usize).prop_map(Step::Request),
        2 => any::<bool>().prop_map(Step::End),
        2 => (0..4usize, 0..4usize).prop_map(|(a, b)| Step::Block(a, b)),
        2 => Just(Step::Heal),
        1 => (0..4usize).prop_map(Step::Restart),
        2 => (0..4usize).prop_map(Step::Relist),
        2 => (1..40u64).prop_map(Step::PassSecs),
        2 => (1..2_000u64).prop_map(Step::PassMillis),
    ];
    prop::collection::vec(step, 1..60)
}

/// A random history of one key, and the observations that the property is checked against.
struct History {
    fleet: Fleet,
    revision: u64,
    live: BTreeSet<usize>,
    requested: Vec<(RequestId, usize)>,
    /// Granted requests with the time of their end.
    granted: Vec<(RequestId, Option<Time>)>,
    not_run: BTreeSet<RequestId>,
    partitioned_since: Option<Time>,
}

/// Maximum duration of a partition in the histories; see `docs/design/at-most-once.md`.
const MAX_PARTITION: Duration = Duration::from_secs(60);

impl History {
    fn new() -> Self {
        History {
            fleet: Fleet::settled(4),
            revision: 1,
            live: ALL.into_iter().collect(),
            requested: Vec::new(),
            granted: Vec::new(),
            not_run: BTreeSet::new(),
            partitioned_since: None,
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Request(n) => {
                let request = self.fleet.request(n, key("order-1"));
                self.requested.push((request, n));
            }
            Step::End(ran) => self.end(ran),
            Step::Block(a, b) => {
                self.fleet.block(a, b);
                self.partitioned_since.get_or_insert(self.fleet.now);
            }
            Step::Heal => self.heal(),
            Step::Restart(n) => self.restart(n),
            Step::Relist(n) => self.relist(n),
            Step::PassSecs(secs) => self.pass(Duration::from_secs(secs)),
            Step::PassMillis(millis) => self.pass(Duration::from_millis(millis)),
        }
    }

    fn heal(&mut self) {
        self.fleet.heal();
        self.partitioned_since = None;
    }

    fn pass(&mut self, time: Duration) {
        let now = self.fleet.now;
        if self
            .partitioned_since
            .is_some_and(|since| now + time > since + MAX_PARTITION)
        {
            self.heal();
        }
        self.fleet.pass(time);
    }

    fn end(&mut self, ran: bool) {
        let now = self.fleet.now;
        let Some((request, ended)) = self.granted.iter_mut().find(|it| it.1.is_none()) else {
            return;
        };
        *ended = Some(now);
        let request = *request;
        if !ran {
            self.not_run.insert(request);
        }
        let state = if ran { DONE } else { HolderState::NotRun };
        let &(_, at) = self.requested.iter().find(|it| it.0 == request).unwrap();
        self.fleet.end(at, request, state);
    }

    /// Restarts a process. All requests that it ran end.
    fn restart(&mut self, n: usize) {
        let now = self.fleet.now;
        let old = self.fleet.id(n);
        for (request, ended) in &mut self.granted {
            if request.instance == old.instance && ended.is_none() {
                *ended = Some(now);
            }
        }
        let live: Vec<_> = self.live.iter().copied().collect();
        self.fleet.restart(n, self.revision, &live);
    }

    fn relist(&mut self, n: usize) {
        if !self.live.remove(&n) {
            self.live.insert(n);
        }
        self.revision += 1;
        let live: Vec<_> = self.live.iter().copied().collect();
        self.fleet.publish(self.revision, &live);
        self.fleet.deliver();
    }

    /// Returns a request that was granted while an earlier one was running or its outcome still had
    /// to be remembered.
    fn second_run(&mut self) -> Option<RequestId> {
        let now = self.fleet.now;
        let memory = self.fleet.cfg.memory;
        for &(request, _) in &self.requested {
            let known = self.granted.iter().any(|it| it.0 == request);
            let answer = self.fleet.answer_of(request);
            if known || !answer.is_some_and(|it| it.is_granted()) {
                continue;
            }
            let earlier = self
                .granted
                .iter()
                .filter(|it| !self.not_run.contains(&it.0));
            let mut ends = earlier.map(|it| it.1);
            if ends.any(|end| end.is_none_or(|end| now < end + memory)) {
                return Some(request);
            }
            self.granted.push((request, None));
        }
        None
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    // Under any history of restarts, list changes, lost messages and partitions of up to a minute,
    // a key is granted to a second request only if the first provably did not run or the retention
    // time of its outcome has passed.
    #[test]
    fn no_history_runs_a_key_twice(steps in steps()) {
        let mut history = History::new();
        for step in steps {
            history.apply(step);
            prop_assert_eq!(history.second_run(), None);
        }
    }
}
