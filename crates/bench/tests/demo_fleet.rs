//! What a fleet publishes is accepted by the product's own readers.

use oriolemux_bench::fleet::catalogue::{
    BILLED, BROADCASTER_KEY, Catalogue, LOOKUP, SALE, SCHOOL_KEY, VERDICT,
};
use oriolemux_core::catalogue::{Digest, parse_index, parse_shard, shard_of};
use oriolemux_core::ids::EntryKey;
use rstest::rstest;

#[rstest]
#[case(true)]
#[case(false)]
fn the_index_is_accepted_and_names_the_shards(#[case] with_services: bool) {
    let catalogue = Catalogue::first(with_services);

    let index = parse_index(catalogue.index().as_bytes()).expect("accepted");

    assert_eq!(index.revision(), catalogue.revision);
    assert!(index.entry(VERDICT).expect("an entry").class.idempotent);
    assert!(!index.entry(BILLED).expect("an entry").class.idempotent);
    assert_eq!(index.entry(SALE).is_some(), with_services);
    assert_eq!(index.entry(LOOKUP).is_some(), with_services);
}

#[rstest]
#[case(SCHOOL_KEY)]
#[case(BROADCASTER_KEY)]
fn each_workspace_stands_in_the_shard_of_its_key(#[case] key: &str) {
    let catalogue = Catalogue::first(true);
    let digest = Digest::of(key.as_bytes());
    let number = shard_of(&digest.0, catalogue.shards);

    let text = &catalogue.shards()[number as usize];
    let shard = parse_shard(text.as_bytes(), number, catalogue.shards).expect("accepted");

    let workspace = shard.workspace_by_digest(&digest.0).expect("a workspace");
    assert!(workspace.allows(EntryKey::of(BILLED)));
    assert!(workspace.allows(EntryKey::of(SALE)));
}
