//! The catalogue of a fleet.

use oriolemux_core::catalogue::{Digest, shard_of};
use std::fmt::Write;

/// The bearer key of the school's workspace.
pub const SCHOOL_KEY: &str = "school-key-0123456789";
/// The bearer key of the broadcaster's workspace.
pub const BROADCASTER_KEY: &str = "broadcaster-key-0123456789";

/// Short urgent generations that may be repeated.
pub const VERDICT: &str = "verdict";
/// Long generations that may be repeated.
pub const PLAN: &str = "plan";
/// Long generations that are delivered whole.
pub const REPORT: &str = "report";
/// Generations that must not run twice.
pub const BILLED: &str = "billed";
/// Calls of a plain service that may be repeated.
pub const LOOKUP: &str = "lookup";
/// Calls of a plain service that must not run twice.
pub const SALE: &str = "sale";

/// A catalogue that is published.
#[derive(Clone, Debug)]
pub struct Catalogue {
    /// Its revision.
    pub revision: u64,
    /// Whether the catalogue has services.
    pub with_services: bool,
    /// How many shards it has.
    pub shards: u32,
}

struct Class {
    name: &'static str,
    urgency: u32,
    idempotent: bool,
    wait_target_ms: u32,
    longest_wait_ms: u32,
    delivery: &'static str,
}

const CLASSES: [Class; 5] = [
    Class {
        name: "urgent",
        urgency: 0,
        idempotent: true,
        wait_target_ms: 500,
        longest_wait_ms: 20_000,
        delivery: "stream",
    },
    Class {
        name: "patient",
        urgency: 2,
        idempotent: true,
        wait_target_ms: 5_000,
        longest_wait_ms: 30_000,
        delivery: "stream",
    },
    Class {
        name: "whole",
        urgency: 2,
        idempotent: true,
        wait_target_ms: 5_000,
        longest_wait_ms: 30_000,
        delivery: "whole",
    },
    Class {
        name: "once",
        urgency: 1,
        idempotent: false,
        wait_target_ms: 1_000,
        longest_wait_ms: 20_000,
        delivery: "stream",
    },
    Class {
        name: "counter",
        urgency: 1,
        idempotent: true,
        wait_target_ms: 500,
        longest_wait_ms: 20_000,
        delivery: "whole",
    },
];

struct Entry {
    name: &'static str,
    class: &'static str,
    output_tokens: u32,
}

const ENTRIES: [Entry; 4] = [
    Entry {
        name: VERDICT,
        class: "urgent",
        output_tokens: 64,
    },
    Entry {
        name: PLAN,
        class: "patient",
        output_tokens: 1_000,
    },
    Entry {
        name: REPORT,
        class: "whole",
        output_tokens: 500,
    },
    Entry {
        name: BILLED,
        class: "once",
        output_tokens: 100,
    },
];

const SERVICE_ENTRIES: [Entry; 2] = [
    Entry {
        name: LOOKUP,
        class: "counter",
        output_tokens: 0,
    },
    Entry {
        name: SALE,
        class: "once",
        output_tokens: 0,
    },
];

const WORKSPACES: [(&str, &str); 2] = [("school", SCHOOL_KEY), ("broadcaster", BROADCASTER_KEY)];

impl Catalogue {
    /// Returns the first revision.
    pub fn first(with_services: bool) -> Self {
        Catalogue {
            revision: 1,
            with_services,
            shards: 2,
        }
    }

    /// Returns the bytes of the index.
    pub fn index(&self) -> String {
        let digests: Vec<String> = self
            .shards()
            .iter()
            .map(|shard| format!("\"{}\"", Digest::of(shard.as_bytes())))
            .collect();
        let mut text = format!(
            "revision = {}\nshards = [{}]\n",
            self.revision,
            digests.join(", ")
        );
        for class in &CLASSES {
            push(&mut text, &class_table(class));
        }
        push(&mut text, &model_table());
        for entry in &ENTRIES {
            push(&mut text, &model_entry_table(entry));
        }
        if self.with_services {
            let service = super::list::SERVICE;
            push(&mut text, &format!("[[service]]\nname = \"{service}\""));
            for entry in &SERVICE_ENTRIES {
                push(&mut text, &service_entry_table(entry));
            }
        }
        text
    }

    /// Returns the bytes of each shard.
    pub fn shards(&self) -> Vec<String> {
        let mut shards = vec![String::new(); self.shards as usize];
        for (name, key) in WORKSPACES {
            let digest = Digest::of(key.as_bytes());
            let shard = &mut shards[shard_of(&digest.0, self.shards) as usize];
            push(shard, &self.workspace_table(name, &digest));
        }
        shards
    }

    fn workspace_table(&self, name: &str, digest: &Digest) -> String {
        let mut entries: Vec<&str> = ENTRIES.iter().map(|entry| entry.name).collect();
        if self.with_services {
            entries.extend(SERVICE_ENTRIES.iter().map(|entry| entry.name));
        }
        format!(
            "[[workspace]]\nname = \"{name}\"\nkey_sha256 = [\"{digest}\"]\nentries = {entries:?}\n\
             limits = {{ concurrent = 5000, tokens_per_minute = 100000000 }}"
        )
    }
}

fn class_table(class: &Class) -> String {
    format!(
        "[[class]]\nname = \"{}\"\nurgency = {}\nidempotent = {}\nwait_target_ms = {}\n\
         longest_wait_ms = {}\ndelivery = \"{}\"",
        class.name,
        class.urgency,
        class.idempotent,
        class.wait_target_ms,
        class.longest_wait_ms,
        class.delivery
    )
}

fn model_table() -> String {
    format!(
        "[[model]]\nname = \"{}\"\nversion = \"1\"",
        super::list::MODEL
    )
}

fn model_entry_table(entry: &Entry) -> String {
    format!(
        "[[entry]]\nname = \"{}\"\nowner = \"bench\"\nclass = \"{}\"\nmodel = \"{}\"\n\
         limits = {{ concurrent = 2000, tokens_per_minute = 100000000, queue = 5000, \
         prompt_tokens = 8000, output_tokens = {} }}",
        entry.name,
        entry.class,
        super::list::MODEL,
        entry.output_tokens
    )
}

fn service_entry_table(entry: &Entry) -> String {
    format!(
        "[[entry]]\nname = \"{}\"\nowner = \"bench\"\nclass = \"{}\"\nservice = \"{}\"\n\
         limits = {{ concurrent = 2000, queue = 5000 }}",
        entry.name,
        entry.class,
        super::list::SERVICE
    )
}

fn push(text: &mut String, table: &str) {
    // Writing into a string cannot fail.
    let _ = write!(text, "\n{table}\n");
}
