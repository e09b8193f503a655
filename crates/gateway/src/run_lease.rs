//! Whether a request that may crash endpoints may be sent to one.
//!
//! The core decides ([`core::gateway::suspects`]): a suspect needs a run lease, so that its
//! attempts run one at a time. This module makes a request wait for that or be refused.
//!
//! [`core::gateway::suspects`]: oriolemux_core::gateway::suspects

use crate::cx::Cx;
use crate::job::Job;
use crate::log_event;
use crate::ports::Wire;
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::fingerprint::Fingerprint;
use oriolemux_core::suspects::{Admission, SuspectRun};
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout;

/// The interval at which a waiting request polls in addition to notifications.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a generation that lost its engine may wait for a run lease at the next one. Callers
/// tolerate a pause of some 180 ms between events.
const RESUME_ADMISSION_TIMEOUT: Duration = Duration::from_millis(100);

/// Counts a request as running until dropped.
pub struct RunGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    run: SuspectRun,
}

impl<W: Wire> RunGuard<W> {
    /// Starts to count a request.
    pub fn begin(cx: &Arc<Cx<W>>, fingerprint: Fingerprint) -> Self {
        RunGuard {
            cx: Arc::clone(cx),
            run: cx.state().begin_run(fingerprint),
        }
    }

    /// Ends the run early, because the request goes through a peer that counts it itself.
    pub fn release(&self) {
        if self.cx.state().end_run(self.run) {
            self.cx.gossip_due.notify_one();
        }
    }

    fn admission(&self) -> Admission {
        let now = self.cx.now();
        self.cx.state().admit_run(now, self.run)
    }
}

impl<W: Wire> Drop for RunGuard<W> {
    fn drop(&mut self) {
        let is_awaited = self.cx.state().end_run(self.run);
        if is_awaited {
            self.cx.gossip_due.notify_one();
        }
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
        self.admitted_until(deadline).await
    }

    /// Waits until a generation may resume at another engine.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub async fn wait_until_admitted_to_resume(&self) -> Result<(), Reason> {
        let deadline = (Instant::now() + RESUME_ADMISSION_TIMEOUT).min(self.deadline);
        self.admitted_until(deadline).await
    }

    async fn admitted_until(&self, deadline: Instant) -> Result<(), Reason> {
        let cx = &self.cx;
        loop {
            let mut decided = core::pin::pin!(cx.decided.notified());
            decided.as_mut().enable();
            match self.run.admission() {
                Admission::Go => return Ok(()),
                Admission::Refused => return Err(self.log_refusal()),
                Admission::NoHome => return Err(Reason::NoRunLease),
                Admission::Wait if Instant::now() >= deadline => return Err(Reason::NoRunLease),
                Admission::Wait => cx.gossip_due.notify_one(),
            }
            // Nothing notifies when a deadline passes, so the wait is bounded.
            let _ = timeout(POLL_INTERVAL, decided).await;
        }
    }

    /// Returns whether the request may be sent now. It may have become a suspect while it was
    /// queued.
    pub fn is_admitted(&self) -> bool {
        self.run.admission() == Admission::Go
    }

    /// Returns whether the request is refused because it crashed too many endpoints.
    pub fn is_refused(&self) -> bool {
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

    /// Logs the refusal of the request and returns its reason.
    pub fn log_refusal(&self) -> Reason {
        let ended = self.cx.state().crash_count(self.fingerprint);
        log_event!(SuspectRefused, attempt = self.name(), request:% = self.fingerprint,
            entry = self.entry().name.as_str(), ended = ended);
        Reason::CrashesEndpoints
    }
}
