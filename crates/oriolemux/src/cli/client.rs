//! The client of the operators' listener of a running instance.

use super::ExitStatus;
use crate::settings::{GatewaySettings, Secret, Settings};
use core::time::Duration;
use oriolemux_core::findings::Findings;
use oriolemux_core::ids::ParseRequestIdError;
use reqwest::{Method, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The longest wait for a response. It is longer than the instance's own timeout for a query.
const TIMEOUT: Duration = Duration::from_secs(5);

/// The instance to query.
#[derive(Debug, clap::Args)]
pub(super) struct Target {
    /// The settings file of the instance, which names its operators' address and key file.
    /// Those of a gateway name its listener for metrics, which needs no key.
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
    /// The operators' address of the instance; goes before the settings.
    #[arg(long, value_name = "IP:PORT")]
    address: Option<SocketAddr>,
    /// The file with the operators' key; goes before the settings.
    #[arg(long, value_name = "FILE")]
    key_file: Option<PathBuf>,
}

/// Why a query failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub(super) enum ClientError {
    /// {0}
    Settings(#[source] Findings),
    /// name the instance: --settings FILE, or --address IP:PORT with --key-file FILE
    NoTarget,
    /// a gateway remembers no requests; give its log lines: oriolemux explain REQUEST --logs FILE
    NoMemory,
    /// {0}
    BadRequestId(#[source] ParseRequestIdError),
    /// cannot read the key file {path}: {source}
    Key {
        /// The file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// cannot reach the operators' listener at {address}: {source}
    Unreachable {
        /// Its address.
        address: SocketAddr,
        /// The error of the HTTP client.
        source: reqwest::Error,
    },
    /// cannot start the runtime: {0}
    Runtime(#[source] std::io::Error),
    /// the operators' listener at {0} refused the key
    KeyRefused(SocketAddr),
    /// {0}
    NotFound(String),
    /// the instance cannot answer: {0}
    NoAnswer(String),
}

impl ClientError {
    /// Returns the exit status of the command for this error.
    pub(super) const fn exit_status(&self) -> ExitStatus {
        match self {
            ClientError::Settings(_) | ClientError::Key { .. } => ExitStatus::Findings,
            ClientError::NoTarget | ClientError::NoMemory | ClientError::BadRequestId(_) => {
                ExitStatus::Usage
            }
            ClientError::Unreachable { .. }
            | ClientError::Runtime(_)
            | ClientError::NoAnswer(_) => ExitStatus::Unreachable,
            ClientError::KeyRefused(_) => ExitStatus::KeyRefused,
            ClientError::NotFound(_) => ExitStatus::NotFound,
        }
    }
}

/// The kind of the instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Kind {
    /// One of `oriolemux serve`.
    Node,
    /// One of `oriolemux gateway`.
    Gateway,
}

/// Sends queries to one instance.
pub(super) struct Client {
    address: SocketAddr,
    key: Option<Secret>,
    kind: Kind,
}

impl Client {
    /// Creates a client with the address and the key of the instance.
    pub(super) fn new(target: &Target) -> Result<Self, ClientError> {
        if let Some(client) = Client::of_gateway(target)? {
            return Ok(client);
        }
        let settings = target.settings.as_ref().map(Settings::load);
        let settings = settings.transpose().map_err(ClientError::Settings)?;
        let operators = settings.as_ref().map(|settings| &settings.operators);
        let address = target.address.or(operators.map(|it| it.listen));
        let key_file = operators.map(|it| it.key_file.path().to_owned());
        let key_file = target.key_file.clone().or(key_file);
        let (Some(address), Some(path)) = (address, key_file) else {
            return Err(ClientError::NoTarget);
        };
        let key = std::fs::read(&path).map_err(|source| ClientError::Key {
            path: path.display().to_string(),
            source,
        })?;
        Ok(Client {
            address,
            key: Some(Secret::new(key.trim_ascii())),
            kind: Kind::Node,
        })
    }

    /// Returns a client of a gateway, if the settings are those of one.
    fn of_gateway(target: &Target) -> Result<Option<Self>, ClientError> {
        let Some(path) = &target.settings else {
            return Ok(None);
        };
        // A file that cannot be read is reported as a finding when it is loaded as settings of a
        // node.
        let text = std::fs::read_to_string(path).unwrap_or_default();
        if !GatewaySettings::is_gateway_settings(&text) {
            return Ok(None);
        }
        let settings = GatewaySettings::load(path).map_err(ClientError::Settings)?;
        Ok(Some(Client {
            address: target.address.unwrap_or(settings.metrics.listen),
            key: None,
            kind: Kind::Gateway,
        }))
    }

    /// Returns the kind of the instance.
    pub(super) fn kind(&self) -> Kind {
        self.kind
    }

    /// Sends one request and parses its JSON response.
    pub(super) fn query<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
    ) -> Result<T, ClientError> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(ClientError::Runtime)?;
        runtime.block_on(async {
            let response = self.send(method, path).await;
            let response = response.map_err(|source| self.unreachable(source))?;
            self.read(response).await
        })
    }

    async fn send(&self, method: Method, path: &str) -> reqwest::Result<Response> {
        let url = format!("http://{}{path}", self.address);
        let client = reqwest::Client::builder()
            .timeout(TIMEOUT)
            .no_proxy()
            .build()?;
        let mut req = client.request(method, url);
        if let Some(key) = &self.key {
            req = req.bearer_auth(String::from_utf8_lossy(key.as_bytes()));
        }
        req.send().await
    }

    async fn read<T: DeserializeOwned>(&self, response: Response) -> Result<T, ClientError> {
        let status = response.status();
        if status.is_success() {
            let value = response.json().await;
            return value.map_err(|source| self.unreachable(source));
        }
        let error = response.json::<ErrorBody>().await;
        let message = error.map_or_else(|_| status.to_string(), |body| body.error.message);
        Err(match status {
            StatusCode::UNAUTHORIZED => ClientError::KeyRefused(self.address),
            StatusCode::NOT_FOUND | StatusCode::BAD_REQUEST => ClientError::NotFound(message),
            _ => ClientError::NoAnswer(message),
        })
    }

    fn unreachable(&self, source: reqwest::Error) -> ClientError {
        let address = self.address;
        ClientError::Unreachable { address, source }
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Deserialize)]
struct ErrorDetail {
    message: String,
}
