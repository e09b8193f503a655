//! Orders that reconcile the models of endpoints with the catalogue.
//!
//! Every cell has one *controller*: the instance that ranks first for it among those that the
//! **list** calls live. Link state and gossip move the home that admits work, but not the
//! controller. Contradicting orders of two controllers cost minutes of the rate-limited weight
//! store, while an order that waits for the list delays nothing that runs.
//!
//! [`plan_goals`] computes what each endpoint should hold, and [`next_change`] the next single
//! change towards it. [`Orders`] decides when the change may be ordered: with an increasing fencing
//! number, on a recently confirmed list, and within this controller's share of the weight store's
//! rate. See `docs/design/orders.md`.

mod controller;
mod endpoint;
mod fence;
mod goals;
mod reconcile;

pub use controller::{ControllerContext, Orders, OrdersConfig};
pub use fence::{FENCE_REVISION_SHIFT, next_fence};
pub use goals::{EndpointGoal, ModelGoal, count_controllers, plan_goals};
pub use reconcile::next_change;

use crate::note::Note;
use crate::time::Time;
use crate::value::{EndpointTarget, OrderKind};
use core::time::Duration;

/// How long a controller may send orders after it requested the list that confirms it. Then it must
/// confirm the list again, because it may have been replaced without noticing.
pub const CONTROLLER_LEASE: Duration = Duration::from_secs(10);

/// Assumed maximum lag between two reads of the list. The platform does not guarantee a bound.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// Maximum time that an order may be in transit after it was sent.
pub const HAND_OVER_MARGIN: Duration = Duration::from_secs(5);

/// A new controller waits this long before it sends orders to an endpoint that does not reject the
/// orders of the previous controller.
pub const HAND_OVER_WAIT: Duration = Duration::from_secs(
    CONTROLLER_LEASE.as_secs() + LIST_LAG.as_secs() + HAND_OVER_MARGIN.as_secs(),
);

/// Effects that orders request from the node.
#[derive(Clone, Debug, PartialEq)]
pub enum OrdersAction {
    /// Send an order.
    Send {
        /// The endpoint.
        endpoint: EndpointTarget,
        /// The fencing number of the order.
        fencing: u64,
        /// The change.
        kind: OrderKind,
        /// The order must not be sent after this time.
        send_before: Time,
    },
    /// Read the list now, because orders wait for it.
    ReadList,
    /// Record an event for operators.
    Note(Note),
}
