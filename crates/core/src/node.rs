//! A whole node: every part of the core behind one event and one action type.
//!
//! [`Node::handle`] takes one [`Event`] and the time, and appends the
//! [`Action`]s that follow. A node plays every role at once: it is the *entry*
//! for the requests of its own callers, and the *home* of the cells, workspaces
//! and keys that rank it first. The roles talk in messages also when both are
//! this process (`loopback`), so that there is one path to test.
//!
//! | module | its job |
//! | --- | --- |
//! | `validate` | checks a new request against the catalogue |
//! | `claims` | asks for the claim of a ticket or idempotency key |
//! | `placement` | chooses a cell and requests a grant from its home |
//! | `limits` | places in the limits of entries and workspaces |
//! | `attempt` | dispatches, follows and repeats attempts |
//! | `confirm` | asks entries what still stands |
//! | `home` | the cells that this node decides for |
//! | `orders` | orders to endpoints about what they hold |
//! | `fleet` | what changes when instances and endpoints come and go |
//! | `platform` | values read from the platform |
//! | `suspects` | requests that end the endpoints that begin them |
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

/// Keeps the jitter of the catalogue apart from that of membership.
const SYNC_SEED: u64 = 0x5359_4e43;

/// Keeps the jitter of orders apart from that of membership.
const ORDERS_SEED: u64 = 0x4f52_4452;

/// How a node takes part.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The name under which the platform publishes this instance.
    pub name: String,
    /// The life of this process, drawn at random.
    pub incarnation: Incarnation,
    /// The data centre of this instance.
    pub data_centre: String,
    /// Seed of all jitter.
    pub seed: u64,
    /// Silence of an endpoint that counts as a stall.
    pub stall_limit: Duration,
    /// How long new requests are still taken after a planned stop began, so
    /// that the balancer can notice it.
    pub stop_grace: Duration,
    /// The most requests of own callers at once.
    pub max_requests: usize,
    /// Requests whose decisions are remembered for [`Node::explain`].
    pub explain_records: usize,
    /// How claims of tickets and keys are timed.
    pub keys: KeysConfig,
    /// Loads that the weight store bears in a minute, over all instances.
    pub loads_per_minute: u32,
}

impl NodeConfig {
    /// Returns a configuration with the usual limits.
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
/// Invariant: between two calls of [`Node::handle`], `loopback` and `out` are
/// empty and no cell has a decision due.
pub struct Node {
    cfg: NodeConfig,
    me: PeerId,
    /// The time of the event that is being handled.
    now: Time,
    rng: SmallRng,
    membership: Membership,
    sync: CatalogueSync,
    /// Reused buffer for what the synchronisation asks.
    sync_actions: Vec<SyncAction>,
    keys: Keys,
    /// Reused buffer for what the keys ask.
    keys_actions: Vec<KeysAction>,
    leases: Leases,
    limit_home: LimitHome,
    /// Reused buffer for what the limits ask.
    limits_actions: Vec<LimitsAction>,
    requests: BTreeMap<u64, Request>,
    /// Tickets that wait for the shard that may hold their workspace.
    pending_tickets: Vec<PendingTicket>,
    homes: Homes,
    orders: Orders,
    /// When orders were looked at last.
    orders_checked_at: Time,
    /// How many instances give orders, counted once for each list.
    controller_count: orders::ControllerCount,
    budget: RetryBudget,
    suspects: Suspects,
    /// Checkpoints that wait to be sent, by home.
    progress: BTreeMap<InstanceKey, Vec<Checkpoint>>,
    explain: Explain,
    timers: Timers,
    stop_phase: StopPhase,
    /// When a stopping process had answered its last request.
    last_finished_at: Option<Time>,
    loopback: VecDeque<PeerMessage>,
    out: Vec<Action>,
    /// Reused buffer for what membership asks.
    membership_actions: Vec<MembershipAction>,
}

impl Node {
    /// Creates a node that knows nothing yet. Call [`Node::start`] next.
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

    /// Takes one event in and appends what follows to `actions`.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        debug_assert!(self.loopback.is_empty() && self.out.is_empty());
        self.now = now;
        self.on_event(event);
        self.run_until_idle(actions);
    }

    /// Returns which process this is.
    pub fn me(&self) -> PeerId {
        self.me
    }

    /// Returns what every message to a peer carries besides its content.
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

    /// Works until nothing is left to do at this time.
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
            // A message of a life that was replaced: the process was paused and
            // does not know. Its requests are void, so nothing of it may count.
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

    /// Sends a message, to this node itself if `to` is its own key.
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

    /// Writes down a decision about a request.
    fn record(&mut self, id: RequestId, step: Step) {
        self.explain.push(self.now, id, step);
    }

    /// Tells operators how a request ended that did not end well.
    fn note_verdict(&mut self, request: RequestId, outcome: Outcome, reason: Reason) {
        self.note(match outcome {
            Outcome::NotRun => Note::Refused { request, reason },
            _ => Note::Failed { request, reason },
        });
    }
}
