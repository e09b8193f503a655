//! Random sequences of faults: no instance reverts to an earlier revision, no invalid revision
//! comes into force, and after the faults end the latest revision is in force everywhere.

#[path = "support/catalogue_fleet.rs"]
mod catalogue_fleet;

use catalogue_fleet::{Fleet, Publication, index_of, publication};
use core::time::Duration;
use proptest::collection::vec;
use proptest::prelude::*;

const NODES: usize = 9;
const DATA_CENTRES: usize = 3;
const SHARDS: u32 = 4;
const WORKSPACES: usize = 12;

/// Longer than the interval at which an instance that receives no messages watches the platform.
const QUIET: Duration = Duration::from_secs(400);

#[derive(Clone, Debug)]
enum Fault {
    Publish,
    PublishWithBadIndex,
    PublishWithBadShard,
    PublishIndexWithoutShards,
    ServeFirstRevision,
    PlatformDown,
    PlatformUp,
    Partition,
    Heal,
    Kill(usize),
    Start(usize),
    RestartAll,
    ListLags(bool),
    Pass(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        3 => Just(Fault::Publish),
        1 => Just(Fault::PublishWithBadIndex),
        1 => Just(Fault::PublishWithBadShard),
        1 => Just(Fault::PublishIndexWithoutShards),
        1 => Just(Fault::ServeFirstRevision),
        1 => Just(Fault::PlatformDown),
        1 => Just(Fault::PlatformUp),
        1 => Just(Fault::Partition),
        1 => Just(Fault::Heal),
        2 => (0..NODES).prop_map(Fault::Kill),
        2 => (0..NODES).prop_map(Fault::Start),
        1 => Just(Fault::RestartAll),
        1 => any::<bool>().prop_map(Fault::ListLags),
        6 => (1..20_000_u64).prop_map(Fault::Pass),
    ]
}

fn catalogue(revision: u64) -> Publication {
    publication(revision, SHARDS, WORKSPACES, revision)
}

/// The fleet with what was published so far.
struct Trial {
    fleet: Fleet,
    revision: u64,
    invalid: Vec<u64>,
}

impl Trial {
    fn start() -> Self {
        let mut fleet = Fleet::new(NODES, DATA_CENTRES);
        fleet.publish(&catalogue(1));
        fleet.start_all();
        Trial {
            fleet,
            revision: 1,
            invalid: Vec::new(),
        }
    }

    fn next_revision(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    fn apply(&mut self, fault: &Fault) {
        match *fault {
            Fault::Publish => {
                let next = catalogue(self.next_revision());
                self.fleet.publish(&next);
            }
            Fault::PublishWithBadIndex => {
                let revision = self.next_revision();
                let index = String::from_utf8(catalogue(revision).index).unwrap();
                let index = index.replace("class = \"c\"", "class = \"d\"");
                self.invalid.push(revision);
                self.fleet.publish_index(index.as_bytes());
            }
            Fault::PublishWithBadShard => {
                let revision = self.next_revision();
                let mut bad = catalogue(revision);
                bad.shards[2] = format!("[[workspace]]\nname = \"x{revision}\"\n").into_bytes();
                bad.index = index_of(revision, &bad.shards).into_bytes();
                self.invalid.push(revision);
                self.fleet.publish(&bad);
            }
            Fault::PublishIndexWithoutShards => {
                let next = catalogue(self.next_revision());
                self.fleet.publish_index(&next.index);
            }
            Fault::ServeFirstRevision => self.fleet.publish(&catalogue(1)),
            Fault::PlatformDown => self.fleet.platform.up = false,
            Fault::PlatformUp => self.fleet.platform.up = true,
            Fault::Partition => self.fleet.partition = Some(|node| node % DATA_CENTRES == 2),
            Fault::Heal => self.fleet.heal(),
            Fault::Kill(node) => self.fleet.kill(node),
            Fault::Start(node) => self.fleet.start(node),
            Fault::RestartAll => self.fleet.start_all(),
            Fault::ListLags(lags) => self.fleet.list_lags = lags,
            Fault::Pass(millis) => self.fleet.run_for(Duration::from_millis(millis)),
        }
    }

    /// Ends all faults and publishes a final revision.
    fn settle(&mut self) -> u64 {
        self.fleet.platform.up = true;
        self.fleet.list_lags = false;
        self.fleet.heal();
        for node in 0..NODES {
            if !self.fleet.is_alive(node) {
                self.fleet.start(node);
            }
        }
        self.fleet.send_roles();
        let last = catalogue(self.next_revision());
        self.fleet.publish(&last);
        let end = self.fleet.now + QUIET;
        let revision = self.revision;
        self.fleet.run_until(end, |fleet| fleet.all_at(revision));
        revision
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(96))]

    #[test]
    fn faults_neither_revert_nor_split_the_catalogue(faults in vec(fault(), 1..40)) {
        let mut trial = Trial::start();

        for fault in &faults {
            trial.apply(fault);
        }
        let last = trial.settle();

        prop_assert!(trial.fleet.all_at(last), "not everywhere in the end");
        for revision in &trial.invalid {
            prop_assert!(!trial.fleet.was_in_force(*revision), "{} is not valid", revision);
        }
    }
}
