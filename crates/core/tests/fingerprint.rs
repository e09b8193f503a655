//! Fingerprints of requests are equal only for identical requests.

use oriolemux_core::fingerprint::{Fingerprint, Identity};
use rstest::rstest;
use std::collections::BTreeSet;

fn base_identity() -> Identity<'static> {
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
fn identical_requests_have_equal_fingerprints() {
    let first = Fingerprint::of(&base_identity());

    let again = Fingerprint::of(&base_identity());

    assert_eq!(first, again);
}

#[rstest]
#[case::another_workspace(Identity { workspace: Some("south-desk"), ..base_identity() })]
#[case::no_workspace(Identity { workspace: None, ..base_identity() })]
#[case::another_host(Identity { host: "shop.example", ..base_identity() })]
#[case::another_method(Identity { method: "PUT", ..base_identity() })]
#[case::another_path(Identity { path: "/plan/2?size=2", ..base_identity() })]
#[case::another_query(Identity { path: "/plan/1?size=3", ..base_identity() })]
#[case::another_body(Identity { body: b"b prompt", ..base_identity() })]
#[case::another_deployment(Identity { deployment: 2, ..base_identity() })]
fn any_difference_changes_the_fingerprint(#[case] other: Identity<'_>) {
    assert_ne!(Fingerprint::of(&base_identity()), Fingerprint::of(&other));
}

/// Guards against one caller's request being refused because of another caller's request. If the
/// parts were hashed without their lengths, requests that differ only in the boundary between two
/// parts would have the same fingerprint.
#[test]
fn moving_characters_between_parts_changes_the_fingerprint() {
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
                ..base_identity()
            })
        })
        .collect();

    assert_eq!(all.len(), 4);
}

/// Instances of different versions and on different machines must compute equal fingerprints.
#[test]
fn fingerprint_is_stable_across_versions() {
    let known = "8397acb37fd4108289c3921205659948";

    assert_eq!(Fingerprint::of(&base_identity()).to_string(), known);
}
