//! Links to peers, incarnations of instances, and failure suspicion.
//!
//! Links exist on demand: to the watchers of the own data centre, to recent receivers of messages,
//! and to suspected instances, so that a recovery is noticed. With 390 instances, this keeps a
//! handful of links per process instead of 389.

use super::{
    InstanceKey, MAX_REPLACED_INCARNATIONS, Membership, MembershipAction, MembershipChange,
    SUSPECT_AFTER, emit_instance_gone,
};
use crate::ids::Incarnation;
use crate::rendezvous;
use crate::time::Time;
use crate::value::{PeerId, PeerTarget};
use core::time::Duration;

/// A link that carried no message for this long is closed.
pub const LINK_IDLE: Duration = Duration::from_secs(60);

/// Maximum number of unlisted instances whose state is kept.
const MAX_UNLISTED_PEERS: usize = 256;

/// The state of the link to an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Link {
    /// Never tried, or closed because it was idle.
    #[default]
    Unknown,
    /// Up.
    Up,
    /// Broken.
    Down {
        /// When it broke.
        since: Time,
        /// Whether the instance is suspected, so that homes have moved away from it.
        suspected: bool,
    },
}

/// The state of an instance beyond the list.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerState {
    /// The incarnation that authenticated last.
    pub incarnation: Option<Incarnation>,
    /// Replaced incarnations. A paused process of an earlier incarnation that resumes and connects
    /// must not be mistaken for the current one.
    pub replaced: Vec<Incarnation>,
    /// The incarnation that is known to be leaving, even if it never connected.
    pub leaving: Option<Incarnation>,
    /// The link.
    pub link: Link,
    /// When a message was last sent or requested to be sent.
    pub last_used: Option<Time>,
}

impl PeerState {
    /// Returns whether the current incarnation announced that it is leaving.
    pub fn is_leaving(&self) -> bool {
        match (self.leaving, self.incarnation) {
            (Some(leaving), Some(present)) => leaving == present,
            (leaving, None) => leaving.is_some(),
            (None, Some(_)) => false,
        }
    }

    /// Returns whether the instance may be a home.
    pub fn may_be_home(&self) -> bool {
        !self.is_leaving() && !self.is_suspected()
    }

    /// Returns when its link is next due.
    fn due(&self) -> Time {
        let idle = self.last_used.map_or(Time::NEVER, |it| it + LINK_IDLE);
        match self.link {
            Link::Down {
                since,
                suspected: false,
            } => idle.min(since + SUSPECT_AFTER),
            _ => idle,
        }
    }

    pub fn is_suspected(&self) -> bool {
        matches!(
            self.link,
            Link::Down {
                suspected: true,
                ..
            }
        )
    }

    /// Makes `incarnation` the current one; returns the one that it replaces.
    pub fn replace(&mut self, incarnation: Incarnation) -> Option<Incarnation> {
        let was = self.incarnation.replace(incarnation);
        let was = was.filter(|&it| it != incarnation)?;
        self.replaced.push(was);
        if self.replaced.len() > MAX_REPLACED_INCARNATIONS {
            self.replaced.remove(0);
        }
        Some(was)
    }
}

impl Membership {
    /// Handles a link to a peer that came up.
    pub fn peer_up(&mut self, now: Time, peer: PeerId, out: &mut Vec<MembershipAction>) {
        if !self.is_known_or_room(peer.instance) {
            return;
        }
        let state = self.peer_states.entry(peer.instance).or_default();
        if state.replaced.contains(&peer.incarnation) {
            return;
        }
        let was_home = state.may_be_home();
        let was_leaving = state.leaving.filter(|&it| it != peer.incarnation);
        state.link = Link::Up;
        if let Some(was) = state.replace(peer.incarnation) {
            out.push(MembershipAction::Changed(
                MembershipChange::InstanceReplaced {
                    instance: peer.instance,
                    was,
                },
            ));
        }
        let is_home = state.may_be_home();
        if was_leaving.is_some() {
            self.on_instance_status(now, peer.instance, peer.incarnation, false, None, out);
        }
        if was_home != is_home {
            self.refresh(now, out);
            out.push(MembershipAction::Changed(MembershipChange::Homes));
        }
        self.send_current_state(now, peer.instance, out);
    }

    /// Handles a link to a peer that broke or could not be established.
    ///
    /// The shell reports only failures, not links that were closed because they were idle. An
    /// incarnation of 0 means that it is unknown.
    pub fn peer_down(&mut self, now: Time, peer: PeerId, out: &mut Vec<MembershipAction>) {
        let Some(state) = self.peer_states.get_mut(&peer.instance) else {
            return;
        };
        let unknown = peer.incarnation == Incarnation(0);
        if !unknown && state.incarnation != Some(peer.incarnation) {
            return;
        }
        if !matches!(state.link, Link::Down { .. }) {
            state.link = Link::Down {
                since: now,
                suspected: false,
            };
            self.links_due = self.links_due.min(now + SUSPECT_AFTER);
        }
        self.refresh_links(now, out);
    }

    /// Handles a link to a peer that was closed because it was idle.
    pub fn peer_idle(&mut self, peer: PeerId) {
        if let Some(state) = self.peer_states.get_mut(&peer.instance)
            && state.incarnation == Some(peer.incarnation)
            && state.link == Link::Up
        {
            state.link = Link::Unknown;
        }
    }

    /// Returns whether `peer` is the current incarnation of its instance.
    ///
    /// The node drops messages of any other incarnation.
    pub fn is_current_incarnation(&self, peer: PeerId) -> bool {
        let state = self.peer_states.get(&peer.instance);
        state.is_some_and(|it| it.incarnation == Some(peer.incarnation))
    }

