//! The platform's configuration service over HTTP/1.1.

use super::{Platform, PlatformError, ValueResponse};
use crate::response_head;
use core::time::Duration;
use http::StatusCode;
use oriolemux_core::catalogue::MAX_VALUE_BYTES;
use oriolemux_core::event::ValueName;
use reqwest::{Client, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::time::timeout;

/// The header that carries the service's revision of a value.
pub const REVISION_HEADER: &str = "x-revision";

/// Idle connections are closed earlier than the service closes them.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeouts of the calls.
#[derive(Clone, Copy, Debug)]
pub struct PlatformLimits {
    /// The longest wait for a connection, and for the response to a read.
    pub read_timeout: Duration,
    /// The longest wait for the response to a watch. It must be longer than the service holds a
    /// watch, otherwise every watch without a change would count as a failure.
    pub watch_timeout: Duration,
}

impl Default for PlatformLimits {
    fn default() -> Self {
        PlatformLimits {
            read_timeout: Duration::from_secs(2),
            watch_timeout: Duration::from_secs(30),
        }
    }
}

/// Why the client could not be set up.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum SetUpError {
    /// the HTTP client for the platform cannot be set up: {0}
    Client(#[from] reqwest::Error),
    /// the platform has no address
    NoAddress,
}

/// Reads and watches values over HTTP.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    client: Client,
    limits: PlatformLimits,
    addresses: Arc<[SocketAddr]>,
    /// The index of the address in use. A failed call advances it, so that a replica of the service
    /// that is down fails one call and not every call.
    current: Arc<AtomicUsize>,
}

impl PlatformClient {
    /// Creates a client for the replicas of the service at `addresses`.
    ///
    /// # Errors
    ///
    /// Fails if there is no address or the HTTP library cannot be initialised.
    pub fn new(addresses: &[SocketAddr], limits: PlatformLimits) -> Result<Self, SetUpError> {
        if addresses.is_empty() {
            return Err(SetUpError::NoAddress);
        }
        let client = Client::builder()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .referer(false)
            .connect_timeout(limits.read_timeout)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .tcp_nodelay(true)
            .build()?;
        Ok(PlatformClient {
            client,
            limits,
            addresses: addresses.into(),
            current: Arc::new(AtomicUsize::new(0)),
        })
    }

    async fn call(
        &self,
        name: &ValueName,
        above: Option<u64>,
        limit: Duration,
    ) -> Result<ValueResponse, PlatformError> {
        let current = self.current.load(Ordering::Relaxed);
        let address = self.addresses[current % self.addresses.len()];
        let answered = timeout(limit, self.exchange(address, name, above)).await;
        let response = answered.unwrap_or(Err(PlatformError::Timeout(limit)));
        if response.is_err() {
            self.switch_address(current);
        }
        response
    }

    /// Advances from an address that failed, once for all calls that failed there.
    fn switch_address(&self, failed: usize) {
        let next = failed.wrapping_add(1);
        let order = Ordering::Relaxed;
        let _ = self.current.compare_exchange(failed, next, order, order);
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        name: &ValueName,
        above: Option<u64>,
    ) -> Result<ValueResponse, PlatformError> {
        let mut url = format!("http://{address}/v1/values/{name}");
        if let Some(above) = above {
            url.push_str(&format!("?above={above}"));
        }
        let response = self.client.get(url).send().await;
        let response = response.map_err(PlatformError::Connection)?;
        response_head::check(&response)?;
        match response.status() {
            StatusCode::OK => value(response).await,
            StatusCode::NO_CONTENT => Ok(ValueResponse::Unchanged),
            status => Err(PlatformError::Status(status.as_u16())),
        }
    }
}

impl Platform for PlatformClient {
    async fn read(&self, name: &ValueName) -> Result<ValueResponse, PlatformError> {
        self.call(name, None, self.limits.read_timeout).await
    }

    async fn watch(&self, name: &ValueName, above: u64) -> Result<ValueResponse, PlatformError> {
        self.call(name, Some(above), self.limits.watch_timeout)
            .await
    }
}

fn revision(response: &Response) -> Option<u64> {
    let header = response.headers().get(REVISION_HEADER)?;
    header.to_str().ok()?.parse().ok()
}

async fn value(response: Response) -> Result<ValueResponse, PlatformError> {
    let revision = revision(&response).ok_or(PlatformError::NoRevision)?;
    let bytes = body(response).await?;
    Ok(ValueResponse::Value { revision, bytes })
}

/// Reads the body, at most one byte more than a value may have. By the extra byte the core detects
/// that the value is too large.
async fn body(mut response: Response) -> Result<Vec<u8>, PlatformError> {
    const MOST: usize = MAX_VALUE_BYTES + 1;
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(PlatformError::Connection)? {
        let room = MOST - body.len();
        body.extend_from_slice(&chunk[..chunk.len().min(room)]);
        if body.len() == MOST {
            break;
        }
    }
    Ok(body)
}
