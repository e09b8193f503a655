//! Homes by rendezvous hashing.

use oriolemux_core::ids::InstanceKey;
use oriolemux_core::rendezvous::{Candidate, first, rank};

fn instances(count: usize) -> Vec<InstanceKey> {
    (0..count)
        .map(|i| InstanceKey::of(&format!("i{i}")))
        .collect()
}

fn home(key: u64, all: &[InstanceKey]) -> InstanceKey {
    first(key, all.iter().copied().map(Candidate::anywhere)).unwrap()
}

#[test]
fn there_is_no_home_without_candidates() {
    assert_eq!(first(1, core::iter::empty()), None);
}

#[test]
fn the_order_of_candidates_does_not_matter() {
    let all = instances(20);
    let mut reversed = all.clone();
    reversed.reverse();
    for key in 0..100 {
        assert_eq!(home(key, &all), home(key, &reversed));
    }
}

#[test]
fn only_keys_of_a_lost_instance_move_to_the_next_in_rank() {
    let all = instances(20);
    let mut ranked = Vec::new();
    for key in 0..1000 {
        rank(
            key,
            all.iter().copied().map(Candidate::anywhere),
            2,
            &mut ranked,
        );
        let left: Vec<InstanceKey> = all.iter().copied().filter(|&it| it != all[3]).collect();
        let expected = if ranked[0] == all[3] {
            ranked[1]
        } else {
            ranked[0]
        };
        assert_eq!(home(key, &left), expected);
    }
}

#[test]
fn keys_spread_evenly() {
    let all = instances(39);
    let mut homes = vec![0_u32; all.len()];
    for key in 0..39_000_u64 {
        let home = home(key.wrapping_mul(0x9e37_79b9), &all);
        homes[all.iter().position(|&it| it == home).unwrap()] += 1;
    }
    assert!(homes.iter().all(|&n| (800..1200).contains(&n)), "{homes:?}");
}

#[test]
fn preferred_candidates_rank_first() {
    let all = instances(10);
    let candidates = || {
        all.iter().enumerate().map(|(i, &instance)| Candidate {
            instance,
            is_preferred: i >= 8,
        })
    };
    let mut ranked = Vec::new();
    for key in 0..100 {
        rank(key, candidates(), 10, &mut ranked);
        assert!(all[8..].contains(&ranked[0]) && all[8..].contains(&ranked[1]));
        assert_eq!(ranked.len(), 10);
        assert_eq!(first(key, candidates()), Some(ranked[0]));
    }
}
