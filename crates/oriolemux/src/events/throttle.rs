//! Rate limit for the log lines of each kind of event.
//!
//! Without the limit, a client that connects in a loop, or a surge of refusals at level debug,
//! could repeat one line a million times: other lines would be hard to find, and the disk for the
//! logs would fill. The counters still count every event.

use super::LogEvent;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// The most lines of one event that are logged within one second.
pub(super) const MAX_LINES_PER_SECOND: u64 = 100;

/// For each event, the second in which it was last logged, and in the low bits the number of lines
/// in that second.
static SEEN: [AtomicU64; LogEvent::ALL.len()] = [const { AtomicU64::new(0) }; LogEvent::ALL.len()];

const COUNT_BITS: u32 = 16;

static START: OnceLock<Instant> = OnceLock::new();

/// Counts a line of `event` and returns whether it may be logged.
pub(super) fn admit(event: LogEvent) -> bool {
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let seen = &SEEN[event as usize];
    let admitted = seen.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| {
        let count = match last >> COUNT_BITS == second {
            true => last & ((1 << COUNT_BITS) - 1),
            false => 0,
        };
        (count < MAX_LINES_PER_SECOND).then_some(second << COUNT_BITS | (count + 1))
    });
    admitted.is_ok()
}
