//! The runs of this instance, and the leases that it requests from the homes of suspects.

use super::{RunLeaseAnswer, Standing};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Interval at which a home that has not answered, or granted no lease, is asked again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// Upper bound of the interval at which the home of a prompt part is asked again. It doubles with
/// each answer that grants no lease: requests at all instances may wait for one part.
const MAX_PART_REQUEST_INTERVAL: Duration = Duration::from_millis(160);

/// Doublings of [`REQUEST_INTERVAL`] until then.
const MAX_DOUBLINGS: u32 = 4;

/// Interval at which homes are notified that a run continues.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Home timeouts in a row after which a request is refused: the first home in rank, the next, and
/// the first again. After as many timeouts of the second home, the first one's grant is enough.
const MAX_HOME_TIMEOUTS: u32 = 3;

/// A run of a suspect, as sent between instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The number of the run at its instance.
    pub run: u64,
}

/// Whether a request may be sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Go,
    /// It is a suspect and waits for its lease.
    Wait,
    /// It is a suspect, and no home answers that could grant a lease.
    NoHome,
    /// It is refused.
    Refused,
}

#[derive(Clone, Copy, Debug, Default)]
enum Stage {
    /// It runs without a lease: it was no suspect when it began.
    #[default]
    Free,
    /// It requests a lease.
    Requesting {
        /// Start of the timeout of the current home.
        since: Time,
        /// Whether the home has not answered the last request.
        is_unanswered: bool,
        /// How often a home answered that the lease is not free.
        refusals: u32,
        /// When a home was last sent the request.
        requested_at: Option<Time>,
        /// Homes that timed out in a row.
        timeouts: u32,
        /// Whether the first home granted the lease, and the second one is asked.
        is_granted_once: bool,
    },
    /// It holds the lease.
    Granted,
}

#[derive(Clone, Copy, Debug, Default)]
struct Run {
    stage: Stage,
    /// When homes were last notified that it runs.
    reported_at: Option<Time>,
}

/// What homes must be sent about one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Runs that request a lease from the current home.
    pub acquire: Vec<SuspectRun>,
    /// Runs whose lease the first home granted, and which request it from the second one too.
    pub confirm: Vec<SuspectRun>,
    /// Runs that continue.
    pub renew: Vec<SuspectRun>,
    /// Runs that ended.
    pub release: Vec<SuspectRun>,
    /// Whether the current home did not answer in time.
    pub is_unanswered: bool,
    /// Whether the second home did not answer in time, so that a run holds its lease without it.
    pub is_unconfirmed: bool,
}

impl Due {
    /// Returns whether there is nothing to send.
    pub fn is_empty(&self) -> bool {
        self.acquire.is_empty()
            && self.confirm.is_empty()
            && self.renew.is_empty()
            && self.release.is_empty()
            && !self.is_unconfirmed
    }
}

/// Returns after which time a home that granted no lease so often is asked again.
fn request_interval(fingerprint: Fingerprint, refusals: u32) -> Duration {
    if !fingerprint.is_prompt_part() {
        return REQUEST_INTERVAL;
    }
    let doubled = REQUEST_INTERVAL * (1 << refusals.min(MAX_DOUBLINGS));
    doubled.min(MAX_PART_REQUEST_INTERVAL)
}

/// All runs of this instance.
#[derive(Clone, Debug)]
pub struct Runs {
    /// How long a home may take to answer before the next in rank is asked.
    home_timeout: Duration,
    runs: BTreeMap<Fingerprint, BTreeMap<u64, Run>>,
    /// Ended runs that homes know of.
    ended: Vec<SuspectRun>,
}

