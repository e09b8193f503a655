//! The context that all tasks of the gateway share.

use crate::bodies::KeptBodies;
use crate::buffered::KeptResponses;
use crate::connections::Connections;
use crate::front::Activity;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::Wire;
use crate::proxy::links::ProxyLinks;
use crate::stop_plan::{CallDemand, StopPlan};
use crate::store::Source;
use crate::stream_room::StreamRooms;
use core::time::Duration;
use oriolemux_core::gateway::body_memory::BodyBounds;
use oriolemux_core::gateway::brittle::BrittleChange;
use oriolemux_core::gateway::connection_bounds::ConnectionBounds;
use oriolemux_core::gateway::rate_limits::LimitChange;
use oriolemux_core::gateway::state::Placement;
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

    /// Converts a time of this clock to an instant; `None` if it is never reached.
    pub fn instant(self, at: Time) -> Option<Instant> {
        if at == Time::NEVER {
            return None;
        }
        self.0.checked_add(Duration::from_micros(at.as_micros()))
    }

    /// Returns the time since the start of the clock.
    pub fn now(self) -> Time {
        let micros = self.0.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

/// Limits of the sockets.
#[derive(Clone, Copy, Debug)]
pub struct GatewayLimits {
    /// The timeout for connecting to an endpoint.
    pub connect: Duration,
    /// The connections that each listener may hold.
    pub connections: ConnectionBounds,
    /// A caller that accepts no data for this long counts as disconnected.
    pub write: Duration,
    /// The memory that the process may use, in bytes.
    pub memory: usize,
}

/// The context that all tasks of the gateway share.
pub struct Cx<W> {
    /// The platform's names and formats.
    pub wire: W,
    /// The clock.
    pub clock: Clock,
    /// Limits of the sockets.
    pub limits: GatewayLimits,
    /// The bodies of callers' requests.
    pub bodies: Arc<KeptBodies>,
    /// The responses that are read to their end.
    pub responses: Arc<KeptResponses>,
    /// The events of streams that are not written to their callers.
    pub streams: Arc<StreamRooms>,
    /// The connections of callers.
    pub(crate) callers: Arc<Connections<Activity>>,
    /// Connections to peers that serve requests for this instance.
    pub proxy_links: ProxyLinks,
    /// Notified when the replica of the store has changed.
    pub replica_changed: Notify,
    /// Notified when endpoints begin to leave or a data centre is cordoned.
    pub departures: Notify,
    /// Notified when a home may have decided a placement.
    pub decided: Notify,
    /// Notified when this instance is partitioned from a service.
    pub partitioned: Notify,
    /// Notified when crash records of suspects have changed.
    pub suspects_changed: Notify,
    /// Notified when gossip should be sent soon.
    pub gossip_due: Notify,
    /// Notified when a peer has a later revision of the store.
    pub catch_up_due: Notify,
    /// Cancelled when the planned stop begins.
    pub stopping: CancellationToken,
    /// Cancelled when idle caller connections should be closed.
    pub closing: CancellationToken,
    /// Cancelled shortly before the end of a planned stop, when requests without a response are
    /// answered.
    pub ending: CancellationToken,
    /// Cancelled at the end of a planned stop, when caller connections are ended with their requests.
    pub aborting: CancellationToken,
    state: Mutex<Gateway>,
    sent: Mutex<BTreeMap<&'static str, SentTotals>>,
    open: [AtomicUsize; OPEN_KINDS],
    stop: OnceLock<StopPlan>,
}

/// The totals of what was sent to peers for one purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentTotals {
    /// Datagrams, and responses over connections.
    pub messages: u64,
    /// Their payload bytes, without transport headers.
    pub bytes: u64,
}

/// The things that are counted while they are open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenKind {
    /// A caller's connection.
    Connection,
    /// A request, until the head of its response is ready.
    Request,
    /// A generation, until its last event is forwarded.
    Generation,
    /// A large delta of the store's records, until the peer has read it.
    LargeTransfer,
    /// A request that is served for a peer.
    Proxied,
}

/// The number of variants of [`OpenKind`].
const OPEN_KINDS: usize = 5;

