//! The platform's values and how well it serves them.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// The largest value that the platform holds, in bytes.
pub const LARGEST_VALUE: usize = 1 << 20;

/// How well the platform serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "mode", rename_all = "snake_case")]
pub enum Mode {
    /// As it should.
    #[default]
    Well,
    /// Every call is answered 503.
    Down,
    /// No call is answered.
    Silent,
    /// Every call is answered so much later.
    Slow {
        /// In milliseconds.
        delay_ms: u64,
    },
    /// Values are served as they were when this mode was set.
    Stale,
    /// Each value is served as it was before its last write, as from a replica
    /// that lags.
    Older,
}

/// A value and its revision.
#[derive(Clone, Debug)]
pub struct Value {
    /// Rises with every write.
    pub revision: u64,
    /// What was written.
    pub bytes: Bytes,
}

/// How often the platform was called; a waiting watch counts once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Plain reads.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Calls that the platform failed to answer because of its mode.
    pub failed: u64,
}

/// A running platform.
#[derive(Debug, Default)]
pub struct Platform {
    state: Mutex<State>,
    changes: watch::Sender<u64>,
}

/// What changes while the platform runs.
#[derive(Debug, Default)]
pub struct State {
    values: BTreeMap<String, Value>,
    older: BTreeMap<String, Value>,
    stale: Option<BTreeMap<String, Value>>,
    /// How well it serves.
    pub mode: Mode,
    /// How often it was called.
    pub calls: Calls,
}

impl Platform {
    /// Locks the state; held only for short computations, never across an await.
    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a receiver that changes with every write and every change of mode.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Writes a value; its revision rises by one unless one is given.
    pub fn write(&self, name: &str, bytes: Bytes, revision: Option<u64>) -> u64 {
        let revision = self.lock().write(name, bytes, revision);
        self.changes.send_modify(|count| *count += 1);
        revision
    }

    /// Sets how well the platform serves from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().set_mode(mode);
        self.changes.send_modify(|count| *count += 1);
    }
}

impl State {
    fn write(&mut self, name: &str, bytes: Bytes, revision: Option<u64>) -> u64 {
        let next = self.values.get(name).map_or(1, |value| value.revision + 1);
        let revision = revision.unwrap_or(next);
        let value = Value { revision, bytes };
        if let Some(before) = self.values.insert(name.to_owned(), value) {
            self.older.insert(name.to_owned(), before);
        }
        revision
    }

    fn set_mode(&mut self, mode: Mode) {
        self.stale = match mode {
            Mode::Stale => Some(self.values.clone()),
            _ => None,
        };
        self.mode = mode;
    }

    /// Returns a value as readers see it now.
    pub fn read(&self, name: &str) -> Option<Value> {
        let values = self.stale.as_ref().unwrap_or(&self.values);
        let older = match self.mode {
            Mode::Older => self.older.get(name),
            _ => None,
        };
        older.or_else(|| values.get(name)).cloned()
    }
}
