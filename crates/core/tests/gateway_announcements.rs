//! What endpoints announce in their responses: which decisions respect it.

#[path = "fixtures/gateway.rs"]
mod instances;

use core::time::Duration;
use oriolemux_core::gateway::Gateway;
use oriolemux_core::gateway::state::SendKind;
use oriolemux_core::{EndpointKey, Time};
use rstest::rstest;

const NOW: Time = Time::from_secs(10);

/// Returns an instance that knows engines with these names.
fn instance(names: &[&str]) -> Gateway {
    let mut one = instances::gateway(1);
    for name in names {
        one.publish_endpoint(NOW, instances::engine(name));
    }
    one
}

/// Guards against a returning caller's request, and a generation that is recomputed, at an engine
/// that announced to leave while the connection to it was opened.
#[rstest]
#[case::from_its_beginning(SendKind::Start, false)]
#[case::from_a_copy(SendKind::FromCopy, true)]
fn only_generations_with_a_copy_are_sent_to_an_engine_that_leaves(
    #[case] kind: SendKind,
    #[case] expected: bool,
) {
    let mut one = instance(&["e-1"]);
    let engine = EndpointKey::of("e-1");
    assert!(one.admit_send(NOW, engine, NOW, kind));

    one.endpoints.mark_leaving(NOW, engine);

    let later = NOW + Duration::from_millis(5);
    assert_eq!(one.admit_send(later, engine, NOW, kind), expected);
}
