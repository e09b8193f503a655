//! The copies of one generation's KV cache at other engines.

use crate::job::{CopyUsageGuard, PendingMove};
use crate::ports::{CopyOrder, CopyOutcome, EngineCalls, Wire};
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

/// A handle of KV cache at the engine that made it, and of its copy if there is one. Dropping it frees
/// both.
///
/// Without that, a generation that ends before it resumes would hold KV cache for seconds that nobody
/// uses: prompts would queue at engines with few generations.
pub(super) struct CopyHandle<E: EngineCalls> {
    engines: E,
    source: SocketAddrV4,
    /// `None` once a generation has resumed with it.
    text: Option<String>,
}

impl<E: EngineCalls> CopyHandle<E> {
    pub(super) fn new(engines: E, source: SocketAddrV4, text: String) -> Self {
        CopyHandle {
            engines,
            source,
            text: Some(text),
        }
    }

    pub(super) fn text(&self) -> &str {
        self.text.as_deref().unwrap_or_default()
    }

    /// Records that a generation has resumed with the handle, which frees it.
    pub(super) fn mark_used(mut self) {
        self.text = None;
    }
}

impl<E: EngineCalls> Drop for CopyHandle<E> {
    fn drop(&mut self) {
        let Some(text) = self.text.take() else { return };
        let (engines, source) = (self.engines.clone(), self.source);
        tokio::spawn(async move {
            engines.free_copy(source, &text, FREE_COPY_TIMEOUT).await;
        });
    }
}

/// A call that copies a generation.
#[derive(Clone)]
pub(super) struct CopyCall<E> {
    pub(super) engines: E,
    pub(super) source: Placement,
    pub(super) target: SocketAddrV4,
    /// Whether the engine stops the generation first.
    pub(super) stop: bool,
}

impl<E: EngineCalls> CopyCall<E> {
    pub(super) async fn send(&self, attempt: &str, limit: Duration) -> CopyOutcome {
        let order = CopyOrder {
            source: self.source.address,
            endpoint: &self.source.name,
            attempt,
            target: self.target,
            stop: self.stop,
        };
        self.engines.copy_generation(order, limit).await
    }

    /// Returns the handle in the outcome of the call, which is freed when dropped.
    pub(super) fn handle(&self, outcome: CopyOutcome) -> Option<CopyHandle<E>> {
        let text = outcome.into_handle()?;
        let source = self.source.address;
        Some(CopyHandle::new(self.engines.clone(), source, text))
    }
}

/// Counts a pre-copy at its target, and the generation as one that is about to resume.
pub(super) struct CopyGuards<W: Wire> {
    pub(super) usage: CopyUsageGuard<W>,
    pub(super) pending: PendingMove<W>,
}

/// A copy call in progress.
struct RunningCall {
    task: JoinHandle<CopyOutcome>,
    /// Whether it stops the generation.
    is_stop: bool,
}

/// A copy that is made while the generation still runs at an engine that leaves, or as that engine
/// stops it. Dropping it frees the copy, also one whose call is still in progress.
pub(super) struct PreCopy<W: Wire, E: EngineCalls> {
    call: CopyCall<E>,
    pub(super) target: Placement,
    running: Option<RunningCall>,
    /// Calls that another one replaced before they ended. Each may still make the copy, under the handle
    /// that the other one names.
    replaced: Vec<JoinHandle<CopyOutcome>>,
    /// The handle of the copy at the source, once the copy is complete.
    handle: Option<CopyHandle<E>>,
    /// What counts the copy and the move; `None` once it was taken.
    guards: Option<CopyGuards<W>>,
}

/// A complete copy to resume from.
pub(super) struct CompleteCopy<W: Wire, E: EngineCalls> {
    pub(super) target: Placement,
    pub(super) handle: CopyHandle<E>,
    pub(super) guards: CopyGuards<W>,
}

impl<W: Wire, E: EngineCalls> PreCopy<W, E> {
    /// Returns a copy from `source` to `target` that is not started yet.
    pub(super) fn new(
        engines: E,
        source: Placement,
        target: Placement,
        guards: CopyGuards<W>,
    ) -> Self {
        PreCopy {
            call: CopyCall {
                engines,
                source,
                target: target.address,
                stop: false,
            },
            target,
            running: None,
            replaced: Vec::new(),
            handle: None,
            guards: Some(guards),
        }
    }

