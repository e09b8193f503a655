//! What an instance asks of the home of a service's engines, and what it does without one.
//!
//! A generation is placed by the *home* of its service: one instance, the same for all by
//! rendezvous hashing, that knows what runs at each engine and who waits. The instance reports
//! its whole use and all it waits for to the home and to the next in rank, so that a lost or
//! doubled report does no harm, and the next in rank can decide at once when the home is gone.
//! One placement costs a handful of datagrams, however many instances there are.
//!
//! A home that does not answer holds nobody up: the instance asks the next in rank and places by
//! its own view meanwhile, from what it runs itself and what a home last told it. Both may
//! then give away the same room, for as long as a report is under way.

use super::choose::{CopyKind, PlacementError};
use super::queue::QueuedRequest;
use super::usage::PeerUsage;
use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// How long a home may take to answer. A round trip between data centres takes some 3 ms and
/// the sender gathers changes for 2 ms; the rest is for a home that is short of processor.
pub const HOME_TIMEOUT: Duration = Duration::from_millis(25);

/// How often an instance reports while it waits for a home that has not answered.
pub const UNANSWERED_REPORT_INTERVAL: Duration = Duration::from_millis(10);

/// How often an instance reports while its requests wait for room.
pub const QUEUED_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// How long a home that said "wait" is believed without a word: two of its answers may be
/// lost.
const QUEUED_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a home that did not answer is passed over.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(1_000);

/// What a request wants at an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementKind {
    /// A place; it waits for one.
    Queued,
    /// A place at once, where nobody waits: it has an engine already.
    Immediate,
    /// A place for a copy of what runs at `source`, at once.
    Copy {
        /// The engine at which the generation runs.
        source: EndpointKey,
        /// What the copy is for.
        kind: CopyKind,
    },
}

/// A request for a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The request.
    pub queued: QueuedRequest,
    /// What it wants.
    pub kind: PlacementKind,
    /// Endpoints that are not to be chosen, because they were tried.
    pub exclude: Vec<EndpointKey>,
}

/// What a home decided about a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementDecision {
    /// It has a place.
    Granted(EndpointKey),
    /// It has none and waits.
    Queued(PlacementError),
    /// It has none.
    Denied(PlacementError),
}

/// What an instance goes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementStatus {
    /// A home decided.
    Decided(PlacementDecision),
    /// A home may still answer.
    Pending,
    /// No home answered in time: the instance decides by itself.
    TimedOut,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: PlacementRequest,
    /// Since when a home may answer.
    since: Time,
    /// What it said last, and when.
    decided: Option<(Time, PlacementDecision)>,
}

/// All placement requests of an instance that are open, and what it knows of homes.
#[derive(Clone, Debug, Default)]
pub struct PlacementTable {
    open: BTreeMap<u64, OpenRequest>,
    unresponsive: BTreeMap<SocketAddrV4, Time>,
    /// What others run, as a home told last, by service.
    views: BTreeMap<u64, (Time, PeerUsage)>,
}

impl PlacementTable {
    /// Takes a placement request in.
    pub fn insert(&mut self, now: Time, request: PlacementRequest) {
        let open = OpenRequest {
            request,
            since: now,
            decided: None,
        };
        self.open.insert(open.request.queued.id, open);
    }

    /// Takes a placement request out, because it has what it wants or gave up.
    pub fn remove(&mut self, id: u64) {
        self.open.remove(&id);
    }

    /// Returns the placement requests for `service`.
    pub fn of(&self, service: u64) -> impl Iterator<Item = &PlacementRequest> {
        let open = self.open.values().map(|it| &it.request);
        open.filter(move |it| it.queued.service == service)
    }

    /// Returns whether a placement request for `service` was not answered yet, if there are any.
    pub fn is_unanswered(&self, service: u64) -> Option<bool> {
        let open = self.open.values();
        let mut of = open
            .filter(|it| it.request.queued.service == service)
            .peekable();
        of.peek()?;
        Some(of.any(|it| it.decided.is_none()))
    }

    /// Returns whether any placement request was not answered yet.
    pub fn any_unanswered(&self) -> bool {
        self.open.values().any(|it| it.decided.is_none())
    }

    /// Returns the services for which placement requests are open.
    pub fn services(&self) -> impl Iterator<Item = u64> {
        self.open.values().map(|it| it.request.queued.service)
    }

    /// Returns whether a home is passed over at the moment.
    pub fn is_unresponsive(&self, now: Time, home: SocketAddrV4) -> bool {
        self.unresponsive
            .get(&home)
            .is_some_and(|&until| now < until)
    }

    /// Passes over a home that did not answer.
    pub fn mark_unresponsive(&mut self, now: Time, home: SocketAddrV4) {
        self.unresponsive.retain(|_, until| now < *until);
        self.unresponsive.insert(home, now + UNRESPONSIVE_FOR);
    }

    /// Returns what an open placement request goes by.
    pub fn status(&self, now: Time, id: u64) -> PlacementStatus {
        let Some(open) = self.open.get(&id) else {
            return PlacementStatus::TimedOut;
        };
        match open.decided {
            Some((at, PlacementDecision::Queued(_))) if now.since(at) >= QUEUED_TIMEOUT => {
                PlacementStatus::TimedOut
            }
            Some((_, decision)) => PlacementStatus::Decided(decision),
            None if now.since(open.since) >= HOME_TIMEOUT => PlacementStatus::TimedOut,
            None => PlacementStatus::Pending,
        }
    }

    /// Asks anew for a placement request that was not answered, or was given what cannot be taken.
    pub fn reset(&mut self, now: Time, id: u64) {
        if let Some(open) = self.open.get_mut(&id) {
            open.since = now;
            open.decided = None;
        }
    }

    /// Takes in what a home decided about a placement request.
    pub fn on_decision(&mut self, now: Time, id: u64, decision: PlacementDecision) {
        let Some(open) = self.open.get_mut(&id) else {
            return;
        };
        // What was granted stays granted: the home keeps the room until it hears of it.
        if !matches!(open.decided, Some((_, PlacementDecision::Granted(_)))) {
            open.decided = Some((now, decision));
        }
    }

    /// Takes in what others run at the engines of a service.
    pub fn set_view(&mut self, now: Time, service: u64, others: PeerUsage) {
        self.views.insert(service, (now, others));
    }

    /// Returns what others run at the engines of a service, as a home told last.
    pub fn view(&self, service: u64) -> Option<&PeerUsage> {
        self.views.get(&service).map(|(_, others)| others)
    }

    /// Returns the same if it is at most so old.
    pub fn fresh_view(&self, now: Time, service: u64, age: Duration) -> Option<&PeerUsage> {
        let (at, others) = self.views.get(&service)?;
        (now.since(*at) <= age).then_some(others)
    }
}
