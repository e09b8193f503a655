//! What a tick and the look-up of endpoints cost, and that indices miss no endpoint.

#[path = "fixtures/gateway.rs"]
mod instances;
#[path = "fixtures/large_service.rs"]
mod service;

use core::time::Duration;
use oriolemux_core::gateway::{Cordon, Endpoint, EndpointRecord, EndpointState};
use oriolemux_core::{EndpointKey, Time};
use proptest::prelude::*;
use rstest::rstest;
use service::{DATA_CENTRES, MODEL, endpoints, key, record};
use std::collections::BTreeSet;

/// Guards against a tick that costs more with each endpoint although nothing is due: some twenty
/// passes a second over 6,000 endpoints took an instance of 0.12 core a fifth of its share.
#[rstest]
#[case::small(60)]
#[case::twice_the_fleet(12_000)]
fn a_tick_with_nothing_due_looks_at_no_endpoint(#[case] count: usize) {
    let mut table = endpoints(count);
    for number in 0..count / 10 {
        table.mark_leaving(Time::from_secs(1), key(number));
    }

    for tick in 0..20 {
        let now = Time::from_secs(2) + Duration::from_millis(50) * tick;
        assert_eq!(table.tick(now, false), []);
    }

    assert_eq!(table.looked_at(), 0);
}

/// Guards against endpoints that are never found due: those that lapsed or left are looked at once
/// each, and no other is.
#[test]
fn a_tick_looks_at_what_is_due_alone() {
    let mut table = endpoints(12_000);
    let removed = Time::from_secs(1);
    table.remove_record(removed, "e-1", true);
    table.remove_record(removed, "e-2", false);

    let lapsed = table.tick(removed + Duration::from_millis(50), false);
    table.tick(removed + Duration::from_secs(70), false);

    assert_eq!(lapsed, [key(1)]);
    assert!(table.get(key(1)).is_none() && table.get(key(2)).is_none());
    assert_eq!(table.looked_at(), 3, "one that lapsed, two that are gone");
}

/// One change of an endpoint table.
#[derive(Clone, Copy, Debug)]
enum Change {
    Record { leaving: bool, service: bool },
    Removed { unsettled: bool },
    Unreadable,
    Leaving,
    Failure,
    Success,
    Cordon { closed: bool },
    Tick { seconds: u64 },
}

fn change() -> impl Strategy<Value = Change> {
    prop_oneof![
        4 => (prop::bool::weighted(0.1), prop::bool::weighted(0.1))
            .prop_map(|(leaving, service)| Change::Record { leaving, service }),
        2 => any::<bool>().prop_map(|unsettled| Change::Removed { unsettled }),
        1 => Just(Change::Unreadable),
        1 => Just(Change::Leaving),
        2 => Just(Change::Failure),
        1 => Just(Change::Success),
        1 => any::<bool>().prop_map(|closed| Change::Cordon { closed }),
        2 => (0u64..90).prop_map(|seconds| Change::Tick { seconds }),
    ]
}

fn keys<'a>(endpoints: impl Iterator<Item = &'a Endpoint>) -> Vec<EndpointKey> {
    endpoints.map(|it| it.key).collect()
}

proptest! {
    /// Guards against an index that misses an endpoint which a scan of all would find, or keeps one
    /// that leaves: whatever happens, both give the same ones in the same order.
    #[test]
    fn indices_agree_with_a_scan_of_all_endpoints(
        changes in prop::collection::vec((change(), 0usize..8, 0u64..3), 1..200)
    ) {
        let mut table = endpoints(8);
        let mut now = Time::from_secs(1);
        let mut revision = 1;
        for (change, number, incarnation) in changes {
            let name = format!("e-{number}");
            let started_unix_ms = Some(incarnation);
            let record = EndpointRecord { started_unix_ms, ..record(number) };
            let at = record.key();
            match change {
                Change::Record { leaving, service } => {
                    let service = if service { "other" } else { MODEL };
                    let service = service.to_owned();
                    table.apply_record(now, EndpointRecord { leaving, service, ..record });
                }
                Change::Removed { unsettled } => { table.remove_record(now, &name, unsettled); }
                Change::Unreadable => table.mark_unreadable(&name),
                Change::Leaving => { table.mark_leaving(now, at); }
                Change::Failure => { table.on_unreachable(now, at); }
                Change::Success => table.on_success(at),
                Change::Cordon { closed } => {
                    revision += 1;
                    let data_centre = DATA_CENTRES[number % 3].to_owned();
                    let revision = instances::rev(revision);
                    table.apply_cordon(now, &Cordon { data_centre, revision, is_closed: closed });
                }
                Change::Tick { seconds } => {
                    now += Duration::from_secs(seconds);
                    let lapsed: BTreeSet<EndpointKey> = table
                        .iter()
                        .filter(|it| matches!(it.state, EndpointState::Lapsed { .. }))
                        .map(|it| it.key)
                        .collect();
                    let gone = table.tick(now, false);
                    prop_assert_eq!(gone, lapsed.into_iter().collect::<Vec<_>>());
                }
            }

            for service in [MODEL, "other"] {
                let usable = |it: &&Endpoint| {
                    it.record.service == service && table.is_usable(it.key)
                };
                let scanned = keys(table.iter().filter(usable));
                prop_assert_eq!(table.usable_count(service), scanned.len());
                prop_assert_eq!(keys(table.usable_of(service)), scanned);
            }
            let is_open = |it: &&Endpoint| {
                matches!(it.state, EndpointState::Serving | EndpointState::Lapsed { .. })
            };
            let failing = table.iter().filter(is_open).filter(|it| it.is_failing());
            prop_assert_eq!(table.failing().collect::<Vec<_>>(), keys(failing));
            let ejected = table.iter().filter(is_open).filter(|it| it.is_ejected(now));
            prop_assert_eq!(table.ejected(now).collect::<Vec<_>>(), keys(ejected));
        }
    }
}
