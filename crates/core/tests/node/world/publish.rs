//! What the platform of the simulated fleet publishes.

use super::{KEY, World};
use oriolemux_core::event::ValueName;
use sha2::{Digest, Sha256};

impl World {
    /// Publishes a list of all nodes and `engines` engines.
    pub fn publish_list(&mut self, revision: u64, engines: usize) {
        let instances: Vec<_> = self
            .names
            .iter()
            .enumerate()
            .filter(|(n, _)| !self.unlisted.contains(n))
            .map(|(n, name)| {
                serde_json::json!({
                    "name": name, "address": format!("127.0.0.1:{}", 1000 + n),
                    "peer_address": format!("127.0.0.1:{}", 2000 + n),
                    "data_centre": "Arima", "state": "live",
                })
            })
            .collect();
        let endpoints: Vec<_> = (0..engines)
            .map(|n| {
                serde_json::json!({
                    "name": format!("engine-{n}"), "address": format!("127.0.0.1:{}", 3000 + n),
                    "data_centre": "Arima", "kind": "model", "serves": ["loom"],
                    "fencing": "checked", "state": "live",
                })
            })
            .collect();
        let list = serde_json::json!({
            "revision": revision, "instances": instances, "endpoints": endpoints,
        });
        self.publish(
            ValueName::Instances,
            revision,
            list.to_string().into_bytes(),
        );
    }

    /// Publishes a catalogue with one idempotent and one non-idempotent entry.
    pub fn publish_catalogue(&mut self, revision: u64) {
        let digest = hex(&Sha256::digest(KEY));
        let concurrent = self.workspace_concurrent;
        let shard = format!(
            "[[workspace]]\nname = \"desk\"\nkey_sha256 = [\"{digest}\"]\n\
             entries = [\"plan\", \"order\"]\nlimits = {{ concurrent = {concurrent}, tokens_per_minute = 1000000 }}\n"
        );
        let limits = "limits = { concurrent = 100, tokens_per_minute = 1000000, queue = 100, \
                      prompt_tokens = 5000, output_tokens = 4000 }";
        let class = |name: &str, idempotent: bool| {
            format!(
                "[[class]]\nname = \"{name}\"\nurgency = 1\nidempotent = {idempotent}\n\
                 wait_target_ms = 2000\nlongest_wait_ms = 10000\ndelivery = \"stream\"\n"
            )
        };
        let entry = |name: &str, class: &str| {
            format!(
                "[[entry]]\nname = \"{name}\"\nowner = \"desk@example.org\"\nclass = \"{class}\"\n\
                 model = \"loom\"\n{limits}\n"
            )
        };
        let index = format!(
            "revision = {revision}\nshards = [\"{}\"]\n[[model]]\nname = \"loom\"\nversion = \"{}\"\nreplicas = 8\n{}{}{}{}",
            hex(&Sha256::digest(&shard)),
            self.model_version,
            class("repeatable", true),
            class("once", false),
            entry("plan", "repeatable"),
            entry("order", "once"),
        );
        self.publish(ValueName::CatalogueShard(0), revision, shard.into_bytes());
        self.publish(ValueName::CatalogueIndex, revision, index.into_bytes());
    }

    /// Publishes a value unchanged.
    pub fn publish(&mut self, name: ValueName, revision: u64, bytes: Vec<u8>) {
        self.values.insert(name.clone(), (revision, bytes));
        let watches = std::mem::take(&mut self.watches);
        let (due, rest) = watches
            .into_iter()
            .partition(|(_, _, watched, above)| *watched == name && *above < revision);
        self.watches = rest;
        for (to, incarnation, name, _) in due {
            self.answer_read(to, incarnation, name);
        }
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}
