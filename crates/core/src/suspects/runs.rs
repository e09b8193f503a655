//! What this instance runs, and what it asks of the homes of suspects.

use super::{RunLeaseAnswer, Standing};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// How often a home that has not answered, or gave no turn, is asked again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(10);

/// How often homes are told of a run that goes on.
const RENEW_INTERVAL: Duration = Duration::from_millis(200);

/// Homes that may leave a request unanswered, one after the other, before it is refused: the
/// first in rank, the next, and the first again.
const MAX_HOME_TIMEOUTS: u32 = 3;

/// A run of a suspect, as instances tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SuspectRun {
    /// The request.
    pub fingerprint: Fingerprint,
    /// The number of the run at its instance.
    pub run: u64,
}

/// What a request goes by before it is sent to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may be sent.
    Go,
    /// It is a suspect, and waits for its turn.
    Wait,
    /// It is a suspect, and no home answers that could give it a turn.
    NoHome,
    /// It is refused.
    Refused,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// It runs without a turn: it was no suspect when it began.
    Free,
    /// It asks for a turn.
    Requesting {
        /// Since when the present home may answer.
        since: Time,
        /// When a home was asked last.
        requested_at: Option<Time>,
        /// Homes that did not answer since one did.
        timeouts: u32,
    },
    /// It has the turn.
    Granted,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    stage: Stage,
    /// When homes were told last that it runs.
    reported_at: Option<Time>,
}

/// What homes are to be told of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Due {
    /// Runs that ask the present home for the turn.
    pub acquire: Vec<SuspectRun>,
    /// Runs that go on.
    pub renew: Vec<SuspectRun>,
    /// Runs that ended.
    pub release: Vec<SuspectRun>,
    /// Whether the present home did not answer in time.
    pub is_unanswered: bool,
}

impl Due {
    /// Returns whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.acquire.is_empty() && self.renew.is_empty() && self.release.is_empty()
    }
}

/// All runs of this instance.
#[derive(Clone, Debug)]
pub struct Runs {
    /// How long a home may take to answer before the next in rank is asked.
    home_timeout: Duration,
    runs: BTreeMap<Fingerprint, BTreeMap<u64, Run>>,
    /// Runs that ended and of which homes had been told.
    ended: Vec<SuspectRun>,
}

impl Runs {
    /// Returns an instance that runs nothing, whose homes may take so long to answer.
    pub fn new(home_timeout: Duration) -> Self {
        Runs {
            home_timeout,
            runs: BTreeMap::new(),
            ended: Vec::new(),
        }
    }

    /// Takes in a run that begins.
    pub fn begin(&mut self, suspect_run: SuspectRun) {
        let run = Run {
            stage: Stage::Free,
            reported_at: None,
        };
        let runs = self.runs.entry(suspect_run.fingerprint).or_default();
        runs.insert(suspect_run.run, run);
    }

    /// Returns whether a run may be sent to an endpoint now, and asks for its turn where it
    /// needs one.
    pub fn admit(&mut self, now: Time, suspect_run: SuspectRun, standing: Standing) -> Admission {
        let Some(run) = self.get(suspect_run) else {
            return Admission::Refused;
        };
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
                    since: now,
                    requested_at: None,
                    timeouts: 0,
                };
                Admission::Wait
            }
        }
    }

    /// Takes a run out; returns whether homes are to be told.
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

    /// Takes in what a home answered.
    pub fn on_answer(&mut self, now: Time, answer: &RunLeaseAnswer) {
        for &suspect_run in &answer.granted {
            self.on_home_answer(now, suspect_run, true);
        }
        for &suspect_run in &answer.waiting {
            self.on_home_answer(now, suspect_run, false);
        }
    }

    fn on_home_answer(&mut self, now: Time, suspect_run: SuspectRun, granted: bool) {
        let Some(run) = self.get(suspect_run) else {
            return;
        };
        if let Stage::Requesting {
            since, timeouts, ..
        } = &mut run.stage
        {
            *since = now;
            *timeouts = 0;
            if granted {
                run.stage = Stage::Granted;
            }
        }
    }

    /// Returns whether no home is to be told of the end of a run.
    pub fn no_run_ended(&self) -> bool {
        self.ended.is_empty()
    }

    /// Returns whether a run waits for a home.
    pub fn any_waiting(&self) -> bool {
        let mut runs = self.runs.values().flat_map(BTreeMap::values);
        runs.any(|it| matches!(it.stage, Stage::Requesting { .. }))
    }

    /// Returns the requests of which homes may have to be told.
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let ended = self.ended.iter().map(|it| it.fingerprint);
        let mut all: Vec<Fingerprint> = self.runs.keys().copied().chain(ended).collect();
        all.sort();
        all.dedup();
        all
    }

    /// Returns what homes are to be told of a request now.
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
                    requested_at,
                    timeouts,
                } => {
                    if now.since(*since) >= self.home_timeout {
                        due.is_unanswered = true;
                        *timeouts += 1;
                        *since = now;
                    }
                    if requested_at.is_none_or(|at| now.since(at) >= REQUEST_INTERVAL) {
                        *requested_at = Some(now);
                        due.acquire.push(suspect_run);
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
