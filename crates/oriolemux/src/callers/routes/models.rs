//! `GET /v1/models`: the entries that the workspace may use.

use super::CallerCx;
use crate::callers::auth::key_digest;
use crate::callers::errors::ErrorResponse;
use crate::endpoints::EndpointProtocol;
use oriolemux_core::Reason;
use poem::{Endpoint, Request, Response};
use serde::Serialize;
use std::sync::Arc;

/// Lists entries.
pub(super) struct Models<E>(pub Arc<CallerCx<E>>);

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
}

impl<E: EndpointProtocol> Endpoint for Models<E> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let port = &self.0.port;
        let entries = match key_digest(req.headers()) {
            Some(digest) => port.entries(digest).await,
            None => Err(Reason::BadKey),
        };
        Ok(match entries {
            Ok(entries) => list(entries),
            Err(reason) => ErrorResponse::not_submitted(port.next_id(), reason).into_response(),
        })
    }
}

fn list(entries: Vec<String>) -> Response {
    let data = entries.into_iter().map(|id| Model {
        id,
        object: "model",
    });
    let list = ModelList {
        object: "list",
        data: data.collect(),
    };
    let json = serde_json::to_vec(&list).expect("strings serialise");
    Response::builder()
        .content_type("application/json")
        .body(json)
}
