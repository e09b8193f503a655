//! Goals of endpoints, computed from the list and the catalogue.

#[path = "fixtures/fleet.rs"]
mod fleet;

use fleet::{actions, changed, fleet, member, peer};
use oriolemux_core::catalogue::{Catalogue, parse_index};
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::membership::{EndpointKind, InstanceList, ListedState, SUSPECT_AFTER};
use oriolemux_core::orders::{EndpointGoal, count_controllers, plan_goals};
use oriolemux_core::time::Time;
use std::collections::BTreeMap;

const T: Time = Time::from_secs(10);

fn catalogue(models: &str) -> Catalogue {
    let text = format!(
        r#"
revision = 3
shards = ["0000000000000000000000000000000000000000000000000000000000000000"]

[[class]]
name = "c"
urgency = 0
idempotent = true
wait_target_ms = 1000
longest_wait_ms = 2000
delivery = "stream"

{models}

[[entry]]
name = "e"
owner = "o"
class = "c"
model = "m"
limits = {{ concurrent = 1, tokens_per_minute = 1, queue = 1, prompt_tokens = 1, output_tokens = 1 }}
"#
    );
    parse_index(text.as_bytes()).unwrap_or_else(|findings| panic!("{findings}"))
}

fn model(replicas: &str) -> Catalogue {
    catalogue(&format!(
        "[[model]]\nname = \"m\"\nversion = \"1\"\nadapters = [\"a\"]\n{replicas}"
    ))
}

/// Returns the goals of all controllers by endpoint.
fn all_goals(list: &InstanceList, catalogue: &Catalogue) -> BTreeMap<EndpointKey, EndpointGoal> {
    let mut all = BTreeMap::new();
    for record in &list.instances {
        let member = member(&record.name, list);
        for goal in plan_goals(&member, catalogue) {
            let before = all.insert(goal.endpoint.key, goal);
            assert_eq!(before, None, "an endpoint has one controller");
        }
    }
    all
}

#[test]
fn every_model_endpoint_has_one_controller_in_its_data_centre() {
    let list = fleet(3, 3, 12);
    let goals = all_goals(&list, &model("replicas = 12"));
    assert_eq!(goals.len(), 36);
    assert!(goals.values().all(|it| it.models.len() == 1));
    // Three cells in each of three data centres, one for each instance.
    assert_eq!(count_controllers(&member("i0-000", &list)), 9);
}

#[test]
fn each_data_centre_holds_the_requested_replicas() {
    let list = fleet(3, 2, 12);
    let goals = all_goals(&list, &model("replicas = 5"));
    for centre in ["e0", "e1", "e2"] {
        let here = goals
            .values()
            .filter(|it| it.endpoint.name.starts_with(centre));
        assert_eq!(here.filter(|it| !it.models.is_empty()).count(), 5);
    }
}

#[test]
fn a_leaving_endpoint_is_replaced_and_the_others_stay() {
    let list = fleet(1, 2, 12);
    let catalogue = model("replicas = 5");
    let held = |list: &InstanceList| -> Vec<EndpointKey> {
        let goals = all_goals(list, &catalogue);
        let held = goals.into_iter().filter(|(_, it)| !it.models.is_empty());
        held.map(|(key, _)| key).collect()
    };
    let before = held(&list);
    let next = changed(&list, |list| {
        let gone = list.endpoints.iter_mut().find(|it| it.key() == before[0]);
        gone.unwrap().state = ListedState::Leaving;
    });
    let after = held(&next);
    assert_eq!(after.len(), 5);
    assert!(!after.contains(&before[0]));
    assert!(before[1..].iter().all(|it| after.contains(it)));
}

#[test]
fn a_model_without_replicas_is_unmanaged() {
    let goals = all_goals(&fleet(1, 2, 4), &model(""));
    let untouched = |it: &EndpointGoal| it.models.is_empty() && it.managed.is_empty();
    assert!(goals.len() == 4 && goals.values().all(untouched));
}

#[test]
fn services_and_leaving_endpoints_get_no_orders() {
    let mut list = fleet(1, 1, 4);
    list.endpoints[0].kind = EndpointKind::Service;
    list.endpoints[1].state = ListedState::Leaving;
    let mut member = member("i0-000", &list);
    let noticed = list.endpoints[2].key();
    actions(|out| member.endpoint_refused_leaving(T, noticed, out));
    let goals = plan_goals(&member, &model("replicas = 4"));
    let names: Vec<&str> = goals.iter().map(|it| it.endpoint.name.as_str()).collect();
    assert_eq!(names, ["e0-003"]);
}

#[test]
fn a_broken_link_moves_the_home_but_not_the_controller() {
    // Guards against two instances that order different versions of one engine. The link between
    // them breaks, and each considers itself the home of the cell. The home that admitted work also
    // sent the orders.
    let list = fleet(1, 3, 4);
    let first = member("i0-000", &list);
    let cell = first.view().cells().next().unwrap().plan.key;
    let controller = first.controller_of_cell(cell).unwrap();
    let name = first
        .view()
        .instance(controller)
        .unwrap()
        .record
        .name
        .clone();
    let other = list.instances.iter().find(|it| it.name != name).unwrap();
    let mut other = member(&other.name, &list);
    actions(|out| other.peer_up(T, peer(&name, 1), out));
    actions(|out| other.peer_down(T, peer(&name, 1), out));
    actions(|out| other.tick(T + SUSPECT_AFTER, out));
    assert_ne!(other.home_of_cell(cell), Some(controller));
    assert_eq!(other.controller_of_cell(cell), Some(controller));
}
