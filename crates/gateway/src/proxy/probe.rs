//! Notices that a partition from the endpoints of a service has begun or ended.

use crate::cx::Cx;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::reachability::HANGING_CONNECT;
use oriolemux_core::gateway::state::Placement;
use std::io::ErrorKind;
use std::sync::Arc;
use tokio::time::timeout;

/// How often due connection attempts are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Opens connections to endpoints after one of them could not be reached. Never returns.
pub async fn probe_endpoints<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        // A partition that has just begun may be several endpoints that ended.
        let _ = timeout(POLL_INTERVAL, cx.partitioned.notified()).await;
        let now = cx.now();
        let targets = cx.state().partition_probes(now);
        for place in targets {
            let cx = Arc::clone(&cx);
            tokio::spawn(async move { probe_endpoint(&cx, &place).await });
        }
    }
}

/// Opens a connection to an endpoint and records whether the endpoint is reached.
pub async fn probe_endpoint<W: Wire>(cx: &Cx<W>, place: &Placement) {
    let began = cx.now();
    let opening = cx.wire.connect(place.address, None);
    match timeout(cx.limits.connect.min(HANGING_CONNECT), opening).await {
        Ok(Ok(_)) => cx.on_connected(place, cx.now().since(began)),
        Ok(Err(error)) => {
            log::debug!("{} is not reached: {error}", place.name);
            match error.kind() {
                ErrorKind::ConnectionRefused => cx.on_probe_refused(place, began),
                _ => cx.on_connect_abandoned(place, began),
            }
        }
        Err(_) => cx.on_connect_hanging(place, began),
    }
}
