//! Whether a request that may crash endpoints may be sent to one.
//!
//! The core decides ([`core::gateway::suspects`]): a suspect needs a run lease, so that its
//! attempts run one at a time. The same holds for requests with a suspect part in their prompts.
//! This module makes a request wait for that or be refused.
//!
//! [`core::gateway::suspects`]: oriolemux_core::gateway::suspects

use crate::cx::Cx;
use crate::job::Job;
use crate::log_event;
use crate::ports::Wire;
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::fingerprint::Fingerprint;
use oriolemux_core::suspects::{Admission, PartStanding, PromptParts, SuspectRun};
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::mpsc;
use tokio::time::timeout;

/// The interval at which a waiting request polls in addition to notifications.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What a request that waits for its run lease may do meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaitKind {
    /// It has not run and can be refused as such.
    Start,
    /// It is a generation whose caller has a part of it, so that a refusal would cut its stream.
    Resume {
        /// Whether its run at the previous engine has ended.
        has_ended: bool,
    },
}

/// Counts a request as running until dropped.
pub struct RunGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    run: SuspectRun,
    /// The parts of its prompt that other prompts may share.
    parts: PromptParts,
}

impl<W: Wire> RunGuard<W> {
    /// Starts to count a request with these parts in its prompt.
    pub fn begin(cx: &Arc<Cx<W>>, fingerprint: Fingerprint, parts: PromptParts) -> Self {
        RunGuard {
            cx: Arc::clone(cx),
            run: cx.state().begin_run(fingerprint),
            parts,
        }
    }

    /// Returns the run.
    pub fn id(&self) -> SuspectRun {
        self.run
    }

    /// Returns the parts of the request's prompt that other prompts may share.
    pub fn parts(&self) -> &PromptParts {
        &self.parts
    }

    /// Ends the run early, because the request goes through a peer that counts it itself.
    pub fn release(&self) {
        let mut state = self.cx.state();
        let mut is_awaited = state.end_run(self.run);
        is_awaited |= state.end_part_runs(self.run, self.parts.iter());
        drop(state);
        if is_awaited {
            self.cx.gossip_due.notify_one();
        }
    }

    /// Returns whether the request may be sent: for itself first, then for the parts of its prompt.
    /// All instances keep this order, so that no two requests wait for each other's lease.
    fn admission(&self) -> Admission {
        let now = self.cx.now();
        let mut state = self.cx.state();
        match state.admit_run(now, self.run) {
            Admission::Go => state.admit_parts(now, self.run, &self.parts),
            other => other,
        }
    }

    /// Gives up the leases of the parts while the request waits for its own lease. A run that ended
    /// holds them from before it was a suspect itself, and a copy of the request that has the request's
    /// lease may wait for one of them.
    fn yield_parts(&self) {
        let now = self.cx.now();
        let mut state = self.cx.state();
        if state.admit_run(now, self.run) != Admission::Go {
            state.end_part_runs(self.run, self.parts.iter());
        }
    }

    fn standing_of_parts(&self) -> PartStanding {
        let now = self.cx.now();
        let state = self.cx.state();
        state.standing_of_parts(now, self.run.fingerprint, &self.parts)
    }

    /// Returns whether the request is refused for a part of its prompt, and may be admitted soon.
    fn may_be_explained(&self) -> bool {
        let now = self.cx.now();
        let part = self.refused_part();
        let state = self.cx.state();
        !state.is_refused(now, self.run.fingerprint)
            && part.is_some_and(|it| state.may_be_explained(now, it))
    }

    /// Returns the part of the prompt because of which the request must not run, if there is one.
    fn refused_part(&self) -> Option<Fingerprint> {
        match self.standing_of_parts() {
            PartStanding::Refused(part) => Some(part),
            PartStanding::Free | PartStanding::Suspect(_) => None,
        }
    }
}

impl<W: Wire> Drop for RunGuard<W> {
    fn drop(&mut self) {
        self.release();
    }
}

impl<W: Wire> Job<W> {
    /// Waits until the request may be sent to an endpoint, up to the entry's target.
    ///
    /// # Errors
    ///
    /// Returns why it may not be sent.
    pub async fn wait_until_admitted(&self) -> Result<(), Reason> {
        let deadline = (self.arrived + self.entry().target).min(self.deadline);
        self.admitted_until(deadline, WaitKind::Start).await
    }

