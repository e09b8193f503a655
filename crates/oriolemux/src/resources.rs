//! What the system lets this process use.

use nix::sys::resource::{Resource, getrlimit};
use std::fs;

/// Bytes of a MB, as settings count it.
const MB: u64 = 1_000_000;

/// The memory that is assumed where the system does not report any, in bytes.
const ASSUMED_MEMORY_BYTES: u64 = 88 * MB;

/// The descriptors that are assumed where the system does not report a limit.
const ASSUMED_DESCRIPTORS: u64 = 1_024;

/// Memory and file descriptors of this process. docs/design/caller-bounds.md says what callers may
/// hold of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resources {
    /// Bytes of memory.
    pub memory: usize,
    /// File descriptors.
    pub descriptors: usize,
}

impl Resources {
    /// Returns what the settings name, and what the system reports where they name 0.
    pub fn new(memory_mb: u32, max_descriptors: u32) -> Self {
        let memory = match memory_mb {
            0 => system_memory().unwrap_or(ASSUMED_MEMORY_BYTES),
            mb => u64::from(mb) * MB,
        };
        let descriptors = match max_descriptors {
            0 => descriptor_limit().unwrap_or(ASSUMED_DESCRIPTORS),
            most => u64::from(most),
        };
        Resources {
            memory: usize::try_from(memory).unwrap_or(usize::MAX),
            descriptors: usize::try_from(descriptors).unwrap_or(usize::MAX),
        }
    }
}

/// Returns the memory of the system in bytes.
fn system_memory() -> Option<u64> {
    let text = match fs::read_to_string("/proc/meminfo") {
        Ok(text) => text,
        Err(error) => {
            log::warn!("the memory of the system is not known: {error}");
            return None;
        }
    };
    let total = parse_memory(&text);
    if total.is_none() {
        log::warn!("the memory of the system is not known: /proc/meminfo names no total");
    }
    total
}

/// Returns the total that the text of `/proc/meminfo` names, in bytes.
pub fn parse_memory(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|it| it.strip_prefix("MemTotal:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    kib.checked_mul(1_024)
}

/// Returns how many descriptors the system lets this process open.
fn descriptor_limit() -> Option<u64> {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => Some(soft),
        Err(error) => {
            log::warn!("the limit of file descriptors is not known: {error}");
            None
        }
    }
}
