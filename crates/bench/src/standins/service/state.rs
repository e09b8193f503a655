//! The service's state.

use super::ServiceArgs;
use crate::standins::cuts::Cuts;
use crate::standins::http::Refusal;
use crate::standins::journal::{Ending, Fact, Journal};
use oriolemux_core::event::LoadReport;
use serde::{Deserialize, Serialize};
use std::io;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Semaphore;

/// A fault and whom it strikes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRule {
    /// What goes wrong.
    pub fault: ServiceFault,
    /// How many calls it strikes; it is used up after them.
    pub times: u32,
    /// Strikes only calls whose body holds this text.
    #[serde(default)]
    pub body_contains: String,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceFault {
    /// Refuse because of no room.
    RefuseBusy,
    /// Refuse because of leaving.
    RefuseLeaving,
    /// Run the call, then cut the connection.
    LoseAnswer,
    /// Run the call, then answer 500.
    ServerError,
    /// Run the call, then answer with another attempt's id.
    OtherId,
    /// Run the call and never answer.
    Stall,
    /// Run the call and end the whole process.
    Die,
}

/// A running service.
#[derive(Debug)]
pub struct Service {
    /// Its options.
    pub args: ServiceArgs,
    /// Room for calls that run at once.
    pub room: Semaphore,
    /// Connections that break.
    pub cuts: Cuts,
    state: Mutex<State>,
}

/// What changes while the service runs.
#[derive(Debug)]
pub struct State {
    /// What happened.
    pub journal: Journal,
    /// Faults that are still to strike.
    pub faults: Vec<ServiceRule>,
    /// Whether the service says that it is leaving.
    pub leaving: bool,
    running: u32,
    waiting: u32,
}

impl Service {
    /// Creates a service that has run nothing.
    pub fn new(args: ServiceArgs) -> io::Result<Self> {
        let state = State {
            journal: Journal::open(args.journal.as_deref())?,
            faults: Vec::new(),
            leaving: false,
            running: 0,
            waiting: 0,
        };
        Ok(Service {
            room: Semaphore::new(args.max_running as usize),
            cuts: Cuts::default(),
            args,
            state: Mutex::new(state),
        })
    }

    /// Locks the state; held only for short computations, never across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the load; plain services have no KV memory.
    pub fn report(&self) -> LoadReport {
        let state = self.lock();
        LoadReport {
            running: state.running,
            waiting: state.waiting,
            max_running: self.args.max_running,
            leaving: state.leaving,
            ..LoadReport::default()
        }
    }
}

impl State {
    /// Notes an arrival, and says whether the call is refused or what will strike it.
    pub fn arrive(
        &mut self,
        attempt: &str,
        request: &str,
        body: &str,
    ) -> Result<Option<ServiceFault>, Refusal> {
        self.journal.push(Fact::Arrived {
            attempt: attempt.to_owned(),
            request: request.to_owned(),
            prompt: body.to_owned(),
            priority: 0,
        });
        let fault = self.take_fault(attempt, body);
        let refusal = match fault {
            Some(ServiceFault::RefuseBusy) => Some(Refusal::Busy),
            Some(ServiceFault::RefuseLeaving) => Some(Refusal::Leaving),
            _ => self.leaving.then_some(Refusal::Leaving),
        };
        if let Some(reason) = refusal {
            let attempt = attempt.to_owned();
            self.journal.push(Fact::Refused { attempt, reason });
            return Err(reason);
        }
        self.waiting += 1;
        Ok(fault)
    }

    fn take_fault(&mut self, attempt: &str, body: &str) -> Option<ServiceFault> {
        let index = self
            .faults
            .iter()
            .position(|rule| body.contains(&rule.body_contains))?;
        let fault = self.faults[index].fault;
        self.faults[index].times = self.faults[index].times.saturating_sub(1);
        self.faults.retain(|rule| rule.times > 0);
        self.journal.push(Fact::Fault {
            attempt: attempt.to_owned(),
            fault: format!("{fault:?}"),
        });
        Some(fault)
    }

    /// Notes that a call begins to run: from here on it has run.
    pub fn start(&mut self, attempt: &str) {
        self.waiting -= 1;
        self.running += 1;
        self.journal.push(Fact::Accepted {
            attempt: attempt.to_owned(),
            seed: 0,
            length: 1,
        });
    }

    /// Notes that a call has run.
    pub fn end(&mut self, attempt: &str) {
        self.running -= 1;
        self.journal.push(Fact::Ended {
            attempt: attempt.to_owned(),
            tokens: 1,
            how: Ending::Whole,
        });
    }
}
