//! Checks that `docs/EVENTS.md` and `docs/OPERATIONS.md` agree with the tables of events.

use oriolemux::events::{LogEvent, render_docs};
use oriolemux_gateway::event_log::GatewayEvent;
use std::collections::BTreeSet;
use std::path::PathBuf;

/// Set to write the page instead of comparing it.
const RENEW: &str = "ORIOLEMUX_RENEW";

#[test]
fn page_equals_the_tables() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let expected = render_docs();
    if std::env::var_os(RENEW).is_some() {
        std::fs::write(&page, &expected).expect("page written");
    }

    let actual = std::fs::read_to_string(&page).expect("docs/EVENTS.md");

    assert!(
        actual == expected,
        "docs/EVENTS.md differs from the tables; renew it with {RENEW}=1"
    );
}

#[test]
fn numbers_rise_and_names_are_unique() {
    let numbers = LogEvent::ALL.iter().map(|event| event.number());
    let of_gateway = GatewayEvent::ALL.iter().map(|event| event.number());
    let numbers: Vec<u32> = numbers.chain(of_gateway).collect();
    let names = LogEvent::ALL.iter().map(|event| event.name());
    let of_gateway = GatewayEvent::ALL.iter().map(|event| event.name());
    let names: BTreeSet<&str> = names.chain(of_gateway).collect();

    assert!(numbers.is_sorted_by(|a, b| a < b), "{numbers:?}");
    assert_eq!(names.len(), numbers.len());
}

/// Returns the numbers in brackets in a text; pages refer to events by these.
fn named_events(text: &str) -> BTreeSet<u32> {
    let brackets = text.split('[').skip(1);
    brackets
        .filter_map(|rest| rest.split_once(']'))
        .filter_map(|(inside, _)| inside.parse().ok())
        .collect()
}

#[test]
fn operators_page_names_all_events_and_no_others() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let text = std::fs::read_to_string(page).expect("docs/OPERATIONS.md");

    let named = named_events(&text);

    let known = LogEvent::ALL.iter().map(|event| event.number());
    let of_gateway = GatewayEvent::ALL.iter().map(|event| event.number());
    let known: BTreeSet<u32> = known.chain(of_gateway).collect();
    assert_eq!(named, known);
}
