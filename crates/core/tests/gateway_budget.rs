//! Retries stay within the bound of the fleet.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::budget::{BudgetConfig, RetryKind, SharedRetryBudget};
use oriolemux_core::gateway::lengths::LengthTable;
use rstest::rstest;

const START: Time = Time::from_secs(100);

const FLEET: BudgetConfig = BudgetConfig {
    ratio: 0.2,
    allowance: 52.0,
    window: Duration::from_secs(10),
};

const INSTANCES: usize = 6;

/// Long enough to earn everything that may be held.
const TIME_TO_FILL: Duration = Duration::from_secs(60);

/// Returns the full budget of one of this many instances.
fn full_budget(instances: usize) -> SharedRetryBudget {
    let mut budget = SharedRetryBudget::new(START, FLEET);
    budget.set_fleet_size(START, Some(instances));
    budget
}

fn spend_all(budget: &mut SharedRetryBudget, now: Time, service: &str) -> u32 {
    let mut spent = 0;
    while budget.try_spend(now, service, RetryKind::Retry, false) {
        spent += 1;
    }
    spent
}

/// Guards against instances that each use the bound of the whole fleet.
#[rstest]
#[case::even(&[50, 50, 50, 50, 50, 50])]
#[case::uneven(&[300, 0, 0, 0, 0, 0])]
#[case::idle(&[0, 0, 0, 0, 0, 0])]
fn all_instances_together_keep_the_bound(#[case] requests: &[u32]) {
    let now = START + TIME_TO_FILL;
    let mut spent = 0;
    for &count in requests {
        let mut budget = full_budget(requests.len());
        for _ in 0..count {
            budget.on_request(now, "desk");
            spent += spend_all(&mut budget, now, "desk");
        }
        spent += spend_all(&mut budget, now, "desk");
    }

    let total: u32 = requests.iter().sum();
    let bound = FLEET.ratio * f64::from(total) + FLEET.allowance;
    assert!(f64::from(spent) <= bound, "{spent} of {bound}");
    assert!(f64::from(spent) >= 0.4 * bound, "{spent} of {bound}");
}

/// Guards against exceeding the bound in any window, including what was held before the window.
#[test]
fn the_bound_holds_in_every_sliding_window() {
    let mut budget = full_budget(INSTANCES);
    let mut spent = Vec::new();
    let mut requests = Vec::new();
    for step in 0..400 {
        let now = START + TIME_TO_FILL + Duration::from_millis(100) * step;
        if step % 3 == 0 {
            budget.on_request(now, "desk");
            requests.push(now);
        }
        // It fails for 15 s, pauses, and fails again.
        if !(150..250).contains(&step) {
            let count = spend_all(&mut budget, now, "desk");
            spent.extend((0..count).map(|_| now));
        }
    }

    for &from in &spent {
        let within = |times: &[Time]| {
            let times = times.iter().filter(|it| **it >= from);
            times.filter(|it| it.since(from) < FLEET.window).count() as f64
        };
        let allowance = FLEET.allowance / INSTANCES as f64;
        let bound = FLEET.ratio * within(&requests).max(33.0) + allowance;
        assert!(within(&spent) <= bound, "{} of {bound}", within(&spent));
    }
}

/// Guards against a restarted instance that spends again what its previous incarnation has spent.
#[test]
fn an_instance_starts_with_an_empty_budget() {
    let mut budget = SharedRetryBudget::new(START, FLEET);
    budget.set_fleet_size(START, Some(INSTANCES));

    assert!(!budget.try_spend(START, "desk", RetryKind::Retry, false));
    assert!(
        budget.try_spend(START + TIME_TO_FILL, "desk", RetryKind::Retry, false),
        "it earns over time"
    );
}

/// Guards against an instance that uses the full allowance because it knows no others.
#[test]
fn an_instance_that_does_not_know_the_fleet_has_no_allowance() {
    let mut budget = SharedRetryBudget::new(START, FLEET);

    assert!(!budget.try_spend(START + TIME_TO_FILL, "desk", RetryKind::Retry, false));
    for _ in 0..50 {
        budget.on_request(START + TIME_TO_FILL, "desk");
    }
    assert!(
        budget.try_spend(START + TIME_TO_FILL, "desk", RetryKind::Retry, false),
        "requests earn retries"
    );
}

/// Guards against retries that leave no budget for generations whose callers have received part of
/// the output.
#[test]
fn retries_leave_budget_for_generations_that_resume() {
    let mut budget = full_budget(INSTANCES);
    let now = START + TIME_TO_FILL;
    while budget.try_spend(now, "model", RetryKind::Retry, true) {}

    assert!(budget.try_spend(now, "model", RetryKind::Resume, true));
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = full_budget(INSTANCES);
    let now = START + TIME_TO_FILL;
    spend_all(&mut budget, now, "desk");

    assert!(!budget.try_spend(now, "desk", RetryKind::Retry, false));
    assert!(budget.try_spend(now, "model", RetryKind::Retry, false));
}

#[test]
fn the_estimated_length_follows_the_observations() {
    let mut lengths = LengthTable::default();
    for _ in 0..200 {
        lengths.record("short", 8);
        lengths.record("long", 1_000);
    }

    let short = lengths.estimate("short", 2_000, None);
    let long = lengths.estimate("long", 2_000, None);
    let hinted = lengths.estimate("long", 2_000, Some(100));

    assert!(short.remaining(0) < 40, "{}", short.remaining(0));
    assert!(
        (500..1_500).contains(&long.remaining(0)),
        "{}",
        long.remaining(0)
    );
    assert!(hinted.remaining(0) <= long.remaining(0));
    assert!(
        long.remaining(1_990) <= 10,
        "nothing beyond the most allowed"
    );
}

/// Guards against a generation that is lost although its copy is complete: other requests spend the
/// only retry that its instance may hold, between the notice of its engine and its end.
#[test]
fn a_generation_that_is_about_to_move_precedes_other_retries() {
    let now = START + TIME_TO_FILL;
    let mut budget = full_budget(30);
    assert!(budget.remaining(now, "plans") < 2.0, "one retry is held");
    let mut others_without_move = budget.clone();
    budget.begin_move("plans");

    let other = budget.try_spend(now, "plans", RetryKind::Retry, true);
    let recompute = budget.try_spend(now, "plans", RetryKind::Recompute, true);
    let resume = budget.try_spend(now, "plans", RetryKind::Resume, true);
    budget.end_move("plans");
    let later = now + TIME_TO_FILL;
    let afterwards = budget.try_spend(later, "plans", RetryKind::Retry, true);

    assert!(others_without_move.try_spend(now, "plans", RetryKind::Retry, true));
    assert!(!other && !recompute && resume);
    assert!(afterwards, "only while a move is pending");
}