impl Runs {
    /// Returns an instance without runs. `home_timeout` is the time that a home has to answer.
    pub fn new(home_timeout: Duration) -> Self {
        Runs {
            home_timeout,
            runs: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    /// Adds a run that begins.
    pub fn begin(&mut self, suspect_run: SuspectRun) {
        let run = Run::default();
        let runs = self.runs.entry(suspect_run.fingerprint).or_default();
        runs.insert(suspect_run.run, run);
    }

    /// Adds a run unless it is known.
    pub fn begin_once(&mut self, suspect_run: SuspectRun) {
        if self.get(suspect_run).is_none() {
            self.begin(suspect_run);
        }
    }

    /// Returns whether a run may be sent to an endpoint now, and begins to request a lease if it
    /// needs one. A run that has ended begins again: its request went through a peer that was lost.
    pub fn admit(&mut self, now: Time, suspect_run: SuspectRun, standing: Standing) -> Admission {
        self.admit_later(now, suspect_run, standing, Duration::ZERO)
    }

    /// As [`Runs::admit`], but begins to request the lease after `delay` only.
    pub fn admit_later(
        &mut self,
        now: Time,
        suspect_run: SuspectRun,
        standing: Standing,
        delay: Duration,
    ) -> Admission {
        let runs = self.runs.entry(suspect_run.fingerprint).or_default();
        let run = runs.entry(suspect_run.run).or_insert_with(|| {
            // Homes must not be told any more that it has ended.
            self.ended.retain(|it| *it != suspect_run);
            Run::default()
        });
        match (standing, run.stage) {
            (Standing::Refused, _) => Admission::Refused,
            (Standing::Free, _) => {
                run.stage = Stage::Free;
                Admission::Go
            }
            (Standing::Suspect, Stage::Granted) => Admission::Go,
            (Standing::Suspect, Stage::Requesting { timeouts, .. })
                if timeouts >= MAX_HOME_TIMEOUTS =>
            {
                Admission::NoHome
            }
            (Standing::Suspect, Stage::Requesting { .. }) => Admission::Wait,
            (Standing::Suspect, Stage::Free) => {
                run.stage = Stage::Requesting {
                    since: now + delay,
                    is_unanswered: true,
                    refusals: 0,
                    requested_at: (!delay.is_zero()).then_some(now + delay),
                    timeouts: 0,
                    is_granted_once: false,
                };
                Admission::Wait
            }
        }
    }

    /// Returns whether a run holds its lease.
    pub fn holds_lease(&self, suspect_run: SuspectRun) -> bool {
        let runs = self.runs.get(&suspect_run.fingerprint);
        let run = runs.and_then(|runs| runs.get(&suspect_run.run));
        run.is_some_and(|it| matches!(it.stage, Stage::Granted))
    }

    /// Removes a run; returns whether homes must be notified.
    pub fn end(&mut self, suspect_run: SuspectRun) -> bool {
        let Some(runs) = self.runs.get_mut(&suspect_run.fingerprint) else {
            return false;
        };
        let run = runs.remove(&suspect_run.run);
        if runs.is_empty() {
            self.runs.remove(&suspect_run.fingerprint);
        }
        let homes_know =
            run.is_some_and(|it| it.reported_at.is_some() || !matches!(it.stage, Stage::Free));
        if homes_know {
            self.ended.push(suspect_run);
        }
        homes_know
    }

    /// Applies the answer of a home. `needs_second` tells for which requests a second home must grant
    /// the lease as well.
    ///
    /// Without that, two runs hold one lease where a home is late: one instance has it from the first
    /// home, and another one, which took that home for lost, has it from the second one, which does
    /// not know of the first run yet.
    pub fn on_answer(
        &mut self,
        now: Time,
        answer: &RunLeaseAnswer,
        needs_second: impl Fn(Fingerprint) -> bool,
    ) {
        for &suspect_run in &answer.granted {
            let is_enough = !needs_second(suspect_run.fingerprint);
            self.on_home_answer(now, suspect_run, true, is_enough);
        }
        for &suspect_run in &answer.waiting {
            let is_enough = !needs_second(suspect_run.fingerprint);
            self.on_home_answer(now, suspect_run, false, is_enough);
        }
    }

    fn on_home_answer(
        &mut self,
        now: Time,
        suspect_run: SuspectRun,
        granted: bool,
        is_enough: bool,
    ) {
        let Some(run) = self.get(suspect_run) else {
            return;
        };
        if let Stage::Requesting {
            since,
            is_unanswered,
            refusals,
            requested_at,
            timeouts,
            is_granted_once,
        } = &mut run.stage
        {
            if *is_granted_once && !is_enough {
                // The first home answers once more.
                return;
            }
            *since = now;
            *is_unanswered = false;
            *refusals += 1;
            *timeouts = 0;
            match granted {
                true if is_enough => run.stage = Stage::Granted,
                true => {
                    *is_granted_once = true;
                    *requested_at = None;
                }
                false => {}
            }
        }
    }

    /// Returns whether no home must be notified of the end of a run.
    pub fn no_run_ended(&self) -> bool {
        self.ended.is_empty()
    }

    /// Returns whether a run waits for a lease.
    pub fn any_waiting(&self) -> bool {
        let mut runs = self.runs.values().flat_map(BTreeMap::values);
        runs.any(|it| matches!(it.stage, Stage::Requesting { .. }))
    }

    /// Returns the requests about which homes may have to be notified.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let ended = self.ended.iter().map(|it| it.fingerprint);
        let mut all: Vec<Fingerprint> = self.runs.keys().copied().chain(ended).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Returns what homes must be sent about a request now.
    pub fn due(&mut self, now: Time, fingerprint: Fingerprint, standing: Standing) -> Due {
        let mut due = Due::default();
        let is_of = |it: &SuspectRun| it.fingerprint == fingerprint;
        due.release.extend(self.ended.iter().copied().filter(is_of));
        self.ended.retain(|it| !is_of(it));
        if standing == Standing::Free {
            return due;
        }
        let runs = self.runs.get_mut(&fingerprint).into_iter().flatten();
        for (&run, state) in runs {
            let suspect_run = SuspectRun { fingerprint, run };
            match &mut state.stage {
                Stage::Requesting {
                    since,
                    is_unanswered,
                    refusals,
                    requested_at,
                    timeouts,
                    is_granted_once,
                } => {
                    if *is_unanswered && now.since(*since) >= self.home_timeout {
                        due.is_unanswered |= !*is_granted_once;
                        *timeouts += 1;
                        *since = now;
                    }
                    if *is_granted_once && *timeouts >= MAX_HOME_TIMEOUTS {
                        due.is_unconfirmed = true;
                        state.stage = Stage::Granted;
                        continue;
                    }
                    let interval = match *is_unanswered {
                        true => REQUEST_INTERVAL,
                        false => request_interval(fingerprint, *refusals),
                    };
                    if requested_at.is_none_or(|at| now.since(at) >= interval) {
                        if !core::mem::replace(is_unanswered, true) {
                            *since = now;
                        }
                        *requested_at = Some(now);
                        match *is_granted_once {
                            false => due.acquire.push(suspect_run),
                            true => due.confirm.push(suspect_run),
                        }
                    }
                }
                Stage::Free | Stage::Granted => {
                    if state
                        .reported_at
                        .is_none_or(|at| now.since(at) >= RENEW_INTERVAL)
                    {
                        state.reported_at = Some(now);
                        due.renew.push(suspect_run);
                    }
                }
            }
        }
        due
    }

    fn get(&mut self, suspect_run: SuspectRun) -> Option<&mut Run> {
        self.runs
            .get_mut(&suspect_run.fingerprint)?
            .get_mut(&suspect_run.run)
    }
}
