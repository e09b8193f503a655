//! Which overloaded instances say that they are not ready.

use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::gateway::withdrawal::{NOTICE_PEERS, Withdrawal};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::index;
use rstest::rstest;
use std::net::{Ipv4Addr, SocketAddrV4};

const START: Time = Time::from_secs(10);
const TICK: Duration = Duration::from_millis(50);
const SEED: u64 = 7;

/// Instances that tell random others when they are overloaded; nothing is lost.
struct Fleet {
    instances: Vec<Withdrawal>,
    now: Time,
    rng: SmallRng,
    notices: usize,
}

fn address(number: usize) -> SocketAddrV4 {
    let [.., high, low] = u32::try_from(number).expect("few").to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 0, high, low), 7100)
}

impl Fleet {
    fn new(instances: usize) -> Fleet {
        Fleet {
            instances: vec![Withdrawal::default(); instances],
            now: START,
            rng: SmallRng::seed_from_u64(SEED),
            notices: 0,
        }
    }

    /// Lets `time` pass while the first `overloaded` instances are overloaded; returns the largest
    /// number that were withdrawn at once.
    fn run(&mut self, time: Duration, overloaded: usize) -> usize {
        let (ends, peers) = (self.now + time, self.instances.len() - 1);
        let mut most = 0;
        while self.now < ends {
            for number in 0..self.instances.len() {
                let is_overloaded = number < overloaded;
                let it = &mut self.instances[number];
                if it.tick(self.now, address(number), is_overloaded, peers) {
                    self.tell_others(number);
                }
            }
            most = most.max(self.withdrawn());
            self.now += TICK;
        }
        most
    }

    fn tell_others(&mut self, number: usize) {
        let peers = self.instances.len() - 1;
        for at in index::sample(&mut self.rng, peers, NOTICE_PEERS.min(peers)) {
            let other = if at < number { at } else { at + 1 };
            self.instances[other].on_notice(self.now, address(number));
            self.notices += 1;
        }
    }

    fn withdrawn(&self) -> usize {
        let instances = self.instances.iter();
        instances.filter(|it| it.is_withdrawn()).count()
    }
}

/// Guards against an instance that gets the callers of a whole data centre and goes on saying that it
/// is ready.
#[rstest]
#[case::small(6)]
#[case::grown(75)]
#[case::fleet(585)]
fn a_single_overloaded_instance_withdraws_and_returns(#[case] instances: usize) {
    let mut fleet = Fleet::new(instances);

    fleet.run(Duration::from_secs(1), 1);
    assert_eq!(fleet.withdrawn(), 1);

    fleet.run(TICK, 0);
    assert_eq!(fleet.withdrawn(), 0);
}

/// Guards against instances that withdraw together and leave their callers to the few that remain.
#[rstest]
#[case::small(6)]
#[case::grown(75)]
#[case::fleet(585)]
#[case::twice_the_fleet(1_170)]
fn where_all_are_overloaded_few_withdraw(#[case] instances: usize) {
    let mut fleet = Fleet::new(instances);

    let withdrawn = fleet.run(Duration::from_secs(5), instances);

    assert!(withdrawn * 4 <= instances.max(4), "{withdrawn}");
}

/// Guards against a lone instance that turns away its callers although nobody else serves them.
#[test]
fn an_instance_without_peers_stays_ready() {
    let mut fleet = Fleet::new(1);

    assert_eq!(fleet.run(Duration::from_secs(5), 1), 0);
}

/// Guards against notices that grow with the fleet.
#[rstest]
#[case::grown(75)]
#[case::fleet(585)]
fn an_overloaded_instance_tells_few_peers(#[case] instances: usize) {
    let mut fleet = Fleet::new(instances);

    fleet.run(Duration::from_secs(4), 1);

    // Ten notices in 4 s, and one at the beginning.
    assert!(fleet.notices <= 11 * NOTICE_PEERS, "{}", fleet.notices);
}
