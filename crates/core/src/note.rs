//! Typed events for operators.
//!
//! The shell turns a [`Note`] into a numbered log event and a counter. The numbers are listed in
//! `docs/EVENTS.md`, which a test compares with the code.

use crate::ids::{EndpointKey, InstanceKey, RequestId};
use crate::reason::Reason;

/// An entry of the published list that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableEntry {
    /// The list's field and the index in it, such as `endpoints[3]`.
    pub place: String,
    /// The start of its name, if that can be read.
    pub name: Option<String>,
    /// Why it cannot be read.
    pub reason: String,
}

/// An event that is logged and counted for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A request was refused.
    Refused {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A request is retried after a failed attempt.
    Retried {
        /// Which request.
        request: RequestId,
        /// Why the earlier attempt ended.
        reason: Reason,
    },
    /// A request failed after it may have run.
    Failed {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// A late or foreign message was discarded.
    Discarded {
        /// Why.
        reason: Reason,
    },
    /// An endpoint is leaving.
    EndpointLeaving(EndpointKey),
    /// An endpoint was ejected after failures.
    EndpointEjected(EndpointKey),
    /// An ejected endpoint is used again.
    EndpointReadmitted(EndpointKey),
    /// An instance was found to be dead or leaving.
    InstanceGone(InstanceKey),
    /// A published list drops most of the fleet and was quarantined.
    ListQuarantined {
        /// Number of instances in the list.
        named: u32,
        /// Number of instances known before.
        known: u32,
    },
    /// A published list is in force.
    ListAccepted {
        /// Its revision.
        revision: u64,
    },
    /// The list in force has not been confirmed for a long time. Serving continues with it.
    ListStale {
        /// Time since the last confirmation, in seconds.
        age_secs: u64,
    },
    /// An entry of a published list cannot be read. The rest of the list is used.
    ListEntryUnreadable {
        /// The revision of the list.
        revision: u64,
        /// Which entry, and why.
        entry: UnreadableEntry,
        /// Number of unreadable entries of the list; only the first ones are reported.
        unreadable: usize,
    },
    /// The outer form of a published list cannot be read; the one in force stays.
    ListUnreadable {
        /// Why.
        reason: String,
    },
    /// A catalogue revision is in force.
    CatalogueAccepted {
        /// Its revision.
        revision: u64,
    },
    /// A catalogue revision was rejected; the one in force stays.
    CatalogueRejected {
        /// Its revision.
        revision: u64,
        /// Number of findings.
        findings: u32,
        /// The first finding, with its place; the status shows the others.
        first: String,
    },
    /// A catalogue revision lower than the one in force arrived and was ignored.
    CatalogueStale {
        /// The revision that arrived.
        revision: u64,
    },
    /// A catalogue revision waits for shards that are not published yet.
    CatalogueWaiting {
        /// The revision that waits.
        revision: u64,
        /// Number of missing shards.
        shards: u32,
    },
    /// The platform does not answer.
    PlatformDown,
    /// The platform answers again.
    PlatformUp,
    /// An order was sent to an endpoint.
    Ordered {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// Its fencing number.
        fencing: u64,
    },
    /// An order is held back until it is safe.
    OrderHeld {
        /// Which endpoint.
        endpoint: EndpointKey,
    },
}
