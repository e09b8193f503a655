//! Orders to endpoints when controllers disagree, pause or have stale information.

#[path = "fixtures/orders.rs"]
mod fixture;

use fixture::{Controller, Engine, Sent, goal, loaded};
use oriolemux_core::event::{OrderKind, OrderResult};
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::membership::FencingSupport;
use oriolemux_core::orders::{
    CONTROLLER_LEASE, FENCE_REVISION_SHIFT, HAND_OVER_WAIT, next_change, next_fence,
};
use oriolemux_core::time::Time;
use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;

const T: Time = Time::from_secs(1_000);
const CHECKED: FencingSupport = FencingSupport::Checked;
const IGNORED: FencingSupport = FencingSupport::Ignored;
const UNCHECKED: FencingSupport = FencingSupport::Unchecked;

fn e1() -> EndpointKey {
    EndpointKey::of("e1")
}

fn engines(fencing: FencingSupport) -> Vec<(EndpointKey, Engine)> {
    vec![(e1(), Engine::new(fencing))]
}

fn controller(now: Time, revision: u64, fencing: FencingSupport, version: &str) -> Controller {
    Controller::new(now, revision, vec![goal("e1", fencing, &[("m", version)])])
}

/// Passes a report and returns the resulting orders.
fn report_and_tick(controller: &mut Controller, now: Time, engine: &Engine) -> Vec<Sent> {
    controller.orders.report(now, e1(), &engine.report());
    controller.tick(now)
}

#[test]
fn an_empty_endpoint_is_loaded_once() {
    let mut engines = engines(CHECKED);
    let mut now = T;
    controller(T, 5, CHECKED, "1").run(&mut now, Duration::from_secs(60), &mut engines);
    assert_eq!(engines[0].1.models, [loaded("m", "1")]);
    assert_eq!(engines[0].1.done.len(), 1, "reconciliation is idempotent");
    assert_eq!(engines[0].1.done[0].0 >> FENCE_REVISION_SHIFT, 5);
}

#[test]
fn an_endpoint_that_has_not_reported_gets_no_order() {
    let sent = controller(T, 5, CHECKED, "1").tick(T + Duration::from_secs(100));
    assert!(sent.is_empty());
}

#[test]
fn an_old_version_is_unloaded_only_after_the_new_one_is_loaded_and_while_unused() {
    // Guards against a generation that is interrupted by a version change. The catalogue asks for
    // version 2 while a generation runs on version 1. The old version was unloaded as soon as it
    // was unwanted.
    let mut engines = engines(CHECKED);
    engines[0].1.models = vec![loaded("m", "1"), loaded("other", "7")];
    let mut controller = controller(T, 5, CHECKED, "2");
    controller.used = vec![loaded("m", "1")];
    let mut now = T;
    controller.run(&mut now, Duration::from_secs(30), &mut engines);
    let held = &engines[0].1.models;
    assert_eq!(
        held,
        &[loaded("m", "1"), loaded("other", "7"), loaded("m", "2")]
    );
    controller.used.clear();
    controller.run(&mut now, Duration::from_secs(30), &mut engines);
    let held = &engines[0].1.models;
    assert_eq!(
        held,
        &[loaded("other", "7"), loaded("m", "2")],
        "unmanaged ones stay"
    );
}

#[test]
fn an_adapter_is_loaded_after_its_model_and_unwanted_ones_are_unloaded() {
    let mut goal = goal("e1", CHECKED, &[("m", "1")]);
    goal.models[0].adapters = vec!["a".to_owned()];
    let mut held = loaded("m", "1");
    held.adapters = vec!["b".to_owned()];
    let adapter_of = |kind: Option<OrderKind>| match kind {
        Some(OrderKind::Load { adapter, .. }) => ("load", adapter),
        Some(OrderKind::Unload { adapter, .. }) => ("unload", adapter),
        _ => ("none", None),
    };
    let unused = |_: &_| false;
    assert_eq!(adapter_of(next_change(&goal, &[], unused)), ("load", None));
    let change = next_change(&goal, &[held.clone()], unused);
    assert_eq!(adapter_of(change), ("load", Some("a".to_owned())));
    held.adapters.push("a".to_owned());
    let change = next_change(&goal, &[held.clone()], unused);
    assert_eq!(adapter_of(change), ("unload", Some("b".to_owned())));
    held.adapters.remove(0);
    assert_eq!(next_change(&goal, &[held], unused), None);
}

