//! What is known of the store never steps back, however records arrive.

use oriolemux_core::gateway::{Record, Replica};
use proptest::prelude::*;
use std::collections::BTreeMap;

fn record(key: &str, revision: u64, value: Option<&str>) -> Record {
    Record {
        key: key.to_owned(),
        revision,
        value: value.map(|value| value.as_bytes().to_vec()),
    }
}

fn known(replica: &Replica) -> BTreeMap<String, (u64, Option<Vec<u8>>)> {
    let news = replica.news_for(0);
    let records = news.records.into_iter();
    records
        .map(|it| (it.key, (it.revision, it.value)))
        .collect()
}

/// Symptom: a key that was taken away works again. Sequence: a page read before the
/// change arrives after the watch has told of it. Cause: the last arrival won.
#[test]
fn a_late_page_brings_nothing_back() {
    let mut replica = Replica::default();
    assert!(replica.apply(record("config", 20, Some("new"))));
    assert!(replica.apply(record("server", 21, None)));

    assert!(!replica.apply(record("config", 10, Some("old"))));
    assert!(!replica.apply(record("server", 11, Some("there"))));

    assert_eq!(known(&replica)["config"], (20, Some(b"new".to_vec())));
    assert_eq!(known(&replica)["server"], (21, None));
}

/// Symptom: an endpoint that has just come is taken as gone. Sequence: it registers
/// while the pages are read, behind the page that would have shown it. Cause: pages
/// were taken for a snapshot.
#[test]
fn what_was_written_during_a_read_is_not_missing() {
    let mut replica = Replica::default();
    replica.apply(record("a", 5, Some("old")));
    replica.apply(record("b", 12, Some("came during the read")));

    let missing = replica.missing_from(&BTreeMap::new(), 10);

    assert_eq!(missing, [record("a", 10, None)]);
}

#[test]
fn a_peer_is_told_changes_only_if_all_of_them_were_seen() {
    let mut replica = Replica::default();
    replica.apply(record("a", 5, Some("1")));
    replica.read_whole(10);
    replica.apply(record("b", 12, Some("2")));
    replica.reached(12);

    let seen_all = replica.news_for(10);
    let too_old = replica.news_for(7);

    assert!(!seen_all.whole);
    assert_eq!(seen_all.records, [record("b", 12, Some("2"))]);
    assert!(too_old.whole);
    assert_eq!(too_old.records.len(), 2);
}

proptest! {
    /// Whatever order records come in, and however often, the result is the same, and
    /// no key ever falls to a lower revision on the way.
    #[test]
    fn records_in_any_order_give_the_same(
        writes in prop::collection::vec((0_u8..4, any::<bool>()), 1..24),
        order in prop::collection::vec(any::<prop::sample::Index>(), 1..64),
    ) {
        let records: Vec<Record> = writes
            .iter()
            .zip(1_u64..)
            .map(|(&(key, removed), revision)| {
                let value = (!removed).then_some("v");
                record(&format!("k{key}"), revision, value)
            })
            .collect();
        let mut straight = Replica::default();
        for record in &records {
            straight.apply(record.clone());
        }
        let mut mixed = Replica::default();
        for index in &order {
            let record = index.get(&records).clone();
            let before = known(&mixed).get(&record.key).map_or(0, |it| it.0);
            mixed.apply(record.clone());
            prop_assert!(known(&mixed)[&record.key].0 >= before.max(record.revision));
        }
        for record in &records {
            mixed.apply(record.clone());
        }
        prop_assert_eq!(known(&mixed), known(&straight));
    }
}
