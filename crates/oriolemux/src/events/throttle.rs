//! Bounds how many lines a second one kind of event logs.
//!
//! What goes wrong without it: a stranger who connects again and again, or a surge of refusals
//! with debug lines on, fills the log with one line a million times. One would see other lines
//! drown, and the disk of whoever keeps the logs fill. The counters go on counting each event.

use super::LogEvent;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Lines of one event that are logged within one second.
pub(super) const MAX_LINES_A_SECOND: u64 = 100;

/// For each event the second it was logged last, and how often in that second: the count is
/// in the low bits.
static SEEN: [AtomicU64; LogEvent::ALL.len()] = [const { AtomicU64::new(0) }; LogEvent::ALL.len()];

const COUNT_BITS: u32 = 16;

static START: OnceLock<Instant> = OnceLock::new();

/// Returns whether one more line of `event` may be logged now.
pub(super) fn admit(event: LogEvent) -> bool {
    let second = START.get_or_init(Instant::now).elapsed().as_secs();
    let seen = &SEEN[event as usize];
    let admitted = seen.fetch_update(Ordering::Relaxed, Ordering::Relaxed, |last| {
        let count = match last >> COUNT_BITS == second {
            true => last & ((1 << COUNT_BITS) - 1),
            false => 0,
        };
        (count < MAX_LINES_A_SECOND).then_some(second << COUNT_BITS | (count + 1))
    });
    admitted.is_ok()
}
