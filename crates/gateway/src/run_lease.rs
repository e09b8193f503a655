//! Whether a request may be sent to an endpoint, as far as it may end it.
//!
//! The core decides ([`core::gateway::suspects`]); here a request waits for its turn, and hears
//! when it is refused.
//!
//! [`core::gateway::suspects`]: oriolemux_core::gateway::suspects

use crate::cx::Cx;
use crate::job::Job;
use crate::log_event;
use crate::ports::Wire;
use crate::response::Reason;
use core::time::Duration;
use oriolemux_core::fingerprint::Fingerprint;
use oriolemux_core::suspects::{Admission, Turn};
use std::sync::Arc;
use std::time::Instant;
use tokio::time::timeout;

/// How often a request that waits for its turn looks again without being told to.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a generation that lost its engine may wait for its turn at the next one. A caller
/// bears a pause of some 180 ms between events.
const RESUME_ADMISSION_TIMEOUT: Duration = Duration::from_millis(100);

/// A request that counts as running until it is dropped.
pub struct RunGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    run: Turn,
}

impl<W: Wire> RunGuard<W> {
    /// Counts a request from now on.
    pub fn begin(cx: &Arc<Cx<W>>, fingerprint: Fingerprint) -> Self {
        RunGuard {
            cx: Arc::clone(cx),
            run: cx.state().begin_run(fingerprint),
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
    /// Waits until the request may be sent to an endpoint, for as long as its caller waits for
    /// a place.
    ///
    /// # Errors
    ///
    /// Returns why it may not.
    pub async fn wait_until_admitted(&self) -> Result<(), Reason> {
        let deadline = (self.arrived + self.entry().target).min(self.deadline);
        self.admitted_until(deadline).await
    }

    /// Waits until a generation may go on at another engine.
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
                Admission::NoHome => return Err(Reason::TurnTaken),
                Admission::Wait if Instant::now() >= deadline => return Err(Reason::TurnTaken),
                Admission::Wait => cx.gossip_due.notify_one(),
            }
            // Time that is over is not told by anybody, so the wait is bounded.
            let _ = timeout(POLL_INTERVAL, decided).await;
        }
    }

    /// Returns whether the request may be sent now. It may have become a suspect while it
    /// waited for a place.
    pub fn is_admitted(&self) -> bool {
        self.run.admission() == Admission::Go
    }

    /// Returns whether the request is refused, because it ended too many endpoints.
    pub fn is_refused(&self) -> bool {
        let now = self.cx.now();
        self.cx.state().is_refused(now, self.fingerprint)
    }

    /// Waits until the request is refused; for good if it never is.
    ///
    /// What goes wrong otherwise: while the third endpoint ends, copies of the request wait
    /// at others behind prompts that are read, and end these too.
    pub async fn wait_until_refused(&self) {
        loop {
            let mut news = core::pin::pin!(self.cx.suspects_changed.notified());
            news.as_mut().enable();
            if self.is_refused() {
                return;
            }
            news.await;
        }
    }

    /// Notes that the request ran well.
    pub fn on_run_succeeded(&self) {
        let now = self.cx.now();
        self.cx.state().ran_well(now, self.fingerprint);
    }

    /// Notes that the request is refused; returns the reason.
    pub fn log_refusal(&self) -> Reason {
        let ended = self.cx.state().ended_by(self.fingerprint);
        log_event!(SuspectRefused, attempt = self.name(), request:% = self.fingerprint,
            entry = self.entry().name.as_str(), ended = ended);
        Reason::EndsEndpoints
    }
}
