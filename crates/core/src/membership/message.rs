//! Messages about membership between instances.

use super::delta::ListDelta;
use super::list::InstanceList;
use crate::ids::{EndpointKey, Incarnation, InstanceKey};
use serde::{Deserialize, Serialize};

/// A message about the state of the fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// An endpoint is leaving.
    EndpointLeaving {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// The list revision of the instance that first learned it. It identifies notices from
        /// before the endpoint came back.
        list_revision: u64,
    },
    /// An instance is leaving, or has come back as a new incarnation.
    InstanceStatus {
        /// Which instance.
        instance: InstanceKey,
        /// The incarnation that the message is about.
        incarnation: Incarnation,
        /// Whether that incarnation is leaving.
        leaving: bool,
    },
    /// The sender holds this revision of the list.
    ListNotice {
        /// Its revision.
        revision: u64,
    },
    /// Requests the changes since the revision that the sender holds.
    ListPull {
        /// The revision that the sender holds; 0 for none.
        have: u64,
    },
    /// The requested changes.
    Delta(Box<ListDelta>),
    /// The full list, for a peer whose revision is too old for a delta.
    FullList(Box<InstanceList>),
}
