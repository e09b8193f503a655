//! Limits over several instances, including the loss of their home.

#[path = "fixtures/limits.rs"]
mod fixture;

use fixture::{World, workspace};
use oriolemux_core::ids::Incarnation;
use oriolemux_core::limits::{Allowance, FairLevel, LEASE_TTL};
use oriolemux_core::reason::Reason;
use oriolemux_core::time::Time;
use rstest::rstest;
use std::time::Duration;

/// Start time of the simulation.
const T: Time = Time::from_secs(1);

const RTT: Duration = Duration::from_millis(10);

/// An entry that allows `concurrent` requests and any number of tokens.
fn entry(concurrent: u32) -> Allowance {
    Allowance {
        concurrent,
        tokens_per_minute: 0,
        revision: 1,
    }
}

/// Submits `count` requests at each member and runs until the leases have settled.
fn take_everywhere(world: &mut World, count: usize, ws: &str, limit: u32, entry: Allowance) {
    for member in 0..world.members.len() {
        for _ in 0..count {
            let claim = world.claim(workspace(ws, limit, 0), entry, 60_000);
            world.submit(member, claim);
        }
    }
    world.run(Duration::from_secs(2));
}

#[test]
fn the_first_request_waits_for_one_answer_and_the_next_for_none() {
    let mut world = World::new(3);
    let claim = world.claim(workspace("ws", 10, 0), entry(10), 1000);
    let first = world.submit(1, claim);
    assert!(world.members[1].admitted.is_empty());
    world.run(RTT);
    assert_eq!(world.members[1].admitted, [first]);
    let second = world.submit(1, claim);
    assert_eq!(world.members[1].admitted, [first, second]);
}

#[test]
fn a_burst_after_an_idle_period_gets_its_slots_at_once() {
    // Guards against a delay of one second for the first requests after an idle period. The home
    // had dropped the account of the idle workspace and limited the new account to equal shares, as
    // after a move of homes.
    let mut world = World::new(6);
    let burst = |world: &mut World| {
        for _ in 0..6 {
            let claim = world.claim(workspace("ws", 6, 0), entry(100), 60_000);
            world.submit(1, claim);
        }
        world.run(3 * RTT);
        world.members[1].admitted.len()
    };
    assert_eq!(burst(&mut world), 1, "homes have just moved");
    world.run(Duration::from_secs(2));
    assert_eq!(world.members[1].admitted.len(), 6);
    for request in world.members[1].admitted.clone() {
        world.finish(1, request);
    }
    world.run(Duration::from_secs(100));
    assert_eq!(world.members[0].home.accounts(), 0);
    assert_eq!(burst(&mut world), 6);
}

#[test]
fn leases_follow_demand_up_to_the_limit() {
    let mut world = World::new(3);
    take_everywhere(&mut world, 20, "ws", 30, entry(100));
    world.run(Duration::from_secs(2));
    assert_eq!(world.running(), 30);
    let ended = world.members[0].admitted.clone();
    for request in ended {
        world.finish(0, request);
    }
    world.run(Duration::from_secs(2));
    assert_eq!(world.running(), 30, "others use what one released");
}

#[test]
fn revoked_slots_go_to_the_instance_below_its_share() {
    // Guards against an instance that holds a workspace's whole limit for minutes while other
    // instances refuse requests of the workspace. One instance takes all slots, then a second one
    // requests some. Leases were granted in order of arrival and never revoked.
    let mut world = World::new(2);
    for _ in 0..40 {
        let claim = world.claim(workspace("ws", 20, 0), entry(100), 60_000);
        world.submit(0, claim);
    }
    world.run(Duration::from_secs(2));
    assert_eq!(world.members[0].admitted.len(), 20);
    for _ in 0..40 {
        let claim = world.claim(workspace("ws", 20, 0), entry(100), 60_000);
        world.submit(1, claim);
    }
    world.run(Duration::from_secs(1));
    for _ in 0..10 {
        let request = world.members[0].admitted[0];
        world.finish(0, request);
        world.run(Duration::from_millis(600));
    }
    assert_eq!(world.members[0].admitted.len(), 10);
    assert_eq!(world.members[1].admitted.len(), 10);
}

