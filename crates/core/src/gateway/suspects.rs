//! Suspects, as the instances of a fleet tell each other of them.
//!
//! The decisions are those of [`crate::suspects`]; here they meet endpoints, members and
//! messages. News of what a request ended is told as all other news is
//! ([`gossip`](super::gossip)); the turn of a suspect is asked of its home, which is found as
//! the home of a service is.

use super::ask::HOME_PATIENCE;
use crate::fingerprint::Fingerprint;
use crate::ids::EndpointKey;
use crate::suspects::{Ledger, RUN_LEASE_TTL, RunLeases, Runs};
use crate::time::Time;
use core::time::Duration;
use std::net::SocketAddrV4;

/// How long a request whose connection ended is kept in mind, when it could not be told whether
/// its endpoint ended too: the entry of one that did lapses within some 4 s.
const LOST_CONNECTION_TTL: Duration = Duration::from_secs(10);

/// Such requests that are kept in mind at most.
const MAX_LOST_CONNECTIONS: usize = 256;

/// How often an instance that knows other suspects is told at once of those that ended the
/// most endpoints.
pub(super) const SEND_ALL_INTERVAL: Duration = Duration::from_secs(1);

/// A request whose connection ended, with its endpoint.
#[derive(Clone, Copy, Debug)]
struct LostConnection {
    at: Time,
    fingerprint: Fingerprint,
    endpoint: EndpointKey,
}

/// All that an instance knows of suspects.
#[derive(Clone, Debug)]
pub struct Suspects {
    /// Which requests ended which endpoints.
    pub ledger: Ledger,
    /// What this instance runs.
    pub(super) runs: Runs,
    /// What this instance knows as a home.
    pub(super) run_leases: RunLeases<SocketAddrV4>,
    /// Connections that ended, of which it is not known whether their endpoint did.
    lost_connections: Vec<LostConnection>,
    /// When an instance was told at once of all suspects.
    pub(super) all_sent_at: Option<Time>,
    /// Whether the ledger has changed since those who wait were told.
    changed: bool,
    last_tick: Time,
}

impl Suspects {
    /// Returns an instance that knows of none.
    pub fn new(now: Time) -> Self {
        Suspects {
            ledger: Ledger::default(),
            runs: Runs::new(HOME_PATIENCE),
            run_leases: RunLeases::new(now),
            lost_connections: Vec::new(),
            all_sent_at: None,
            changed: false,
            last_tick: now,
        }
    }

    /// Keeps in mind that a connection ended.
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

    /// Returns the requests whose connection to `endpoint` ended, now that it is known to have
    /// ended itself.
    pub(super) fn take_lost_connections(&mut self, endpoint: EndpointKey) -> Vec<Fingerprint> {
        let (lost, rest): (Vec<LostConnection>, Vec<LostConnection>) =
            core::mem::take(&mut self.lost_connections)
                .into_iter()
                .partition(|it| it.endpoint == endpoint);
        self.lost_connections = rest;
        lost.into_iter().map(|it| it.fingerprint).collect()
    }

    /// Notes that the ledger has changed.
    pub(super) fn note_changed(&mut self) {
        self.changed = true;
    }

    /// Returns whether the ledger has changed since this was asked last.
    pub(super) fn take_changed(&mut self) -> bool {
        core::mem::take(&mut self.changed)
    }

    /// Returns whether homes have nothing to hear: nobody is suspected.
    pub(super) fn has_nothing_to_report(&self) -> bool {
        self.ledger.is_empty() && self.runs.no_run_ended()
    }

    /// Lets time pass.
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
