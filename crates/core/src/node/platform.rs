//! Values read from the platform, and the catalogue built from them.

use super::Node;
use crate::catalogue::sync::{CatalogueSync, Lookup, Roles, SyncAction, SyncChange};
use crate::event::{Action, ValueName};
use crate::membership::ParsedList;
use crate::peer::PeerMessage;
use crate::reason::Reason;
use crate::time::Time;

impl Node {
    /// Calls a method of the catalogue synchronisation and collects its actions.
    pub(super) fn with_sync(
        &mut self,
        call: impl FnOnce(&mut CatalogueSync, Time, &mut Vec<SyncAction>),
    ) {
        call(&mut self.sync, self.now, &mut self.sync_actions);
    }

    /// Carries out the actions of the catalogue synchronisation.
    pub(super) fn carry_out_sync(&mut self) {
        while !self.sync_actions.is_empty() {
            for action in core::mem::take(&mut self.sync_actions) {
                match action {
                    SyncAction::Read(name) => self.out.push(Action::Read(name)),
                    SyncAction::WatchIndex { above } => self.out.push(Action::Watch {
                        name: ValueName::CatalogueIndex,
                        above,
                    }),
                    SyncAction::Send { to, message } => {
                        self.send(to, PeerMessage::Catalogue(message));
                    }
                    SyncAction::Note(note) => self.note(note),
                    SyncAction::Changed(change) => self.on_sync_change(change),
                }
            }
        }
    }

    fn on_sync_change(&mut self, change: SyncChange) {
        match change {
            SyncChange::InForce { .. } => {
                self.validate_waiting();
                self.refresh_goals();
            }
            SyncChange::ShardReady(_) | SyncChange::ShardFailed(_) => self.validate_waiting(),
        }
    }

    /// Updates which instances watch the platform and which keep which shard.
    pub(super) fn refresh_roles(&mut self) {
        let roles = Roles::of(&self.membership);
        self.with_sync(|sync, now, out| sync.set_roles(now, roles, out));
    }

    /// Returns the entries that the holder of a key may use.
    ///
    /// # Errors
    ///
    /// Returns [`Reason::BadKey`] for an unknown key, and [`Reason::NoCatalogue`] if the catalogue
    /// or the shard of the key is not available.
    pub fn entries(&mut self, key_digest: &[u8; 32]) -> Result<Vec<String>, Reason> {
        let workspace = match self.sync.lookup(self.now, key_digest) {
            Lookup::Found(workspace) => workspace.clone(),
            Lookup::Unknown => return Err(Reason::BadKey),
            Lookup::Missing(shard) => {
                // The caller is asked to retry and finds the shard then.
                self.with_sync(|sync, now, out| sync.want_shard(now, shard, out));
                return Err(Reason::NoCatalogue);
            }
            Lookup::Unavailable(_) | Lookup::NoCatalogue => return Err(Reason::NoCatalogue),
        };
        let catalogue = self.sync.catalogue().ok_or(Reason::NoCatalogue)?;
        let entries = catalogue.entries();
        let allowed = entries.filter(|it| workspace.allows(it.entry.key));
        Ok(allowed.map(|it| it.entry.name.clone()).collect())
    }

    /// Handles a value that the platform returned for a read or a watch.
    pub(super) fn on_value(&mut self, name: ValueName, revision: u64, bytes: Vec<u8>) {
        match name {
            ValueName::Instances => self.on_list(&bytes),
            _ => self.with_sync(|sync, now, out| sync.value(now, &name, revision, &bytes, out)),
        }
    }

    /// Handles a watch that ended without a newer value.
    pub(super) fn on_value_unchanged(&mut self, name: ValueName) {
        match name {
            ValueName::Instances => {
                self.with_membership(|membership, now, out| membership.list_unchanged(now, out));
            }
            _ => self.with_sync(|sync, now, _| sync.unchanged(now, &name)),
        }
    }

    /// Handles a read or watch that failed.
    pub(super) fn on_value_failed(&mut self, name: ValueName) {
        match name {
            ValueName::Instances => self.on_list_failed(),
            _ => self.with_sync(|sync, now, out| sync.failed(now, &name, out)),
        }
    }

    fn on_list_failed(&mut self) {
        self.with_membership(|membership, now, out| membership.list_failed(now, out));
    }

    fn on_list(&mut self, bytes: &[u8]) {
        match ParsedList::parse(bytes) {
            Ok(parsed) => self.with_membership(|it, now, out| it.parsed_list(now, parsed, out)),
            Err(reason) => {
                self.with_membership(|it, now, out| it.list_unreadable(now, reason, out));
            }
        }
    }
}
