//! How a large change of the store reaches instances that do not watch it.
//!
//! A change of most of a megabyte, on links of 10 Mbit/s, in virtual time: concurrent transfers
//! share the bandwidth of their sender's link. The instances make their own decisions.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use instances::{address, datagram, rev};
use oriolemux_core::Time;
use oriolemux_core::gateway::catch_up::{DIRECT_READ_AFTER, FetchFailure, MAX_LARGE_TRANSFERS};
use oriolemux_core::gateway::gossip::GossipItems;
use oriolemux_core::gateway::reader::Step;
use oriolemux_core::gateway::{Body, ContentHash, Datagram, Gateway, Record, Replica};
use rstest::rstest;
use std::net::SocketAddrV4;

const STEP: Duration = Duration::from_millis(5);

/// Interval at which each instance sends its state to the others.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// Bytes per step of the smallest link of an instance, 10 Mbit/s.
const LINK_BYTES_PER_STEP: f64 = 10_000_000.0 / 8.0 * 0.005;

/// The size of a catalogue of some 4,000 entries.
const CHANGE_BYTES: f64 = 800_000.0;

/// The revision of the change.
const CHANGED: u64 = 9;

/// The record that changes, and its hash.
fn change() -> (Record, ContentHash) {
    let record = Record {
        key: "catalogue".to_owned(),
        revision: rev(CHANGED),
        value: Some(b"new".to_vec()),
    };
    let hash = ContentHash::of(&record.key, &[b"new"]);
    (record, hash)
}

/// Applies the change to an instance.
fn apply_change(one: &mut Gateway) {
    let (record, hash) = change();
    one.replica.apply(record, hash);
    one.replica.advance_to(rev(CHANGED));
}

/// The digest of a replica at a revision.
fn digest_at(revision: u64) -> u64 {
    let mut replica = Replica::default();
    if revision >= CHANGED {
        let (record, hash) = change();
        replica.apply(record, hash);
    }
    replica.digest()
}

fn gateway(number: u16) -> Gateway {
    let mut gateway = instances::gateway(number);
    gateway.reader.on_read(Time::ZERO);
    gateway.replica.finish_full_read(rev(1));
    gateway
}

/// A datagram of an instance whose replica is complete up to a revision and which the store
/// answers.
fn datagram_at(number: u16, revision: u64, count: u64) -> Datagram {
    let digest = digest_at(revision);
    let gossip = match instances::beacon(number, count, 0).body {
        Body::Gossip(gossip) => gossip,
        _ => GossipItems::default(),
    };
    datagram(number, revision, digest, Body::Gossip(gossip))
}

fn receive(one: &mut Gateway, now: Time, datagram: Datagram) {
    one.on_datagram(now, datagram).expect("it is of the fleet");
}

/// The source of the change for one instance, and how many bytes are left.
#[derive(Clone, Copy, PartialEq)]
enum Fetch {
    Nothing,
    FromPeer { sender: usize, left: f64 },
    FromStore { left: f64 },
}

/// A fleet in which the store answers some of the instances.
struct Fleet {
    now: Time,
    instances: Vec<Gateway>,
    fetches: Vec<Fetch>,
    /// Whether the store answers each of them.
    served: Vec<bool>,
    most_concurrent: usize,
    store_reads: usize,
    /// Number of datagrams that instances have sent.
    sent: u64,
}

impl Fleet {
    fn new(size: u16, served: impl Fn(usize) -> bool) -> Fleet {
        Fleet {
            now: Time::from_secs(5),
            instances: (1..=size).map(gateway).collect(),
            fetches: vec![Fetch::Nothing; size.into()],
            served: (0..size.into()).map(served).collect(),
            most_concurrent: 0,
            store_reads: 0,
            sent: 0,
        }
    }

    fn number(index: usize) -> u16 {
        u16::try_from(index + 1).expect("few instances")
    }

    fn index(address: SocketAddrV4) -> usize {
        let [_, _, high, low] = address.ip().octets();
        usize::from(u16::from_be_bytes([high, low])) - 1
    }

    fn revision(&self, index: usize) -> u64 {
        self.instances[index].replica.revision().number
    }

    fn informed(&self) -> usize {
        (0..self.instances.len())
            .filter(|&it| self.revision(it) == CHANGED)
            .count()
    }

    /// Sends the state of one instance to all others.
    fn announce(&mut self, from: usize) {
        self.sent += 1;
        let datagram = datagram_at(Fleet::number(from), self.revision(from), self.sent);
        for (index, one) in self.instances.iter_mut().enumerate() {
            if index != from {
                receive(one, self.now, datagram.clone());
            }
        }
    }

    fn complete(&mut self, index: usize) {
        let one = &mut self.instances[index];
        apply_change(one);
        one.reader.on_answer(self.now);
        one.update_behind(self.now);
        self.fetches[index] = Fetch::Nothing;
        self.announce(index);
    }

    fn transfers_from(&self, sender: usize) -> usize {
        let from = |it: &&Fetch| matches!(it, Fetch::FromPeer { sender: at, .. } if *at == sender);
        self.fetches.iter().filter(from).count()
    }

    /// Lets an instance that is behind act on its decisions.
    fn act(&mut self, index: usize) {
        if matches!(self.fetches[index], Fetch::FromStore { .. }) {
            return;
        }
        let now = self.now;
        let one = &mut self.instances[index];
        if self.served[index] && one.is_behind() && one.next_step(now) == Step::Watch {
            self.store_reads += 1;
            self.fetches[index] = Fetch::FromStore { left: CHANGE_BYTES };
            return;
        }
        if self.fetches[index] != Fetch::Nothing {
            return;
        }
        let Some(peer) = one.choose_provider(now) else {
            return;
        };
        let sender = Fleet::index(peer);
        if self.transfers_from(sender) >= MAX_LARGE_TRANSFERS {
            self.instances[index].on_fetch_failure(now, peer, FetchFailure::Refused);
            return;
        }
        self.fetches[index] = Fetch::FromPeer {
            sender,
            left: CHANGE_BYTES,
        };
        self.most_concurrent = self.most_concurrent.max(self.transfers_from(sender));
    }

