//! Gossip about endpoints and instances that are leaving.
//!
//! The instance that learns of a change first notifies the watchers of its data centre and the
//! homes that decide about it. The watchers forward it to all other instances. Each instance
//! forwards an update only if it is new to it, so updates do not loop.

use super::{
    EndpointKey, Incarnation, InstanceKey, ListedState, Membership, MembershipAction,
    MembershipChange, MembershipMessage, PeerState, emit_instance_gone,
};
use crate::note::Note;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;

/// How long an endpoint's statement that it is leaving overrides its load reports. Reports lag, so
/// one that does not say "leaving" may be older than the statement.
pub const LEAVING_HOLD: Duration = Duration::from_secs(30);

/// Maximum number of notices kept for endpoints that are not in the list yet.
const MAX_EARLY_NOTICES: usize = 256;

/// The leaving notice of an endpoint that the list still calls live.
#[derive(Clone, Copy, Debug)]
pub(super) struct EndpointNotice {
    /// When the notice was last received.
    pub received_at: Time,
    /// The list revision of the instance that first learned it.
    pub list_revision: u64,
}

impl Membership {
    /// Handles a refusal by an endpoint because it is leaving.
    pub fn endpoint_refused_leaving(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        out: &mut Vec<MembershipAction>,
    ) {
        self.on_endpoint_leaving(now, endpoint, self.view.revision(), None, out);
    }

    /// Handles a load report, which says whether the endpoint is leaving.
    pub fn endpoint_reported(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        leaving: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        if leaving {
            self.endpoint_refused_leaving(now, endpoint, out);
            return;
        }
        let Some(notice) = self.notices.get(&endpoint) else {
            return;
        };
        if now < notice.received_at + LEAVING_HOLD {
            return;
        }
        self.notices.shift_remove(&endpoint);
        let change = MembershipChange::EndpointReturned { endpoint };
        out.push(MembershipAction::Changed(change));
    }

    pub(super) fn on_endpoint_leaving(
        &mut self,
        now: Time,
        endpoint: EndpointKey,
        list_revision: u64,
        source: Option<PeerId>,
        out: &mut Vec<MembershipAction>,
    ) {
        let Some(known) = self.view.endpoint(endpoint) else {
            self.keep_early_notice(now, endpoint, list_revision);
            return;
        };
        let is_outdated = source.is_some() && list_revision <= known.not_live_at;
        if known.record.state == ListedState::Leaving || is_outdated {
            return;
        }
        let notice = EndpointNotice {
            received_at: now,
            list_revision,
        };
        if self.notices.insert(endpoint, notice).is_some() {
            return;
        }
        out.push(MembershipAction::Note(Note::EndpointLeaving(endpoint)));
        let change = MembershipChange::EndpointLeaving { endpoint };
        out.push(MembershipAction::Changed(change));
        let message = MembershipMessage::EndpointLeaving {
            endpoint,
            list_revision,
        };
        let deciders = match source {
            None => self.homes_of_endpoint(endpoint),
            Some(_) => Vec::new(),
        };
        self.gossip(now, &message, source, deciders, out);
    }

    /// Keeps a notice about an endpoint that a later list will contain.
    fn keep_early_notice(&mut self, now: Time, endpoint: EndpointKey, list_revision: u64) {
        let ahead = list_revision > self.view.revision();
        if ahead && self.notices.len() < self.view.endpoints.len() + MAX_EARLY_NOTICES {
            let notice = EndpointNotice {
                received_at: now,
                list_revision,
            };
            self.notices.insert(endpoint, notice);
        }
    }

    /// Returns the instances that may be granting this endpoint.
    fn homes_of_endpoint(&self, endpoint: EndpointKey) -> Vec<InstanceKey> {
        let cell = self.view.endpoint(endpoint).map(|it| it.cell);
        cell.map_or_else(Vec::new, |cell| self.homes_of_cell(cell).to_vec())
    }

    pub(super) fn on_instance_status(
        &mut self,
        now: Time,
        instance: InstanceKey,
        incarnation: Incarnation,
        leaving: bool,
        source: Option<PeerId>,
        out: &mut Vec<MembershipAction>,
    ) {
        if instance == self.me || self.view.instance(instance).is_none() {
            return;
        }
        let state = self.peer_states.entry(instance).or_default();
        let was_leaving = state.is_leaving();
        let is_outdated = state.replaced.contains(&incarnation)
            || state.incarnation.is_some_and(|it| it != incarnation);
        if is_outdated {
            return;
        }
        let is_new = match leaving {
            true => state.leaving != Some(incarnation),
            false => state.leaving.is_some_and(|it| it != incarnation),
        };
        if !is_new {
            return;
        }
        state.leaving = leaving.then_some(incarnation);
        let is_leaving = state.is_leaving();
        if is_leaving && !was_leaving {
            emit_instance_gone(instance, out);
        }
        let message = MembershipMessage::InstanceStatus {
            instance,
            incarnation,
            leaving,
        };
        self.gossip(now, &message, source, Vec::new(), out);
        if is_leaving != was_leaving {
            self.refresh(now, out);
            out.push(MembershipAction::Changed(MembershipChange::Homes));
        }
    }