#[test]
fn a_large_workspace_does_not_starve_a_small_one() {
    // Guards against starvation of a small workspace. A large workspace submits hundreds of
    // requests for the same entry first. Slots of an entry were granted in order of arrival.
    let mut world = World::new(1);
    for _ in 0..300 {
        let mut claim = world.claim(workspace("large", 500, 0), entry(10), 60_000);
        claim.queue = 100;
        world.submit(0, claim);
    }
    world.run(Duration::from_secs(2));
    assert_eq!(world.members[0].admitted.len(), 10);
    assert_eq!(world.refusals()["queue_full"], 190);
    let mut claim = world.claim(workspace("small", 5, 0), entry(10), 60_000);
    claim.queue = 100;
    let small = world.submit(0, claim);
    world.run(RTT);
    assert!(world.members[0].refused.iter().all(|it| it.0 != small));
    let request = world.members[0].admitted[0];
    world.finish(0, request);
    assert_eq!(world.members[0].admitted.last(), Some(&small), "it is next");
}

#[test]
fn a_request_that_cannot_start_in_time_is_refused_at_once() {
    let mut world = World::new(1);
    let claim = world.claim(workspace("ws", 2, 0), entry(10), 2_500);
    let first = world.submit(0, claim);
    world.run(Duration::from_secs(2));
    world.finish(0, first);
    for _ in 0..5 {
        let claim = world.claim(workspace("ws", 2, 0), entry(10), 2_500);
        world.submit(0, claim);
    }
    world.run(RTT);
    let refused = &world.members[0].refused;
    assert_eq!(refused.len(), 1, "two run, two start before their deadline");
    let (_, reason, retry_after) = refused[0];
    assert_eq!(reason, Reason::WorkspaceConcurrency);
    assert!(retry_after >= Duration::from_secs(2));
}

#[test]
fn no_request_is_refused_without_data_about_waits() {
    // Guards against refusals without data about waits. Five requests that take 20 ms each arrive
    // together as the first of their workspace, and two of them were refused, because slots were
    // assumed to be held for 2 s.
    let mut world = World::new(1);
    for _ in 0..5 {
        let claim = world.claim(workspace("ws", 2, 0), entry(10), 2_000);
        world.submit(0, claim);
    }
    for _ in 0..5 {
        world.run(2 * RTT);
        for request in world.members[0].admitted.clone() {
            world.finish(0, request);
        }
    }
    assert!(world.members[0].refused.is_empty());
    assert_eq!(world.members[0].leases.counts().waiting, 0);
}

#[test]
fn a_refusal_after_the_deadline_names_the_blocking_limit() {
    let mut world = World::new(1);
    let claim = world.claim(workspace("ws", 10, 0), entry(1), 60_000);
    world.submit(0, claim);
    let claim = world.claim(workspace("ws", 10, 0), entry(1), 3_000);
    let late = world.submit(0, claim);
    world.run(Duration::from_secs(4));
    let refused = &world.members[0].refused;
    assert_eq!(
        (refused[0].0, refused[0].1),
        (late, Reason::EntryConcurrency)
    );
}

#[test]
fn slots_of_a_dead_instance_become_free_when_its_lease_ends() {
    // Guards against slots that stay lost after an instance died. The instance is killed while it
    // holds slots and never returns them. They counted as used until they were returned, so the
    // workspace could use only half of its limit.
    let mut world = World::new(3);
    take_everywhere(&mut world, 10, "ws", 10, entry(100));
    let of_dead = world.members[2].admitted.len() as u32;
    assert!(of_dead > 0);
    world.partitioned = vec![(0, 2), (1, 2)];
    let others =
        |world: &World| (world.members[0].admitted.len() + world.members[1].admitted.len()) as u32;
    world.run(LEASE_TTL / 4);
    assert_eq!(others(&world), 10 - of_dead);
    world.run(LEASE_TTL);
    assert_eq!(others(&world), 10);
}