#[test]
fn of_two_controllers_the_one_with_the_later_list_wins_and_the_other_stops() {
    // Guards against an engine that alternately loads and unloads two versions. The controller
    // moves, and the old one holds an older list and catalogue. Both kept sending orders with
    // independent fencing numbers.
    let mut engine = Engine::new(CHECKED);
    let mut old = controller(T, 5, CHECKED, "1");
    let mut new = controller(T, 6, CHECKED, "2");
    let order = report_and_tick(&mut new, T + Duration::from_secs(1), &engine);
    assert_eq!(engine.execute(&order[0]), OrderResult::Accepted);
    let order = report_and_tick(&mut old, T + Duration::from_secs(1), &Engine::new(CHECKED));
    let refused = engine.execute(&order[0]);
    assert!(matches!(refused, OrderResult::Fenced { .. }));
    let now = T + Duration::from_secs(2);
    old.orders
        .on_order_answered(now, e1(), order[0].fencing, refused);
    old.can_read_list = false;
    assert!(old.tick(now).is_empty(), "a later list is known to exist");
    assert_eq!((old.held, engine.models.len()), (1, 1));
}

#[rstest]
#[case(IGNORED)]
#[case(UNCHECKED)]
fn a_new_controller_waits_for_the_old_lease_to_end_if_the_endpoint_does_not_check_fencing(
    #[case] fencing: FencingSupport,
) {
    // Guards against an engine without fencing that ends with the old version. The controller
    // moves, the new one sends an order at once, and an order that the old one had sent before it
    // knew arrives later. The endpoint obeys the order that arrives last.
    let engine = Engine::new(fencing);
    let mut new = controller(T, 6, fencing, "2");
    let just_before = T + (HAND_OVER_WAIT - Duration::from_millis(1));
    assert!(report_and_tick(&mut new, just_before, &engine).is_empty());
    assert_eq!(new.held, 1);
    let order = report_and_tick(&mut new, T + HAND_OVER_WAIT, &engine);
    assert_eq!(order.len(), 1);
}

#[rstest]
#[case(CHECKED)]
#[case(IGNORED)]
fn a_paused_controller_sends_no_late_order(#[case] fencing: FencingSupport) {
    // Guards against an engine that obeys an order of a controller replaced a minute ago. The
    // process is stopped (SIGSTOP) between decision and send and continues a minute later
    // (SIGCONT). The order had no deadline, and the lease was checked only before the decision.
    let engine = Engine::new(fencing);
    let mut controller = controller(T, 5, fencing, "1");
    controller.can_read_list = false;
    let ready = T + HAND_OVER_WAIT;
    controller.context.confirmed = Some(ready);
    let order = report_and_tick(&mut controller, ready + CONTROLLER_LEASE / 2, &engine);
    assert!(order[0].send_before <= ready + CONTROLLER_LEASE);
    let woken = ready + Duration::from_secs(60);
    controller
        .orders
        .on_order_answered(woken, e1(), order[0].fencing, OrderResult::Failed);
    let later = woken + Duration::from_secs(5);
    assert!(report_and_tick(&mut controller, later, &engine).is_empty());
}

#[test]
fn no_order_is_sent_on_an_unconfirmed_list() {
    // Guards against models moved by an instance that is no longer the controller. The platform is
    // down for an hour, and the list in force is old. The list was trusted because no newer one had
    // arrived.
    let engine = Engine::new(CHECKED);
    let mut controller = controller(T, 5, CHECKED, "1");
    controller.can_read_list = false;
    let hour = T + Duration::from_secs(3600);
    assert!(report_and_tick(&mut controller, hour, &engine).is_empty());
    assert_eq!(controller.held, 1);
    controller.can_read_list = true;
    let later = hour + Duration::from_secs(10);
    assert_eq!(report_and_tick(&mut controller, later, &engine).len(), 1);
}

