//! What lists and catalogues cost, and the load reports of endpoints.

use super::cost::thread_time;
use super::fit::Point;
use super::fleet::FleetSize;
use super::requests::HomesOfFleet;
use super::subject::{Subject, frame_bytes};
use core::time::Duration;
use oriolemux_core::catalogue::{parse_index, parse_shard};
use oriolemux_core::event::ValueName;
use oriolemux_core::membership::{ListedState, MembershipMessage, list_delta};
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};

/// Times that a value is taken in for one point.
const REPEATS: u32 = 8;

/// Returns the microseconds to take in a list of so many records.
pub(super) fn list_micros(size: &FleetSize) -> Point {
    let name = size.list(1).instances[0].name.clone();
    let mut subject = Subject::start(size, &name);
    subject.spent = Duration::ZERO;
    for repeat in 0..REPEATS {
        let revision = u64::from(repeat) + 2;
        let mut list = size.list(revision);
        let changed = repeat as usize % list.instances.len();
        list.instances[changed].state = ListedState::Leaving;
        let bytes = serde_json::to_vec(&list).expect("lists can be encoded");
        subject.publish(ValueName::Instances, revision, bytes);
        subject.outbox.clear();
    }
    Point {
        x: (size.instances + size.engines + size.services) as f64,
        y: subject.spent.as_secs_f64() * 1e6 / f64::from(REPEATS),
    }
}

/// Returns the bytes of the message that tells a peer of so many changed instances.
pub(super) fn delta_bytes(size: &FleetSize, changed: usize) -> Point {
    let old = size.list(1);
    let mut new = size.list(2);
    for instance in new.instances.iter_mut().take(changed) {
        instance.state = ListedState::Leaving;
    }
    let delta = Box::new(list_delta(&old, &new));
    let envelope = PeerEnvelope {
        catalogue_revision: 1,
        list_revision: 2,
        messages: vec![PeerMessage::Membership(MembershipMessage::Delta(delta))],
    };
    Point {
        x: changed as f64,
        y: frame_bytes(&envelope) as f64,
    }
}

/// Returns the microseconds to verify an index of so many entries.
pub(super) fn index_micros(size: &FleetSize) -> Point {
    let shards = vec![String::new(); size.shards as usize];
    let index = size.index(1, &shards);
    let before = thread_time();
    for _ in 0..REPEATS {
        let parsed = parse_index(index.as_bytes());
        assert!(parsed.is_ok(), "{parsed:?}");
    }
    Point {
        x: size.entries as f64,
        y: per_repeat(before),
    }
}

/// Returns the bytes of an index of so many entries.
pub(super) fn index_bytes(size: &FleetSize) -> Point {
    let shards = vec![String::new(); size.shards as usize];
    Point {
        x: size.entries as f64,
        y: size.index(1, &shards).len() as f64,
    }
}

/// Returns the microseconds to verify a shard of so many workspaces.
pub(super) fn shard_micros(workspaces: usize) -> Point {
    let shard = one_shard(workspaces);
    let before = thread_time();
    for _ in 0..REPEATS {
        let parsed = parse_shard(shard.as_bytes(), 0, 1);
        assert!(parsed.is_ok(), "{parsed:?}");
    }
    Point {
        x: workspaces as f64,
        y: per_repeat(before),
    }
}

/// Returns the bytes of a shard of so many workspaces.
pub(super) fn shard_bytes(workspaces: usize) -> Point {
    Point {
        x: workspaces as f64,
        y: one_shard(workspaces).len() as f64,
    }
}

/// Returns the text of a catalogue's only shard.
pub(super) fn one_shard(workspaces: usize) -> String {
    let size = FleetSize {
        workspaces,
        shards: 1,
        ..FleetSize::PLANNED
    };
    size.shard_texts().swap_remove(0)
}

/// Returns the microseconds that a home spends on load reports while it has
/// nothing else to do, by the reports of `time`.
pub(super) fn report_micros(size: &FleetSize, time: Duration) -> Point {
    let (name, _) = HomesOfFleet::of(size).busiest();
    let mut subject = Subject::start(size, &name);
    subject.spent = Duration::ZERO;
    subject.polled = 0;
    subject.pass(time);
    Point {
        x: subject.polled as f64,
        y: subject.spent.as_secs_f64() * 1e6,
    }
}

fn per_repeat(before: Duration) -> f64 {
    let spent = thread_time().saturating_sub(before);
    spent.as_secs_f64() * 1e6 / f64::from(REPEATS)
}
