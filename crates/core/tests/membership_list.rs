//! The published list: cells, deltas between revisions, homes.

#[path = "fixtures/fleet.rs"]
mod fleet;

use fleet::{changed, endpoint, fleet, instance, member};
use oriolemux_core::ids::InstanceKey;
use oriolemux_core::membership::{
    CELL_ENDPOINTS, InstanceList, ListedState, apply_delta, list_delta, plan_cells,
};
use proptest::prelude::*;
use rstest::rstest;

/// Maximum cell size in the cases below.
const EIGHT: usize = 8;

#[rstest]
#[case(1, 1)]
#[case(8, 1)]
#[case(9, 2)]
#[case(60, 8)]
fn cells_are_bounded_and_hold_each_endpoint_once(#[case] endpoints: usize, #[case] cells: usize) {
    let list = fleet(1, 1, endpoints);
    let plans = plan_cells(&list.endpoints, EIGHT);
    assert_eq!(plans.len(), cells);
    let mut held: Vec<_> = plans.iter().flat_map(|it| it.endpoints.clone()).collect();
    held.sort_unstable();
    held.dedup();
    assert_eq!(held.len(), endpoints);
    let small = plans.iter().map(|it| it.endpoints.len()).min().unwrap();
    let large = plans.iter().map(|it| it.endpoints.len()).max().unwrap();
    assert!(large <= EIGHT && small + 5 >= large, "{small}..{large}");
}

#[test]
fn cells_do_not_mix_data_centres_or_names() {
    let mut list = fleet(2, 1, 3);
    list.endpoints.push(endpoint("s", "dc0", &["stock"]));
    list.endpoints
        .push(endpoint("both", "dc0", &["n", "m", "m"]));
    let plans = plan_cells(&list.endpoints, CELL_ENDPOINTS);
    let described: Vec<_> = plans
        .iter()
        .map(|it| {
            (
                it.data_centre.as_str(),
                it.serves.join("+"),
                it.endpoints.len(),
            )
        })
        .collect();
    let expected = [
        ("dc0", "m".to_owned(), 3),
        ("dc0", "m+n".to_owned(), 1),
        ("dc0", "stock".to_owned(), 1),
        ("dc1", "m".to_owned(), 3),
    ];
    assert_eq!(described, expected);
}

#[test]
fn an_added_endpoint_moves_few_others() {
    let before = plan_cells(&fleet(1, 1, 40).endpoints, EIGHT);
    let after = plan_cells(&fleet(1, 1, 41).endpoints, EIGHT);
    let stayed = before.iter().flat_map(|old| {
        let new = after.iter().find(|it| it.key == old.key);
        let held = move |it: &&_| new.is_some_and(|new| new.endpoints.contains(it));
        old.endpoints.iter().filter(held)
    });
    assert!(stayed.count() >= 25);
}

#[test]
fn a_duplicate_name_is_kept_once_and_as_leaving() {
    let mut list = fleet(1, 2, 1);
    let mut again = list.instances[0].clone();
    again.state = ListedState::Leaving;
    list.instances.push(again);
    assert_eq!(list.normalise(), 1);
    assert_eq!(list.instances[0].state, ListedState::Leaving);
}

#[test]
fn cells_of_the_own_data_centre_come_first() {
    let list = fleet(3, 2, 4);
    let member = member("i1-000", &list);
    let cells = member.cells_serving("m", member.own_data_centre());
    let centres: Vec<&str> = cells
        .iter()
        .map(|it| it.plan.data_centre.as_str())
        .collect();
    assert_eq!(centres.len(), 3);
    assert_eq!(centres[0], "dc1");
}

#[test]
fn the_home_of_a_cell_is_in_its_data_centre_if_it_has_instances() {
    let list = fleet(3, 2, 4);
    let member = member("i0-000", &list);
    for cell in member.view().cells() {
        let home = member.home_of_cell(cell.plan.key).unwrap();
        let home = member.view().instance(home).unwrap();
        assert_eq!(home.data_centre, cell.data_centre);
    }
    let alone = changed(&list, |list| {
        list.instances.retain(|it| it.data_centre != "dc2");
    });
    let member = fleet::member("i0-000", &alone);
    let cells = member.cells_serving("m", member.view().find_data_centre("dc2"));
    assert_eq!(cells[0].plan.data_centre, "dc2");
    assert!(member.home_of_cell(cells[0].plan.key).is_some());
}

#[test]
fn all_instances_agree_on_all_homes() {
    let list = fleet(3, 4, 20);
    let first = member("i0-000", &list);
    for record in &list.instances {
        let other = member(&record.name, &list);
        for cell in first.view().cells() {
            let cell = cell.plan.key;
            assert_eq!(first.homes_of_cell(cell), other.homes_of_cell(cell));
        }
        for key in 0..50 {
            assert_eq!(first.home_of_key(key), other.home_of_key(key));
        }
    }
}

#[test]
fn an_unlisted_instance_is_home_for_nothing() {
    let member = member("stranger", &fleet(1, 2, 2));
    let stranger = InstanceKey::of("stranger");
    assert_eq!(member.own_cells().count(), 0);
    assert!((0..100).all(|key| member.home_of_key(key) != Some(stranger)));
}

fn any_list(revision: u64) -> impl Strategy<Value = InstanceList> {
    let instances = proptest::collection::vec((0_u8..12, 0_u8..3, any::<bool>()), 0..12);
    let endpoints = proptest::collection::vec((0_u8..20, 0_u8..3, any::<bool>()), 0..20);
    (instances, endpoints).prop_map(move |(instances, endpoints)| {
        let state = |leaving| match leaving {
            true => ListedState::Leaving,
            false => ListedState::Live,
        };
        let mut list = InstanceList {
            revision,
            ..InstanceList::default()
        };
        for (name, centre, leaving) in instances {
            let mut record = instance(&format!("i{name}"), &format!("dc{centre}"));
            record.state = state(leaving);
            list.instances.push(record);
        }
        for (name, centre, leaving) in endpoints {
            let mut record = endpoint(&format!("e{name}"), &format!("dc{centre}"), &["m"]);
            record.state = state(leaving);
            list.endpoints.push(record);
        }
        list.normalise();
        list
    })
}

proptest! {
    #[test]
    fn a_delta_leads_from_one_list_to_the_other(old in any_list(3), new in any_list(9)) {
        let delta = list_delta(&old, &new);
        prop_assert_eq!(apply_delta(&old, &delta), Some(new));
    }

    #[test]
    fn a_delta_does_not_apply_to_another_list(
        old in any_list(3), other in any_list(3), new in any_list(9),
    ) {
        let delta = list_delta(&old, &new);
        match apply_delta(&other, &delta) {
            Some(list) => prop_assert_eq!(list, new),
            None => prop_assert_ne!(old, other),
        }
    }
}
