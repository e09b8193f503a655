//! The catalogue of a mix, with its times scaled.

use crate::fleet::list::MODEL;
use crate::workload::{ClassSpec, EntrySpec, Mix};
use core::time::Duration;
use oriolemux_core::catalogue::Digest;
use std::fmt::Write;

/// A catalogue of one shard.
pub(super) struct Published {
    pub index: String,
    pub shard: String,
}

/// Returns the bearer key of a workspace.
pub(super) fn key_of(workspace: &str) -> String {
    format!("key-of-{workspace}-0123456789")
}

/// Returns the catalogue of `mix`, whose times run `scale` times faster.
pub(super) fn of(mix: Mix, scale: f64) -> Published {
    let shard = shard(mix);
    let digest = Digest::of(shard.as_bytes());
    let mut index = format!(
        "revision = 2\nshards = [\"{digest}\"]\n\n[[model]]\nname = \"{MODEL}\"\nversion = \"1\"\n"
    );
    for class in mix.classes() {
        index.push_str(&class_table(class, scale));
    }
    for entry in mix.entries() {
        index.push_str(&entry_table(entry, mix));
    }
    Published { index, shard }
}

fn class_table(class: &ClassSpec, scale: f64) -> String {
    let millis = |duration: Duration| (duration.as_secs_f64() * 1e3 / scale).ceil();
    format!(
        "\n[[class]]\nname = \"{}\"\nurgency = {}\nidempotent = true\nwait_target_ms = {}\n\
         longest_wait_ms = {}\ndelivery = \"stream\"\n",
        class.name,
        class.urgency,
        millis(class.wait_target),
        millis(class.longest_wait)
    )
}

fn entry_table(entry: &EntrySpec, mix: Mix) -> String {
    format!(
        "\n[[entry]]\nname = \"{}\"\nowner = \"bench@example.org\"\nclass = \"{}\"\n\
         model = \"{MODEL}\"\nlimits = {{ concurrent = 20000, tokens_per_minute = 100000000, \
         queue = 20000, prompt_tokens = 32000, output_tokens = {} }}\n",
        entry.name,
        mix.classes()[entry.class].name,
        entry.max_tokens
    )
}

fn shard(mix: Mix) -> String {
    let entries: Vec<&str> = mix.entries().iter().map(|it| it.name).collect();
    let mut text = String::new();
    for workspace in mix.workspaces() {
        let digest = Digest::of(key_of(workspace.name).as_bytes());
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "[[workspace]]\nname = \"{}\"\nkey_sha256 = [\"{digest}\"]\nentries = {entries:?}\n\
             limits = {{ concurrent = 20000, tokens_per_minute = 100000000 }}\n\n",
            workspace.name
        );
    }
    text
}