#[test]
fn slots_of_a_replaced_incarnation_become_free_at_once() {
    let mut world = World::new(2);
    take_everywhere(&mut world, 10, "ws", 10, entry(100));
    let of_old = world.members[1].admitted.len();
    let old = world.members[1].id;
    world.members[1].leases = oriolemux_core::limits::Leases::new();
    world.members[1].id.incarnation = Incarnation(2);
    world.members[0].home.incarnation_ended(old);
    world.run(Duration::from_secs(2));
    assert_eq!(
        world.members[0].admitted.len(),
        10,
        "{of_old} slots became free"
    );
}

#[test]
fn without_a_home_each_instance_is_limited_to_an_equal_share() {
    // Guards against a standstill while the home of a limit is unreachable. The home is frozen, but
    // the list and the links do not show it yet. Requests waited for an answer that did not come.
    let mut world = World::new(4);
    world.partitioned = (1..4).map(|it| (0, it)).collect();
    for member in 1..4 {
        for _ in 0..10 {
            let claim = world.claim(workspace("ws", 8, 0), entry(100), 60_000);
            world.submit(member, claim);
        }
    }
    world.run(Duration::from_secs(1));
    for member in &world.members[1..] {
        assert_eq!(member.admitted.len(), 2);
        assert_eq!(member.leases.counts().without_home, 2);
    }
    world.partitioned.clear();
    world.run(Duration::from_secs(3));
    assert!(!world.is_any_in_fallback());
    assert_eq!(
        world.running(),
        8,
        "the home leases what the others do not use"
    );
}

#[rstest]
#[case(true, 12)]
#[case(false, 24)]
fn two_sides_of_a_partition_stay_within_the_bound(#[case] know: bool, #[case] bound: u32) {
    // Guards against exceeding the bound during a partition. Each side has its own home, which
    // leases out the limit. A home that knows from its links which instances are missing leaves
    // them their share, so that the sum stays within the limit. Without this knowledge the bound is
    // twice the limit.
    let mut world = World::new(6);
    let (left, right) = ([0, 1], [2, 3, 4, 5]);
    for &a in &left {
        world.partitioned.extend(right.iter().map(|&b| (a, b)));
    }
    for &member in &right {
        world.set_home(member, Some(2));
    }
    if know {
        world.members[0].home.set_fleet(T, 2, 6);
        world.members[2].home.set_fleet(T, 4, 6);
    }
    take_everywhere(&mut world, 30, "ws", 12, entry(100));
    world.run(Duration::from_secs(3));
    assert_eq!(world.running(), bound);
}

#[test]
fn a_paused_process_does_not_use_its_expired_lease() {
    // Guards against requests admitted with an expired lease. The process is stopped for longer
    // than a lease (SIGSTOP), and a request arrives when it resumes. The lease was checked when it
    // was received but not when it was used, although other instances held the slots by then.
    let mut world = World::new(2);
    let claim = world.claim(workspace("ws", 10, 0), entry(10), 60_000);
    let first = world.submit(1, claim);
    world.run(RTT);
    world.finish(1, first);
    world.partitioned = vec![(0, 1)];
    world.now += LEASE_TTL;
    let claim = world.claim(workspace("ws", 10, 0), entry(10), 60_000);
    world.submit(1, claim);
    assert!(world.members[1].admitted.is_empty());
}

#[test]
fn the_higher_revision_of_a_limit_takes_precedence() {
    let mut world = World::new(2);
    take_everywhere(&mut world, 10, "ws", 10, entry(100));
    assert_eq!(world.running(), 10);
    let (key, mut allowance) = workspace("ws", 4, 0);
    allowance.revision = 2;
    let claim = world.claim((key, allowance), entry(100), 60_000);
    world.submit(0, claim);
    let running: Vec<(usize, u64)> = (0..2)
        .flat_map(|m| {
            world.members[m]
                .admitted
                .clone()
                .into_iter()
                .map(move |r| (m, r))
        })
        .collect();
    for (member, request) in running {
        world.finish(member, request);
        world.run(RTT);
    }
    world.run(Duration::from_secs(1));
    assert_eq!(world.running(), 4);
    let claim = world.claim(workspace("ws", 10, 0), entry(100), 60_000);
    world.submit(1, claim);
    world.run(Duration::from_secs(1));
    assert_eq!(world.running(), 4, "a lower revision changes nothing");
}