impl<W: Wire> Cx<W> {
    /// Creates the shared context around the decision state.
    pub fn new(wire: W, clock: Clock, limits: GatewayLimits, state: Gateway) -> Arc<Self> {
        let callers = Connections::new("callers", limits.connections.callers);
        Arc::new(Cx {
            wire,
            clock,
            limits,
            bodies: KeptBodies::new(BodyBounds::of_memory(limits.memory)),
            responses: KeptResponses::of_callers(limits.memory, Arc::clone(&callers)),
            streams: StreamRooms::new(limits.memory),
            callers,
            proxy_links: ProxyLinks::default(),
            replica_changed: Notify::new(),
            departures: Notify::new(),
            decided: Notify::new(),
            partitioned: Notify::new(),
            suspects_changed: Notify::new(),
            gossip_due: Notify::new(),
            catch_up_due: Notify::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            aborting: CancellationToken::new(),
            state: Mutex::new(state),
            sent: Mutex::default(),
            open: [const { AtomicUsize::new(0) }; OPEN_KINDS],
            stop: OnceLock::new(),
        })
    }

    /// Locks the decision state. The lock must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, Gateway> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time of the context's clock.
    pub fn now(&self) -> Time {
        self.clock.now()
    }

    /// Returns the published name of an endpoint, for logs; its key if the endpoint is not known.
    pub fn endpoint_name(&self, key: EndpointKey) -> String {
        let state = self.state();
        let known = state.endpoints.get(key);
        known.map_or_else(|| key.to_string(), |endpoint| endpoint.record.name.clone())
    }

    /// Counts something as open until the guard is dropped.
    pub fn count(self: &Arc<Self>, what: OpenKind) -> OpenGuard<W> {
        self.open[what as usize].fetch_add(1, Ordering::Relaxed);
        OpenGuard {
            cx: Arc::clone(self),
            what,
        }
    }

    /// Counts a large transfer to a peer until the guard is dropped; `None` if `most` transfers
    /// are in progress already.
    pub fn begin_large_transfer(self: &Arc<Self>, most: usize) -> Option<OpenGuard<W>> {
        let guard = self.count(OpenKind::LargeTransfer);
        (self.open_count(OpenKind::LargeTransfer) <= most).then_some(guard)
    }

    /// Returns how many of `what` are open.
    pub fn open_count(&self, what: OpenKind) -> usize {
        self.open[what as usize].load(Ordering::Relaxed)
    }

    /// Counts a message that was sent to a peer.
    pub fn record_sent(&self, purpose: &'static str, bytes: usize) {
        ByReason::PeerMessages.add(purpose);
        ByReason::PeerBytes.add_many(purpose, bytes as u64);
        let mut sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        let sent = sent.entry(purpose).or_default();
        sent.messages += 1;
        sent.bytes += bytes as u64;
    }