#[test]
fn no_order_is_sent_on_an_outdated_catalogue() {
    let engine = Engine::new(CHECKED);
    let mut controller = controller(T, 5, CHECKED, "1");
    controller.context.is_catalogue_current = false;
    let now = T + Duration::from_secs(1);
    assert!(report_and_tick(&mut controller, now, &engine).is_empty());
    controller.context.is_catalogue_current = true;
    assert_eq!(report_and_tick(&mut controller, now, &engine).len(), 1);
}

#[test]
fn a_restarted_controller_uses_numbers_above_its_earlier_ones() {
    // Guards against a restarted controller that every engine rejects for good. It restarts under
    // the same list and counts from one again, and the lagging reports do not show its earlier
    // numbers. The counter is kept in memory only.
    let mut engine = Engine::new(CHECKED);
    engine.highest = (5 << FENCE_REVISION_SHIFT) + 40;
    let mut controller = controller(T, 5, CHECKED, "1");
    let now = T + Duration::from_secs(1);
    let order = report_and_tick(&mut controller, now, &Engine::new(CHECKED));
    let refused = engine.execute(&order[0]);
    assert!(matches!(refused, OrderResult::Fenced { .. }));
    controller
        .orders
        .on_order_answered(now, e1(), order[0].fencing, refused);
    let order = controller.tick(now + Duration::from_secs(1));
    assert_eq!(engine.execute(&order[0]), OrderResult::Accepted);
}

#[test]
fn an_endpoint_that_lost_its_state_is_loaded_again() {
    // Guards against an engine that stays empty for ten minutes after a restart. It accepts a load,
    // dies, and comes back without models and without the fencing number that it had seen. The
    // controller waited for the effect of the lost order.
    let mut engines = engines(CHECKED);
    let mut controller = controller(T, 5, CHECKED, "1");
    let mut now = T;
    controller.run(&mut now, Duration::from_secs(10), &mut engines);
    engines[0].1.restart();
    controller.run(&mut now, Duration::from_secs(5), &mut engines);
    assert!(
        engines[0].1.models.is_empty(),
        "an earlier controller might still be obeyed"
    );
    controller.run(&mut now, HAND_OVER_WAIT, &mut engines);
    assert_eq!(engines[0].1.models, [loaded("m", "1")]);
    let numbers: Vec<u64> = engines[0].1.done.iter().map(|it| it.0).collect();
    assert!(numbers.is_sorted());
}

#[test]
fn an_accepted_order_is_not_repeated_because_of_a_lagging_report() {
    // Guards against repeated orders to load the same model. A load takes minutes, and reports show
    // the model only afterwards. Each report without the model caused another order.
    let engine = Engine::new(CHECKED);
    let mut controller = controller(T, 5, CHECKED, "1");
    let mut now = T + Duration::from_secs(1);
    let order = report_and_tick(&mut controller, now, &engine);
    controller
        .orders
        .on_order_answered(now, e1(), order[0].fencing, OrderResult::Accepted);
    let mut seen = engine.clone();
    seen.highest = order[0].fencing;
    for _ in 0..120 {
        now += Duration::from_secs(1);
        assert!(report_and_tick(&mut controller, now, &seen).is_empty());
    }
}

#[test]
fn a_failed_order_is_retried_with_backoff_and_new_numbers() {
    let engine = Engine::new(CHECKED);
    let mut controller = controller(T, 5, CHECKED, "1");
    let (mut now, mut at, mut numbers) = (T, Vec::new(), Vec::new());
    while now < T + Duration::from_secs(120) {
        now += Duration::from_millis(250);
        for order in report_and_tick(&mut controller, now, &engine) {
            at.push(now);
            numbers.push(order.fencing);
            controller
                .orders
                .on_order_answered(now, e1(), order.fencing, OrderResult::Failed);
        }
    }
    assert!((6..12).contains(&at.len()), "{at:?}");
    assert!(numbers.windows(2).all(|it| it[0] < it[1]));
}

#[test]
fn at_most_a_quarter_of_a_cell_loads_at_once() {
    let names: Vec<String> = (0..8).map(|i| format!("e{i}")).collect();
    let goals = names.iter().map(|name| {
        let mut goal = goal(name, CHECKED, &[("m", "2")]);
        goal.cell_size = 8;
        goal
    });
    let mut controller = Controller::new(T, 5, goals.collect());
    let now = T + Duration::from_secs(1);
    let engine = Engine::new(CHECKED);
    let mut at_once = 0;
    for step in 0..100 {
        let now = now + Duration::from_millis(step * 20);
        for name in &names {
            let key = EndpointKey::of(name);
            controller.orders.report(now, key, &engine.report());
        }
        at_once += controller.tick(now).len();
    }
    assert_eq!(at_once, 2);
}

