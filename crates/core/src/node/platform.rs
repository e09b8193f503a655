//! Values read from the platform.

use super::Node;
use crate::catalogue::{self, Catalogue, Digest, Shard, Workspace};
use crate::event::{Action, ValueName};
use crate::membership::InstanceList;
use crate::note::Note;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Whether a workspace is known.
pub(super) enum Lookup {
    /// It is.
    Found(Workspace),
    /// No workspace holds this key.
    Unknown,
    /// The shard that may hold it is not here yet.
    Pending(u32),
}

/// The catalogue that is in force and the shards that are held.
#[derive(Default)]
pub(super) struct Holdings {
    in_force: Option<Arc<Catalogue>>,
    shards: BTreeMap<u32, Shard>,
    platform_revision: u64,
}

impl Holdings {
    /// Returns the catalogue in force.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.in_force.as_ref()
    }

    /// Returns the revision in force; 0 for none.
    pub fn revision(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |it| it.revision())
    }

    /// Finds the workspace that holds a key.
    pub fn workspace(&self, digest: &[u8; 32]) -> Lookup {
        let Some(catalogue) = &self.in_force else {
            return Lookup::Unknown;
        };
        let number = catalogue.shard_of(digest);
        match self.shards.get(&number) {
            None => Lookup::Pending(number),
            Some(shard) => match shard.workspace_by_digest(digest) {
                Some(workspace) => Lookup::Found(workspace.clone()),
                None => Lookup::Unknown,
            },
        }
    }
}

impl Node {
    pub(super) fn start_holdings(&mut self) {
        self.out.push(Action::Read(ValueName::CatalogueIndex));
    }

    pub(super) fn fetch_shard(&mut self, shard: u32) {
        self.out
            .push(Action::Read(ValueName::CatalogueShard(shard)));
    }

    /// The platform answered a read or a watch.
    pub(super) fn on_value(&mut self, name: ValueName, revision: u64, bytes: &[u8]) {
        match name {
            ValueName::Instances => self.on_list(bytes),
            ValueName::CatalogueIndex => self.on_index(revision, bytes),
            ValueName::CatalogueShard(number) => self.on_shard(number, bytes),
        }
    }

    /// The platform answered that there is nothing newer.
    pub(super) fn on_value_unchanged(&mut self, name: ValueName) {
        match name {
            ValueName::Instances => {
                self.with_membership(|membership, now, out| membership.list_unchanged(now, out));
            }
            _ => self.watch_index(),
        }
    }

    /// The platform's service could not be read.
    pub(super) fn on_value_failed(&mut self, name: ValueName) {
        match name {
            ValueName::Instances => self.on_list_failed(),
            _ => self.watch_index(),
        }
    }

    fn on_list_failed(&mut self) {
        self.with_membership(|membership, now, out| membership.list_failed(now, out));
    }

    fn on_list(&mut self, bytes: &[u8]) {
        match serde_json::from_slice::<InstanceList>(bytes) {
            Ok(list) => self.with_membership(|it, now, out| it.list(now, list, out)),
            Err(_) => self.on_list_failed(),
        }
    }

    fn watch_index(&mut self) {
        self.out.push(Action::Watch {
            name: ValueName::CatalogueIndex,
            above: self.holdings.platform_revision,
        });
    }

    fn on_index(&mut self, revision: u64, bytes: &[u8]) {
        self.holdings.platform_revision = revision.max(self.holdings.platform_revision);
        match catalogue::parse_index(bytes) {
            Ok(index) if index.revision() > self.holdings.revision() => {
                let revision = index.revision();
                self.holdings.in_force = Some(Arc::new(index));
                self.holdings.shards.clear();
                self.note(Note::CatalogueAccepted { revision });
            }
            Ok(_) => {}
            Err(findings) => self.note(Note::CatalogueRejected {
                revision,
                findings: findings.len() as u32,
            }),
        }
        self.watch_index();
    }

    fn on_shard(&mut self, number: u32, bytes: &[u8]) {
        let Some(catalogue) = &self.holdings.in_force else {
            return;
        };
        let wanted = catalogue.shards().get(number as usize);
        if wanted != Some(&Digest::of(bytes)) {
            return;
        }
        if let Ok(shard) = catalogue::parse_shard(bytes, number, catalogue.shard_count()) {
            self.holdings.shards.insert(number, shard);
            self.judge_waiting();
        }
    }
}
