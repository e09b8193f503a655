//! What instances tell each other about membership.

use super::delta::ListDelta;
use super::list::InstanceList;
use crate::ids::{EndpointKey, Incarnation, InstanceKey};
use serde::{Deserialize, Serialize};

/// A message about who is there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// An endpoint is leaving.
    EndpointLeaving {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// The list revision at the instance that learnt it first. News from
        /// before the endpoint came back is told apart by it.
        list_revision: u64,
    },
    /// An instance is leaving, or has come back as a new life.
    InstanceStatus {
        /// Which instance.
        instance: InstanceKey,
        /// The life that the news is about.
        incarnation: Incarnation,
        /// Whether that life is leaving.
        leaving: bool,
    },
    /// The sender holds this revision of the list.
    ListNotice {
        /// Its revision.
        revision: u64,
    },
    /// The sender asks for what changed since the revision that it holds.
    ListPull {
        /// The revision that it holds; 0 for none.
        have: u64,
    },
    /// The changes that were asked for.
    Delta(Box<ListDelta>),
    /// The whole list, for a peer whose revision is too old for changes.
    FullList(Box<InstanceList>),
}
