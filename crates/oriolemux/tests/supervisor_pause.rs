//! A pause of the process is logged for operators.
//!
//! The only test in its file, because the metrics are global to the process.

use core::time::Duration;
use oriolemux::metrics;
use oriolemux::supervisor::watch_for_pauses;
use tokio::time::{advance, sleep};

const PAUSES: &str = "oriolemux_events_total{event=\"paused\"}";

#[tokio::test(start_paused = true)]
async fn late_wake_up_is_logged_and_a_timely_one_is_not() {
    metrics::install().expect("a recorder");
    let watch = tokio::spawn(watch_for_pauses());
    sleep(Duration::from_secs(10)).await;
    let timely = metrics::render();

    advance(Duration::from_secs(5)).await;
    sleep(Duration::from_secs(1)).await;
    let late = metrics::render();

    watch.abort();
    assert!(timely.contains(&format!("{PAUSES} 0\n")), "{timely}");
    assert!(late.contains(&format!("{PAUSES} 1\n")), "{late}");
}
