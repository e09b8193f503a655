//! Connection attempts that are given up before they have ended, or that hang.

use crate::cx::Cx;
use crate::ports::Wire;
use crate::proxy::probe;
use core::pin::pin;
use core::time::Duration;
use oriolemux_core::gateway::reachability::{HANGING_CONNECT, SLOW_CONNECT};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::time::Time;
use std::sync::Arc;
use tokio::time::sleep;

/// How long a connection attempt must have taken when its request is given up to count as evidence
/// of a partition. A round trip between data centres takes some 3 ms.
const ABANDONED_CONNECT: Duration = Duration::from_millis(100);

/// How long an attempt is left pending after a partition has begun. The endpoint of an attempt that
/// has just begun may be one that is reached.
const MIN_PENDING: Duration = Duration::from_millis(100);

/// Waits until the connection attempt to `place` that begins now can be given up because this
/// instance is partitioned from the service.
///
/// A slow attempt opens connections to other endpoints, and counts as a failure once it hangs. An
/// attempt that begins during a partition, because no peer can serve the request, hangs just as
/// long before it is given up: the partition may have ended.
pub async fn until_partitioned<W: Wire>(cx: &Arc<Cx<W>>, place: &Placement) {
    let began = cx.now();
    let min_pending = match cx.state().is_partitioned_from(place.key) {
        true => HANGING_CONNECT,
        false => MIN_PENDING,
    };
    sleep(SLOW_CONNECT).await;
    cross_check(cx, place, began);
    let mut settled = pin!(sleep(min_pending.saturating_sub(SLOW_CONNECT)));
    let mut hangs = pin!(sleep(HANGING_CONNECT.saturating_sub(SLOW_CONNECT)));
    let (mut is_settled, mut is_hanging) = (false, false);
    loop {
        let mut partitioned = pin!(cx.partitioned.notified());
        partitioned.as_mut().enable();
        if is_settled && cx.state().is_partitioned_from(place.key) {
            return;
        }
        tokio::select! {
            () = partitioned => {}
            () = &mut settled, if !is_settled => is_settled = true,
            () = &mut hangs, if !is_hanging => {
                is_hanging = true;
                cx.on_connect_hanging(place, began);
            }
        }
    }
}

/// Opens connections to other endpoints of the service, because the attempt to reach `place` that
/// began at `began` is slow.
fn cross_check<W: Wire>(cx: &Arc<Cx<W>>, place: &Placement, began: Time) {
    let now = cx.now();
    let others = cx.state().cross_checks(now, began, place.key);
    for other in others {
        let cx = Arc::clone(cx);
        tokio::spawn(async move { probe::probe_endpoint(&cx, &other).await });
    }
}

/// Notices a connection attempt that is dropped because the caller left. Without this, callers that
/// do not wait for the connection timeout would keep a partition from being noticed.
pub struct ConnectGuard<'a, W: Wire> {
    cx: &'a Cx<W>,
    place: &'a Placement,
    began: Time,
    has_ended: bool,
}

impl<'a, W: Wire> ConnectGuard<'a, W> {
    /// Begins to watch a connection attempt.
    pub fn new(cx: &'a Cx<W>, place: &'a Placement) -> Self {
        ConnectGuard {
            cx,
            place,
            began: cx.now(),
            has_ended: false,
        }
    }

    /// Records that the attempt has ended, with a connection or without.
    pub fn end(mut self) {
        self.has_ended = true;
    }
}

impl<W: Wire> Drop for ConnectGuard<'_, W> {
    fn drop(&mut self) {
        let pending = self.cx.now().since(self.began);
        if !self.has_ended && pending >= ABANDONED_CONNECT {
            self.cx.on_connect_abandoned(self.place, self.began);
        }
    }
}