    /// Returns the current incarnation of an instance, if it is known.
    pub fn incarnation(&self, instance: InstanceKey) -> Option<Incarnation> {
        if instance == self.me {
            return Some(self.cfg.incarnation);
        }
        self.peer_states.get(&instance)?.incarnation
    }

    /// Returns whether the link to an instance is up.
    pub fn is_linked(&self, instance: InstanceKey) -> bool {
        let state = self.peer_states.get(&instance);
        state.is_some_and(|it| it.link == Link::Up)
    }

    /// Returns the instances to which links should be kept, sorted by key.
    pub fn dialled(&self) -> &[InstanceKey] {
        &self.dialled
    }

    /// Keeps a link to `to`, to which a message is about to be sent.
    ///
    /// A link that `to` established is used as well, and `to` keeps it while there is traffic. A
    /// watcher would otherwise connect to its whole data centre.
    pub fn touch_link(&mut self, now: Time, to: InstanceKey, out: &mut Vec<MembershipAction>) {
        if to == self.me || !self.is_known_or_room(to) {
            return;
        }
        let is_dialled = self.dialled.binary_search(&to).is_ok();
        if self.is_linked(to) && !is_dialled {
            return;
        }
        self.peer_states.entry(to).or_default().last_used = Some(now);
        self.links_due = self.links_due.min(now + LINK_IDLE);
        if !is_dialled {
            self.refresh_links(now, out);
        }
    }

    fn is_known_or_room(&self, instance: InstanceKey) -> bool {
        let known =
            self.peer_states.contains_key(&instance) || self.view.instance(instance).is_some();
        known || self.peer_states.len() < self.view.instances.len() + MAX_UNLISTED_PEERS
    }

    /// Requests a new set of links if it changed.
    pub(super) fn refresh_links(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        self.drop_idle(now);
        let mut wanted = self.wanted_links();
        wanted.sort_unstable();
        wanted.dedup();
        if wanted == self.dialled {
            return;
        }
        let targets: Vec<PeerTarget> = wanted
            .iter()
            .filter_map(|&it| self.view.peer_target(it))
            .collect();
        self.dialled = wanted;
        out.push(MembershipAction::Links(targets));
    }

    fn drop_idle(&mut self, now: Time) {
        for state in self.peer_states.values_mut() {
            state.last_used = state.last_used.filter(|&it| now < it + LINK_IDLE);
        }
    }

    fn wanted_links(&self) -> Vec<InstanceKey> {
        let mut wanted = self.watcher_links();
        for (&key, state) in &self.peer_states {
            let recent = state.last_used.is_some();
            let listed = self.view.instance(key).is_some();
            if key != self.me && listed && (recent || matches!(state.link, Link::Down { .. })) {
                wanted.push(key);
            }
        }
        wanted
    }

    /// Performs the link work that is due: suspects instances and drops idle links.
    pub(super) fn tick_links(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if now < self.links_due {
            return;
        }
        self.suspect_unreachable(now, out);
        self.refresh_links(now, out);
        let due = self.peer_states.values().map(PeerState::due);
        self.links_due = due.min().unwrap_or(Time::NEVER);
    }

    /// Suspects instances whose link stayed down, and moves homes away from them.
    fn suspect_unreachable(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let mut gone = Vec::new();
        for (&key, state) in &mut self.peer_states {
            if let Link::Down { since, suspected } = &mut state.link
                && !*suspected
                && *since + SUSPECT_AFTER <= now
            {
                *suspected = true;
                gone.push(key);
            }
        }
        if gone.is_empty() {
            return;
        }
        for key in gone {
            emit_instance_gone(key, out);
        }
        self.refresh(now, out);
        out.push(MembershipAction::Changed(MembershipChange::Homes));
    }

    /// Drops the state of instances that are neither listed nor linked.
    pub(super) fn prune_peer_states(&mut self) {
        let view = &self.view;
        self.peer_states
            .retain(|&key, state| view.instance(key).is_some() || state.link == Link::Up);
    }

    /// Returns the watchers of this instance's data centre in order of rank.
    pub fn own_watchers(&self) -> Vec<InstanceKey> {
        self.watchers_of(&self.cfg.data_centre)
    }

    pub(super) fn watchers_of(&self, data_centre: &str) -> Vec<InstanceKey> {
        let mut watchers = Vec::with_capacity(super::reads::WATCHERS);
        let Some(id) = self.view.find_data_centre(data_centre) else {
            return watchers;
        };
        let key = crate::ids::stable_hash(&[b"watcher", data_centre.as_bytes()]);
        let here = self.view.instances.values();
        let usable = here.filter(|it| it.usable && it.data_centre == id);
        let candidates = usable.map(|it| rendezvous::Candidate::anywhere(it.key));
        rendezvous::rank(key, candidates, super::reads::WATCHERS, &mut watchers);
        watchers
    }

    /// Returns whether this instance watches the platform's list for its data centre.
    pub fn is_watcher(&self) -> bool {
        self.own_watchers().contains(&self.me)
    }

    /// Returns the first watcher of each other data centre.
    pub fn foreign_watchers(&self) -> Vec<InstanceKey> {
        let names = self.view.data_centre_names();
        let others = names.filter(|&it| it != self.cfg.data_centre);
        others
            .filter_map(|it| self.watchers_of(it).first().copied())
            .collect()
    }

    /// Returns the peers with permanent links for gossip: the watchers of this data centre and, for
    /// a watcher, those of other data centres.
    fn watcher_links(&self) -> Vec<InstanceKey> {
        let mut wanted = self.own_watchers();
        if wanted.contains(&self.me) {
            wanted.extend(self.foreign_watchers());
        }
        wanted.retain(|&it| it != self.me);
        wanted
    }
}
