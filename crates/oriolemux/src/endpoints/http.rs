//! Endpoints over HTTP/1.1.

use super::send_guard::SendGuard;
use super::{
    CacheBatch, CallBody, EndpointFailure, EndpointProtocol, EndpointResponse, ResponseBody,
    ResumePoint, WorkBody, wire,
};
use crate::callers::port::Clock;
use crate::response_head;
use bytes::Bytes;
use core::time::Duration;
use futures_util::FutureExt;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, StatusCode};
use oriolemux_core::event::{Dispatch, EndpointTarget, LoadReport, OrderKind, OrderResult};
use oriolemux_core::outcome::Refusal;
use oriolemux_core::{AttemptId, Reason, Time};
use oriolemux_gateway::probe::{ProbeResult, probe};
use reqwest::{Client, RequestBuilder, Response};
use serde::de::DeserializeOwned;
use std::sync::{Arc, PoisonError, RwLock};
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The header by which a plain service names the attempt that it responds to.
pub const ATTEMPT_HEADER: &str = "x-attempt-id";
/// The header that names the request to a plain service.
pub const REQUEST_HEADER: &str = "x-request-id";

/// The largest load report, batch of cache events or answer to an order that is read, in bytes.
const MAX_CONTROL_RESPONSE_BYTES: usize = 1 << 20;

/// The largest refusal that is read, in bytes. Usual ones have some hundred; there may be one for
/// each request at the same time.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;

/// Idle connections are closed earlier than most servers close them, so that a request is seldom
/// sent on a connection that the server is just closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts towards endpoints.
#[derive(Clone, Copy, Debug)]
pub struct HttpSettings {
    /// The longest wait for a connection.
    pub connect_timeout: Duration,
    /// The longest wait for a load report, cache events, an order or a cancellation.
    pub control_timeout: Duration,
}

impl Default for HttpSettings {
    fn default() -> Self {
        HttpSettings {
            connect_timeout: Duration::from_secs(1),
            control_timeout: Duration::from_secs(2),
        }
    }
}

/// The [`EndpointProtocol`] over HTTP/1.1.
#[derive(Clone, Debug)]
pub struct HttpProtocol {
    clients: Arc<Clients>,
    clock: Clock,
    settings: HttpSettings,
}

/// One client that keeps idle connections and one that never does.
#[derive(Debug)]
struct Clients {
    /// For work that may run twice and for control requests. Replaced when its idle connections
    /// are no longer trusted.
    pooled: RwLock<Client>,
    /// For work that must not run twice. The server may have closed a reused connection; the HTTP
    /// library then resends the request on another one without reporting it. A new connection for
    /// every request avoids this case; the library's own retries are off as well.
    unpooled: Client,
}

