//! Parsing of catalogues, and lookups in the result.

use core::time::Duration;
use oriolemux_core::catalogue::{
    Digest, MAX_VALUE_BYTES, Problem as CatalogueProblem, TargetView, parse_index, parse_shard,
    shard_of,
};
use oriolemux_core::event::DeliveryMode;
use oriolemux_core::findings::Problem;
use oriolemux_core::ids::EntryKey;

const INDEX: &str = r#"
revision = 7
shards = ["0000000000000000000000000000000000000000000000000000000000000000"]

[[class]]
name = "verdict"
urgency = 0
idempotent = true
wait_target_ms = 300
longest_wait_ms = 2000
delivery = "stream"

[[class]]
name = "booking"
urgency = 2
idempotent = false
wait_target_ms = 300
longest_wait_ms = 2000
delivery = "whole"
preemption_risk = 0.002

[[model]]
name = "loom"
version = "3"
adapters = ["crest"]
replicas = 4

[[service]]
name = "stock"

[[entry]]
name = "fabric-check"
owner = "counters"
class = "verdict"
model = "loom"
adapter = "crest"
limits = { concurrent = 40, tokens_per_minute = 90000, queue = 100, prompt_tokens = 4000, output_tokens = 200 }

[[entry]]
name = "sell-shirt"
owner = "counters"
class = "booking"
service = "stock"
limits = { concurrent = 40, queue = 100 }
"#;

fn shard_text(keys: &[&str]) -> String {
    let digests: Vec<String> = keys
        .iter()
        .map(|key| format!("\"{}\"", Digest::of(key.as_bytes())))
        .collect();
    format!(
        "[[workspace]]\nname = \"arima\"\nkey_sha256 = [{}]\nentries = [\"fabric-check\"]\n\
         limits = {{ concurrent = 8, tokens_per_minute = 5000 }}\n",
        digests.join(", ")
    )
}

#[test]
fn entry_is_found_with_class_model_and_limits() {
    let catalogue = parse_index(INDEX.as_bytes()).unwrap();

    let view = catalogue.entry("fabric-check").unwrap();

    assert_eq!(catalogue.revision(), 7);
    assert_eq!(view.entry.key, EntryKey::of("fabric-check"));
    assert_eq!(view.entry.owner, "counters");
    assert_eq!(view.entry.limits.tokens_per_minute, 90_000);
    assert_eq!(view.class.wait_target, Duration::from_millis(300));
    assert_eq!(view.class.delivery, DeliveryMode::Stream);
    assert!(view.class.idempotent);
    let TargetView::Model { model, adapter } = view.target else {
        panic!("a model serves the entry");
    };
    assert_eq!((model.name.as_str(), model.version.as_str()), ("loom", "3"));
    assert_eq!((adapter, model.replicas), (Some("crest"), Some(4)));
}

#[test]
fn service_entry_needs_no_token_limits() {
    let catalogue = parse_index(INDEX.as_bytes()).unwrap();

    let view = catalogue.entry("sell-shirt").unwrap();

    assert!(view.target.is_service());
    assert_eq!(view.target.name(), "stock");
    assert_eq!(view.class.delivery, DeliveryMode::Whole);
    assert!((view.class.preemption_risk - 0.002).abs() < 1e-12);
}

#[test]
fn unknown_entry_is_not_found() {
    let catalogue = parse_index(INDEX.as_bytes()).unwrap();

    assert!(catalogue.entry("fabric").is_none());
}

#[test]
fn each_key_of_a_workspace_finds_it_and_no_other_key_does() {
    let shard = parse_shard(shard_text(&["old key", "new key"]).as_bytes(), 0, 1).unwrap();

    let old = shard.workspace_by_digest(&Digest::of(b"old key").0);
    let new = shard.workspace_by_digest(&Digest::of(b"new key").0);
    let other = shard.workspace_by_digest(&Digest::of(b"other key").0);

    assert_eq!(old.unwrap().name, "arima");
    assert_eq!(old, new);
    assert_eq!(other, None);
    assert!(old.unwrap().allows(EntryKey::of("fabric-check")));
    assert!(!old.unwrap().allows(EntryKey::of("sell-shirt")));
}

#[test]
fn key_in_the_wrong_shard_is_a_finding() {
    let right = shard_of(&Digest::of(b"key").0, 2);
    let wrong = 1 - right;

    let findings = parse_shard(shard_text(&["key"]).as_bytes(), wrong, 2).unwrap_err();

    let problems: Vec<_> = findings.iter().map(|finding| &finding.problem).collect();
    let expected = CatalogueProblem::WrongShard {
        here: wrong,
        right,
        count: 2,
    };
    assert_eq!(problems, [&Problem::Catalogue(expected)]);
}

#[test]
fn value_of_more_than_a_megabyte_is_a_finding() {
    let mut bytes = INDEX.as_bytes().to_vec();
    bytes.resize(MAX_VALUE_BYTES + 1, b'\n');

    let findings = parse_index(&bytes).unwrap_err();

    assert_eq!(findings.len(), 1);
    assert!(findings.to_string().contains("1048577 bytes"));
}

#[test]
fn value_of_exactly_a_megabyte_is_read() {
    let mut bytes = INDEX.as_bytes().to_vec();
    bytes.resize(MAX_VALUE_BYTES, b'\n');

    assert!(parse_index(&bytes).is_ok());
}

#[test]
fn findings_of_a_hostile_value_are_bounded() {
    let bytes = "[[entry]]\n".repeat(50_000);

    let findings = parse_index(bytes.as_bytes()).unwrap_err();

    assert_eq!(findings.iter().count(), 256);
    assert!(findings.unlisted() > 100_000);
}
