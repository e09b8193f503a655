//! Messages between instances and homes.

use crate::gateway::pace::PaceSample;
use crate::gateway::request::{
    CopyKind, PlacementDecision, PlacementKind, PlacementRequest, QueuedRequest,
    QueuedRequestReport,
};
use crate::gateway::usage::{PeerUsage, Usage};
use crate::ids::EndpointKey;
use crate::time::Time;
use serde::{Deserialize, Serialize};

/// A placement request, as sent to a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMessage {
    /// The queued request.
    pub waiting: QueuedRequestReport,
    /// The kind of placement that it requests.
    pub want: PlacementKind,
    /// Endpoints that must not be chosen.
    pub exclude: Vec<EndpointKey>,
}

/// What an instance reports to the home of a service and to the next in rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// The hash of the service's name.
    pub service: u64,
    /// Sequence number of the reports of the instance's incarnation.
    pub number: u64,
    /// The data centre of the instance.
    pub data_centre: String,
    /// Whether the receiver is to decide about the requests.
    pub decides: bool,
    /// What the instance runs at which engine.
    pub used: Vec<(EndpointKey, Usage)>,
    /// Engines whose last response to the instance was a failure.
    pub failing: Vec<EndpointKey>,
    /// Engines that the instance cannot use at the moment.
    pub ejected: Vec<EndpointKey>,
    /// How many instances it knows, recently lost ones included.
    pub known: u32,
    /// Its open placement requests.
    pub requests: Vec<PlacementMessage>,
    /// Gaps between events that it relayed since its last report with samples.
    pub pace: Vec<(EndpointKey, PaceSample)>,
    /// Engines that recently refused a copy of it for lack of room.
    pub no_room: Vec<EndpointKey>,
}

/// A home's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The hash of the service's name.
    pub service: u64,
    /// The decisions, by request id.
    pub decisions: Vec<(u64, PlacementDecision)>,
    /// What other instances run; included from time to time.
    pub view: Option<PeerUsage>,
}

impl PlacementRequest {
    /// Returns the placement request as it is sent to a home.
    pub fn to_message(&self, now: Time) -> PlacementMessage {
        PlacementMessage {
            waiting: self.queued.to_report(now),
            want: self.kind,
            exclude: self.exclude.clone(),
        }
    }

    /// Returns whether a generation is lost without this placement.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self.kind,
            PlacementKind::Copy {
                kind: CopyKind::PreCopy,
                ..
            }
        )
    }

    /// Returns the usage to reserve until a report of the instance includes it.
    pub(in crate::gateway) fn reserved_usage(&self) -> Usage {
        let QueuedRequest { tokens, prompt, .. } = self.queued;
        match self.kind {
            PlacementKind::Queued | PlacementKind::Immediate => Usage {
                running: 1,
                pending_prefill: prompt,
                tokens,
                copy_tokens: 0,
            },
            PlacementKind::Copy { .. } => Usage {
                copy_tokens: tokens,
                ..Usage::default()
            },
        }
    }
}

impl PlacementMessage {
    pub(super) fn into_request(self, now: Time) -> PlacementRequest {
        PlacementRequest {
            queued: QueuedRequest::from_report(now, &self.waiting),
            kind: self.want,
            exclude: self.exclude,
        }
    }
}
