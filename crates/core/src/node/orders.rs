//! Orders to the endpoints whose controller is this node.

use super::Node;
use crate::event::{Action, OrderResult};
use crate::ids::EndpointKey;
use crate::orders::{ControllerContext, OrdersAction, count_controllers, plan_goals};
use crate::time::Time;
use core::time::Duration;

/// Minimum time between two checks of pending orders. Orders take seconds to minutes, so checking
/// more often has no benefit.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Number of controllers under one revision of the list.
#[derive(Clone, Copy, Debug)]
pub(super) struct ControllerCount {
    list_revision: u64,
    controllers: u32,
}

impl Default for ControllerCount {
    /// Without a list this node counts itself.
    fn default() -> Self {
        ControllerCount {
            list_revision: 0,
            controllers: 1,
        }
    }
}

impl Node {
    /// Recomputes what endpoints should have loaded, after a change of the list, the catalogue or
    /// the state of an endpoint.
    pub(super) fn refresh_goals(&mut self) {
        let Some(catalogue) = self.sync.catalogue() else {
            return;
        };
        let goals = plan_goals(&self.membership, catalogue);
        let keys: Vec<EndpointKey> = goals.iter().map(|it| it.endpoint.key).collect();
        self.orders.set_goals(self.now, goals);
        for key in keys {
            self.begin_polls(key);
        }
    }

    pub(super) fn on_order_answered(
        &mut self,
        key: EndpointKey,
        fencing: u64,
        result: OrderResult,
    ) {
        self.orders
            .on_order_answered(self.now, key, fencing, result);
    }

    /// Sends the orders that are due.
    pub(super) fn tick_orders(&mut self) {
        if self.orders_wake() > self.now {
            return;
        }
        self.orders_checked_at = self.now;
        let controller_context = self.controller_context();
        let mut out = Vec::new();
        let homes = &self.homes;
        let is_used = |key, model: &_| homes.may_use(key, model);
        self.orders
            .tick(self.now, &controller_context, &is_used, &mut out);
        for action in out {
            match action {
                OrdersAction::Send {
                    endpoint,
                    fencing,
                    kind,
                    send_before,
                } => self.out.push(Action::Order {
                    endpoint,
                    fencing,
                    kind,
                    send_before,
                }),
                OrdersAction::ReadList => {
                    self.with_membership(|it, now, out| it.request_list_read(now, out));
                }
                OrdersAction::Note(note) => self.note(note),
            }
        }
    }

    pub(super) fn orders_wake(&self) -> Time {
        let wake = self.orders.next_wake();
        wake.max(self.orders_checked_at + MIN_CHECK_INTERVAL)
    }

    fn controller_context(&mut self) -> ControllerContext {
        let list_revision = self.membership.view().revision();
        // Ranking every instance for every cell takes half a millisecond in a fleet of 390, and the
        // result depends on the list alone.
        if self.controller_count.list_revision != list_revision {
            self.controller_count = ControllerCount {
                list_revision,
                controllers: count_controllers(&self.membership),
            };
        }
        ControllerContext {
            list_revision,
            confirmed: self.membership.list_confirmed_at(),
            is_catalogue_current: self.sync.is_current(),
            controllers: self.controller_count.controllers,
        }
    }
}
