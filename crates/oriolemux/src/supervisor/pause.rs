//! Notices that the process was paused.

use crate::events::{self, ShellNote};
use core::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the clock is looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);
/// A look that comes so much too late counts as a pause. Shorter ones are common on a busy
/// machine and harm nothing.
const SHORTEST_PAUSE: Duration = Duration::from_secs(1);

/// Says so whenever the process was paused, for as long as the future is polled.
///
/// A paused process (a suspended machine, a stopped process) does not know that time has
/// passed. What must not be late is checked where it happens, right before each send; this
/// only tells operators why requests of that moment were refused.
pub async fn watch_for_pauses() {
    loop {
        let looked = Instant::now();
        sleep(LOOK_INTERVAL).await;
        let pause = looked.elapsed().saturating_sub(LOOK_INTERVAL);
        if pause >= SHORTEST_PAUSE {
            events::emit_shell(&ShellNote::Paused { pause });
        }
    }
}
