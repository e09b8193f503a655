//! The operators' side of an instance, as experiments use it.

use oriolemux::status::NodeStatus;
use std::net::SocketAddr;
use std::time::Duration;

/// The operators' key of every instance of a fleet.
pub const OPERATORS_KEY: &str = "operators-key-0123456789";
/// The secret that instances of a fleet prove to each other.
pub const PEER_SECRET: &str = "peer-secret-0123456789";
/// How long an instance may take to answer operators.
const ANSWER_LIMIT: Duration = Duration::from_secs(2);

/// A client of the operators' listeners.
#[derive(Clone, Debug)]
pub struct Operators {
    http: reqwest::Client,
}

impl Operators {
    /// Creates a client.
    pub fn new() -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .timeout(ANSWER_LIMIT)
            .no_proxy()
            .build()?;
        Ok(Operators { http })
    }

    /// Returns whether the instance says that it serves.
    pub async fn is_ready(&self, instance: SocketAddr, name: &str) -> bool {
        let response = self.get(instance, "readyz").await;
        let is_ready = response.is_ok_and(|response| response.status().is_success());
        let names_itself = |status: NodeStatus| status.instance == name;
        is_ready && self.status(instance).await.is_ok_and(names_itself)
    }

    /// Returns the text of one of the operators' pages.
    pub async fn page(&self, instance: SocketAddr, path: &str) -> Result<String, reqwest::Error> {
        let response = self.get(instance, path).await?;
        response.error_for_status()?.text().await
    }

    /// Returns the state of the instance as it tells operators.
    pub async fn status(&self, instance: SocketAddr) -> Result<NodeStatus, reqwest::Error> {
        let response = self.get(instance, "status").await?;
        response.error_for_status()?.json().await
    }

    async fn get(
        &self,
        instance: SocketAddr,
        path: &str,
    ) -> Result<reqwest::Response, reqwest::Error> {
        let url = format!("http://{instance}/{path}");
        self.http.get(url).bearer_auth(OPERATORS_KEY).send().await
    }
}
