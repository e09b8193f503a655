//! What all tasks of the gateway share.

use crate::log_event;
use crate::meters::ByReason;
use crate::ports::Wire;
use crate::store::Source;
use core::time::Duration;
use oriolemux_core::gateway::rate_limits::LimitChange;
use oriolemux_core::gateway::{Cordon, CordonEffect, Gateway};
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::time::Time;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Instant;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

/// The monotonic clock of the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Clock(Instant::now())
    }

    /// Returns a point of the clock as an instant; nothing if it is never reached.
    pub fn instant(self, at: Time) -> Option<Instant> {
        if at == Time::NEVER {
            return None;
        }
        self.0.checked_add(Duration::from_micros(at.as_micros()))
    }

    /// Returns the time since the start.
    pub fn now(self) -> Time {
        let micros = self.0.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Bounds of the sockets.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLimits {
    /// A connection to an endpoint must be made within this time.
    pub connect: Duration,
    /// The most connections of callers.
    pub connections: usize,
}

/// What all tasks of the gateway share.
pub struct Cx<W> {
    /// The names and formats of the platform.
    pub wire: W,
    /// The clock.
    pub clock: Clock,
    /// Bounds of the sockets.
    pub limits: GatewayLimits,
    /// Told when what is known of the store has changed.
    pub replica_changed: Notify,
    /// Told when endpoints began to leave, or their data centre was closed.
    pub departures: Notify,
    /// Told when a home may have decided about a place.
    pub decided: Notify,
    /// Told when there is news of requests that end endpoints.
    pub suspects_changed: Notify,
    /// Told when peers should hear of something soon.
    pub gossip_due: Notify,
    /// Told when a peer knows more of the store.
    pub catch_up_due: Notify,
    /// Cancelled when the planned stop begins.
    pub stopping: CancellationToken,
    /// Cancelled when callers' idle connections are to be closed.
    pub closing: CancellationToken,
    state: Mutex<Gateway>,
    sent: Mutex<BTreeMap<&'static str, SentTotals>>,
    open: [AtomicUsize; OPEN_KINDS],
    stop: OnceLock<StopPlan>,
}

/// What was sent to peers for one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Datagrams, or answers over a connection.
    pub messages: u64,
    /// Their bytes, without those of the transport.
    pub bytes: u64,
}

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    /// Generations that come later are refused, not run.
    pub no_generations_from: Instant,
    /// All that comes later is refused, not run.
    pub no_calls_from: Instant,
    /// What still runs then is cut off.
    pub deadline: Instant,
}

/// What is counted while it is open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenKind {
    /// A caller's connection.
    Connection,
    /// A request, until the head of its answer is ready.
    Request,
    /// A generation, until its last event is passed on.
    Generation,
    /// A peer that is told much of what the store published, until it has read it.
    LargeTransfer,
}

/// How many kinds of [`OpenKind`] there are.
const OPEN_KINDS: usize = 4;

impl<W: Wire> Cx<W> {
    /// Puts the decisions behind what all tasks share.
    pub fn new(wire: W, clock: Clock, limits: GatewayLimits, state: Gateway) -> Arc<Self> {
        Arc::new(Cx {
            wire,
            clock,
            limits,
            replica_changed: Notify::new(),
            departures: Notify::new(),
            decided: Notify::new(),
            suspects_changed: Notify::new(),
            gossip_due: Notify::new(),
            catch_up_due: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            state: Mutex::new(state),
            sent: Mutex::default(),
            open: [const { AtomicUsize::new(0) }; OPEN_KINDS],
            stop: OnceLock::new(),
        })
    }

    /// Returns the decisions. Never hold them across an await.
    pub fn state(&self) -> MutexGuard<'_, Gateway> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the published name of an endpoint, for logs; its key if it is not known.
    pub fn endpoint_name(&self, key: EndpointKey) -> String {
        let state = self.state();
        let known = state.endpoints.get(key);
        known.map_or_else(|| key.to_string(), |endpoint| endpoint.record.name.clone())
    }

    /// Counts something until what is returned is dropped.
    pub fn count(self: &Arc<Self>, what: OpenKind) -> OpenGuard<W> {
        self.open[what as usize].fetch_add(1, Ordering::Relaxed);
        OpenGuard {
            cx: Arc::clone(self),
            what,
        }
    }

    /// Counts a caller's connection until what is returned is dropped; nothing if there are too many.
    pub fn open_connection(self: &Arc<Self>) -> Option<OpenGuard<W>> {
        let guard = self.count(OpenKind::Connection);
        (self.open_count(OpenKind::Connection) <= self.limits.connections).then_some(guard)
    }

