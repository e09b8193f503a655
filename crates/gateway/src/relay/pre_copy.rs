//! The copies of one generation's KV cache at other engines.

use crate::job::{CopyUsageGuard, PendingMove};
use crate::ports::{CopyOutcome, EngineCalls, Wire};
use core::time::Duration;
use oriolemux_core::gateway::state::Placement;
use std::net::SocketAddrV4;
use tokio::task::JoinHandle;

/// The timeout of a pre-copy: copies queue on the links of both engines, and no notice is much
/// longer.
const PRE_COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The timeout of the call that frees a copy.
const FREE_COPY_TIMEOUT: Duration = Duration::from_millis(500);

/// The place at which the engine of a generation keeps a copy up to date.
pub(super) struct StandbyCopy<W: Wire> {
    pub(super) place: Placement,
    pub(super) usage: CopyUsageGuard<W>,
}

/// A copy that is made while the generation still runs at an engine that leaves.
///
/// Dropping it frees the copy. Without that, a generation that ends before it relocates would
/// hold KV cache at an engine for seconds that nobody uses: prompts would queue at engines with
/// few generations.
pub(super) struct PreCopy<W: Wire, E: EngineCalls> {
    engines: E,
    source: SocketAddrV4,
    pub(super) target: Placement,
    /// The call in progress.
    task: Option<JoinHandle<CopyOutcome>>,
    /// The handle of the copy at the source, once the copy is complete.
    handle: Option<String>,
    /// What counts the copy and the move; `None` once it was taken.
    guards: Option<CopyGuards<W>>,
}

/// A call that copies a generation.
pub(super) struct CopyCall<E> {
    engines: E,
    source: SocketAddrV4,
    target: SocketAddrV4,
    /// Whether the engine stops the generation first.
    stop: bool,
}

impl<E: EngineCalls> CopyCall<E> {
    pub(super) async fn send(&self, attempt: &str, limit: Duration) -> CopyOutcome {
        self.engines
            .copy_generation(self.source, attempt, self.target, self.stop, limit)
            .await
    }
}

/// Counts a pre-copy at its target, and the generation as one that is about to resume.
pub(super) struct CopyGuards<W: Wire> {
    pub(super) usage: CopyUsageGuard<W>,
    pub(super) pending: PendingMove<W>,
}

impl<W: Wire, E: EngineCalls> PreCopy<W, E> {
    /// Returns a copy from `source` to `target` that is not started yet.
    pub(super) fn new(
        engines: E,
        source: SocketAddrV4,
        target: Placement,
        guards: CopyGuards<W>,
    ) -> Self {
        PreCopy {
            engines,
            source,
            target,
            task: None,
            handle: None,
            guards: Some(guards),
        }
    }

    /// Starts the copy, or brings it up to date. If `stop` is set, the engine stops the generation
    /// first.
    pub(super) fn start(&mut self, attempt: &str, stop: bool) {
        let attempt = attempt.to_owned();
        let call = CopyCall {
            engines: self.engines.clone(),
            source: self.source,
            target: self.target.address,
            stop,
        };
        self.task = Some(tokio::spawn(async move {
            call.send(&attempt, PRE_COPY_TIMEOUT).await
        }));
    }

    /// Returns the order that stops the generation, to be repeated while the first one is open.
    pub(super) fn stop_order(&self) -> CopyCall<E> {
        CopyCall {
            engines: self.engines.clone(),
            source: self.source,
            target: self.target.address,
            stop: true,
        }
    }

    /// Stores the handle of a complete copy.
    pub(super) fn complete(&mut self, handle: String) {
        self.handle = Some(handle);
    }

    /// Returns the place, the handle and the guards of the copy to resume from, `None` if it is not
    /// complete.
    pub(super) fn take(mut self) -> Option<(Placement, String, CopyGuards<W>)> {
        let handle = self.handle.take()?;
        let guards = self.guards.take()?;
        // The result of a call that refreshes the copy does not matter any more.
        self.task = None;
        Some((self.target.clone(), handle, guards))
    }
}

impl<W: Wire, E: EngineCalls> Drop for PreCopy<W, E> {
    fn drop(&mut self) {
        let (task, handle) = (self.task.take(), self.handle.take());
        if task.is_none() && handle.is_none() {
            return;
        }
        let (engines, source) = (self.engines.clone(), self.source);
        tokio::spawn(async move {
            let moved = match task {
                Some(task) => task.await.unwrap_or(CopyOutcome::NoAnswer),
                None => CopyOutcome::NoAnswer,
            };
            let name = match moved {
                CopyOutcome::Complete { handle } => Some(handle),
                _ => handle,
            };
            if let Some(name) = name {
                engines.free_copy(source, &name, FREE_COPY_TIMEOUT).await;
            }
        });
    }
}

/// Waits for the copy call in progress to end; never returns if there is none.
pub(super) async fn wait_for_end<W: Wire, E: EngineCalls>(
    pre_copy: &mut Option<PreCopy<W, E>>,
) -> CopyOutcome {
    let Some(PreCopy {
        task: Some(task), ..
    }) = pre_copy
    else {
        return core::future::pending().await;
    };
    let moved = task.await.unwrap_or(CopyOutcome::NoAnswer);
    if let Some(pre_copy) = pre_copy {
        pre_copy.task = None;
    }
    moved
}
