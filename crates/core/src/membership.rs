//! Membership of the fleet: instances, endpoints, and the home of each key, which is the instance
//! that decides for it.
//!
//! The platform publishes a list that lags. Direct observations override it: an endpoint that
//! refuses because it is leaving, an instance that announces that it is leaving, and a link that
//! broke. Views are eventually consistent. Two instances may see the fleet differently for a while,
//! and each mechanism built on a home defines what happens then (`docs/design/placement.md`).
//!
//! [`Membership`] is one state machine of a node. Its methods take the time and push
//! [`MembershipAction`]s; `docs/design/membership.md` gives the rules.

mod cells;
mod delta;
mod gossip;
mod homes;
mod links;
mod list;
mod message;
mod parse;
mod quarantine;
mod reads;
mod view;

pub use cells::{CELL_ENDPOINTS, CellPlan, plan_cells};
pub use delta::{ListDelta, apply_delta, list_delta};
pub use gossip::LEAVING_HOLD;
pub use homes::EndpointState;
pub use links::LINK_IDLE;
pub use list::{
    EndpointKind, EndpointRecord, FencingSupport, InstanceList, InstanceRecord, ListedState,
};
pub use message::MembershipMessage;
pub use parse::{MAX_DESCRIBED, ParsedList};
pub use quarantine::{QUARANTINE_CONFIRM, QUARANTINE_TIMEOUT};
pub use reads::{LIST_STALE, START_SPREAD, WATCHERS};
pub use view::{
    Cell, CellId, DataCentreId, Endpoint, EndpointId, HOME_RANKS, Instance, InstanceId, View,
};

use crate::ids::{EndpointKey, Incarnation, InstanceKey};
use crate::note::Note;
use crate::time::Time;
use crate::value::{PeerId, PeerTarget};
use core::time::Duration;
use gossip::EndpointNotice;
use indexmap::IndexMap;
use links::PeerState;
use quarantine::Quarantine;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use reads::Reads;
use std::collections::VecDeque;

/// An instance whose link has been down for this long is suspected. The first reconnect heals
/// shorter interruptions, and they should not move homes.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(250);

/// Maximum number of replaced incarnations remembered for each instance.
const MAX_REPLACED_INCARNATIONS: usize = 4;

/// Number of earlier lists kept to compute deltas for peers.
const LIST_HISTORY: usize = 16;

/// Configuration of membership.
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// The name under which the platform lists this instance.
    pub name: String,
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The data centre of this instance, from its settings.
    pub data_centre: String,
    /// Maximum number of endpoints in a cell.
    pub cell_endpoints: usize,
    /// Seed of the jitter.
    pub seed: u64,
}

impl MembershipConfig {
    /// Returns a configuration with the default cell size.
    pub fn new(name: &str, incarnation: Incarnation, data_centre: &str, seed: u64) -> Self {
        MembershipConfig {
            name: name.to_owned(),
            incarnation,
            data_centre: data_centre.to_owned(),
            cell_endpoints: CELL_ENDPOINTS,
            seed,
        }
    }
}

/// Changes that other parts of the node react to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    /// A list came into force. Entity ids are new, and homes may have moved.
    List {
        /// Its revision.
        revision: u64,
    },
    /// Homes may have moved because an instance arrived, left or is suspected.
    Homes,
    /// A new incarnation of an instance replaced the previous one, whose state is void.
    InstanceReplaced {
        /// Which instance.
        instance: InstanceKey,
        /// The incarnation that was replaced.
        was: Incarnation,
    },
    /// An instance is leaving, dead or unreachable from here.
    InstanceGone {
        /// Which instance.
        instance: InstanceKey,
    },
    /// An endpoint must not get new work.
    EndpointLeaving {
        /// Which endpoint.
        endpoint: EndpointKey,
    },
    /// An endpoint that was leaving takes work again.
    EndpointReturned {
        /// Which endpoint.
        endpoint: EndpointKey,
    },
}

/// Effects that membership requests from the node.
#[derive(Clone, Debug, PartialEq)]
pub enum MembershipAction {
    /// Send a message to a peer.
    Send {
        /// The receiver.
        to: InstanceKey,
        /// The message.
        message: MembershipMessage,
    },
    /// Read the list once.
    ReadList,
    /// Watch the list for a higher revision; the platform responds once.
    WatchList {
        /// The highest revision that this instance has seen.
        above: u64,
    },
    /// Keep links to exactly these peers.
    Links(Vec<PeerTarget>),
    /// Record an event for operators.
    Note(Note),
    /// Notify other parts of the node of a change.
    Changed(MembershipChange),
}

/// This process's view of the fleet.
///
/// After every method call, the caller must read [`Membership::next_wake`] and call
/// [`Membership::tick`] at that time.
#[derive(Clone, Debug)]
pub struct Membership {
    me: InstanceKey,
    cfg: MembershipConfig,
    rng: SmallRng,
    view: View,
    /// Earlier lists, oldest first, to compute deltas for peers.
    history: VecDeque<InstanceList>,
    /// The state of instances beyond the list, including some that are not listed yet.
    peer_states: IndexMap<InstanceKey, PeerState>,
    /// Endpoints with a leaving notice that the list still calls live.
    notices: IndexMap<EndpointKey, EndpointNotice>,
    quarantine: Option<Quarantine>,
    reads: Reads,
    /// The peers of the last [`MembershipAction::Links`], to detect a change.
    dialled: Vec<InstanceKey>,
    /// No link is due before this time. It may be too early but never too late, so that it need not
    /// be recomputed with every message.
    links_due: Time,
    stopping: bool,
}

