//! The complete node: all parts of the core behind one event type and one action type.
//!
//! [`Node::handle`] takes one [`Event`] and the time, and appends the resulting [`Action`]s. A node
//! has every role at once: it is the *entry instance* of its own callers' requests, and the *home*
//! of some cells, limits and keys: the instance that decides for them, chosen by rendezvous
//! hashing. The roles exchange messages even when both are this process (`loopback`), so that there
//! is one code path to test.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `validate` | checks a new request against the catalogue |
//! | `claims` | requests the claim of a ticket or idempotency key |
//! | `placement` | chooses a cell and requests a grant from its home |
//! | `limits` | admits requests within the limits of entries and workspaces |
//! | `attempt` | dispatches, follows and retries attempts |
//! | `confirm` | as a home, asks entry instances which of their requests still exist |
//! | `home` | the cells whose home is this node |
//! | `orders` | orders to endpoints: models to load and unload, roles |
//! | `fleet` | reacts to instances and endpoints that join, leave or fail |
//! | `platform` | values read from the platform |
//! | `suspects` | requests that may crash endpoints |
//! | `stop` | planned stop |

mod attempt;
mod claims;
mod confirm;
mod ejections;
mod fleet;
mod home;
mod limits;
mod orders;
mod placement;
mod platform;
mod request;
mod snapshot;
mod stop;
mod suspects;
mod timers;
mod validate;

pub use home::POLL_INTERVAL;
pub use snapshot::{NodeSnapshot, RequestCounts};

use crate::catalogue::sync::{CatalogueSync, SyncAction, SyncConfig};
use crate::cell::message::Checkpoint;
use crate::event::{Action, Event, PeerId};
use crate::explain::{Explain, Step};
use crate::ids::{Incarnation, InstanceKey, RequestId};
use crate::keys::{Keys, KeysAction, KeysConfig};
use crate::limits::{Leases, LimitHome, LimitsAction};
use crate::membership::{Membership, MembershipAction, MembershipConfig};
use crate::note::Note;
use crate::orders::{Orders, OrdersConfig};
use crate::peer::{PeerEnvelope, PeerMessage};
use crate::reason::{Outcome, Reason};
use crate::retry::RetryBudget;
use crate::time::Time;
use claims::PendingTicket;
use core::time::Duration;
use home::Homes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use request::Request;
use std::collections::{BTreeMap, VecDeque};
use stop::StopPhase;
use suspects::Suspects;
use timers::{TimerKind, Timers};

/// Separates the jitter of the catalogue synchronisation from that of membership.
const SYNC_SEED: u64 = 0x5359_4e43;

/// Separates the jitter of orders from that of membership.
const ORDERS_SEED: u64 = 0x4f52_4452;

/// Configuration of a node.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The name under which the platform publishes this instance.
    pub name: String,
    /// The incarnation of this process, chosen at random.
    pub incarnation: Incarnation,
    /// The data centre of this instance.
    pub data_centre: String,
    /// Seed of all jitter.
    pub seed: u64,
    /// How long an endpoint may send nothing before the attempt counts as stalled.
    pub stall_limit: Duration,
    /// How long new requests are still accepted after a planned stop began, so that the load
    /// balancer notices it first.
    pub stop_grace: Duration,
    /// The maximum number of concurrent requests of this instance's own callers.
    pub max_requests: usize,
    /// Number of requests whose decisions are kept for [`Node::explain`].
    pub explain_records: usize,
    /// Timeouts of the claims of tickets and keys.
    pub keys: KeysConfig,
    /// Model loads per minute that the weight store sustains, over all instances.
    pub loads_per_minute: u32,
}

impl NodeConfig {
    /// Returns a configuration with the default limits.
    pub fn new(name: &str, incarnation: Incarnation, data_centre: &str, seed: u64) -> Self {
        NodeConfig {
            name: name.to_owned(),
            incarnation,
            data_centre: data_centre.to_owned(),
            seed,
            stall_limit: Duration::from_secs(10),
            stop_grace: Duration::from_secs(3),
            max_requests: 20_000,
            explain_records: 4_096,
            keys: KeysConfig::default(),
            loads_per_minute: OrdersConfig::default().loads_per_minute,
        }
    }
}

