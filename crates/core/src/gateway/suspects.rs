//! What one instance knows of suspects.
//!
//! The rules are those of [`crate::suspects`]; here they are connected to endpoints, members and
//! messages. Crash records are spread by [`gossip`](super::gossip). The lease of a suspect's run is
//! requested from its home: the instance that decides for a key, chosen by rendezvous hashing, as
//! for a service.

use super::placement::HOME_TIMEOUT;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;
use crate::suspects::{Ledger, ProvenParts, RUN_LEASE_TTL, RunLeases, Runs};
use crate::time::Time;
use core::time::Duration;
use std::net::SocketAddrV4;

/// How long a lost connection is remembered if it is unknown whether its endpoint crashed: the
/// record of a crashed endpoint expires from the store within some 4 s.
const LOST_CONNECTION_TTL: Duration = Duration::from_secs(10);

/// Bound on the lost connections that are remembered.
const MAX_LOST_CONNECTIONS: usize = 256;

/// Minimum interval between two full transfers of the worst suspects to instances whose ledger
/// differs.
pub(super) const SEND_ALL_INTERVAL: Duration = Duration::from_secs(1);

/// A lost connection to an endpoint that may have crashed.
#[derive(Clone, Copy, Debug)]
struct LostConnection {
    at: Time,
    fingerprint: Fingerprint,
    endpoint: EndpointKey,
}

/// Everything that an instance knows of suspects.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Which requests crashed which endpoints.
    pub ledger: Ledger,
    /// The parts of prompts under which requests of this instance recently succeeded.
    pub(super) proven: ProvenParts,
    /// The runs of this instance.
    pub(super) runs: Runs,
    /// The leases that this instance grants as a home.
    pub(super) run_leases: RunLeases<SocketAddrV4>,
    /// Lost connections of which it is unknown whether their endpoint crashed.
    lost_connections: Vec<LostConnection>,
    /// When the worst suspects were last sent to another instance.
    pub(super) all_sent_at: Option<Time>,
    /// Whether the ledger has changed since waiting requests were notified.
    changed: bool,
    last_tick: Time,
}

impl Suspects {
    /// Returns an instance that knows no suspects.
    pub fn new(now: Time) -> Self {
        Suspects {
            ledger: Ledger::default(),
            proven: ProvenParts::default(),
            runs: Runs::new(HOME_TIMEOUT),
            run_leases: RunLeases::new(now),
            lost_connections: Vec::new(),
            all_sent_at: None,
            changed: false,
            last_tick: now,
        }
    }

    /// Remembers a lost connection.
    pub(super) fn record_lost_connection(
        &mut self,
        now: Time,
        fingerprint: Fingerprint,
        endpoint: EndpointKey,
    ) {
        if self.lost_connections.len() < MAX_LOST_CONNECTIONS {
            self.lost_connections.push(LostConnection {
                at: now,
                fingerprint,
                endpoint,
            });
        }
    }

    /// Removes and returns the requests that lost their connection to `endpoint`, once it is known
    /// that it crashed.
    pub(super) fn take_lost_connections(&mut self, endpoint: EndpointKey) -> Vec<Fingerprint> {
        let (lost, rest): (Vec<LostConnection>, Vec<LostConnection>) =
            core::mem::take(&mut self.lost_connections)
                .into_iter()
                .partition(|it| it.endpoint == endpoint);
        self.lost_connections = rest;
        lost.into_iter().map(|it| it.fingerprint).collect()
    }

    /// Marks the ledger as changed.
    pub(super) fn note_changed(&mut self) {
        self.changed = true;
    }

    /// Returns whether the ledger has changed since the last call.
    pub(super) fn take_changed(&mut self) -> bool {
        core::mem::take(&mut self.changed)
    }

    /// Returns whether homes need no report, because there are no suspects.
    pub(super) fn has_nothing_to_report(&self) -> bool {
        self.ledger.is_empty() && self.runs.no_run_ended()
    }

    /// Removes what has expired, and restarts the grace period of leases after a pause of this
    /// process.
    pub(super) fn tick(&mut self, now: Time) {
        if now.since(self.last_tick) >= RUN_LEASE_TTL {
            self.run_leases.restart_grace_period(now);
        }
        self.last_tick = now;
        self.ledger.tick(now);
        self.run_leases.tick(now);
        self.lost_connections
            .retain(|it| now.since(it.at) < LOST_CONNECTION_TTL);
    }
}