    /// Waits until a generation may resume at another engine, its caller leaves, or the deadline passes.
    /// `has_ended` tells whether its run at the previous engine has ended.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub async fn wait_until_admitted_to_resume<T>(
        &self,
        caller: &mpsc::Sender<T>,
        has_ended: bool,
    ) -> Result<(), Reason> {
        tokio::select! {
            admitted = self.admitted_until(self.deadline, WaitKind::Resume { has_ended }) => admitted,
            () = caller.closed() => Err(Reason::NoRunLease),
        }
    }

    async fn admitted_until(&self, deadline: Instant, kind: WaitKind) -> Result<(), Reason> {
        let cx = &self.cx;
        loop {
            let mut decided = core::pin::pin!(cx.decided.notified());
            decided.as_mut().enable();
            if kind == (WaitKind::Resume { has_ended: true }) {
                self.run.yield_parts();
            }
            match self.run.admission() {
                Admission::Go => {
                    self.log_tried_part();
                    return Ok(());
                }
                Admission::Refused if self.run.may_be_explained() && Instant::now() < deadline => {}
                Admission::Refused => return Err(self.log_refusal()),
                Admission::NoHome if kind == WaitKind::Start => return Err(Reason::NoRunLease),
                Admission::Wait | Admission::NoHome if Instant::now() >= deadline => {
                    return Err(Reason::NoRunLease);
                }
                // A home that answers later grants the lease then.
                Admission::Wait | Admission::NoHome => cx.gossip_due.notify_one(),
            }
            // Nothing notifies when a deadline passes, so the wait is bounded.
            let _ = timeout(POLL_INTERVAL, decided).await;
        }
    }

    fn log_tried_part(&self) {
        if let PartStanding::Suspect(part) = self.run.standing_of_parts() {
            let ended = self.cx.state().crash_count(part);
            log_event!(PartTried, attempt = self.name(), part:% = part, ended = ended);
        }
    }

    /// Returns whether the request may be sent now. It may have become a suspect while it was
    /// queued.
    pub fn is_admitted(&self) -> bool {
        self.run.admission() == Admission::Go
    }

    /// Returns whether the request is refused, because it or a part of its prompt crashed too many
    /// endpoints.
    pub fn is_refused(&self) -> bool {
        self.is_refused_itself() || self.run.refused_part().is_some()
    }

    fn is_refused_itself(&self) -> bool {
        let now = self.cx.now();
        self.cx.state().is_refused(now, self.fingerprint)
    }

    /// Waits until the request is refused; never returns if it is not.
    ///
    /// While the third endpoint crashes, copies of the request may be queued at other endpoints
    /// behind prompts that are prefilled. Unless they are cancelled, they crash these as well.
    pub async fn wait_until_refused(&self) {
        loop {
            let mut changed = core::pin::pin!(self.cx.suspects_changed.notified());
            changed.as_mut().enable();
            if self.is_refused() {
                return;
            }
            changed.await;
        }
    }

    /// Records that the request ran successfully.
    pub fn on_run_succeeded(&self) {
        let now = self.cx.now();
        self.cx.state().on_run_succeeded(now, self.fingerprint);
    }

    /// Records that the request was answered past the point at which prompts with a part that
    /// crashes endpoints break off.
    pub fn on_parts_succeeded(&self) {
        let now = self.cx.now();
        let parts = self.run.parts();
        let cleared = self.cx.state().on_parts_succeeded(now, parts);
        for part in &cleared {
            log_event!(PartCleared, attempt = self.name(), part:% = part);
        }
        if !cleared.is_empty() {
            self.cx.announce_suspects();
        }
    }

    /// Logs the refusal of the request and returns its reason.
    pub fn log_refusal(&self) -> Reason {
        let part = self.run.refused_part();
        if let Some(part) = part.filter(|_| !self.is_refused_itself()) {
            let ended = self.cx.state().crash_count(part);
            log_event!(PartRefused, attempt = self.name(), part:% = part,
                entry = self.entry().name.as_str(), ended = ended);
            return Reason::PartCrashesEndpoints;
        }
        let ended = self.cx.state().crash_count(self.fingerprint);
        log_event!(SuspectRefused, attempt = self.name(), request:% = self.fingerprint,
            entry = self.entry().name.as_str(), ended = ended);
        Reason::CrashesEndpoints
    }
}
