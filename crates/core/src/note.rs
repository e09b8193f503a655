//! What operators are told, as typed notes.
//!
//! A [`Note`] is turned by the shell into a numbered log event and a counter.
//! The numbers stand in `docs/EVENTS.md`, which a test holds equal to the code.

use crate::ids::{EndpointKey, InstanceKey, RequestId};
use crate::reason::Reason;

/// Something that operators should be able to see.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A request was refused.
    Refused {
        /// Which request.
        request: RequestId,
        /// Why.
        reason: Reason,
    },
    /// An attempt is repeated elsewhere.
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
    /// Something arrived that does not belong; it was dropped.
    Discarded {
        /// Why.
        reason: Reason,
    },
    /// An endpoint is leaving.
    EndpointLeaving(EndpointKey),
    /// An endpoint was ejected on evidence.
    EndpointEjected(EndpointKey),
    /// An ejected endpoint is used again.
    EndpointReadmitted(EndpointKey),
    /// An instance was found dead or leaving.
    InstanceGone(InstanceKey),
    /// A published list was not believed.
    ListQuarantined {
        /// Instances that the list names.
        named: u32,
        /// Instances known before it.
        known: u32,
    },
    /// A published list is in force.
    ListAccepted {
        /// Its revision.
        revision: u64,
    },
    /// The list in force has not been confirmed for long; serving goes on with it.
    ListStale {
        /// For how many seconds.
        age_secs: u64,
    },
    /// A catalogue revision is in force.
    CatalogueAccepted {
        /// Its revision.
        revision: u64,
    },
    /// A catalogue revision was rejected; nothing changed.
    CatalogueRejected {
        /// Its revision.
        revision: u64,
        /// How many findings it had.
        findings: u32,
    },
    /// A lower revision than the one in force arrived and was ignored.
    CatalogueStale {
        /// The revision that arrived.
        revision: u64,
    },
    /// A catalogue revision waits for shards that are not published.
    CatalogueWaiting {
        /// The revision that waits.
        revision: u64,
        /// How many shards are missing.
        shards: u32,
    },
    /// The platform's service does not answer.
    PlatformDown,
    /// The platform's service answers again.
    PlatformUp,
    /// An order was given.
    Ordered {
        /// To which endpoint.
        endpoint: EndpointKey,
        /// Its fencing number.
        fencing: u64,
    },
    /// An order is held back until it is safe.
    OrderHeld {
        /// For which endpoint.
        endpoint: EndpointKey,
    },
}
