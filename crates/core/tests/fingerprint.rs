//! What makes two requests the same.

use oriolemux_core::fingerprint::{Fingerprint, Identity};
use rstest::rstest;
use std::collections::BTreeSet;

fn usual() -> Identity<'static> {
    Identity {
        deployment: 1,
        workspace: Some("north-desk"),
        host: "desk.example",
        method: "POST",
        path: "/plan/1?size=2",
        body: b"a prompt",
    }
}

#[test]
fn the_same_request_has_the_same_fingerprint() {
    let first = Fingerprint::of(&usual());

    let again = Fingerprint::of(&usual());

    assert_eq!(first, again);
}

#[rstest]
#[case::another_workspace(Identity { workspace: Some("south-desk"), ..usual() })]
#[case::no_workspace(Identity { workspace: None, ..usual() })]
#[case::another_host(Identity { host: "shop.example", ..usual() })]
#[case::another_method(Identity { method: "PUT", ..usual() })]
#[case::another_path(Identity { path: "/plan/2?size=2", ..usual() })]
#[case::another_query(Identity { path: "/plan/1?size=3", ..usual() })]
#[case::another_body(Identity { body: b"b prompt", ..usual() })]
#[case::another_deployment(Identity { deployment: 2, ..usual() })]
fn any_difference_makes_another_fingerprint(#[case] other: Identity<'_>) {
    assert_ne!(Fingerprint::of(&usual()), Fingerprint::of(&other));
}

/// Symptom: the request of one caller is refused for what another one's did. Sequence: a caller
/// moves letters from one part of its request to the next. Cause: parts were hashed one after
/// the other, without their lengths.
#[test]
fn letters_that_move_from_part_to_part_make_another_fingerprint() {
    let workspaces = ["north-desk", "north-des", "north-deskd", ""];
    let hosts = [
        "desk.example",
        "kdesk.example",
        "esk.example",
        "north-deskdesk.example",
    ];
    let moved = workspaces.into_iter().zip(hosts);

    let all: BTreeSet<Fingerprint> = moved
        .map(|(workspace, host)| {
            Fingerprint::of(&Identity {
                workspace: Some(workspace),
                host,
                ..usual()
            })
        })
        .collect();

    assert_eq!(all.len(), 4);
}

/// Instances of several versions and machines must agree on it.
#[test]
fn a_fingerprint_is_the_same_for_ever() {
    let known = "8397acb37fd4108289c3921205659948";

    assert_eq!(Fingerprint::of(&usual()).to_string(), known);
}
