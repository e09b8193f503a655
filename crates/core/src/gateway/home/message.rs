//! What instances and homes tell each other.

use crate::gateway::choose::CopyKind;
use crate::gateway::placement::{PlacementDecision, PlacementKind, PlacementRequest};
use crate::gateway::queue::{QueuedRequest, QueuedRequestReport};
use crate::gateway::usage::{PeerUsage, Usage};
use crate::ids::EndpointKey;
use crate::time::Time;
use serde::{Deserialize, Serialize};

/// A placement request as it travels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMessage {
    /// The request.
    pub waiting: QueuedRequestReport,
    /// What it wants.
    pub want: PlacementKind,
    /// Endpoints that are not to be chosen.
    pub exclude: Vec<EndpointKey>,
}

/// What an instance tells the home of a service and the next in rank.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementReport {
    /// The hash of the service's name.
    pub service: u64,
    /// Counts the reports of the instance's life.
    pub number: u64,
    /// The data centre of the instance.
    pub data_centre: String,
    /// Whether the receiver is to decide.
    pub decides: bool,
    /// What the instance runs where.
    pub used: Vec<(EndpointKey, Usage)>,
    /// Engines of which the last that the instance saw was a failure.
    pub failing: Vec<EndpointKey>,
    /// Engines that it cannot use at the moment.
    pub ejected: Vec<EndpointKey>,
    /// How many instances it knows, those that it lost included.
    pub known: u32,
    /// What it waits for.
    pub requests: Vec<PlacementMessage>,
}

/// What a home answers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The hash of the service's name.
    pub service: u64,
    /// What it decided.
    pub decisions: Vec<(u64, PlacementDecision)>,
    /// What others run where, now and then.
    pub view: Option<PeerUsage>,
}

impl PlacementRequest {
    /// Returns the placement request as it travels.
    pub fn to_message(&self, now: Time) -> PlacementMessage {
        PlacementMessage {
            waiting: self.queued.to_report(now),
            want: self.kind,
            exclude: self.exclude.clone(),
        }
    }

    /// Returns whether a generation is lost without it.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self.kind,
            PlacementKind::Copy {
                kind: CopyKind::PreCopy,
                ..
            }
        )
    }

    /// Returns what is kept for it until its instance counts it.
    pub(super) fn reserved_usage(&self) -> Usage {
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
