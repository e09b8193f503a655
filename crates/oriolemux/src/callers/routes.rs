//! The routes of the caller API.

mod completions;
mod models;
mod services;
mod tickets;
mod work;

use super::body::BodyLimits;
use super::connections::Connections;
use super::errors::ErrorResponse;
use super::port::NodePort;
use crate::buffered::BufferBudget;
use crate::endpoints::EndpointProtocol;
use core::time::Duration;
use http::StatusCode;
use oriolemux_core::Reason;
use oriolemux_gateway::bodies::KeptBodies;
use poem::{Endpoint, Request, Response, Route, get, post};
use std::sync::Arc;
use work::Work;

/// What the handlers of requests need.
#[derive(Clone, Debug)]
pub struct CallerCx<E> {
    /// The port to the node.
    pub port: NodePort,
    /// The protocol for requests to endpoints.
    pub protocol: E,
    /// Limits on the size and duration of a body.
    pub body: BodyLimits,
    /// The open connections of callers.
    pub connections: Connections,
    /// The bodies of requests that are kept.
    pub bodies: Arc<KeptBodies>,
    /// Counts the bytes of responses that are kept.
    pub buffers: BufferBudget,
    /// How long a caller may read nothing of a stream.
    pub write_timeout: Duration,
}

/// Returns the HTTP handler of all paths.
pub fn routes<E: EndpointProtocol>(cx: CallerCx<E>) -> impl Endpoint<Output = Response> {
    let cx = Arc::new(cx);
    Route::new()
        .at(
            "/v1/completions",
            post(Work::<E, completions::Completions>::new(&cx)),
        )
        .at("/v1/models", get(models::Models(Arc::clone(&cx))))
        .at(
            "/v1/services/:entry",
            post(Work::<E, services::Services>::new(&cx)),
        )
        .at("/v1/tickets", post(tickets::Tickets(Arc::clone(&cx))))
        .at("/*path", NoSuchPath(cx))
}

/// Responds to paths that do not exist.
struct NoSuchPath<E>(Arc<CallerCx<E>>);

impl<E: EndpointProtocol> Endpoint for NoSuchPath<E> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let id = self.0.port.next_id();
        let error = ErrorResponse::not_submitted(id, Reason::BadRequest)
            .with_detail(format!("there is no path {}", req.uri().path()));
        let mut response = error.into_response();
        response.set_status(StatusCode::NOT_FOUND);
        Ok(response)
    }
}