/// The HTTP client could not be set up.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
/// the HTTP client for endpoints cannot be set up
pub struct SetUpError(#[from] reqwest::Error);

impl HttpProtocol {
    /// Creates the HTTP clients.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library cannot be initialised.
    pub fn new(clock: Clock, settings: HttpSettings) -> Result<Self, SetUpError> {
        let clients = Clients {
            pooled: RwLock::new(pooled_client(&settings)?),
            unpooled: client_builder(&settings)
                .pool_max_idle_per_host(0)
                .build()?,
        };
        Ok(HttpProtocol {
            clients: Arc::new(clients),
            clock,
            settings,
        })
    }

    fn pooled(&self) -> Client {
        let pooled = self.clients.pooled.read();
        pooled.unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn client_for(&self, dispatch: &Dispatch) -> Client {
        if dispatch.idempotent {
            self.pooled()
        } else {
            self.clients.unpooled.clone()
        }
    }

    fn start_request(&self, dispatch: &Dispatch, work: &WorkBody) -> (RequestBuilder, Bytes) {
        let client = self.client_for(dispatch);
        match work {
            WorkBody::Completion(body) => {
                let request = client
                    .post(url(&dispatch.endpoint, "/v1/completions"))
                    .header(CONTENT_TYPE, "application/json");
                let bytes = wire::completion_request(dispatch, body);
                (request, bytes.into())
            }
            WorkBody::Call(CallBody {
                content_type,
                bytes,
            }) => {
                let mut request = client
                    .post(url(&dispatch.endpoint, "/v1/call"))
                    .header(REQUEST_HEADER, dispatch.attempt.request.to_string())
                    .header(ATTEMPT_HEADER, dispatch.attempt.to_string());
                if let Some(content_type) = content_type {
                    request = request.header(CONTENT_TYPE, content_type);
                }
                (request, bytes.clone())
            }
        }
    }

    /// Sends a control request and reads its full response.
    async fn control(
        &self,
        request: RequestBuilder,
    ) -> Result<(StatusCode, Vec<u8>), EndpointFailure> {
        let exchange = async {
            let response = request.send().await.map_err(|_| connection_lost())?;
            check_head(&response)?;
            let status = response.status();
            let body = read_bounded(response, MAX_CONTROL_RESPONSE_BYTES).await?;
            Ok((status, body))
        };
        timeout(self.settings.control_timeout, exchange)
            .await
            .unwrap_or(Err(EndpointFailure::Broken(Reason::Stalled)))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        endpoint: &EndpointTarget,
        path: &str,
    ) -> Result<T, EndpointFailure> {
        let request = self.pooled().get(url(endpoint, path));
        let (status, body) = self.control(request).await?;
        if status != StatusCode::OK {
            return Err(EndpointFailure::Broken(Reason::EndpointError));
        }
        serde_json::from_slice(&body).map_err(|_| EndpointFailure::Broken(Reason::Garbage))
    }
}

impl EndpointProtocol for HttpProtocol {
    type Body = HttpBody;

    async fn start(
        &self,
        dispatch: &Dispatch,
        work: &WorkBody,
    ) -> Result<EndpointResponse<HttpBody>, EndpointFailure> {
        let (request, bytes) = self.start_request(dispatch, work);
        let guard = SendGuard::new(self.clock, dispatch.send_before);
        let request = request.header(CONTENT_LENGTH, bytes.len());
        let request = if bytes.is_empty() {
            // The HTTP client never polls an empty body, so the guard would not see it. It counts
            // as sent from here on.
            guard.hand_over().map_err(|_| EndpointFailure::TooLate)?;
            request
        } else {
            request.body(guard.body(bytes))
        };
        match timeout(dispatch.stall_limit, request.send()).await {
            Ok(Ok(response)) => accept_response(response, dispatch.stall_limit).await,
            Ok(Err(err)) => Err(classify_send_error(&guard, &err)),
            Err(_) if guard.give_up() => Err(EndpointFailure::Broken(Reason::Stalled)),
            Err(_) => Err(EndpointFailure::NotConnected),
        }
    }

    async fn resume(
        &self,
        endpoint: &EndpointTarget,
        point: ResumePoint,
        limit: Duration,
    ) -> Result<EndpointResponse<HttpBody>, EndpointFailure> {
        // A GET changes nothing at the endpoint, but it is sent on a new connection nevertheless:
        // the stream broke, so idle connections to this endpoint may be half open, and a request
        // on one of them would wait for the full stall limit.
        let path = format!("/v1/completions/{}", point.attempt);
        let mut request = self.clients.unpooled.get(url(endpoint, &path));
        if let Some(index) = point.last_index {
            request = request.header("last-event-id", format!("{}:{index}", point.attempt));
        }
        let response = match timeout(limit, request.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return Err(connection_lost()),
            Err(_) => return Err(EndpointFailure::Broken(Reason::Stalled)),
        };
        check_head(&response)?;
        if response.status() == StatusCode::NOT_FOUND {
            return Err(EndpointFailure::Broken(Reason::GenerationLost));
        }
        if response.status() != StatusCode::OK {
            return Err(EndpointFailure::Broken(Reason::EndpointError));
        }
        Ok(to_response(response))
    }

    async fn cancel(&self, endpoint: &EndpointTarget, attempt: AttemptId) -> bool {
        let url = url(endpoint, &format!("/v1/completions/{attempt}"));
        // Cancelling twice is harmless, so the cancellation is sent again on a new connection if a
        // kept one turns out to be closed. Otherwise the generation would run on unread.
        for client in [self.pooled(), self.clients.unpooled.clone()] {
            match self.control(client.delete(&url)).await {
                Ok((status, _)) => return status.is_success(),
                Err(_) => continue,
            }
        }
        false
    }

    async fn load(&self, endpoint: &EndpointTarget) -> Result<LoadReport, EndpointFailure> {
        self.get_json(endpoint, "/v1/load").await
    }

    async fn cache_events(
        &self,
        endpoint: &EndpointTarget,
        after: u64,
    ) -> Result<CacheBatch, EndpointFailure> {
        let path = format!("/v1/cache-events?after={after}");
        self.get_json(endpoint, &path).await
    }

    async fn order(
        &self,
        endpoint: &EndpointTarget,
        fencing: u64,
        kind: &OrderKind,
        send_before: Time,
    ) -> OrderResult {
        // Orders are fenced or protected by a lease, but must not be resent by the HTTP library
        // either, so each one gets a new connection.
        let bytes = Bytes::from(wire::order_request(fencing, kind));
        let guard = SendGuard::new(self.clock, send_before);
        let request = self
            .clients
            .unpooled
            .post(url(endpoint, "/v1/orders"))
            .header(CONTENT_TYPE, "application/json")
            .header(CONTENT_LENGTH, bytes.len())
            .body(guard.body(bytes));
        match self.control(request).await {
            Ok((status, _)) if status.is_success() => OrderResult::Accepted,
            Ok((StatusCode::CONFLICT, body)) => match serde_json::from_slice(&body) {
                Ok(wire::Fenced { highest }) => OrderResult::Fenced { highest },
                Err(_) => OrderResult::Failed,
            },
            _ => OrderResult::Failed,
        }
    }

    async fn has_ended(&self, endpoint: &EndpointTarget) -> bool {
        probe(TcpStream::connect(endpoint.address)).await == ProbeResult::Refused
    }

    fn discard_idle_connections(&self) {
        let Ok(client) = pooled_client(&self.settings) else {
            return;
        };
        let pooled = self.clients.pooled.write();
        *pooled.unwrap_or_else(PoisonError::into_inner) = client;
    }
}

/// The body of an endpoint's response.
#[derive(Debug)]
pub struct HttpBody {
    response: Response,
}

impl ResponseBody for HttpBody {
    async fn chunk(&mut self) -> Result<Option<Bytes>, EndpointFailure> {
        self.response.chunk().await.map_err(|_| connection_lost())
    }

    fn ready_chunk(&mut self) -> Option<Result<Option<Bytes>, EndpointFailure>> {
        self.chunk().now_or_never()
    }
}

fn client_builder(settings: &HttpSettings) -> reqwest::ClientBuilder {
    Client::builder()
        .http1_only()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .retry(reqwest::retry::never())
        .referer(false)
        .connect_timeout(settings.connect_timeout)
        .tcp_nodelay(true)
}

fn pooled_client(settings: &HttpSettings) -> Result<Client, reqwest::Error> {
    client_builder(settings)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .build()
}

fn url(endpoint: &EndpointTarget, path: &str) -> String {
    format!("http://{}{path}", endpoint.address)
}

fn check_head(response: &Response) -> Result<(), EndpointFailure> {
    response_head::check(response).map_err(|_| EndpointFailure::Broken(Reason::Garbage))
}

fn connection_lost() -> EndpointFailure {
    EndpointFailure::Broken(Reason::ConnectionLost)
}

/// Classifies a failed send by whether the body was handed over to the HTTP client.
fn classify_send_error(guard: &SendGuard, err: &reqwest::Error) -> EndpointFailure {
    if guard.expired() {
        return EndpointFailure::TooLate;
    }
    if !guard.give_up() {
        return EndpointFailure::NotConnected;
    }
    if err.is_connect() {
        // Only an empty body counts as handed over before its connection is established.
        return EndpointFailure::NotConnected;
    }
    connection_lost()
}

/// Distinguishes a response from a refusal.
async fn accept_response(
    response: Response,
    limit: Duration,
) -> Result<EndpointResponse<HttpBody>, EndpointFailure> {
    check_head(&response)?;
    if response.status() == StatusCode::OK {
        return Ok(to_response(response));
    }
    let status = response.status().as_u16();
    let retry_after = response.headers().get(RETRY_AFTER).cloned();
    let retry_after = retry_after.as_ref().and_then(text);
    let body = timeout(limit, read_bounded(response, MAX_REFUSAL_BYTES)).await;
    let refusal = match body {
        Ok(Ok(body)) => Refusal::parse(status, retry_after, &body),
        _ => None,
    };
    Err(match refusal {
        Some(refusal) => EndpointFailure::Refused(refusal),
        None => EndpointFailure::Broken(Reason::EndpointError),
    })
}

fn to_response(response: Response) -> EndpointResponse<HttpBody> {
    let headers = response.headers();
    let attempt = headers
        .get(ATTEMPT_HEADER)
        .and_then(text)
        .map(str::to_owned);
    let content_type = headers.get(CONTENT_TYPE).cloned();
    EndpointResponse {
        body: HttpBody { response },
        attempt,
        content_type,
    }
}

fn text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

async fn read_bounded(mut response: Response, most: usize) -> Result<Vec<u8>, EndpointFailure> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|_| connection_lost())? {
        if body.len() + chunk.len() > most {
            return Err(EndpointFailure::Broken(Reason::Garbage));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}
