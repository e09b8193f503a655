//! The table of existing and wanted links.

use super::auth::{AuthenticatedPeer, VERSION_MIN};
use super::link::LinkEnd;
use super::queue::Queue;
use super::{PeerEvent, PeersConfig, Rejection};
use core::time::Duration;
use oriolemux_core::event::{PeerId, PeerTarget};
use oriolemux_core::ids::{Incarnation, InstanceKey};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::{Notify, mpsc};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Two connections established within this time were dialled by both sides at once. A later second
/// connection means that its dialler has lost the first.
const SIMULTANEOUS_DIAL_WINDOW: Duration = Duration::from_secs(2);

/// How many replaced incarnations are remembered for each instance.
const MAX_REPLACED_INCARNATIONS: usize = 4;

/// How long a shutdown waits for links to send their queued frames.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// A link that is up.
#[derive(Debug)]
struct ActiveLink {
    peer: PeerId,
    dialler: InstanceKey,
    since: Instant,
    drain: CancellationToken,
    retired: CancellationToken,
    abort: CancellationToken,
    serial: u64,
}

/// The state of one peer.
#[derive(Debug)]
struct Entry {
    target: Option<PeerTarget>,
    dialling: bool,
    queue: Arc<Queue>,
    live: Option<ActiveLink>,
    replaced: Vec<Incarnation>,
    /// The protocol version of the current link, or of the last one.
    version: u16,
    changed: Arc<Notify>,
}

impl Entry {
    fn new(cfg: &PeersConfig) -> Self {
        Entry {
            target: None,
            dialling: false,
            queue: Arc::new(Queue::new(cfg.max_queued_frames)),
            live: None,
            replaced: Vec::new(),
            version: VERSION_MIN,
            changed: Arc::default(),
        }
    }

    fn remember_replaced(&mut self, was: Incarnation) {
        self.replaced.push(was);
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.remove(0);
        }
    }
}

/// A registered link that is ready to run.
#[derive(Debug)]
pub(super) struct Registration {
    pub peer: PeerId,
    pub queue: Arc<Queue>,
    /// Cancelled to send the queued frames and close the link in order.
    pub drain: CancellationToken,
    /// Cancelled when another connection takes over the queue.
    pub retired: CancellationToken,
    /// Cancelled to drop the link immediately.
    pub abort: CancellationToken,
    serial: u64,
}

/// What a dialling task is to do.
#[derive(Debug)]
pub(super) enum DialState {
    /// End, because the link is no longer wanted.
    Unwanted,
    /// Wait for a change, because there is a link.
    Linked(Arc<Notify>),
    /// Dial the peer.
    Dial(PeerTarget),
}

#[derive(Debug, Default)]
struct Table {
    entries: BTreeMap<InstanceKey, Entry>,
    serial: u64,
}

