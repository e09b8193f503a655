//! The admin side of the stand-ins, as experiments use it.

use super::engine::fault::FaultRule;
use super::journal::Entry;
use super::platform::{Calls, Mode};
use super::service::ServiceRule;
use serde::Serialize;
use std::net::SocketAddr;

/// What can go wrong with an admin call.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum AdminError {
    /// a stand-in could not be told or asked: {0}
    Http(#[from] reqwest::Error),
}

/// A client of the stand-ins' admin routes.
#[derive(Clone, Debug)]
pub struct Admin {
    http: reqwest::Client,
}

impl Admin {
    /// Creates a client.
    pub fn new() -> Result<Self, AdminError> {
        let http = reqwest::Client::builder().no_proxy().build()?;
        Ok(Admin { http })
    }

    /// Returns what an endpoint truly did.
    pub async fn record(&self, endpoint: SocketAddr) -> Result<Vec<Entry>, AdminError> {
        let url = format!("http://{endpoint}/admin/record");
        let response = self.http.get(url).send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    /// Asks an engine for a fault.
    pub async fn engine_fault(
        &self,
        engine: SocketAddr,
        rule: &FaultRule,
    ) -> Result<(), AdminError> {
        let url = format!("http://{engine}/admin/faults");
        self.send(self.http.post(url).json(rule)).await
    }

    /// Takes back the faults that an endpoint has not yet shown.
    pub async fn clear_faults(&self, endpoint: SocketAddr) -> Result<(), AdminError> {
        let url = format!("http://{endpoint}/admin/faults");
        self.send(self.http.delete(url)).await
    }

    /// Asks a service for a fault.
    pub async fn service_fault(
        &self,
        service: SocketAddr,
        rule: &ServiceRule,
    ) -> Result<(), AdminError> {
        let url = format!("http://{service}/admin/faults");
        self.send(self.http.post(url).json(rule)).await
    }

    /// Tells an endpoint to say that it is leaving, or no longer.
    pub async fn set_leaving(&self, endpoint: SocketAddr, leaving: bool) -> Result<(), AdminError> {
        let url = format!("http://{endpoint}/admin/leaving");
        let http = match leaving {
            true => self.http.put(url),
            false => self.http.delete(url),
        };
        self.send(http).await
    }

    /// Writes a value of the platform.
    pub async fn write_value(
        &self,
        platform: SocketAddr,
        name: &str,
        bytes: impl Into<Vec<u8>>,
        revision: u64,
    ) -> Result<(), AdminError> {
        let url = format!("http://{platform}/admin/values/{name}");
        let http = self.http.put(url).header("X-Revision", revision);
        self.send(http.body(bytes.into())).await
    }

    /// Sets how well the platform serves.
    pub async fn set_mode(&self, platform: SocketAddr, mode: Mode) -> Result<(), AdminError> {
        let url = format!("http://{platform}/admin/mode");
        self.put_json(url, &mode).await
    }

    /// Returns how often the platform was called.
    pub async fn calls(&self, platform: SocketAddr) -> Result<Calls, AdminError> {
        let url = format!("http://{platform}/admin/calls");
        let response = self.http.get(url).send().await?.error_for_status()?;
        Ok(response.json().await?)
    }

    async fn put_json<T: Serialize>(&self, url: String, value: &T) -> Result<(), AdminError> {
        self.send(self.http.put(url).json(value)).await
    }

    async fn send(&self, http: reqwest::RequestBuilder) -> Result<(), AdminError> {
        http.send().await?.error_for_status()?;
        Ok(())
    }
}
