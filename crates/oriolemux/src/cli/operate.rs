//! `oriolemux status`, `explain` and `drain`, which query a running instance.

use super::client::{Client, ClientError, Kind, Target};
use super::{ExitStatus, Output, print_error, print_json, print_line};
use crate::status::{Explanation, NodeStatus, Readiness};
use oriolemux_core::RequestId;
use oriolemux_gateway::GatewayStatus;
use reqwest::Method;
use serde::{Deserialize, Serialize};

mod gateway_text;
mod text;

#[derive(Serialize, Deserialize)]
struct DrainResponse {
    readiness: Readiness,
}

/// Prints the state of an instance.
pub(super) fn status(target: &Target, output: Output) -> ExitStatus {
    ended(Client::new(target).and_then(|client| match client.kind() {
        Kind::Node => {
            let status: NodeStatus = client.query(Method::GET, "/status")?;
            show(&status, output, text::print_status);
            Ok(())
        }
        Kind::Gateway => {
            let status: GatewayStatus = client.query(Method::GET, "/status")?;
            show(&status, output, gateway_text::print_status);
            Ok(())
        }
    }))
}

/// Prints the decisions about a request.
pub(super) fn explain(target: &Target, request: &str, output: Output) -> ExitStatus {
    ended(Client::new(target).and_then(|client| {
        if client.kind() == Kind::Gateway {
            return Err(ClientError::NoMemory);
        }
        let request: RequestId = request.parse().map_err(ClientError::BadRequestId)?;
        let explanation: Explanation = client.query(Method::GET, &format!("/explain/{request}"))?;
        show(&explanation, output, text::print_explanation);
        Ok(())
    }))
}

/// Begins a planned stop of an instance.
pub(super) fn drain(target: &Target, output: Output) -> ExitStatus {
    ended(Client::new(target).and_then(|client| {
        let response: DrainResponse = client.query(Method::POST, "/drain")?;
        show(&response, output, |_| {
            print_line("the instance stops; running streams are finished first");
        });
        Ok(())
    }))
}

fn show<T: Serialize>(value: &T, output: Output, print: impl FnOnce(&T)) {
    match output {
        Output::Json => print_json(value),
        Output::Human => print(value),
    }
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
