//! Measures whether this process is late.

use crate::cx::Cx;
use crate::log_event;
use crate::meters::millis;
use crate::ports::Wire;
use oriolemux_core::gateway::own_delay::{SheddingChange, TIMER_INTERVAL};
use std::sync::Arc;
use tokio::time::sleep;

/// Fires the timer whose lateness is measured. Never returns.
pub async fn watch<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        sleep(TIMER_INTERVAL).await;
        let now = cx.now();
        let mut state = cx.state();
        let change = state.own_delay.on_timer(now);
        let timer_ms = millis(state.own_delay.timer_delay());
        let connect_ms = millis(state.own_delay.connect_delay(now));
        drop(state);
        match change {
            Some(SheddingChange::Begins) => {
                log_event!(SheddingBegins, timer_ms = timer_ms, connect_ms = connect_ms)
            }
            Some(SheddingChange::Ends) => {
                log_event!(SheddingEnds, timer_ms = timer_ms, connect_ms = connect_ms)
            }
            None => {}
        }
    }
}