    /// Transfers bytes for one step; returns whether the transfer is complete.
    fn transfer(&mut self, index: usize) -> bool {
        let share = match self.fetches[index] {
            Fetch::FromPeer { sender, .. } => {
                LINK_BYTES_PER_STEP / self.transfers_from(sender) as f64
            }
            _ => LINK_BYTES_PER_STEP,
        };
        match &mut self.fetches[index] {
            Fetch::Nothing => false,
            Fetch::FromPeer { left, .. } | Fetch::FromStore { left } => {
                *left -= share;
                *left <= 0.0
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        let since = self.now.since(Time::ZERO).as_millis();
        if since.is_multiple_of(ANNOUNCE_INTERVAL.as_millis()) {
            (0..self.instances.len()).for_each(|it| self.announce(it));
        }
        for index in 0..self.instances.len() {
            if self.revision(index) < CHANGED {
                self.act(index);
            }
        }
        for index in 0..self.instances.len() {
            if self.transfer(index) {
                self.complete(index);
            }
        }
    }

    /// Publishes the change and returns how long it takes to reach all instances.
    fn spread(&mut self) -> Duration {
        (0..self.instances.len()).for_each(|it| self.announce(it));
        let published = self.now;
        let readers: Vec<usize> = (0..self.instances.len())
            .filter(|&it| self.served[it] && self.instances[it].watches(self.now))
            .collect();
        readers.into_iter().for_each(|it| self.complete(it));
        while self.informed() < self.instances.len() {
            self.step();
            let took = self.now.since(published);
            assert!(took < Duration::from_secs(10), "it never arrives");
        }
        self.now.since(published)
    }
}

/// Returns whether an instance is a watcher in a settled fleet of `size` instances.
fn watches(size: u16, index: usize) -> bool {
    let mut fleet = Fleet::new(size, |_| true);
    (0..size.into()).for_each(|it| fleet.announce(it));
    fleet.instances[index].watches(fleet.now)
}

/// Guards against a large change that reaches the instances that do not watch the store seconds
/// late or never, because all of them ask the same peer at once; see `core::gateway::catch_up`. A
/// change must be in force within 3 s of its acknowledgement, also while the store rejects a third
/// or nearly all of the instances.
#[rstest]
#[case::the_store_serves_all(86, 0, Duration::from_millis(1_500))]
#[case::the_store_turns_a_third_away(86, 29, Duration::from_millis(2_500))]
fn a_large_change_arrives_in_time(
    #[case] size: u16,
    #[case] turned_away: usize,
    #[case] within: Duration,
) {
    let served = |index| watches(size, index) || index >= turned_away;
    let mut fleet = Fleet::new(size, served);

    let took = fleet.spread();

    assert!(took <= within, "{took:?}");
    assert!(fleet.most_concurrent <= MAX_LARGE_TRANSFERS);
}

/// The worst case: the store answers two of all instances. The others pass the change on, so that
/// the time grows with the logarithm of the fleet.
#[test]
fn a_large_change_spreads_from_two_instances_alone() {
    let mut fleet = Fleet::new(86, |index| watches(86, index));

    let took = fleet.spread();

    assert!(took <= Duration::from_secs(8), "{took:?}");
    assert!(fleet.most_concurrent <= MAX_LARGE_TRANSFERS);
    assert_eq!(fleet.store_reads, 0);
}

#[test]
fn a_peer_that_refused_is_skipped_for_a_while() {
    let now = Time::from_secs(5);
    let mut one = gateway(1);
    receive(&mut one, now, datagram_at(2, CHANGED, 1));
    let later = now + Duration::from_millis(200);
    assert_eq!(one.choose_provider(later), Some(address(2)));

    one.on_fetch_failure(later, address(2), FetchFailure::Refused);

    assert_eq!(one.choose_provider(later), None);
    let after = later + Duration::from_millis(300);
    assert_eq!(one.choose_provider(after), Some(address(2)));
}

/// Guards against an instance that keeps asking peers that send nothing: each request restarted the
/// time that it counts as behind.
#[test]
fn an_instance_that_stays_behind_reads_the_store() {
    let now = Time::from_secs(5);
    let number = (1..=9).find(|&it| !watches(9, usize::from(it) - 1));
    let number = number.expect("two of nine watch");
    let mut one = gateway(number);
    for peer in (1..=9).filter(|&it| it != number) {
        receive(&mut one, now, datagram_at(peer, CHANGED, 1));
    }
    assert!(matches!(one.next_step(now), Step::StandBy(_)));

    for ask in 1..5 {
        let at = now + DIRECT_READ_AFTER / 5 * ask;
        if let Some(peer) = one.choose_provider(at) {
            one.on_fetch_failure(at, peer, FetchFailure::Failed);
        }
        one.update_behind(at);
    }

    assert_eq!(one.next_step(now + DIRECT_READ_AFTER), Step::Watch);
}

#[test]
fn an_instance_that_caught_up_does_not_read_the_store() {
    let now = Time::from_secs(5);
    let mut one = gateway(1);
    receive(&mut one, now, datagram_at(2, CHANGED, 1));
    apply_change(&mut one);

    one.update_behind(now + Duration::from_millis(20));

    assert!(!one.is_behind());
    assert_eq!(one.choose_provider(now + DIRECT_READ_AFTER), None);
}
