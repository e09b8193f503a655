//! Heads of responses that cannot be followed.

use crate::events::{self, ShellNote};
use oriolemux_gateway::link::head::{Framing, InvalidHead};
use reqwest::Response;

/// Checks the head of a response before any of it is used, and logs what is wrong with it.
///
/// # Errors
///
/// Fails if the head is invalid. The request may have run then.
pub(crate) fn check(response: &Response) -> Result<(), InvalidHead> {
    let framing = Framing::of_response(response.status(), response.headers());
    framing.map(|_| ()).inspect_err(|error| {
        events::emit_shell(&ShellNote::ResponseInvalid {
            from: response.url().authority(),
            why: error,
        });
    })
}
