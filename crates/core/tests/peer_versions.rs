//! Messages to peers with an older protocol version.

use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use std::borrow::Cow;

fn envelope(messages: Vec<PeerMessage>) -> PeerEnvelope {
    PeerEnvelope {
        catalogue_revision: 3,
        list_revision: 4,
        messages,
    }
}

fn suspects_message() -> PeerMessage {
    PeerMessage::Suspects(Vec::new())
}

#[test]
fn a_peer_of_this_version_receives_all_messages() {
    let all = envelope(vec![PeerMessage::Heartbeat, suspects_message()]);

    let sent = all.readable_by(2);

    assert_eq!(sent, Some(Cow::Borrowed(&all)));
}

/// Failure: during an update, links between old and new instances break repeatedly. A new instance
/// sends crash records of suspects to an old one, which cannot decode the message and closes the
/// link.
#[test]
fn an_older_peer_receives_only_what_it_can_decode() {
    let all = envelope(vec![suspects_message(), PeerMessage::Heartbeat]);

    let sent = all.readable_by(1).expect("some of it").into_owned();

    assert_eq!(sent, envelope(vec![PeerMessage::Heartbeat]));
    assert_eq!(envelope(vec![suspects_message()]).readable_by(1), None);
}