#[test]
fn controllers_share_the_rate_of_the_weight_store() {
    // Guards against overloading the weight store with a version change. A new version reaches all
    // controllers at once, and each loads at the full rate. Each controller applied the rate to
    // itself only.
    let (controllers, rate, minutes) = (10_u32, 30_u32, 10_u64);
    let mut loads = 0;
    for seed in 0..controllers {
        let names: Vec<String> = (0..40).map(|i| format!("e{i}")).collect();
        let goals: Vec<_> = names
            .iter()
            .map(|name| {
                let mut goal = goal(name, CHECKED, &[("m", "2")]);
                goal.cell_size = 400;
                goal
            })
            .collect();
        let cfg = oriolemux_core::orders::OrdersConfig {
            loads_per_minute: rate,
            seed: u64::from(seed),
        };
        let mut controller = Controller::new(T, 5, goals.clone());
        controller.orders = oriolemux_core::orders::Orders::new(cfg);
        controller.orders.set_goals(T, goals);
        controller.context.controllers = controllers;
        let mut engines: Vec<_> = names
            .iter()
            .map(|it| (EndpointKey::of(it), Engine::new(CHECKED)))
            .collect();
        let mut now = T;
        controller.run(&mut now, Duration::from_secs(60 * minutes), &mut engines);
        loads += engines.iter().map(|it| it.1.done.len()).sum::<usize>();
    }
    let most = u64::from(rate) * minutes + u64::from(controllers);
    assert!(loads as u64 <= most, "{loads} loads");
    assert!(loads as u64 >= most * 8 / 10, "{loads} loads of {most}");
}

#[test]
fn a_replaced_controller_drops_its_endpoints() {
    let mut controller = controller(T, 5, UNCHECKED, "1");
    controller.orders.set_goals(T, Vec::new());
    controller.context.list_revision = 6;
    let engine = Engine::new(UNCHECKED);
    let later = T + HAND_OVER_WAIT;
    assert!(report_and_tick(&mut controller, later, &engine).is_empty());
    let goals = vec![goal("e1", UNCHECKED, &[("m", "1")])];
    controller.orders.set_goals(later, goals);
    assert!(
        report_and_tick(&mut controller, later, &engine).is_empty(),
        "it waits again"
    );
}

proptest! {
    #[test]
    fn fencing_numbers_increase_within_the_revision(
        revision in 1_u64..1000, last in any::<u32>(), highest in 0_u64..(1100 << 32),
    ) {
        let last = (revision << FENCE_REVISION_SHIFT) + u64::from(last);
        match next_fence(revision, last, highest) {
            Some(next) => {
                prop_assert!(next > last && next > highest);
                prop_assert_eq!(next >> FENCE_REVISION_SHIFT, revision);
            }
            None => prop_assert!(
                highest >> FENCE_REVISION_SHIFT > revision
                    || last.max(highest) as u32 == u32::MAX
            ),
        }
    }

    /// With two controllers, any lists and any order of arrival, an endpoint that checks fencing
    /// never returns from the later controller's order to the earlier one's.
    #[test]
    fn an_endpoint_with_fencing_never_obeys_the_earlier_list_after_the_later(
        arrivals in proptest::collection::vec(any::<bool>(), 1..40),
    ) {
        let mut engine = Engine::new(CHECKED);
        let mut controllers = [controller(T, 5, CHECKED, "1"), controller(T, 6, CHECKED, "2")];
        let mut now = T;
        let mut seen_later = false;
        for later in arrivals {
            now += Duration::from_secs(1);
            let controller = &mut controllers[usize::from(later)];
            for order in report_and_tick(controller, now, &engine.clone()) {
                let result = engine.execute(&order);
                let obeyed = result == OrderResult::Accepted;
                prop_assert!(later || !obeyed || !seen_later);
                seen_later |= later && obeyed;
                controller.orders.on_order_answered(now, e1(), order.fencing, result);
            }
        }
    }
}
