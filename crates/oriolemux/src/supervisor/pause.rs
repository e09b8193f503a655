//! Detects that the process was paused.

use crate::events::{self, ShellNote};
use core::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the clock is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// A check that is late by this much counts as a pause. Shorter delays are common on a busy machine
/// and harmless.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Logs an event whenever the process was paused, for as long as the future is polled.
///
/// A paused process (a suspended machine, a stopped process) does not notice that time has passed.
/// Deadlines are checked where they matter, right before each send; this event only informs
/// operators why requests of that moment were refused.
pub async fn watch_for_pauses() {
    loop {
        let checked = Instant::now();
        sleep(CHECK_INTERVAL).await;
        let pause = checked.elapsed().saturating_sub(CHECK_INTERVAL);
        if pause >= MIN_PAUSE {
            events::emit_shell(&ShellNote::Paused { pause });
        }
    }
}