#[test]
fn the_token_rate_holds_over_all_instances() {
    let mut world = World::new(3);
    let (rate, cost) = (6_000_u64, 100_u32);
    let mut spent = 0_u64;
    for _ in 0..1_200 {
        for member in 0..3 {
            let claim = world.claim(workspace("ws", 1000, rate), entry(1000), 2_000);
            world.submit(member, claim);
        }
        world.run(Duration::from_millis(50));
        for member in 0..3 {
            for request in world.members[member].admitted.clone() {
                world.charge(member, request, cost - 10);
                world.finish(member, request);
                spent += u64::from(cost);
            }
        }
    }
    let minutes = 1;
    let burst = rate / 6;
    let overdrawn = 3 * u64::from(cost);
    assert!(spent <= rate * minutes + burst + overdrawn, "{spent}");
    assert!(spent >= rate * 9 / 10, "{spent} of {rate}");
    assert!(world.refusals()["token_rate"] > 0);
}

#[test]
fn a_token_refusal_says_when_tokens_are_available() {
    let mut world = World::new(1);
    let claim = world.claim(workspace("ws", 10, 600), entry(10), 1_000);
    let request = world.submit(0, claim);
    world.run(RTT);
    world.charge(0, request, 700);
    world.run(Duration::from_secs(1));
    let claim = world.claim(workspace("ws", 10, 600), entry(10), 1_000);
    world.submit(0, claim);
    world.run(Duration::from_secs(2));
    let (_, reason, retry_after) = world.members[0].refused[0];
    assert_eq!(reason, Reason::TokenRate);
    assert!(retry_after > Duration::from_secs(10), "{retry_after:?}");
}

#[test]
fn a_busy_limit_costs_few_messages() {
    let mut world = World::new(2);
    for _ in 0..2_000 {
        let claim = world.claim(workspace("ws", 100, 10_000_000), entry(100), 1_000);
        let request = world.submit(1, claim);
        world.run(Duration::from_millis(10));
        world.charge(1, request, 500);
        world.finish(1, request);
    }
    assert!(
        world.requests_sent < 60,
        "{} lease requests for 2,000 requests in 20 s",
        world.requests_sent
    );
}

#[test]
fn an_exhausted_limit_with_hundreds_of_holders_does_not_overload_its_home() {
    // Guards against a home that is overloaded with lease requests. A large workspace exhausts its
    // limit at every instance at once. Each instance retried as often as if it were the only one.
    let mut world = World::new(120);
    for member in 0..120 {
        for _ in 0..5 {
            let claim = world.claim(workspace("ws", 240, 0), entry(10_000), 60_000);
            world.submit(member, claim);
        }
    }
    world.run(Duration::from_secs(10));
    world.requests_sent = 0;
    world.leases_sent = 0;
    world.run(Duration::from_secs(10));
    assert_eq!(world.running(), 240);
    println!(
        "{} lease requests, {} leases in 10 s",
        world.requests_sent, world.leases_sent
    );
    assert!(
        world.requests_sent < 1_000,
        "{} lease requests",
        world.requests_sent
    );
    assert!(world.leases_sent < 1_100, "{} leases", world.leases_sent);
}

#[rstest]
#[case(10, &[5, 3], &[5, 3], 2)]
#[case(10, &[8, 8], &[5, 5], 0)]
#[case(10, &[8, 2, 8], &[4, 2, 4], 0)]
#[case(11, &[1, 100, 100], &[1, 5, 5], 0)]
#[case(8, &[9, 9, 9], &[2, 2, 2], 2)]
#[case(0, &[3, 1], &[0, 0], 0)]
fn shares_are_max_min_fair(
    #[case] total: u32,
    #[case] wants: &[u32],
    #[case] shares: &[u32],
    #[case] rest: u32,
) {
    let fair = FairLevel::of(total, wants.iter().copied());
    let given: Vec<u32> = wants.iter().map(|&it| fair.share(it)).collect();
    assert_eq!((given.as_slice(), fair.remainder), (shares, rest));
}
