//! Where requests, generations and their copies are placed.

use core::time::Duration;
use oriolemux_core::gateway::catalogue::EngineLimits;
use oriolemux_core::gateway::choose::{
    CopyKind, PlacementContext, PlacementError, choose, choose_copy_target,
};
use oriolemux_core::gateway::endpoints::EndpointTable;
use oriolemux_core::gateway::usage::{PeerUsage, Usage, UsageTable};
use oriolemux_core::gateway::{Demand, EndpointRecord};
use oriolemux_core::{EndpointKey, Time};
use rstest::rstest;

const ENGINE: EngineLimits = EngineLimits {
    slots: 24,
    kv_cache_tokens: 34_000,
    standby_copies: true,
};

struct Tables {
    endpoints: EndpointTable,
    usage: UsageTable,
    others: PeerUsage,
}

fn key(name: &str) -> EndpointKey {
    EndpointKey::of(name)
}

/// Endpoints of one service, by name and data centre.
fn tables(endpoints: &[(&str, &str)]) -> Tables {
    let mut table = EndpointTable::default();
    for (name, data_centre) in endpoints {
        let record = EndpointRecord {
            name: (*name).to_owned(),
            service: "model".to_owned(),
            address: "10.0.0.1:80".parse().expect("an address"),
            data_centre: (*data_centre).to_owned(),
            slots: 24,
            started_unix_ms: None,
            leaving: false,
            cold_for: Duration::ZERO,
        };
        table.apply_record(Time::ZERO, record);
    }
    Tables {
        endpoints: table,
        usage: UsageTable::default(),
        others: PeerUsage::default(),
    }
}

impl Tables {
    fn world(&self) -> PlacementContext<'_> {
        PlacementContext {
            now: Time::from_secs(10),
            endpoints: &self.endpoints,
            usage: &self.usage,
            others: &self.others,
            data_centre: "north",
        }
    }
}

fn demand(tokens: u32, exclude: &[EndpointKey]) -> Demand<'_> {
    Demand {
        service: "model",
        engine: Some(ENGINE),
        tokens,
        exclude,
    }
}

/// No jitter, so that the cost alone decides.
fn no_draw() -> f64 {
    0.0
}

/// Guards against two instances that send long prompts to one engine while others idle, because
/// each counts only its own requests.
#[test]
fn what_others_run_counts() {
    let mut tables = tables(&[("e-1", "north"), ("e-2", "north")]);
    let used = Usage {
        running: 1,
        pending_prefill: 3_000,
        tokens: 3_000,
        copy_tokens: 0,
    };
    tables.others.add(key("e-1"), used);

    let chosen = choose(tables.world(), &demand(3_000, &[]), no_draw);

    assert_eq!(chosen, Ok(key("e-2")));
}

#[test]
fn the_own_data_centre_is_preferred_among_equals() {
    let tables = tables(&[("e-1", "south"), ("e-2", "north")]);

    assert_eq!(
        choose(tables.world(), &demand(3_000, &[]), no_draw),
        Ok(key("e-2"))
    );
}

/// Guards against preemption at engines whose KV cache is assigned twice, to generations and to
/// standby copies.
#[test]
fn copies_count_as_memory() {
    let mut tables = tables(&[("e-1", "north")]);
    tables.usage.begin(key("e-1"), 20_000, 0);
    tables.usage.begin_copy(key("e-1"), 10_000);

    assert_eq!(
        choose(tables.world(), &demand(4_000, &[]), no_draw),
        Err(PlacementError::Full)
    );
    tables.usage.end_copy(key("e-1"), 10_000);
    assert_eq!(
        choose(tables.world(), &demand(4_000, &[]), no_draw),
        Ok(key("e-1"))
    );
}

#[test]
fn an_empty_engine_takes_what_would_never_fit() {
    let tables = tables(&[("e-1", "north")]);

    assert_eq!(
        choose(tables.world(), &demand(50_000, &[]), no_draw),
        Ok(key("e-1"))
    );
}

