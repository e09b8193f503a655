//! Processor time of another process.

use std::io;
use std::time::Duration;

/// Ticks a second in `/proc`; fixed by the kernel's interface to programs.
const TICKS_PER_SECOND: u64 = 100;

/// Fields of `/proc/PID/stat` after the name, from which user and system time are taken.
const UTIME_AFTER_NAME: usize = 11;

/// Measures the processor time that a process takes from now on, with all of its threads.
#[derive(Clone, Copy, Debug)]
pub struct CpuClock {
    pid: u32,
    start: Duration,
}

impl CpuClock {
    /// Starts to measure the process `pid`.
    pub fn of(pid: u32) -> io::Result<Self> {
        let start = cpu_time(pid)?;
        Ok(CpuClock { pid, start })
    }

    /// Returns the processor time taken since the start; at least one tick,
    /// because the kernel tells no less.
    pub fn elapsed(&self) -> io::Result<Duration> {
        let tick = Duration::from_millis(1_000 / TICKS_PER_SECOND);
        Ok(cpu_time(self.pid)?.saturating_sub(self.start).max(tick))
    }
}

fn cpu_time(pid: u32) -> io::Result<Duration> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    // The name may hold spaces, so fields are counted from its closing bracket.
    let (_, fields) = stat.rsplit_once(')').ok_or(io::ErrorKind::InvalidData)?;
    let ticks: u64 = fields
        .split_whitespace()
        .skip(UTIME_AFTER_NAME)
        .take(2)
        .map(|field| field.parse::<u64>().unwrap_or(0))
        .sum();
    Ok(Duration::from_millis(ticks * 1_000 / TICKS_PER_SECOND))
}
