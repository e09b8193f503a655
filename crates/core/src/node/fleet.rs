//! Reacts to instances and endpoints that join, leave or fail.

use super::Node;
use super::home::HOLDER_TTL;
use super::request::Stage;
use super::timers::TimerKind;
use crate::cell::CellMessage;
use crate::cell::message::RunningReport;
use crate::event::{Action, PeerId, ValueName};
use crate::ids::{CellKey, InstanceKey};
use crate::membership::{Membership, MembershipAction, MembershipChange};
use crate::peer::{PeerEnvelope, PeerMessage};
use crate::time::Time;
use std::collections::BTreeSet;

impl Node {
    /// Calls a method of membership and collects its actions.
    pub(super) fn with_membership(
        &mut self,
        call: impl FnOnce(&mut Membership, Time, &mut Vec<MembershipAction>),
    ) {
        call(&mut self.membership, self.now, &mut self.membership_actions);
    }

    /// Carries out the actions of membership.
    pub(super) fn carry_out_membership(&mut self) {
        while !self.membership_actions.is_empty() {
            for action in core::mem::take(&mut self.membership_actions) {
                match action {
                    MembershipAction::Send { to, message } => {
                        let message = PeerMessage::Membership(message);
                        self.out.push(Action::Send { to, message });
                    }
                    MembershipAction::ReadList => {
                        self.out.push(Action::Read(ValueName::Instances));
                    }
                    MembershipAction::WatchList { above } => self.out.push(Action::Watch {
                        name: ValueName::Instances,
                        above,
                    }),
                    MembershipAction::Links(targets) => self.out.push(Action::Links(targets)),
                    MembershipAction::Note(note) => self.note(note),
                    MembershipAction::Changed(change) => self.on_change(change),
                }
            }
        }
    }

    fn on_change(&mut self, change: MembershipChange) {
        match change {
            MembershipChange::List { .. } => {
                self.refresh_keys();
                self.refresh_goals();
                self.on_homes_moved();
            }
            MembershipChange::Homes => self.on_homes_moved(),
            MembershipChange::InstanceReplaced { instance, was } => {
                self.forget_holder(instance, was);
                self.forget_leases(instance, was);
                self.with_keys(|keys, now, out| keys.incarnation_ended(now, instance, was, out));
            }
            MembershipChange::InstanceGone { .. } => {}
            MembershipChange::EndpointLeaving { endpoint }
            | MembershipChange::EndpointReturned { endpoint } => {
                self.refresh_endpoint(endpoint);
                self.refresh_goals();
            }
        }
    }

    fn on_homes_moved(&mut self) {
        self.refresh_roles();
        self.refresh_limits();
        self.refresh_cells();
        // The order matters: a home that receives a resync drops everything else that it holds of
        // this process in that cell, requests sent just before it included.
        self.resync_moved();
        self.rerequest_from_moved_homes();
    }

    /// Handles a link that came up: messages may have been lost in either direction.
    pub(super) fn on_peer_up(&mut self, peer: PeerId) {
        self.with_membership(|membership, now, out| membership.peer_up(now, peer, out));
        self.with_sync(|sync, now, out| sync.peer_up(now, peer, out));
        self.carry_out_membership();
        self.resync_with(peer.instance);
        self.rerequest_from(peer.instance);
        self.confirm_with(peer);
        self.send_suspects_to(peer.instance);
    }

    /// Handles a link that went down.
    pub(super) fn on_peer_down(&mut self, peer: PeerId) {
        self.with_membership(|membership, now, out| membership.peer_down(now, peer, out));
        let forget = TimerKind::ForgetHolder(peer.instance, peer.incarnation);
        self.timers.set(self.now + HOLDER_TTL, forget);
    }

    /// Applies the revisions that a peer reports with every message.
    pub(super) fn on_peer_revisions(&mut self, from: PeerId, envelope: &PeerEnvelope) {
        let revision = envelope.list_revision;
        self.with_membership(|membership, now, out| {
            membership.peer_revision(now, from, revision, out);
        });
        let revision = envelope.catalogue_revision;
        self.with_sync(|sync, now, _| sync.peer_revision(now, from, revision));
    }

    /// Sends the running requests of cells whose home has moved to the new homes.
    fn resync_moved(&mut self) {
        let mut moved: BTreeSet<(InstanceKey, CellKey)> = BTreeSet::new();
        let mut left: Vec<(InstanceKey, u64)> = Vec::new();
        for (&seq, request) in &mut self.requests {
            if let Stage::Running { cell, home, .. } = &mut request.stage
                && let Some(now_home) = self.membership.home_of_cell(*cell)
                && now_home != *home
            {
                left.push((*home, seq));
                *home = now_home;
                moved.insert((now_home, *cell));
            }
        }
        for (old, seq) in left {
            self.withdraw_from_old_home(old, seq);
        }
        for (home, cell) in moved {
            self.resync(home, cell);
        }
    }

    /// Withdraws a request at an instance that is no longer its home.
    ///
    /// Otherwise only the new home would learn of the end of the request. The old one would count
    /// it as running for as long as both processes run, which shows as KV cache that never becomes
    /// free once that instance is the home again.
    pub(super) fn withdraw_from_old_home(&mut self, old: InstanceKey, seq: u64) {
        // An unreachable one drops the request by itself once its link has been down for a while.
        if old == self.me.instance || self.membership.is_linked(old) {
            self.withdraw_at(old, seq);
        }
    }

    /// Sends a home all requests of this process that run in its cells.
    fn resync_with(&mut self, home: InstanceKey) {
        let running = self.requests.values();
        let cells: BTreeSet<CellKey> = running
            .filter_map(|it| match it.stage {
                Stage::Running { cell, home: at, .. } if at == home => Some(cell),
                _ => None,
            })
            .collect();
        for cell in cells {
            self.resync(home, cell);
        }
    }

    fn resync(&mut self, home: InstanceKey, cell: CellKey) {
        let running = self.requests.values();
        let running = running.filter_map(|it| it.to_running(cell));
        let running: Vec<RunningReport> = running.map(|it| RunningReport::from(&it)).collect();
        let message = CellMessage::Resync { cell, running };
        self.send(home, PeerMessage::Cell(message));
    }
}
