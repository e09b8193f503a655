//! `oriolemux status`, `explain` and `drain`, which ask a running instance.

use super::client::{Client, ClientError, Target};
use super::{ExitStatus, Output, print_error, print_json, print_line};
use crate::status::{Explanation, NodeStatus, Readiness};
use oriolemux_core::RequestId;
use reqwest::Method;
use serde::{Deserialize, Serialize};

mod text;

#[derive(Serialize, Deserialize)]
struct DrainAnswer {
    readiness: Readiness,
}

/// Prints the state of an instance.
pub(super) fn status(target: &Target, output: Output) -> ExitStatus {
    ended(
        ask(target, Method::GET, "/status").map(|status: NodeStatus| {
            match output {
                Output::Json => print_json(&status),
                Output::Human => text::print_status(&status),
            };
        }),
    )
}

/// Prints why a request went as it did.
pub(super) fn explain(target: &Target, request: RequestId, output: Output) -> ExitStatus {
    let path = format!("/explain/{request}");
    ended(ask(target, Method::GET, &path).map(|it: Explanation| {
        match output {
            Output::Json => print_json(&it),
            Output::Human => text::print_explanation(&it),
        };
    }))
}

/// Begins a planned stop of an instance.
pub(super) fn drain(target: &Target, output: Output) -> ExitStatus {
    ended(ask(target, Method::POST, "/drain").map(|it: DrainAnswer| {
        match output {
            Output::Json => print_json(&it),
            Output::Human => print_line("the instance stops; running streams are finished first"),
        };
    }))
}

fn ask<T: serde::de::DeserializeOwned>(
    target: &Target,
    method: Method,
    path: &str,
) -> Result<T, ClientError> {
    Client::new(target)?.ask(method, path)
}

fn ended(result: Result<(), ClientError>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            print_error(&error);
            error.exit_status()
        }
    }
}
