//! Checks the operators' key.

use super::routes::error_response;
use crate::events::{self, ShellNote};
use crate::settings::Secret;
use http::StatusCode;
use http::header::AUTHORIZATION;
use poem::{Endpoint, Middleware, Request, Response, Result};
use std::net::IpAddr;

const SCHEME: &str = "Bearer ";

/// Refuses requests without the key.
#[derive(Clone, Debug)]
pub(super) struct RequireKey(pub(super) Secret);

impl<E: Endpoint<Output = Response>> Middleware<E> for RequireKey {
    type Output = Guarded<E>;

    fn transform(&self, inner: E) -> Guarded<E> {
        let key = self.0.clone();
        Guarded { inner, key }
    }
}

/// A handler that requires the key.
pub(super) struct Guarded<E> {
    inner: E,
    key: Secret,
}

impl<E: Endpoint<Output = Response>> Endpoint for Guarded<E> {
    type Output = Response;

    async fn call(&self, req: Request) -> Result<Response> {
        if self.has_key(&req) {
            return self.inner.call(req).await;
        }
        if let Some(from) = remote_ip(&req) {
            events::emit_shell(&ShellNote::OperatorRefused { from });
        }
        let message = "the operators' key is missing or wrong";
        Ok(error_response(StatusCode::UNAUTHORIZED, "bad_key", message))
    }
}

impl<E> Guarded<E> {
    fn has_key(&self, req: &Request) -> bool {
        let header = req.headers().get(AUTHORIZATION);
        let given = header
            .and_then(|value| value.to_str().ok())
            .and_then(|value| value.strip_prefix(SCHEME));
        given.is_some_and(|given| self.key.matches(given.as_bytes()))
    }
}

fn remote_ip(req: &Request) -> Option<IpAddr> {
    req.remote_addr()
        .as_socket_addr()
        .map(|address| address.ip())
}
