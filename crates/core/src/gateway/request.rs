//! Requests for room at engines, and what homes decide about them.
//!
//! These are types only. The requesting side ([`placement`](super::placement)), the order of
//! requests ([`queue`](super::queue)) and the choice of engines ([`choose`](super::choose)) use
//! them without knowing each other.

use super::catalogue::EngineLimits;
use crate::ids::{EndpointKey, stable_hash};
use crate::time::Time;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// The requirements of a request.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// The name of the service.
    pub service: &'a str,
    /// The limits of its engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// KV cache tokens that the request is expected to need.
    pub tokens: u32,
    /// Endpoints that must not be chosen because they were tried already.
    pub exclude: &'a [EndpointKey],
    /// The properties that matter for stalls.
    pub pace: PaceDemand,
}

/// The properties of a request that matter for stalls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PaceDemand {
    /// Target for the longest gap between its events; zero if there is none.
    pub gap_target: Duration,
    /// Number of output tokens that are expected.
    pub output: u32,
    /// Number of prompt tokens that are prefilled.
    pub prompt: u32,
}

/// Why no endpoint was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementError {
    /// There is none, or all of them are failing or leaving.
    NoEndpoint,
    /// All are full.
    Full,
    /// All are in data centres that the operator closed to new work.
    Cordoned,
    /// All have reached the rate limit that they reported.
    RateLimited,
    /// All requested a backoff of this instance.
    BackedOff,
    /// All that are left are likely to be full, and terminate if they reject too many requests.
    Brittle,
}

/// The purpose of a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CopyKind {
    /// Kept up to date while the generation runs, in case its engine leaves.
    Standby,
    /// Made after the notice that the engine leaves; the generation will resume from it.
    PreCopy,
}

/// What kind of placement is requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementKind {
    /// Room at an engine; the request is queued until there is some.
    Queued,
    /// Room at an engine without queueing, for a generation that already runs at another one.
    Immediate,
    /// Room for a copy of the generation that runs at `source`, without queueing.
    Copy {
        /// The engine at which the generation runs.
        source: EndpointKey,
        /// The purpose of the copy.
        kind: CopyKind,
    },
}

impl PlacementKind {
    /// Returns whether a home queues the request while there is no room. A generation whose engine
    /// leaves is lost without a copy, so its request waits, unlike one for a standby copy.
    pub const fn is_queued(self) -> bool {
        match self {
            PlacementKind::Queued => true,
            PlacementKind::Immediate => false,
            PlacementKind::Copy { kind, .. } => matches!(kind, CopyKind::PreCopy),
        }
    }
}

/// A queued request as reported to a home.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QueuedRequestReport {
    /// Identifies the request at its instance.
    pub id: u64,
    /// The hash of the service name.
    pub service: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Milliseconds since its arrival.
    pub age_ms: u32,
    /// Latency target for its first event, in milliseconds from its arrival.
    pub target_ms: u32,
    /// KV cache tokens that it is expected to need.
    pub tokens: u32,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Target for the longest gap between events, in milliseconds; 0 if there is none.
    pub gap_target_ms: u32,
    /// Number of output tokens that are still expected.
    pub output: u32,
    /// A hash of its workspace; 0 if it has none.
    pub workspace: u32,
    /// Milliseconds until its caller gives up.
    pub deadline_ms: u32,
}

/// A queued request, with times of the local clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Identifies the request at its instance.
    pub id: u64,
    /// The hash of the service name.
    pub service: u64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// When it arrived.
    pub arrived: Time,
    /// Latency target for its first event, counted from its arrival.
    pub target: Duration,
    /// KV cache tokens that it is expected to need.
    pub tokens: u32,
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Target for the longest gap between events; zero if there is none.
    pub gap_target: Duration,
    /// Number of output tokens that are still expected.
    pub output: u32,
    /// A hash of its workspace; 0 if it has none.
    pub workspace: u32,
    /// When its caller gives up.
    pub deadline: Time,
}

impl QueuedRequest {
    /// Converts a report that was received at `now`.
    pub fn from_report(now: Time, report: &QueuedRequestReport) -> Self {
        let age = Duration::from_millis(report.age_ms.into());
        QueuedRequest {
            id: report.id,
            service: report.service,
            priority: report.priority,
            arrived: now.before(age).unwrap_or(Time::ZERO),
            target: Duration::from_millis(report.target_ms.into()),
            tokens: report.tokens,
            prompt: report.prompt,
            gap_target: Duration::from_millis(report.gap_target_ms.into()),
            output: report.output,
            workspace: report.workspace,
            deadline: now + Duration::from_millis(report.deadline_ms.into()),
        }
    }

    /// Returns the properties of the request that matter for stalls.
    pub(super) fn pace_demand(&self) -> PaceDemand {
        PaceDemand {
            gap_target: self.gap_target,
            output: self.output,
            prompt: self.prompt,
        }
    }

    /// Converts to a report that is sent at `now`.
    pub fn to_report(&self, now: Time) -> QueuedRequestReport {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        QueuedRequestReport {
            id: self.id,
            service: self.service,
            priority: self.priority,
            age_ms: millis(now.since(self.arrived)),
            target_ms: millis(self.target),
            tokens: self.tokens,
            prompt: self.prompt,
            gap_target_ms: millis(self.gap_target),
            output: self.output,
            workspace: self.workspace,
            deadline_ms: millis(self.deadline.since(now)),
        }
    }
}

/// A request for room at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlacementRequest {
    /// The request that is to be placed.
    pub queued: QueuedRequest,
    /// The kind of placement.
    pub kind: PlacementKind,
    /// Endpoints that must not be chosen because they were tried already.
    pub exclude: Vec<EndpointKey>,
}

/// A placement request with its origin.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueuedPlacement {
    /// The placement request.
    pub request: PlacementRequest,
    /// The data centre of the instance that sent it.
    pub data_centre: String,
    /// Engines that its instance cannot use at the moment; chosen only if there is no other.
    pub avoid: Vec<EndpointKey>,
}

/// The answer of a home to a placement request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PlacementDecision {
    /// The request has room at this engine.
    Granted(EndpointKey),
    /// There is no room yet; the request is queued.
    Queued(PlacementError),
    /// There is no room, and the request is not queued.
    Denied(PlacementError),
    /// The request would get no room in time, and is not queued.
    Rejected {
        /// Milliseconds after which there is room, as far as can be predicted.
        retry_after_ms: u32,
    },
}

/// Returns the hash that identifies a workspace in messages between instances; never 0.
pub fn workspace_hash(name: &str) -> u32 {
    (stable_hash(&[b"workspace", name.as_bytes()]) as u32).max(1)
}

/// Returns the hash that identifies a service in messages between instances.
pub fn service_hash(name: &str) -> u64 {
    stable_hash(&[b"service", name.as_bytes()])
}
