//! A published list and a catalogue of any size.

use core::fmt::Write;
use oriolemux_core::catalogue::{Digest, shard_of};
use oriolemux_core::membership::{
    EndpointKind, EndpointRecord, FencingSupport, InstanceList, InstanceRecord, ListedState,
};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Entries that each workspace may use.
pub(super) const ALLOWED_ENTRIES: usize = 6;

/// How large a fleet and its catalogue are.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetSize {
    /// Data centres.
    pub data_centres: usize,
    /// Instances in all.
    pub instances: usize,
    /// Model workers in all.
    pub engines: usize,
    /// Workers of plain services in all.
    pub services: usize,
    /// Models.
    pub models: usize,
    /// Workspaces.
    pub workspaces: usize,
    /// Entries of the catalogue.
    pub entries: usize,
    /// Shards of the catalogue.
    pub shards: u32,
}

impl FleetSize {
    /// One of the two users today.
    pub const TODAY: FleetSize = FleetSize {
        data_centres: 3,
        instances: 6,
        engines: 12,
        services: 3,
        models: 1,
        workspaces: 10,
        entries: 6,
        shards: 1,
    };

    /// The plan for the next two years.
    pub const PLANNED: FleetSize = FleetSize {
        data_centres: 10,
        instances: 390,
        engines: 600,
        services: 0,
        models: 6,
        workspaces: 48_000,
        entries: 200,
        shards: 64,
    };

    /// Returns the name of an entry.
    pub fn entry_name(at: usize) -> String {
        format!("entry-{at:04}")
    }

    /// Returns the bearer key of a workspace.
    pub fn bearer_key(workspace: usize) -> String {
        format!("bearer-key-{workspace:08}")
    }

    /// Returns the workspaces that stand in the first `shards` shards.
    pub(super) fn workspaces_of_shards(&self, shards: u32) -> Vec<usize> {
        let within = |workspace: &usize| {
            let digest = Digest::of(Self::bearer_key(*workspace).as_bytes());
            shard_of(&digest.0, self.shards) < shards
        };
        (0..self.workspaces).filter(within).collect()
    }

    /// Returns the published list.
    pub fn list(&self, revision: u64) -> InstanceList {
        let mut list = InstanceList {
            revision,
            instances: (0..self.instances).map(|at| self.instance(at)).collect(),
            endpoints: (0..self.engines)
                .map(|at| {
                    self.endpoint(
                        at,
                        EndpointKind::Model,
                        model_name(at / self.data_centres % self.models),
                    )
                })
                .collect(),
        };
        let services = self.engines..self.engines + self.services;
        let service = |at| self.endpoint(at, EndpointKind::Service, "counter".to_owned());
        list.endpoints.extend(services.map(service));
        list.normalise();
        list
    }

    fn instance(&self, at: usize) -> InstanceRecord {
        InstanceRecord {
            name: format!("instance-{at:04}"),
            address: address(at, 8080),
            peer_address: address(at, 7070),
            data_centre: data_centre_name(at % self.data_centres),
            state: ListedState::Live,
        }
    }

    fn endpoint(&self, at: usize, kind: EndpointKind, serves: String) -> EndpointRecord {
        EndpointRecord {
            name: format!("engine-{at:04}"),
            address: address(at + 5_000, 9090),
            data_centre: data_centre_name(at % self.data_centres),
            kind,
            serves: vec![serves],
            fencing: FencingSupport::Checked,
            state: ListedState::Live,
        }
    }

    /// Returns the catalogue's index at `revision`, for these shards.
    pub fn index(&self, revision: u64, shards: &[String]) -> String {
        let digests: Vec<String> = shards
            .iter()
            .map(|shard| format!("\"{}\"", Digest::of(shard.as_bytes())))
            .collect();
        let mut text = format!("revision = {revision}\nshards = [{}]\n", digests.join(", "));
        for (name, urgency, wait_ms) in
            [("urgent", 0, 980), ("soon", 1, 10_000), ("long", 2, 60_000)]
        {
            let longest = wait_ms * 10;
            push(
                &mut text,
                format_args!(
                    "\n[[class]]\nname = \"{name}\"\nurgency = {urgency}\nidempotent = true\n\
                 wait_target_ms = {wait_ms}\nlongest_wait_ms = {longest}\ndelivery = \"stream\"\n"
                ),
            );
        }
        for model in 0..self.models {
            push(
                &mut text,
                format_args!(
                    "\n[[model]]\nname = \"{}\"\nversion = \"1\"\nadapters = []\n",
                    model_name(model)
                ),
            );
        }
        for entry in 0..self.entries {
            let class = ["urgent", "soon", "long"][entry % 3];
            push(
                &mut text,
                format_args!(
                    "\n[[entry]]\nname = \"{}\"\nowner = \"desk {}\"\nclass = \"{class}\"\nmodel = \"{}\"\n\
                 limits = {{ concurrent = 2000, tokens_per_minute = 60000000, queue = 5000, \
                 prompt_tokens = 16000, output_tokens = 16384 }}\n",
                    Self::entry_name(entry),
                    entry % 40,
                    model_name(entry % self.models)
                ),
            );
        }
        text
    }

    /// Returns the catalogue's shards.
    pub fn shard_texts(&self) -> Vec<String> {
        let mut shards = vec![String::new(); self.shards as usize];
        let entries: Vec<String> = (0..self.entries.min(ALLOWED_ENTRIES))
            .map(|at| format!("\"{}\"", Self::entry_name(at)))
            .collect();
        for workspace in 0..self.workspaces {
            let digest = Digest::of(Self::bearer_key(workspace).as_bytes());
            let shard = shard_of(&digest.0, self.shards) as usize;
            push(
                &mut shards[shard],
                format_args!(
                    "[[workspace]]\nname = \"workspace-{workspace:06}\"\nkey_sha256 = [\"{digest}\"]\n\
                 entries = [{}]\nlimits = {{ concurrent = 200, tokens_per_minute = 6000000 }}\n\n",
                    entries.join(", ")
                ),
            );
        }
        shards
    }
}

fn push(text: &mut String, part: core::fmt::Arguments<'_>) {
    text.write_fmt(part)
        .expect("writing to a string does not fail");
}

fn model_name(at: usize) -> String {
    format!("model-{at}")
}

fn data_centre_name(at: usize) -> String {
    format!("centre-{at:02}")
}

fn address(at: usize, port: u16) -> SocketAddr {
    let at = at as u32;
    SocketAddr::from(([10, (at >> 16) as u8, (at >> 8) as u8, at as u8], port))
}
