//! The catalogue over real processes: it spreads, and outlives what fails.

use oriolemux_bench::fleet::{Fleet, Plan};
use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

/// How long anything that is waited for may take.
const LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(10);
const INSTANCES: usize = 4;

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"))
}

async fn fleet() -> Fleet {
    let plan = Plan::default().with_instances(INSTANCES).with_engines(1);
    let mut fleet = Fleet::start(plan, program()).await.expect("starts");
    fleet.all_ready().await.expect("every instance serves");
    fleet
}

/// Returns the revision in force at an instance; 0 if it has none or does not
/// answer yet.
async fn revision(fleet: &Fleet, instance: usize) -> u64 {
    let address = fleet.instances[instance].operators;
    let status = fleet.operators.status(address).await;
    status.map_or(0, |status| status.catalogue.revision)
}

/// Waits until an instance has a revision in force; returns all that it had on the way.
async fn seen_until(fleet: &Fleet, instance: usize, wanted: u64) -> BTreeSet<u64> {
    let watched = async {
        let mut seen = BTreeSet::new();
        while !seen.contains(&wanted) {
            seen.insert(revision(fleet, instance).await);
            tokio::time::sleep(POLL).await;
        }
        seen
    };
    let seen = tokio::time::timeout(LIMIT, watched).await;
    seen.expect("the revision comes into force")
}

async fn all_reach(fleet: &Fleet, wanted: u64) {
    for instance in 0..INSTANCES {
        seen_until(fleet, instance, wanted).await;
    }
}

// Symptom: an instance that restarts judges by an older catalogue than the others.
// Sequence: revision 2 is in force everywhere; the service is restored from a
// copy with revision 1; instances are killed and started again, one by one.
// Cause: the platform is believed before the peers are heard, whose links are
// not up yet when the platform answers.
#[tokio::test(flavor = "multi_thread")]
async fn change_is_in_force_at_every_process_and_outlives_a_stale_service() {
    let mut fleet = fleet().await;
    let first = fleet.catalogue.clone();
    fleet.publish_catalogue().await.expect("published");
    all_reach(&fleet, 2).await;
    fleet.write_catalogue(0, &first).await.expect("restored");

    for instance in 0..INSTANCES {
        fleet.instances[instance].child.kill();
        let restarted = fleet.restart_instance(instance, program());
        restarted.expect("starts again");
        let seen = seen_until(&fleet, instance, 2).await;
        assert!(!seen.contains(&1), "it began with the stale revision");
        fleet.ready(instance).await.expect("it serves");
    }

    all_reach(&fleet, 2).await;
    fleet.publish_catalogue().await.expect("published");
    all_reach(&fleet, 3).await;
}

// Symptom: a revision comes into force of which a shard was never seen.
// Sequence: the publisher writes the index and dies before it writes the shard.
// Cause: the index is believed without its shards.
#[tokio::test(flavor = "multi_thread")]
async fn index_without_its_shards_changes_nothing() {
    let mut fleet = fleet().await;
    let platform = fleet.views[0].platform;
    let index = fleet.catalogue.index();
    let digest = index.split('"').nth(1).expect("a digest").to_owned();
    let unknown = "0".repeat(digest.len());
    let incomplete = index
        .replace("revision = 1", "revision = 2")
        .replace(&digest, &unknown);
    let before = fleet.admin.calls(platform).await.expect("counts").reads;

    fleet.publish_index(incomplete, 2).await.expect("published");
    let tried = async {
        while fleet.admin.calls(platform).await.expect("counts").reads < before + 6 {
            tokio::time::sleep(POLL).await;
        }
    };
    let tried = tokio::time::timeout(LIMIT, tried).await;
    tried.expect("the shard is asked for again and again");

    for instance in 0..INSTANCES {
        assert_eq!(revision(&fleet, instance).await, 1);
    }
    fleet.catalogue.revision = 2;
    fleet.publish_catalogue().await.expect("published");
    all_reach(&fleet, 3).await;
}