impl Membership {
    /// Creates a membership without a list.
    pub fn new(cfg: MembershipConfig) -> Self {
        Membership {
            me: InstanceKey::of(&cfg.name),
            rng: SmallRng::seed_from_u64(cfg.seed),
            cfg,
            view: View::default(),
            history: VecDeque::new(),
            peer_states: IndexMap::new(),
            notices: IndexMap::new(),
            quarantine: None,
            reads: Reads::default(),
            dialled: Vec::new(),
            links_due: Time::NEVER,
            stopping: false,
        }
    }

    /// Returns the key of this instance.
    pub fn me(&self) -> InstanceKey {
        self.me
    }

    /// Returns the list in force.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Schedules the first read of the list.
    pub fn start(&mut self, now: Time, _out: &mut Vec<MembershipAction>) {
        let delay = self.jitter(reads::START_SPREAD);
        self.reads.begin_after(now, delay);
    }

    /// Announces that this instance is leaving, and stops being a home.
    pub fn stop(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.stopping {
            return;
        }
        self.stopping = true;
        self.announce_leaving(now, out);
        self.refresh(now, out);
        out.push(MembershipAction::Changed(MembershipChange::Homes));
    }

    /// Returns when [`Membership::tick`] is due.
    pub fn next_wake(&self) -> Time {
        self.next_read()
            .min(self.links_due)
            .min(self.quarantine_due())
    }

    /// Performs all work that is due.
    pub fn tick(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        self.tick_reads(now, out);
        self.tick_links(now, out);
        self.tick_quarantine(now, out);
    }

    /// Handles a message from a peer.
    pub fn message(
        &mut self,
        now: Time,
        from: PeerId,
        message: MembershipMessage,
        out: &mut Vec<MembershipAction>,
    ) {
        match message {
            MembershipMessage::EndpointLeaving {
                endpoint,
                list_revision,
            } => self.on_endpoint_leaving(now, endpoint, list_revision, Some(from), out),
            MembershipMessage::InstanceStatus {
                instance,
                incarnation,
                leaving,
            } => self.on_instance_status(now, instance, incarnation, leaving, Some(from), out),
            MembershipMessage::ListNotice { revision } => {
                self.peer_revision(now, from, revision, out);
            }
            MembershipMessage::ListPull { have } => self.answer_pull(now, from, have, out),
            MembershipMessage::Delta(delta) => self.pulled_delta(now, from, &delta, out),
            MembershipMessage::FullList(list) => self.pulled_list(now, *list, out),
        }
    }

    fn send(
        &mut self,
        now: Time,
        to: InstanceKey,
        message: MembershipMessage,
        out: &mut Vec<MembershipAction>,
    ) {
        self.touch_link(now, to, out);
        out.push(MembershipAction::Send { to, message });
    }

    /// Puts a list in force and computes what changed.
    fn accept_list(&mut self, now: Time, list: InstanceList, out: &mut Vec<MembershipAction>) {
        let revision = list.revision;
        let before = core::mem::take(&mut self.view);
        self.view = View::build(list, self.cfg.cell_endpoints, &before);
        self.quarantine = None;
        self.drop_stale_notices(out);
        self.prune_peer_states();
        self.emit_departures(&before, out);
        if before.revision() > 0 {
            self.history.push_back(before.list);
        }
        while self.history.len() > LIST_HISTORY {
            self.history.pop_front();
        }
        out.push(MembershipAction::Note(Note::ListAccepted { revision }));
        self.refresh(now, out);
        out.push(MembershipAction::Changed(MembershipChange::List {
            revision,
        }));
        self.announce_revision(now, revision, out);
    }

    /// Emits the instances and endpoints that the new list no longer calls live.
    fn emit_departures(&self, before: &View, out: &mut Vec<MembershipAction>) {
        let live = |state: ListedState| state == ListedState::Live;
        for old in before.instances().filter(|it| live(it.record.state)) {
            let new = self.view.instance(old.key);
            if !new.is_some_and(|it| live(it.record.state)) {
                emit_instance_gone(old.key, out);
            }
        }
        for old in before.endpoints().filter(|it| live(it.record.state)) {
            let new = self.view.endpoint(old.key);
            if !new.is_some_and(|it| live(it.record.state)) {
                out.push(MembershipAction::Note(Note::EndpointLeaving(old.key)));
                let change = MembershipChange::EndpointLeaving { endpoint: old.key };
                out.push(MembershipAction::Changed(change));
            }
        }
    }

    /// Recomputes what depends on the list, the peer states and the leaving notices.
    fn refresh(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        self.refresh_usable();
        self.refresh_homes();
        self.refresh_reads(now);
        self.refresh_links(now, out);
    }
}

fn emit_instance_gone(instance: InstanceKey, out: &mut Vec<MembershipAction>) {
    out.push(MembershipAction::Note(Note::InstanceGone(instance)));
    let change = MembershipChange::InstanceGone { instance };
    out.push(MembershipAction::Changed(change));
}
