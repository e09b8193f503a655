//! Bounds on limits for arbitrary orders of events and with late and lost messages.

#[path = "fixtures/limits.rs"]
mod fixture;

use fixture::{Simulation, workspace};
use oriolemux_core::limits::Allowance;
use proptest::collection::vec;
use proptest::prelude::*;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Step {
    Take { member: usize, large: bool },
    End { member: usize, nth: usize },
    Run { ms: u64 },
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_usize..4, any::<bool>()).prop_map(|(member, large)| Step::Take { member, large }),
        3 => (0_usize..4, 0_usize..8).prop_map(|(member, nth)| Step::End { member, nth }),
        2 => (1_u64..400).prop_map(|ms| Step::Run { ms }),
        1 => Just(Step::Run { ms: 12_000 }),
    ]
}

const ENTRY: Allowance = Allowance {
    concurrent: 9,
    tokens_per_minute: 0,
    revision: 1,
};

fn apply(world: &mut Simulation, step: &Step) {
    match *step {
        Step::Take { member, large } => {
            let ws = if large { ("large", 7) } else { ("small", 3) };
            let claim = world.claim(workspace(ws.0, ws.1, 0), ENTRY, 5_000);
            world.submit(member, claim);
        }
        Step::End { member, nth } => {
            let admitted = &world.members[member].admitted;
            if let Some(&request) = admitted.get(nth) {
                world.finish(member, request);
            }
        }
        Step::Run { ms } => world.run(Duration::from_millis(ms)),
    }
}

fn usage(world: &Simulation) -> (u32, u32, u32) {
    let large = world.running_of(workspace("large", 0, 0).0);
    let small = world.running_of(workspace("small", 0, 0).0);
    (world.running(), large, small)
}

fn check_accounts(world: &Simulation, taken: usize, ended: usize) -> Result<(), TestCaseError> {
    let counts = world.members.iter().map(|it| it.leases.counts());
    let held: usize = counts.map(|it| it.admitted + it.waiting).sum();
    let refused: usize = world.members.iter().map(|it| it.refused.len()).sum();
    prop_assert_eq!(
        held + refused + ended,
        taken,
        "every request is accounted for"
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// While the only home answers, limits hold exactly, even if messages are late, lost or
    /// reordered.
    #[test]
    fn one_home_never_exceeds_a_limit(
        steps in vec(any_step(), 1..120),
        lose_every in 0_u32..6,
        delay in 1_u64..60,
    ) {
        let mut world = Simulation::new(4);
        world.lose_every = if lose_every == 1 { 0 } else { lose_every };
        world.delay = Duration::from_millis(delay);
        for step in &steps {
            apply(&mut world, step);
            if world.used_fallback {
                return Ok(());
            }
            let (entry, large, small) = usage(&world);
            prop_assert!(entry <= 9 && large <= 7 && small <= 3, "{entry} {large} {small}");
        }
    }

    /// When the home moves, is lost, or a partition leaves two homes, at most twice the limit runs,
    /// and one more for each instance whose equal share is rounded up.
    #[test]
    fn two_homes_never_exceed_twice_a_limit(
        before in vec(any_step(), 1..40),
        after in vec(any_step(), 1..60),
        split in 1_usize..4,
        reachable in any::<bool>(),
    ) {
        let mut world = Simulation::new(4);
        for step in &before {
            apply(&mut world, step);
        }
        for a in 0..split {
            world.partitioned.extend((split..4).map(|b| (a, b)));
        }
        if reachable {
            (split..4).for_each(|it| world.set_home(it, Some(split)));
        }
        for step in &after {
            apply(&mut world, step);
            let (entry, large, small) = usage(&world);
            let bound = |limit: u32| 2 * limit + 4;
            prop_assert!(entry <= bound(9) && large <= bound(7) && small <= bound(3));
        }
    }

    /// Every submitted request is admitted, refused or still queued.
    #[test]
    fn no_request_is_lost(steps in vec(any_step(), 1..80), lose_every in 2_u32..6) {
        let mut world = Simulation::new(4);
        world.lose_every = lose_every;
        let (mut taken, mut ended) = (0, 0);
        for step in &steps {
            let is_end = match *step {
                Step::Take { .. } => { taken += 1; false }
                Step::End { member, nth } => nth < world.members[member].admitted.len(),
                Step::Run { .. } => false,
            };
            ended += usize::from(is_end);
            apply(&mut world, step);
            check_accounts(&world, taken, ended)?;
        }
        world.run(Duration::from_secs(6));
        let waiting: usize = world.members.iter().map(|it| it.leases.counts().waiting).sum();
        prop_assert_eq!(waiting, 0, "nothing waits beyond its time");
    }
}
