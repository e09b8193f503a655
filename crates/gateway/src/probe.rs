//! Whether an endpoint crashed when a connection to it broke.
//!
//! A broken connection does not prove a crash: endpoints that keep running lose responses, reset
//! connections and corrupt bytes. Only a crash counts against the request, so the endpoint is
//! probed immediately: the address of a process that has ended refuses connections.

use crate::job::Job;
use crate::log_event;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::fingerprint::Fingerprint;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::suspects::SUCCESS_AFTER;
use std::io::{self, ErrorKind};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// The timeout of the probe connection. One round trip between data centres takes some 3 ms; a lost
/// packet is retransmitted after more than this timeout, and the result is then unknown.
const PROBE_TIMEOUT: Duration = Duration::from_millis(150);

/// Other endpoints that are probed to tell a crash from a partition. Some of them may have ended as
/// well.
const MAX_WITNESSES: usize = 3;

/// The result of probing the address of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The connection was refused: the process ended.
    Refused,
    /// A process accepts connections.
    Accepted,
    /// Neither can be concluded.
    Unknown,
}

impl ProbeResult {
    /// Returns the value that log lines carry.
    const fn label(self) -> &'static str {
        match self {
            ProbeResult::Refused => "nobody",
            ProbeResult::Accepted => "somebody",
            ProbeResult::Unknown => "silence",
        }
    }
}

/// Checks whether a process listens where `opening` connects to.
pub async fn probe(opening: impl Future<Output = io::Result<TcpStream>>) -> ProbeResult {
    match timeout(PROBE_TIMEOUT, opening).await {
        Ok(Ok(_)) => ProbeResult::Accepted,
        Ok(Err(error)) => match error.kind() {
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset => ProbeResult::Refused,
            _ => ProbeResult::Unknown,
        },
        Err(_) => ProbeResult::Unknown,
    }
}

impl<W: Wire> Job<W> {
    /// Probes the endpoint after its connection broke before the end of the response, which started
    /// at `begun` if it did.
    pub async fn on_connection_broken(&self, place: &Placement, response_started: Option<Instant>) {
        let response_started = response_started.map(|at| at.elapsed());
        if response_started.is_some_and(|it| it >= SUCCESS_AFTER) {
            return self.on_run_succeeded();
        }
        let found = probe(self.cx.wire.connect(place.address, None)).await;
        log_event!(ConnectionBroken, attempt = self.name(), request:% = self.fingerprint,
            entry = self.entry().name.as_str(), endpoint = place.name.as_str(),
            found = found.label(), has_begun = response_started.is_some(),
            begun_ms = response_started.unwrap_or_default().as_millis() as u64);
        let is_partitioned = found == ProbeResult::Refused && !self.reaches_others(place).await;
        match found {
            ProbeResult::Refused if !is_partitioned => self.on_endpoint_crash(place, found),
            ProbeResult::Refused | ProbeResult::Unknown => {
                if is_partitioned {
                    self.record_unreachable(place, found.label());
                }
                let now = self.cx.now();
                let mut state = self.cx.state();
                state.on_connection_lost(now, self.fingerprint, place);
            }
            ProbeResult::Accepted => {}
        }
    }

    /// Returns whether this instance connects to any other endpoint, so that one that refuses
    /// connections has ended.
    ///
    /// Without this, an instance that is partitioned from all endpoints takes each broken connection
    /// for a crash, and the whole fleet refuses the requests that were running.
    async fn reaches_others(&self, place: &Placement) -> bool {
        let others = self.cx.state().other_endpoints(place.key, MAX_WITNESSES);
        let mut probes = JoinSet::new();
        for other in others {
            let wire = self.cx.wire.clone();
            probes.spawn(async move { probe(wire.connect(other.address, None)).await });
        }
        while let Some(found) = probes.join_next().await {
            if matches!(found, Ok(ProbeResult::Accepted)) {
                return true;
            }
        }
        false
    }

    fn log_parts(&self, place: &Placement, suspected: &[Fingerprint]) {
        for (part, name) in self.run.parts().named() {
            let ended = self.cx.state().crash_count(part);
            log_event!(
                PartOfCrash,
                attempt = self.name(),
                endpoint = place.name.as_str(),
                part:% = part,
                name:% = name,
                ended = ended,
                suspected = suspected.contains(&part)
            );
        }
    }

    /// Records that the request crashed an endpoint.
    fn on_endpoint_crash(&self, place: &Placement, found: ProbeResult) {
        let now = self.cx.now();
        let mut state = self.cx.state();
        let is_news = state.on_endpoint_crash(now, self.fingerprint, place);
        let suspected = state.on_parts_crash(now, self.run.id(), self.run.parts(), place);
        drop(state);
        self.record_unreachable(place, found.label());
        if is_news {
            let ended = self.cx.state().crash_count(self.fingerprint);
            log_event!(EndpointCrashed, attempt = self.name(), request:% = self.fingerprint,
                entry = self.entry().name.as_str(), endpoint = place.name.as_str(),
                ended = ended);
        }
        self.log_parts(place, &suspected);
        if is_news || !suspected.is_empty() {
            self.cx.announce_suspects();
        }
    }
}
