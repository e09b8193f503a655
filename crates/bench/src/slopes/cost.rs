//! Processor time and memory of this process.

use core::time::Duration;
use nix::time::{ClockId, clock_gettime};

/// Returns the processor time that this thread has used.
pub(crate) fn thread_time() -> Duration {
    let used = clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID);
    used.expect("every thread has this clock").into()
}

/// Returns the bytes of anonymous memory that are resident.
pub(super) fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("/proc is mounted");
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = line.and_then(|line| line.trim().strip_suffix(" kB"));
    let kilobytes: u64 = kilobytes.and_then(|it| it.trim().parse().ok()).unwrap_or(0);
    kilobytes * 1024
}