/// The state that all tasks of the links share.
#[derive(Debug)]
pub(super) struct Shared {
    cfg: PeersConfig,
    events: mpsc::Sender<PeerEvent>,
    table: Mutex<Table>,
    /// Held while a link changes and the events are sent, so that the node receives events in the
    /// order of the changes.
    order: tokio::sync::Mutex<()>,
    /// Cancelled when no new link is taken any more.
    closing: CancellationToken,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Shared {
    pub fn new(cfg: PeersConfig, events: mpsc::Sender<PeerEvent>) -> Self {
        Shared {
            cfg,
            events,
            table: Mutex::default(),
            order: tokio::sync::Mutex::default(),
            closing: CancellationToken::new(),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    pub fn cfg(&self) -> &PeersConfig {
        &self.cfg
    }

    pub fn events(&self) -> &mpsc::Sender<PeerEvent> {
        &self.events
    }

    pub fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// Cancelled when no new links are accepted.
    pub fn closing(&self) -> &CancellationToken {
        &self.closing
    }

    /// Cancelled when the process stops.
    pub fn stop(&self) -> &CancellationToken {
        &self.stop
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the wanted links; returns those that need a dialling task.
    pub fn set_targets(&self, targets: Vec<PeerTarget>) -> Vec<InstanceKey> {
        let mut table = self.table();
        let mut wanted: BTreeMap<InstanceKey, PeerTarget> =
            targets.into_iter().map(|it| (it.key, it)).collect();
        wanted.remove(&self.cfg.id.instance);
        for (key, entry) in &mut table.entries {
            let target = wanted.remove(key);
            if entry.target != target {
                entry.target = target;
                entry.changed.notify_waiters();
            }
        }
        for (key, target) in wanted {
            let mut entry = Entry::new(&self.cfg);
            entry.target = Some(target);
            table.entries.insert(key, entry);
        }
        let idle = table.entries.iter_mut();
        let idle = idle.filter(|(_, it)| it.target.is_some() && !it.dialling);
        idle.map(|(&key, entry)| {
            entry.dialling = true;
            key
        })
        .collect()
    }

    /// Returns the queue and the protocol version of a peer that is linked or is to be linked.
    pub fn queue(&self, key: InstanceKey) -> Option<(Arc<Queue>, u16)> {
        let table = self.table();
        let entry = table.entries.get(&key)?;
        let usable = entry.live.is_some() || entry.target.is_some();
        usable.then(|| (Arc::clone(&entry.queue), entry.version))
    }

    pub fn links(&self) -> usize {
        let table = self.table();
        table
            .entries
            .values()
            .filter(|it| it.live.is_some())
            .count()
    }

    pub fn is_wanted(&self, key: InstanceKey) -> bool {
        let table = self.table();
        table
            .entries
            .get(&key)
            .is_some_and(|it| it.target.is_some())
    }

    /// Returns what the dialling task of a peer is to do.
    pub fn dial_state(&self, key: InstanceKey) -> DialState {
        let mut table = self.table();
        let Some(entry) = table.entries.get_mut(&key) else {
            return DialState::Unwanted;
        };
        let Some(target) = &entry.target else {
            entry.dialling = false;
            table.forget_unused(key);
            return DialState::Unwanted;
        };
        match &entry.live {
            Some(_) => DialState::Linked(Arc::clone(&entry.changed)),
            None => DialState::Dial(target.clone()),
        }
    }

    /// Registers an authenticated connection as the link to its peer.
    pub async fn register(
        &self,
        authenticated: AuthenticatedPeer,
        dialler: InstanceKey,
    ) -> Result<Registration, Rejection> {
        let _order = self.order.lock().await;
        if self.closing.is_cancelled() {
            return Err(Rejection::Closed);
        }
        let (registration, events) = self.table().register(&self.cfg, authenticated, dialler)?;
        for event in events {
            let _ = self.events.send(event).await;
        }
        Ok(registration)
    }

    /// Removes a link that has ended, and notifies the node.
    pub async fn ended(&self, registration: &Registration, end: LinkEnd) {
        let _order = self.order.lock().await;
        if !self.table().remove(registration) {
            return;
        }
        let event = match end {
            LinkEnd::Closed => PeerEvent::Idle(registration.peer),
            LinkEnd::Broken(_) => PeerEvent::Down(registration.peer),
        };
        let _ = self.events.send(event).await;
    }

    /// Notifies the node that a peer could not be reached.
    pub async fn unreachable(&self, instance: InstanceKey) {
        let _order = self.order.lock().await;
        if !self.table().drop_unsent(instance) {
            return;
        }
        let peer = PeerId {
            instance,
            incarnation: Incarnation(0),
        };
        let _ = self.events.send(PeerEvent::Down(peer)).await;
    }

    /// Notifies the node of a rejected connection, unless its queue is full.
    pub fn rejected(&self, rejection: Rejection) {
        let _ = self.events.try_send(PeerEvent::Rejected(rejection));
    }

    pub async fn shutdown(&self) {
        self.closing.cancel();
        for entry in self.table().entries.values_mut() {
            entry.target = None;
            entry.changed.notify_waiters();
            if let Some(live) = &entry.live {
                live.drain.cancel();
            }
        }
        let drained = async {
            while self.links() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let _ = timeout(SHUTDOWN_TIMEOUT, drained).await;
        self.stop.cancel();
        self.tasks.close();
        let _ = timeout(SHUTDOWN_TIMEOUT, self.tasks.wait()).await;
    }
}

impl Table {
    fn register(
        &mut self,
        cfg: &PeersConfig,
        authenticated: AuthenticatedPeer,
        dialler: InstanceKey,
    ) -> Result<(Registration, Vec<PeerEvent>), Rejection> {
        let peer = authenticated.peer;
        let entry = self.entries.entry(peer.instance);
        let entry = entry.or_insert_with(|| Entry::new(cfg));
        if entry.replaced.contains(&peer.incarnation) {
            return Err(Rejection::ReplacedIncarnation);
        }
        let events = entry.replace_link(peer, dialler)?;
        self.serial += 1;
        let live = ActiveLink {
            peer,
            dialler,
            since: Instant::now(),
            drain: CancellationToken::new(),
            retired: CancellationToken::new(),
            abort: CancellationToken::new(),
            serial: self.serial,
        };
        let registration = Registration {
            peer,
            queue: Arc::clone(&entry.queue),
            drain: live.drain.clone(),
            retired: live.retired.clone(),
            abort: live.abort.clone(),
            serial: live.serial,
        };
        entry.live = Some(live);
        entry.version = authenticated.version;
        entry.changed.notify_waiters();
        Ok((registration, events))
    }

    /// Removes a link unless another one has replaced it; returns whether it was removed.
    fn remove(&mut self, registration: &Registration) -> bool {
        let key = registration.peer.instance;
        let Some(entry) = self.entries.get_mut(&key) else {
            return false;
        };
        let ended = entry.live.take_if(|it| it.serial == registration.serial);
        let Some(live) = ended else {
            return false;
        };
        // A link that ends soon after it was established was superseded by the one that both
        // sides prefer; the queued frames are sent over that one.
        if live.since.elapsed() > SIMULTANEOUS_DIAL_WINDOW {
            entry.queue.clear();
        }
        entry.changed.notify_waiters();
        self.forget_unused(key);
        true
    }

    /// Drops the queued frames of a peer that is not linked; returns `false` if it is linked or
    /// unknown.
    fn drop_unsent(&mut self, key: InstanceKey) -> bool {
        let Some(entry) = self.entries.get(&key) else {
            return false;
        };
        if entry.live.is_some() {
            return false;
        }
        entry.queue.clear();
        true
    }

    /// Removes a peer that is neither linked nor dialled. Peers with replaced incarnations are
    /// kept, because a frozen process of an old incarnation may continue.
    fn forget_unused(&mut self, key: InstanceKey) {
        let unused = self.entries.get(&key).is_some_and(|it| {
            it.live.is_none() && it.target.is_none() && !it.dialling && it.replaced.is_empty()
        });
        if unused {
            self.entries.remove(&key);
        }
    }
}

impl Entry {
    /// Decides whether a new connection replaces the current link; returns the events for the
    /// node.
    fn replace_link(
        &mut self,
        peer: PeerId,
        dialler: InstanceKey,
    ) -> Result<Vec<PeerEvent>, Rejection> {
        let Some(live) = &self.live else {
            return Ok(vec![PeerEvent::Up(peer)]);
        };
        let was = live.peer;
        if was.incarnation != peer.incarnation {
            live.abort.cancel();
            self.queue.clear();
            self.remember_replaced(was.incarnation);
            return Ok(vec![PeerEvent::Down(was), PeerEvent::Up(peer)]);
        }
        // Both sides dialled at the same time. Both keep the connection that the smaller key
        // dialled, otherwise each would close the one that the other keeps.
        if live.since.elapsed() < SIMULTANEOUS_DIAL_WINDOW && dialler > live.dialler {
            return Err(Rejection::Duplicate);
        }
        live.retired.cancel();
        // What was written to the old connection may never arrive: if only one direction stalls,
        // this side sees no failure. Without the event, requests that the node sent over it would
        // wait for an answer until they expire.
        Ok(vec![PeerEvent::Up(peer)])
    }
}