/// All decisions of one process.
///
/// Invariant: between two calls of [`Node::handle`], `loopback` and `out` are empty and no cell has
/// a decision due.
pub struct Node {
    cfg: NodeConfig,
    me: PeerId,
    /// The time of the event that is being handled.
    now: Time,
    rng: SmallRng,
    membership: Membership,
    sync: CatalogueSync,
    /// Actions of the catalogue synchronisation that are still to be carried out; reused.
    sync_actions: Vec<SyncAction>,
    keys: Keys,
    /// Actions of the keys that are still to be carried out; reused.
    keys_actions: Vec<KeysAction>,
    leases: Leases,
    limit_home: LimitHome,
    /// Actions of the limits that are still to be carried out; reused.
    limits_actions: Vec<LimitsAction>,
    requests: BTreeMap<u64, Request>,
    /// Requested tickets that wait for the shard that may hold their workspace.
    pending_tickets: Vec<PendingTicket>,
    homes: Homes,
    orders: Orders,
    /// When pending orders were last checked.
    orders_checked_at: Time,
    /// Number of controllers, counted once for each list.
    controller_count: orders::ControllerCount,
    budget: RetryBudget,
    suspects: Suspects,
    /// Checkpoints that are still to be sent, by home.
    progress: BTreeMap<InstanceKey, Vec<Checkpoint>>,
    explain: Explain,
    timers: Timers,
    stop_phase: StopPhase,
    /// When a stopping process had finished its last request.
    last_finished_at: Option<Time>,
    loopback: VecDeque<PeerMessage>,
    out: Vec<Action>,
    /// Actions of membership that are still to be carried out; reused.
    membership_actions: Vec<MembershipAction>,
}

impl Node {
    /// Creates a node without a list or catalogue. Call [`Node::start`] next.
    pub fn new(cfg: NodeConfig) -> Self {
        let me = PeerId {
            instance: InstanceKey::of(&cfg.name),
            incarnation: cfg.incarnation,
        };
        let members = MembershipConfig::new(&cfg.name, cfg.incarnation, &cfg.data_centre, cfg.seed);
        Node {
            me,
            now: Time::ZERO,
            rng: SmallRng::seed_from_u64(cfg.seed),
            membership: Membership::new(members),
            sync: CatalogueSync::new(SyncConfig::new(cfg.seed ^ SYNC_SEED)),
            sync_actions: Vec::new(),
            keys: Keys::new(me, cfg.keys),
            keys_actions: Vec::new(),
            leases: Leases::new(),
            limit_home: LimitHome::new(),
            limits_actions: Vec::new(),
            requests: BTreeMap::new(),
            pending_tickets: Vec::new(),
            homes: Homes::default(),
            orders: Orders::new(OrdersConfig {
                seed: cfg.seed ^ ORDERS_SEED,
                loads_per_minute: cfg.loads_per_minute,
            }),
            orders_checked_at: Time::ZERO,
            controller_count: orders::ControllerCount::default(),
            budget: RetryBudget::new(),
            suspects: Suspects::new(Time::ZERO),
            progress: BTreeMap::new(),
            explain: Explain::new(cfg.explain_records),
            timers: Timers::default(),
            stop_phase: StopPhase::Serving,
            last_finished_at: None,
            loopback: VecDeque::new(),
            out: Vec::new(),
            membership_actions: Vec::new(),
            cfg,
        }
    }

    /// Starts to read the list and the catalogue.
    pub fn start(&mut self, now: Time, actions: &mut Vec<Action>) {
        self.now = now;
        self.with_membership(|membership, now, out| membership.start(now, out));
        self.sync.start(now);
        self.start_suspects();
        self.confirm_all();
        self.run_until_idle(actions);
    }