#[test]
fn endpoints_that_leave_or_were_tried_are_not_chosen() {
    let mut tables = tables(&[("e-1", "north"), ("e-2", "north")]);
    tables.endpoints.mark_leaving(Time::ZERO, key("e-1"));

    let chosen = choose(tables.world(), &demand(3_000, &[key("e-2")]), no_draw);

    assert_eq!(chosen, Err(PlacementError::NoEndpoint));
}

#[test]
fn standing_copies_leave_room_that_copies_ahead_may_use() {
    let mut tables = tables(&[("e-1", "north"), ("e-2", "north")]);
    tables.usage.begin(key("e-2"), 25_000, 0);
    let source = tables.endpoints.get(key("e-1")).expect("it is there");
    let demand = demand(3_000, &[]);

    let standing = choose_copy_target(tables.world(), &demand, source, CopyKind::Standby, no_draw);
    let ahead = choose_copy_target(tables.world(), &demand, source, CopyKind::PreCopy, no_draw);

    assert_eq!(standing, None);
    assert_eq!(ahead, Some(key("e-2")));
}

/// Guards against generations that stall for two seconds after their engine left, because all of
/// them chose the same target at the same moment and with the same view.
#[test]
fn copies_ahead_of_one_engine_part() {
    let names = ["e-1", "e-2", "e-3", "e-4", "e-5"];
    let tables = tables(&names.map(|name| (name, "north")));
    let source = tables.endpoints.get(key("e-1")).expect("it is there");
    let demand = demand(3_000, &[]);
    let mut draws = (0_u32..).map(|n| f64::from(n * 7 % 11) / 11.0);

    let chosen: std::collections::BTreeSet<_> = (0..8)
        .filter_map(|_| {
            let draw = || draws.next().unwrap_or(0.0);
            choose_copy_target(tables.world(), &demand, source, CopyKind::PreCopy, draw)
        })
        .collect();

    assert!(chosen.len() >= 3, "{chosen:?}");
}

/// Guards against generations that are lost with their engine although they have a standby copy.
/// During a store outage the record of a crashed engine remains; the engine looks empty and
/// attracts all copies, also from instances without work there. Three own failures, which eject an
/// endpoint, are too late.
#[rstest]
#[case::seen_here(true)]
#[case::seen_by_others(false)]
fn no_copy_is_put_at_an_engine_that_fails(#[case] seen_here: bool) {
    let mut tables = tables(&[("e-1", "north"), ("e-2", "north"), ("e-3", "north")]);
    let now = Time::from_secs(10);
    tables.usage.begin(key("e-3"), 9_000, 0);
    if seen_here {
        tables.endpoints.on_failure(now, key("e-2"));
    } else {
        tables.others.failing.insert(key("e-2"));
    }
    let source = tables.endpoints.get(key("e-1")).expect("an endpoint");

    for kind in [CopyKind::Standby, CopyKind::PreCopy] {
        let chosen = choose_copy_target(tables.world(), &demand(3_000, &[]), source, kind, no_draw);
        assert_eq!(chosen, Some(key("e-3")), "{kind:?}");
    }
}

/// Guards against a generation without a copy at the last engine that is left: an engine at which
/// the generation failed may hold the copy if there is no other.
#[test]
fn an_engine_that_fails_keeps_a_copy_if_there_is_no_other() {
    let mut tables = tables(&[("e-1", "north"), ("e-2", "north")]);
    tables.endpoints.on_failure(Time::from_secs(10), key("e-2"));
    let source = tables.endpoints.get(key("e-1")).expect("an endpoint");

    let chosen = choose_copy_target(
        tables.world(),
        &demand(3_000, &[]),
        source,
        CopyKind::Standby,
        no_draw,
    );

    assert_eq!(chosen, Some(key("e-2")));
}
