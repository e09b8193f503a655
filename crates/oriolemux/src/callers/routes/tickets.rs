//! `POST /v1/tickets`: binds one later request to this process.

use super::CallerCx;
use crate::callers::auth::key_digest;
use crate::callers::errors::ErrorResponse;
use crate::endpoints::EndpointProtocol;
use oriolemux_core::{Reason, RequestId};
use poem::{Endpoint, Request, Response};
use serde::Serialize;
use std::sync::Arc;

/// Issues tickets.
pub(super) struct Tickets<E>(pub Arc<CallerCx<E>>);

#[derive(Serialize)]
struct TicketJson {
    ticket: String,
}

impl<E: EndpointProtocol> Endpoint for Tickets<E> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let port = &self.0.port;
        let ticket = match key_digest(req.headers()) {
            Some(digest) => port.ticket(digest).await,
            None => Err(Reason::BadKey),
        };
        Ok(match ticket {
            Ok(id) => ticket_response(id),
            Err(reason) => ErrorResponse::not_submitted(port.next_id(), reason).into_response(),
        })
    }
}

fn ticket_response(id: RequestId) -> Response {
    let ticket = TicketJson {
        ticket: id.to_string(),
    };
    let json = serde_json::to_vec(&ticket).expect("strings serialise");
    Response::builder()
        .content_type("application/json")
        .body(json)
}