    /// Announces to all linked instances that this one is leaving.
    pub(super) fn announce_leaving(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let message = MembershipMessage::InstanceStatus {
            instance: self.me,
            incarnation: self.cfg.incarnation,
            leaving: true,
        };
        let linked = self.peer_states.keys().copied();
        let linked: Vec<InstanceKey> = linked.filter(|&it| self.is_linked(it)).collect();
        self.gossip(now, &message, None, linked, out);
    }

    /// Sends an update to `extra` and forwards it along the watchers.
    fn gossip(
        &mut self,
        now: Time,
        message: &MembershipMessage,
        source: Option<PeerId>,
        extra: Vec<InstanceKey>,
        out: &mut Vec<MembershipAction>,
    ) {
        for to in self.gossip_targets(source, extra) {
            self.send(now, to, message.clone(), out);
        }
    }

    /// Returns the peers to which this instance forwards an update that is new to it: those in
    /// `extra`, and others along the watchers, so that the update reaches all instances and does
    /// not loop.
    pub fn gossip_targets(
        &self,
        source: Option<PeerId>,
        mut extra: Vec<InstanceKey>,
    ) -> Vec<InstanceKey> {
        let watchers = self.own_watchers();
        let from = source.map(|it| it.instance);
        if source.is_none() {
            extra.extend(&watchers);
        }
        // Another watcher of this data centre notifies the same instances itself.
        let from_own_watcher = from.is_some_and(|it| watchers.contains(&it));
        if watchers.contains(&self.me) && !from_own_watcher {
            extra.extend(self.own_data_centre_instances());
            extra.extend(self.foreign_watchers());
        }
        extra.sort_unstable();
        extra.dedup();
        extra.retain(|&it| it != self.me && Some(it) != from);
        extra
    }

    /// Returns the instances of the own data centre that are not suspected. Leaving instances are
    /// included, because they finish their requests and need updates until then.
    pub fn own_data_centre_instances(&self) -> Vec<InstanceKey> {
        let own = self.own_data_centre();
        let is_suspected = |key| {
            self.peer_states
                .get(&key)
                .is_some_and(PeerState::is_suspected)
        };
        let here = self.view.instances();
        let here = here.filter(|it| Some(it.data_centre) == own);
        here.map(|it| it.key)
            .filter(|&key| !is_suspected(key))
            .collect()
    }

    /// Sends the list revision and all leaving notices to a peer whose link has come up.
    ///
    /// Updates sent while a link was down are lost. Without this, an instance on the other side of
    /// a healed partition would keep using a leaving endpoint.
    pub(super) fn send_current_state(
        &mut self,
        now: Time,
        to: InstanceKey,
        out: &mut Vec<MembershipAction>,
    ) {
        if self.view.revision() > 0 {
            let revision = self.view.revision();
            self.send(now, to, MembershipMessage::ListNotice { revision }, out);
        }
        let endpoints = self.notices.iter();
        let mut updates: Vec<MembershipMessage> = endpoints
            .map(|(&endpoint, notice)| MembershipMessage::EndpointLeaving {
                endpoint,
                list_revision: notice.list_revision,
            })
            .collect();
        let states = self.peer_states.iter().filter(|(key, _)| **key != to);
        updates.extend(states.filter_map(|(&instance, state)| {
            let incarnation = state.leaving.filter(|_| state.is_leaving())?;
            Some(MembershipMessage::InstanceStatus {
                instance,
                incarnation,
                leaving: true,
            })
        }));
        for message in updates {
            self.send(now, to, message, out);
        }
    }

    /// Drops notices that the list has superseded.
    pub(super) fn drop_stale_notices(&mut self, out: &mut Vec<MembershipAction>) {
        let view = &self.view;
        self.notices.retain(|&endpoint, notice| {
            let Some(known) = view.endpoint(endpoint) else {
                return notice.list_revision > view.revision();
            };
            if known.record.state == ListedState::Leaving {
                return false;
            }
            let came_back = notice.list_revision <= known.not_live_at;
            if came_back {
                let change = MembershipChange::EndpointReturned { endpoint };
                out.push(MembershipAction::Changed(change));
            }
            !came_back
        });
    }
}