    /// Returns the totals of what was sent to peers, by purpose.
    pub fn sent(&self) -> BTreeMap<&'static str, SentTotals> {
        let sent = self.sent.lock().unwrap_or_else(PoisonError::into_inner);
        sent.clone()
    }

    /// Begins a planned stop. Only the first call sets the schedule.
    pub fn begin_stop(&self, plan: StopPlan) {
        self.stop.get_or_init(|| plan);
        self.state().stop();
        self.stopping.cancel();
        self.gossip_due.notify_one();
    }

    /// Returns whether a generation that has just arrived may begin ([`StopPlan::admits_generation`]).
    pub fn admits_generation(&self, expected: Duration) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|plan| plan.admits_generation(Instant::now(), expected))
    }

    /// Returns whether a generation that has waited for an engine may begin
    /// ([`StopPlan::admits_queued_generation`]).
    pub fn admits_queued_generation(&self, expected: Duration) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|plan| plan.admits_queued_generation(Instant::now(), expected))
    }

    /// Returns whether a call may be sent to an endpoint ([`StopPlan::admits_call`]).
    pub fn admits_call(&self, call: &CallDemand) -> bool {
        let stop = self.stop.get();
        stop.is_none_or(|plan| plan.admits_call(Instant::now(), call))
    }

    /// Wakes waiting requests and schedules gossip after crash records of suspects changed.
    pub fn announce_suspects(&self) {
        self.suspects_changed.notify_waiters();
        self.decided.notify_waiters();
        self.gossip_due.notify_one();
    }

    /// Logs a cordon that was set or lifted, wakes waiting requests and schedules gossip.
    pub fn announce_cordon(&self, cordon: &Cordon, effect: CordonEffect, from: Source) {
        if effect == CordonEffect::Outdated {
            return;
        }
        let state = self.state();
        let endpoints = state.endpoints.in_data_centre(&cordon.data_centre).count();
        drop(state);
        let data_centre = cordon.data_centre.as_str();
        let (revision, is_news) = (cordon.revision.number, effect == CordonEffect::Changed);
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

    /// Logs endpoints that begin to leave, wakes waiting requests and schedules gossip.
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

    /// Logs endpoints whose record is gone, and wakes waiting requests and generations there.
    pub fn announce_absent(&self, endpoints: &[EndpointKey]) {
        for &endpoint in endpoints {
            let name = self.endpoint_name(endpoint);
            log_event!(EndpointAbsent, endpoint = name.as_str());
        }
        if !endpoints.is_empty() {
            self.replica_changed.notify_waiters();
            self.departures.notify_waiters();
        }
    }

    /// Logs an endpoint whose record is back, and wakes waiting requests.
    pub fn announce_returned(&self, endpoint: EndpointKey) {
        let name = self.endpoint_name(endpoint);
        log_event!(EndpointReturned, endpoint = name.as_str());
        self.replica_changed.notify_waiters();
    }

    /// Returns whether a timeout that passes now says something about the endpoint or peer that was
    /// waited for since `began`. It does not if this instance itself was late meanwhile.
    pub fn is_evidence(&self, what: &'static str, began: Time) -> bool {
        let now = self.now();
        let is_evidence = self.state().own_delay.is_evidence(now, began);
        if !is_evidence {
            ByReason::IgnoredTimeouts.add(what);
        }
        is_evidence
    }

    /// Records that a connection to an endpoint was opened in `time`.
    pub fn on_connected(&self, place: &Placement, time: Duration) {
        let now = self.now();
        if !self.state().on_connected(now, place.key, time) {
            return;
        }
        let endpoint = self.state().endpoints.get(place.key).cloned();
        let service = endpoint.as_ref().map_or("-", |it| &it.record.service);
        log_event!(
            ServiceReached,
            service = service,
            endpoint = place.name.as_str()
        );
        self.decided.notify_waiters();
    }

    /// Records that a connection attempt to an endpoint that began at `began` was given up or that a
    /// probe failed.
    pub fn on_connect_abandoned(&self, place: &Placement, began: Time) {
        let now = self.now();
        if self.is_evidence("connect", began) && self.state().on_connect_abandoned(now, place.key) {
            self.log_partition(place);
        }
    }

    /// Records that an endpoint refused the connection of a probe that began at `began`.
    pub fn on_probe_refused(&self, place: &Placement, began: Time) {
        let now = self.now();
        if !self.is_evidence("connect", began) {
            return;
        }
        let outcome = self.state().on_probe_refused(now, began, place.key);
        if outcome.is_ejected {
            log_event!(EndpointEjected, endpoint = place.name.as_str());
        }
        if outcome.is_partitioned {
            self.log_partition(place);
        }
    }

    /// Records that a connection attempt that began at `began` hangs.
    pub fn on_connect_hanging(&self, place: &Placement, began: Time) {
        let now = self.now();
        let is_partitioned = self.is_evidence("connect", began)
            && self.state().on_connect_hanging(now, began, place.key);
        log_event!(
            ConnectHangs,
            endpoint = place.name.as_str(),
            ms = millis(now.since(began)),
            begins = is_partitioned
        );
        if is_partitioned {
            self.log_partition(place);
        }
    }

    /// Logs that this instance is partitioned from the service of an endpoint, and wakes requests
    /// that wait for a connection to it.
    pub fn log_partition(&self, place: &Placement) {
        self.partitioned.notify_waiters();
        let endpoint = self.state().endpoints.get(place.key).cloned();
        let service = endpoint.as_ref().map_or("-", |it| &it.record.service);
        log_event!(
            ServicePartitioned,
            service = service,
            endpoint = place.name.as_str()
        );
    }

    /// Logs how many rejections an endpoint tolerates and schedules gossip.
    pub fn announce_brittle(&self, change: &BrittleChange, from: Source) {
        let name = self.endpoint_name(change.endpoint);
        log_event!(
            BrittleStated,
            endpoint = name.as_str(),
            before:? = change.before,
            after = change.after,
            from = from.label()
        );
        self.gossip_due.notify_one();
    }

    /// Logs a change of an endpoint's rate limit and schedules gossip.
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

/// Counts something as open until dropped.
pub struct OpenGuard<W> {
    cx: Arc<Cx<W>>,
    what: OpenKind,
}

impl<W> Drop for OpenGuard<W> {
    fn drop(&mut self) {
        self.cx.open[self.what as usize].fetch_sub(1, Ordering::Relaxed);
    }
}
