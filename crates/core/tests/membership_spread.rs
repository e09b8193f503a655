//! Reach and cost of gossip at the design fleet size.

#[path = "fixtures/fleet.rs"]
mod fleet;
#[path = "fixtures/network.rs"]
mod network;

use fleet::{changed, fleet};
use network::Network;
use oriolemux_core::ids::EndpointKey;
use oriolemux_core::membership::{EndpointState, ListedState, MembershipMessage};
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use std::collections::BTreeMap;
use std::time::Duration;

/// Every message takes 1 ms here, so milliseconds count hops.
const MOST_HOPS: Duration = Duration::from_millis(8);

fn size(message: &MembershipMessage) -> usize {
    let envelope = PeerEnvelope {
        catalogue_revision: 70_000,
        list_revision: 70_000,
        messages: vec![PeerMessage::Membership(message.clone())],
    };
    let bytes = bincode::serde::encode_to_vec(&envelope, bincode::config::standard());
    bytes.unwrap().len()
}

/// Returns the bytes sent by the busiest and the median sender.
fn bytes_sent(net: &Network) -> (usize, usize) {
    let mut sent: BTreeMap<&str, usize> = net.members.keys().map(|it| (it.as_str(), 0)).collect();
    for (from, message) in &net.sent {
        *sent.get_mut(from.as_str()).unwrap() += size(message);
    }
    let mut bytes: Vec<usize> = sent.into_values().collect();
    bytes.sort_unstable();
    (bytes[bytes.len() - 1], bytes[bytes.len() / 2])
}

#[test]
fn a_change_of_the_list_reaches_390_instances_from_one_watcher() {
    let list = fleet(10, 39, 8);
    let mut net = Network::new(&list);
    net.sent.clear();
    let newer = changed(&list, |list| {
        list.instances[200].state = ListedState::Leaving
    });
    let watcher = net
        .names()
        .into_iter()
        .find(|it| net.members[it].is_watcher());
    net.call(&watcher.unwrap(), |it, now, out| {
        it.list(now, newer.clone(), out)
    });
    net.run(MOST_HOPS);
    assert!(net.members.values().all(|it| it.view().revision() == 2));
    let (busiest, median) = bytes_sent(&net);
    println!("busiest {busiest} B, median {median} B for one change");
    assert!(busiest < 6_000 && median < 100, "{busiest} {median}");
}

#[test]
fn a_leaving_endpoint_is_known_to_390_instances_from_one_entry() {
    let list = fleet(10, 39, 8);
    let mut net = Network::new(&list);
    net.sent.clear();
    let endpoint = EndpointKey::of("e7-003");
    net.call("i2-030", |it, now, out| {
        it.endpoint_refused_leaving(now, endpoint, out)
    });
    net.run(MOST_HOPS);
    let knows = |it: &oriolemux_core::membership::Membership| {
        it.endpoint_state(endpoint) == EndpointState::Leaving
    };
    assert!(net.members.values().all(knows));
    let (busiest, median) = bytes_sent(&net);
    println!("busiest {busiest} B, median {median} B for one endpoint");
    assert!(busiest < 2_000 && median < 100, "{busiest} {median}");
}
