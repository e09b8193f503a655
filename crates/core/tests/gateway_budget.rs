//! Repeats stay within the fleet's bound.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::budget::{BudgetConfig, SharedBudget};
use oriolemux_core::gateway::lengths::LengthTable;
use rstest::rstest;

const FLEET: BudgetConfig = BudgetConfig {
    ratio: 0.2,
    allowance: 52.0,
    window: Duration::from_secs(10),
};

/// Symptom: repeats of a failing service exceed the bound. Sequence: every instance
/// repeats each failure. Cause: each took the whole bound for its own.
#[rstest]
#[case::even(&[50, 50, 50, 50, 50, 50])]
#[case::uneven(&[300, 0, 0, 0, 0, 0])]
#[case::idle(&[0, 0, 0, 0, 0, 0])]
fn all_instances_together_keep_to_the_bound(#[case] requests: &[u32]) {
    let now = Time::from_secs(100);
    let mut spent = 0;
    for &count in requests {
        let mut budget = SharedBudget::new(FLEET);
        for _ in 0..count {
            budget.on_request(now, "desk");
        }
        while budget.spend(now, "desk", Some(requests.len())) {
            spent += 1;
        }
    }

    let total: u32 = requests.iter().sum();
    let bound = FLEET.ratio * f64::from(total) + FLEET.allowance;
    assert!(f64::from(spent) <= bound, "{spent} of {bound}");
}

#[test]
fn the_window_slides() {
    let mut budget = SharedBudget::new(FLEET);
    let now = Time::from_secs(100);
    while budget.spend(now, "desk", Some(6)) {}

    assert!(!budget.spend(now + Duration::from_secs(9), "desk", Some(6)));
    assert!(budget.spend(now + Duration::from_secs(10), "desk", Some(6)));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = SharedBudget::new(FLEET);
    let now = Time::from_secs(100);
    while budget.spend(now, "desk", Some(6)) {}

    assert!(budget.spend(now, "model", Some(6)));
}

#[test]
fn the_rest_of_a_generation_follows_what_was_learnt() {
    let mut lengths = LengthTable::default();
    for _ in 0..200 {
        lengths.learn("short", 8);
        lengths.learn("long", 1_000);
    }

    let short = lengths.expect("short", 2_000, None);
    let long = lengths.expect("long", 2_000, None);
    let hinted = lengths.expect("long", 2_000, Some(100));

    assert!(short.rest(0) < 40, "{}", short.rest(0));
    assert!((500..1_500).contains(&long.rest(0)), "{}", long.rest(0));
    assert!(hinted.rest(0) <= long.rest(0));
    assert!(long.rest(1_990) <= 10, "nothing beyond the most allowed");
}
