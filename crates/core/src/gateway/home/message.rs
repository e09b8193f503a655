//! Messages between instances and homes.

use crate::gateway::ask::{Decision, PlacementRequest, Want};
use crate::gateway::choose::CopyKind;
use crate::gateway::queue::{Waiter, Waiting};
use crate::gateway::usage::{Others, Used};
use crate::ids::EndpointKey;
use crate::time::Time;
use serde::{Deserialize, Serialize};

/// A placement request, as sent to a home.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementMessage {
    /// The queued request.
    pub waiting: Waiting,
    /// The kind of placement that it requests.
    pub want: Want,
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
    pub used: Vec<(EndpointKey, Used)>,
    /// Engines whose last response to the instance was a failure.
    pub failing: Vec<EndpointKey>,
    /// Engines that the instance cannot use at the moment.
    pub ejected: Vec<EndpointKey>,
    /// How many instances it knows, recently lost ones included.
    pub known: u32,
    /// Its open placement requests.
    pub requests: Vec<PlacementMessage>,
}

/// A home's answer to a report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementAnswer {
    /// The hash of the service's name.
    pub service: u64,
    /// The decisions, by request id.
    pub decisions: Vec<(u64, Decision)>,
    /// What other instances run; included from time to time.
    pub view: Option<Others>,
}

impl PlacementRequest {
    /// Returns the placement request as it is sent to a home.
    pub fn to_message(&self, now: Time) -> PlacementMessage {
        PlacementMessage {
            waiting: self.waiter.to_tell(now),
            want: self.want,
            exclude: self.exclude.clone(),
        }
    }

    /// Returns whether a generation is lost without this placement.
    pub(super) fn is_urgent(&self) -> bool {
        matches!(
            self.want,
            Want::Copy {
                kind: CopyKind::Ahead,
                ..
            }
        )
    }

    /// Returns the usage to reserve until a report of the instance includes it.
    pub(super) fn reserved_usage(&self) -> Used {
        let Waiter { tokens, prompt, .. } = self.waiter;
        match self.want {
            Want::Place | Want::Aside => Used {
                running: 1,
                unread: prompt,
                tokens,
                copied: 0,
            },
            Want::Copy { .. } => Used {
                copied: tokens,
                ..Used::default()
            },
        }
    }
}

impl PlacementMessage {
    pub(super) fn into_request(self, now: Time) -> PlacementRequest {
        PlacementRequest {
            waiter: Waiter::told(now, &self.waiting),
            want: self.want,
            exclude: self.exclude,
        }
    }
}
