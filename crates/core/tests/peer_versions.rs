//! What a peer of an earlier version is sent.

use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use std::borrow::Cow;

fn envelope(messages: Vec<PeerMessage>) -> PeerEnvelope {
    PeerEnvelope {
        catalogue_revision: 3,
        list_revision: 4,
        messages,
    }
}

fn news() -> PeerMessage {
    PeerMessage::Suspects(Vec::new())
}

#[test]
fn a_peer_of_this_version_is_sent_all() {
    let all = envelope(vec![PeerMessage::Heartbeat, news()]);

    let sent = all.readable_by(2);

    assert_eq!(sent, Some(Cow::Borrowed(&all)));
}

/// Symptom: while the product is updated, links between old and new instances break again and
/// again. Sequence: a new instance tells an old one of a suspect. Cause: a message that the old one
/// cannot read ends its link.
#[test]
fn an_earlier_peer_is_sent_what_it_can_read() {
    let all = envelope(vec![news(), PeerMessage::Heartbeat]);

    let sent = all.readable_by(1).expect("some of it").into_owned();

    assert_eq!(sent, envelope(vec![PeerMessage::Heartbeat]));
    assert_eq!(envelope(vec![news()]).readable_by(1), None);
}