    /// Handles one event and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        debug_assert!(self.loopback.is_empty() && self.out.is_empty());
        self.now = now;
        self.on_event(event);
        self.run_until_idle(actions);
    }

    /// Returns the identity of this process.
    pub fn me(&self) -> PeerId {
        self.me
    }

    /// Wraps messages to a peer together with the revisions that this node has in force.
    pub fn envelope(&self, messages: Vec<PeerMessage>) -> PeerEnvelope {
        PeerEnvelope {
            catalogue_revision: self.sync.revision(),
            list_revision: self.membership.view().revision(),
            messages,
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Request(arrival) => self.on_arrival(*arrival),
            Event::CallerGone(id) => self.on_caller_gone(id),
            Event::RequestTicket { key_digest, ticket } => {
                self.on_ticket_request(key_digest, ticket)
            }
            Event::Attempt { attempt, update } => self.on_attempt(attempt, update),
            Event::Peer { from, envelope } => self.on_envelope(from, envelope),
            Event::PeerUp(peer) => self.on_peer_up(peer),
            Event::PeerDown(peer) => self.on_peer_down(peer),
            Event::PeerIdle(peer) => self.membership.peer_idle(peer),
            Event::Value {
                name,
                revision,
                bytes,
            } => self.on_value(name, revision, bytes),
            Event::ValueUnchanged { name } => self.on_value_unchanged(name),
            Event::ValueFailed { name } => self.on_value_failed(name),
            Event::Load { endpoint, report } => self.on_load(endpoint, &report),
            Event::LoadFailed { endpoint } => self.on_load_failed(endpoint),
            Event::Cache {
                endpoint,
                gap,
                stored,
                evicted,
            } => self.on_cache(endpoint, gap, &stored, &evicted),
            Event::OrderAnswered {
                endpoint,
                fencing,
                result,
            } => self.on_order_answered(endpoint, fencing, result),
            Event::Wake => {}
            Event::Stop => self.on_stop(),
        }
    }

    /// Carries out everything that is due now, until no work is left.
    fn run_until_idle(&mut self, actions: &mut Vec<Action>) {
        self.run_timers();
        self.tick_orders();
        loop {
            self.carry_out_membership();
            self.carry_out_sync();
            self.carry_out_keys();
            self.carry_out_limits();
            if let Some(message) = self.loopback.pop_front() {
                self.on_message(self.me, message);
                continue;
            }
            if !self.poll_cells() && self.is_idle() {
                break;
            }
        }
        self.finish_stop();
        let wake = self.next_wake();
        actions.append(&mut self.out);
        actions.push(Action::WakeAt(wake));
    }

    fn is_idle(&self) -> bool {
        self.membership_actions.is_empty()
            && self.sync_actions.is_empty()
            && self.keys_actions.is_empty()
            && self.limits_actions.is_empty()
            && self.loopback.is_empty()
    }

    fn next_wake(&self) -> Time {
        let parts = [
            self.timers.next(),
            self.membership.next_wake(),
            self.sync.next_wake(),
            self.keys.next_wake(),
            self.limits_wake(),
            self.orders_wake(),
            self.homes.next_poll(),
        ];
        parts.into_iter().min().unwrap_or(Time::NEVER)
    }

    fn run_timers(&mut self) {
        if self.membership.next_wake() <= self.now {
            self.with_membership(|membership, now, out| membership.tick(now, out));
        }
        if self.sync.next_wake() <= self.now {
            self.with_sync(|sync, now, out| sync.tick(now, out));
        }
        if self.keys.next_wake() <= self.now {
            let list_age = self.membership.list_age(self.now);
            self.with_keys(|keys, now, out| keys.tick(now, list_age, out));
        }
        if self.limits_wake() <= self.now {
            self.tick_limits();
        }
        while let Some(kind) = self.timers.take_due(self.now) {
            match kind {
                TimerKind::Request(seq) => self.on_request_timer(seq),
                TimerKind::PendingTickets => self.resolve_tickets(),
                TimerKind::PollLoad(endpoint) => self.poll_load(endpoint),
                TimerKind::Confirm => self.confirm_all(),
                TimerKind::FlushProgress => self.flush_progress(),
                TimerKind::ForgetHolder(instance, incarnation) => {
                    self.forget_holder_if_down(instance, incarnation);
                }
                TimerKind::RunLeases => self.report_run_leases(),
                TimerKind::GossipSuspects => self.gossip_suspects(),
                TimerKind::StopAccepting => self.stop_accepting(),
            }
        }
    }

    fn on_envelope(&mut self, from: PeerId, envelope: PeerEnvelope) {
        if !self.membership.is_current_incarnation(from) {
            // The sender is an incarnation that was replaced: its process was paused and does not
            // know. Its requests are void, so its messages are discarded.
            self.note(Note::Discarded {
                reason: Reason::LateAnswer,
            });
            return;
        }
        self.on_peer_revisions(from, &envelope);
        for message in envelope.messages {
            self.on_message(from, message);
        }
    }

    fn on_message(&mut self, from: PeerId, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat => {}
            PeerMessage::Membership(message) => {
                self.with_membership(|it, now, out| it.message(now, from, message, out));
            }
            PeerMessage::Catalogue(message) => {
                self.with_sync(|sync, now, out| sync.message(now, from, message, out));
            }
            PeerMessage::Limits(message) => self.on_limits_message(from, message),
            PeerMessage::Keys(message) => self.on_keys_message(from, message),
            PeerMessage::Cell(message) => self.on_cell_message(from, message),
            PeerMessage::Suspects(records) => self.on_suspects(from, &records),
            PeerMessage::RunLeaseReport(report) => self.on_run_lease_report(from, &report),
            PeerMessage::RunLeaseAnswer(answer) => self.on_run_lease_answer(from, &answer),
        }
    }

    /// Sends a message; over `loopback` if `to` is this node.
    fn send(&mut self, to: InstanceKey, message: PeerMessage) {
        if to == self.me.instance {
            self.loopback.push_back(message);
            return;
        }
        self.with_membership(|membership, now, out| membership.touch_link(now, to, out));
        self.out.push(Action::Send { to, message });
    }

    fn note(&mut self, note: Note) {
        self.out.push(Action::Note(note));
    }

    /// Records a decision about a request for [`Node::explain`].
    fn record(&mut self, id: RequestId, step: Step) {
        self.explain.push(self.now, id, step);
    }

    /// Reports to operators a request that was refused or failed.
    fn note_verdict(&mut self, request: RequestId, outcome: Outcome, reason: Reason) {
        self.note(match outcome {
            Outcome::NotRun => Note::Refused { request, reason },
            _ => Note::Failed { request, reason },
        });
    }
}
