//! Orders to endpoints: what they hold, reconciled to what the catalogue asks.
//!
//! Every cell has one *giver* of orders: the instance that ranks first for it
//! among those that the **list** calls live. What links and peers say moves the
//! home that admits work, but not the giver: an order that two givers contradict
//! costs minutes of a rate-limited weight store, while an order that waits for
//! the list costs nothing that runs.
//!
//! [`plan_goals`] says what each endpoint should hold, [`next_change`] which
//! single change brings it closer, and [`Orders`] when that may be ordered:
//! with a fencing number that never falls, on fresh knowledge, at this giver's
//! part of the weight store's rate. See `docs/design/orders.md`.

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

/// A giver may order for so long after it asked for the list that confirms it.
/// After that it has to ask again: it may have been replaced without noticing.
pub const CONTROLLER_LEASE: Duration = Duration::from_secs(10);

/// One read of the list may lag behind another by so much. We assume it; the
/// platform does not say.
pub const LIST_LAG: Duration = Duration::from_secs(30);

/// What an order may still be on its way after its sender has let it go.
pub const HAND_OVER_MARGIN: Duration = Duration::from_secs(5);

/// A new giver waits for so long before it orders anything of an endpoint that
/// does not refuse the old one's orders.
pub const HAND_OVER_WAIT: Duration = Duration::from_secs(
    CONTROLLER_LEASE.as_secs() + LIST_LAG.as_secs() + HAND_OVER_MARGIN.as_secs(),
);

/// What orders ask of the node.
#[derive(Clone, Debug, PartialEq)]
pub enum OrdersAction {
    /// Give an order.
    Send {
        /// To which endpoint.
        endpoint: EndpointTarget,
        /// The order's fencing number.
        fencing: u64,
        /// What to do.
        kind: OrderKind,
        /// The order must not be sent after this point.
        send_before: Time,
    },
    /// Read the list now; orders wait for it.
    ReadList,
    /// Tell operators.
    Note(Note),
}
