//! Placement requests that this instance sends to the home of a service, and the fallback without a
//! home.
//!
//! Generations are placed by the *home* of their service: the instance that decides for it, chosen
//! by rendezvous hashing so that all instances agree. The home knows the usage of each engine and
//! all queued requests. Every instance reports its complete usage and all its open placement
//! requests, both to the home and to the next in rank. Lost or duplicated reports are therefore
//! harmless, and the next in rank can decide immediately if the home fails. A placement takes a few
//! datagrams, regardless of the size of the fleet.
//!
//! If a home does not answer, the instance sends its requests to the next in rank, and meanwhile
//! places them itself from its own usage and the last usage reported by a home. Both may then
//! assign the same capacity until the next report arrives.

use super::request::{PlacementDecision, PlacementRequest};
use super::usage::PeerUsage;
use crate::time::Time;
use core::time::Duration;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long a home may take to answer. A round trip between data centres takes about 3 ms and the
/// sender collects changes for 2 ms; the rest covers a home that is short of CPU time.
pub const HOME_TIMEOUT: Duration = Duration::from_millis(25);

/// Interval of reports while a home has not answered.
pub const UNANSWERED_REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// Interval of reports while requests are queued.
pub const QUEUED_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a "queued" answer of a home is valid without a newer one. Two of its answers may be
/// lost within this time.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a home that did not answer is skipped.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(1_000);

/// The state of a placement request at the instance that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStatus {
    /// A home has decided.
    Decided(PlacementDecision),
    /// A home may still answer.
    Pending,
    /// No home answered in time: the instance decides itself.
    TimedOut,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: PlacementRequest,
    /// Start of the time within which a home may answer.
    since: Time,
    /// The last decision and when it was received.
    decided: Option<(Time, PlacementDecision)>,
}

/// The open placement requests of this instance, and what it knows of homes.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    open: BTreeMap<u64, OpenRequest>,
    unresponsive: BTreeMap<SocketAddrV4, Time>,
    /// Usage by other instances as last reported by a home, by service.
    views: BTreeMap<u64, (Time, PeerUsage)>,
}

impl PlacementTable {
    /// Adds a placement request.
    pub fn insert(&mut self, now: Time, request: PlacementRequest) {
        let open = OpenRequest {
            request,
            since: now,
            decided: None,
        };
        self.open.insert(open.request.queued.id, open);
    }

    /// Removes a placement request that was placed or given up.
    pub fn remove(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Returns the open placement requests for `service`.
    pub fn of(&self, service: u64) -> impl Iterator<Item = &PlacementRequest> {
        let open = self.open.values().map(|it| &it.request);
        open.filter(move |it| it.queued.service == service)
    }

    /// Returns whether any placement request for `service` has no answer yet; `None` if there are
    /// no open requests for it.
    pub fn is_unanswered(&self, service: u64) -> Option<bool> {
        let open = self.open.values();
        let mut of = open
            .filter(|it| it.request.queued.service == service)
            .peekable();
        of.peek()?;
        Some(of.any(|it| it.decided.is_none()))
    }

    /// Returns whether any placement request has no answer yet.
    pub fn any_unanswered(&self) -> bool {
        self.open.values().any(|it| it.decided.is_none())
    }

    /// Returns the services with open placement requests; a service may appear more than once.
    pub fn services(&self) -> impl Iterator<Item = u64> {
        self.open.values().map(|it| it.request.queued.service)
    }

    /// Returns whether a home is currently skipped because it did not answer.
    pub fn is_unresponsive(&self, now: Time, home: SocketAddrV4) -> bool {
        self.unresponsive
            .get(&home)
            .is_some_and(|&until| now < until)
    }

    /// Skips a home that did not answer, for a limited time.
    pub fn mark_unresponsive(&mut self, now: Time, home: SocketAddrV4) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive.insert(home, now + UNRESPONSIVE_FOR);
    }

    /// Returns the state of a placement request.
    pub fn status(&self, now: Time, id: u64) -> PlacementStatus {
        self.status_within(now, id, Duration::ZERO)
    }

    /// Returns the state of a placement request; `patience` is how much longer than usual its home
    /// may take.
    pub fn status_within(&self, now: Time, id: u64, patience: Duration) -> PlacementStatus {
        let Some(open) = self.open.get(&id) else {
            return PlacementStatus::TimedOut;
        };
        match open.decided {
            Some((at, PlacementDecision::Queued(_)))
                if now.since(at) >= QUEUED_TIMEOUT + patience =>
            {
                PlacementStatus::TimedOut
            }
            Some((_, decision)) => PlacementStatus::Decided(decision),
            None if now.since(open.since) >= HOME_TIMEOUT + patience => PlacementStatus::TimedOut,
            None => PlacementStatus::Pending,
        }
    }

    /// Reopens a placement request that was not answered, or whose placement cannot be used.
    pub fn reset(&mut self, now: Time, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.since = now;
            open.decided = None;
        }
    }

    /// Applies the decision of a home.
    pub fn on_decision(&mut self, now: Time, id: u64, decision: PlacementDecision) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // A granted placement remains granted: the home reserves the room until this instance
        // reports that it was used or given up.
        if !matches!(open.decided, Some((_, PlacementDecision::Granted(_)))) {
            open.decided = Some((now, decision));
        }
    }

    /// Records the usage of a service's engines by other instances, as reported by a home.
    pub fn set_view(&mut self, now: Time, service: u64, others: PeerUsage) {
        let view = PeerUsage::from_message(others);
        self.views.insert(service, (now, view));
    }

    /// Returns the usage of a service's engines by other instances, as last reported by a home.
    pub fn view(&self, service: u64) -> Option<&PeerUsage> {
        self.views.get(&service).map(|(_, others)| others)
    }

    /// Returns the same as [`view`](Self::view) if it is no older than `age`.
    pub fn fresh_view(&self, now: Time, service: u64, age: Duration) -> Option<&PeerUsage> {
        let (at, others) = self.views.get(&service)?;
        (now.since(*at) <= age).then_some(others)
    }
}