    /// Counts a peer that is told much until what is returned is dropped; nothing if `most`
    /// are told already.
    pub fn begin_large_transfer(self: &Arc<Self>, most: usize) -> Option<OpenGuard<W>> {
        let guard = self.count(OpenKind::LargeTransfer);
        (self.open_count(OpenKind::LargeTransfer) <= most).then_some(guard)
    }

    /// Returns how many are open.
    pub fn open_count(&self, what: OpenKind) -> usize {
        self.open[what as usize].load(Ordering::Relaxed)
    }

    /// Counts what was sent to a peer.
    pub fn record_sent(&self, purpose: &'static str, bytes: usize) {
        ByReason::PeerMessages.add(purpose);
        ByReason::PeerBytes.add_many(purpose, bytes as u64);
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = sent.entry(purpose).or_default();
        sent.messages += 1;
        sent.bytes += bytes as u64;
    }

    /// Returns what was sent to peers, by purpose.
    pub fn sent(&self) -> BTreeMap<&'static str, SentTotals> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self, plan: StopPlan) {
        self.stop.get_or_init(|| plan);
        self.state().stop();
        self.stopping.cancel();
        self.gossip_due.notify_one();
    }

    /// Returns whether a generation that is expected to take so long may begin.
    ///
    /// What goes wrong otherwise: a generation that came late in a planned stop, and is
    /// longer than expected, is cut off when the stop ends. Those that came before
    /// the balancer can have noticed cannot be refused for that; later ones can.
    pub fn accepts_generation(&self, expected: Duration) -> bool {
        let now = Instant::now();
        self.stop
            .get()
            .is_none_or(|plan| now < plan.no_generations_from && now + expected <= plan.deadline)
    }

    /// Returns whether a call may begin.
    pub fn accepts_call(&self) -> bool {
        let now = Instant::now();
        self.stop.get().is_none_or(|plan| now < plan.no_calls_from)
    }

    /// Tells those who wait, and peers, that there is news of requests that end endpoints.
    pub fn announce_suspects(&self) {
        self.suspects_changed.notify_waiters();
        self.decided.notify_waiters();
        self.gossip_due.notify_one();
    }

    /// Tells those who wait, and peers, what the operator said about a data centre.
    pub fn announce_cordon(&self, cordon: &Cordon, effect: CordonEffect, from: Source) {
        if effect == CordonEffect::Outdated {
            return;
        }
        let state = self.state();
        let endpoints = state.endpoints.in_data_centre(&cordon.data_centre).count();
        drop(state);
        let data_centre = cordon.data_centre.as_str();
        let (revision, is_news) = (cordon.revision, effect == CordonEffect::Changed);
        match cordon.is_closed {
            true => log_event!(
                DataCentreCordoned,
                data_centre = data_centre,
                revision = revision,
                from = from.label(),
                endpoints = endpoints,
                is_news = is_news
            ),
            false => log_event!(
                CordonLifted,
                data_centre = data_centre,
                revision = revision,
                from = from.label(),
                endpoints = endpoints,
                is_news = is_news
            ),
        }
        self.replica_changed.notify_waiters();
        self.departures.notify_waiters();
        self.decided.notify_waiters();
        self.gossip_due.notify_one();
    }

    /// Tells those who wait, and peers, that endpoints began to leave.
    pub fn announce_leaving(&self, endpoints: &[EndpointKey]) {
        for &endpoint in endpoints {
            let name = self.endpoint_name(endpoint);
            log_event!(EndpointLeaving, endpoint = name.as_str());
        }
        if !endpoints.is_empty() {
            self.state().gossip_leaving(endpoints);
            self.replica_changed.notify_waiters();
            self.departures.notify_waiters();
            self.gossip_due.notify_one();
        }
    }

    /// Tells what an endpoint or a peer said about an endpoint's limit, and lets peers hear it.
    pub fn announce_limit(&self, change: &LimitChange, from: Source) {
        let name = self.endpoint_name(change.endpoint);
        let before = change.before.unwrap_or(0.0);
        match change.after {
            Some(after) => log_event!(
                LimitReported,
                endpoint = name.as_str(),
                before = before,
                after = after,
                from = from.label()
            ),
            None => log_event!(
                LimitLifted,
                endpoint = name.as_str(),
                before = before,
                from = from.label()
            ),
        }
        self.gossip_due.notify_one();
    }
}

/// Something that is open.
pub struct OpenGuard<W> {
    cx: Arc<Cx<W>>,
    what: OpenKind,
}

impl<W> Drop for OpenGuard<W> {
    fn drop(&mut self) {
        self.cx.open[self.what as usize].fetch_sub(1, Ordering::Relaxed);
    }
}