    /// Starts the copy, or brings it up to date. If `stop` is set, the engine stops the generation
    /// first.
    pub(super) fn start(&mut self, attempt: &str, stop: bool) {
        let attempt = attempt.to_owned();
        let call = CopyCall {
            stop,
            ..self.call.clone()
        };
        let task = tokio::spawn(async move { call.send(&attempt, PRE_COPY_TIMEOUT).await });
        let running = RunningCall {
            task,
            is_stop: stop,
        };
        let replaced = self.running.replace(running);
        self.replaced.extend(replaced.map(|it| it.task));
    }

    /// Returns the order that stops the generation.
    pub(super) fn stop_order(&self) -> CopyCall<E> {
        CopyCall {
            stop: true,
            ..self.call.clone()
        }
    }

    /// Returns whether a call is in progress.
    pub(super) fn is_running(&self) -> bool {
        self.running.is_some()
    }

    /// Returns whether an order to stop the generation is in progress.
    pub(super) fn is_stopping(&self) -> bool {
        self.running.as_ref().is_some_and(|it| it.is_stop)
    }

    /// Stores the handle of a complete copy.
    pub(super) fn complete(&mut self, text: String) {
        // An engine that brings a copy up to date may name the same handle.
        if self.handle.as_ref().is_none_or(|it| it.text() != text) {
            let CopyCall {
                engines, source, ..
            } = &self.call;
            self.handle = Some(CopyHandle::new(engines.clone(), source.address, text));
        }
    }

    /// Returns the copy to resume from, `None` if it is not complete.
    pub(super) fn take(mut self) -> Option<CompleteCopy<W, E>> {
        let handle = self.handle.take()?;
        let in_use = handle.text().to_owned();
        self.free_outcomes(move |it| it.text() != in_use);
        Some(CompleteCopy {
            target: self.target.clone(),
            handle,
            guards: self.guards.take()?,
        })
    }

    /// Frees what the calls that have not ended may still make, if `is_unused` says so of its handle.
    fn free_outcomes(&mut self, is_unused: impl Fn(&CopyHandle<E>) -> bool + Send + 'static) {
        let running = self.running.take().map(|it| it.task);
        let tasks: Vec<_> = self.replaced.drain(..).chain(running).collect();
        if tasks.is_empty() {
            return;
        }
        let call = self.call.clone();
        tokio::spawn(async move {
            let mut last: Option<CopyHandle<E>> = None;
            for task in tasks {
                let outcome = task.await.unwrap_or(CopyOutcome::NoAnswer);
                let Some(handle) = call.handle(outcome) else {
                    continue;
                };
                let is_known = last.as_ref().is_some_and(|it| it.text() == handle.text());
                match is_unused(&handle) && !is_known {
                    true => last = Some(handle),
                    false => handle.mark_used(),
                }
            }
        });
    }
}

impl<W: Wire, E: EngineCalls> Drop for PreCopy<W, E> {
    fn drop(&mut self) {
        // An engine frees a copy only once it is complete.
        let handle = self.handle.take();
        if self.running.is_none() && self.replaced.is_empty() {
            return;
        }
        match handle {
            None => self.free_outcomes(|_| true),
            Some(handle) => {
                let text = handle.text().to_owned();
                // The handle is freed with the closure, once all calls have ended.
                self.free_outcomes(move |it| {
                    let _freed_later = &handle;
                    it.text() != text
                });
            }
        }
    }
}

/// Waits for the copy call in progress to end; never returns if there is none.
pub(super) async fn wait_for_end<W: Wire, E: EngineCalls>(
    pre_copy: &mut Option<PreCopy<W, E>>,
) -> CopyOutcome {
    let Some(PreCopy {
        running: Some(running),
        ..
    }) = pre_copy
    else {
        return core::future::pending().await;
    };
    let outcome = (&mut running.task).await.unwrap_or(CopyOutcome::NoAnswer);
    if let Some(pre_copy) = pre_copy {
        pre_copy.running = None;
    }
    outcome
}
