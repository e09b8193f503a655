//! What a broken connection says about its endpoint.
//!
//! A connection that ends is not yet an endpoint that ended: answers are lost, connections
//! reset and bytes spoilt by endpoints that live on. Whether it ended decides whether the
//! request is to blame, so that it is looked at once: a process that is gone refuses a
//! connection.

use crate::job::Job;
use crate::log_event;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::state::Place;
use oriolemux_core::suspects::RAN_WELL_AFTER;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// How long an endpoint may take to accept the connection that shows that it lives. One round
/// trip between data centres takes some 3 ms; a packet that is lost comes again after more
/// than this, and then nothing is known.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// What is found at the address of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// Nobody: the process ended.
    Refused,
    /// Somebody who accepts connections.
    Accepted,
    /// Nothing that can be told.
    Unknown,
}

impl ProbeResult {
    /// Returns a word for it, which log lines carry.
    const fn label(self) -> &'static str {
        match self {
            ProbeResult::Refused => "nobody",
            ProbeResult::Accepted => "somebody",
            ProbeResult::Unknown => "silence",
        }
    }
}

/// Looks whether a process is at `address`.
pub async fn probe(address: SocketAddr) -> ProbeResult {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ProbeResult::Refused,
            _ => ProbeResult::Unknown,
        },
        Err(_) => ProbeResult::Unknown,
    }
}

impl<W: Wire> Job<W> {
    /// Finds out what became of the endpoint whose connection ended before its answer, which
    /// had begun at `begun` if it had.
    pub async fn on_connection_broken(&self, place: &Place, response_started: Option<Instant>) {
        let response_started = response_started.map(|at| at.elapsed());
        if response_started.is_some_and(|it| it >= RAN_WELL_AFTER) {
            return self.on_run_succeeded();
        }
        let found = probe(place.address.into()).await;
        log_event!(ConnectionBroken, attempt = self.name(), request:% = self.fingerprint,
            entry = self.entry().name.as_str(), endpoint = place.name.as_str(),
            found = found.label(), has_begun = response_started.is_some(),
            begun_ms = response_started.unwrap_or_default().as_millis() as u64);
        match found {
            ProbeResult::Refused => self.on_endpoint_crash(place),
            ProbeResult::Unknown => {
                let now = self.cx.now();
                let mut state = self.cx.state();
                state.may_have_ended_with(now, self.fingerprint, place);
            }
            ProbeResult::Accepted => {}
        }
    }

    /// Notes that an endpoint ended with the request.
    fn on_endpoint_crash(&self, place: &Place) {
        let now = self.cx.now();
        let is_news = self.cx.state().ended_with(now, self.fingerprint, place);
        self.record_unreachable(place);
        if is_news {
            let ended = self.cx.state().ended_by(self.fingerprint);
            log_event!(EndpointCrashed, attempt = self.name(), request:% = self.fingerprint,
                entry = self.entry().name.as_str(), endpoint = place.name.as_str(),
                ended = ended);
            self.cx.announce_suspects();
        }
    }
}
