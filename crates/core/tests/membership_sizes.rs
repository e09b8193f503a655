//! Encoded sizes of messages between instances at the design fleet size.
//!
//! The design notes compute traffic from these sizes; a message that grows fails here.

#[path = "fixtures/fleet.rs"]
mod fleet;

use fleet::{actions, changed, fleet, member};
use oriolemux_core::ids::{EndpointKey, Incarnation, InstanceKey, WorkspaceKey};
use oriolemux_core::limits::{Allowance, LeaseRequest, LimitKey, LimitLease, LimitsMessage};
use oriolemux_core::membership::{LINK_IDLE, ListedState, MembershipMessage, list_delta};
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use oriolemux_core::time::Time;
use rstest::rstest;

/// Returns the size in bytes of an envelope that carries only `message`.
fn size(message: PeerMessage) -> usize {
    let envelope = PeerEnvelope {
        catalogue_revision: 70_000,
        list_revision: 70_000,
        messages: vec![message],
    };
    let bytes = bincode::serde::encode_to_vec(&envelope, bincode::config::standard());
    bytes.unwrap().len()
}

fn notice() -> PeerMessage {
    PeerMessage::Membership(MembershipMessage::ListNotice { revision: 70_000 })
}

fn leaving() -> PeerMessage {
    PeerMessage::Membership(MembershipMessage::EndpointLeaving {
        endpoint: EndpointKey::of("e"),
        list_revision: 70_000,
    })
}

fn status() -> PeerMessage {
    PeerMessage::Membership(MembershipMessage::InstanceStatus {
        instance: InstanceKey::of("i"),
        incarnation: Incarnation(u64::MAX),
        leaving: true,
    })
}

fn one_change() -> PeerMessage {
    let list = fleet(10, 39, 60);
    let next = changed(&list, |list| {
        list.instances[7].state = ListedState::Leaving;
    });
    PeerMessage::Membership(MembershipMessage::Delta(Box::new(list_delta(&list, &next))))
}

fn full_list() -> PeerMessage {
    PeerMessage::Membership(MembershipMessage::FullList(Box::new(fleet(10, 39, 60))))
}

fn request() -> PeerMessage {
    PeerMessage::Limits(LimitsMessage::Request(LeaseRequest {
        key: LimitKey::Workspace(WorkspaceKey::of("ws")),
        allowance: Allowance {
            concurrent: 500,
            tokens_per_minute: 1_000_000,
            revision: 70_000,
        },
        seq: 1000,
        held_slots: 12,
        wanted_slots: 14,
        tokens_wanted: 20_000,
        tokens_returned: 0,
        tokens_owed: 300,
    }))
}

fn lease() -> PeerMessage {
    PeerMessage::Limits(LimitsMessage::Lease(LimitLease {
        key: LimitKey::Workspace(WorkspaceKey::of("ws")),
        seq: 1000,
        slots: 14,
        tokens: 20_000,
        ttl_ms: 20_000,
        tokens_wait_ms: 0,
        retry_after_ms: 7_800,
        is_revocation: false,
    }))
}

#[rstest]
#[case::notice(notice(), 20)]
#[case::leaving(leaving(), 30)]
#[case::incarnation_status(status(), 40)]
#[case::one_change(one_change(), 80)]
#[case::full_list(full_list(), 24_000)]
#[case::request(request(), 55)]
#[case::lease(lease(), 38)]
fn a_message_is_small(#[case] message: PeerMessage, #[case] most: usize) {
    let size = size(message);
    println!("{size} bytes of at most {most}");
    assert!(size <= most, "{size} bytes");
    assert!(size * 3 >= most, "the bound says little: {size} bytes");
}

/// Links per instance with 390 instances in ten data centres.
#[test]
fn few_links_are_kept_for_gossip_alone() {
    let list = fleet(10, 39, 60);
    let mut watchers = 0;
    for record in list.instances.iter().take(39) {
        let mut member = member(&record.name, &list);
        let idle = Time::from_secs(1) + LINK_IDLE;
        actions(|out| member.tick(idle, out));
        let links = member.dialled().len();
        if member.is_watcher() {
            watchers += 1;
            assert!(links <= 1 + 9, "{links}");
        } else {
            assert_eq!(links, 2);
        }
    }
    assert_eq!(watchers, 2);
}
