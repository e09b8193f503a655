//! The limits that a request needs.

use super::{Allowance, LimitKey};
use crate::ids::{EntryKey, WorkspaceKey};
use crate::time::Time;

/// Requests of one workspace for one entry; they wait for the same limits.
pub(super) type Pair = (EntryKey, WorkspaceKey);

/// The limits that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// Its workspace.
    pub workspace: WorkspaceKey,
    /// The workspace's limits.
    pub workspace_allowance: Allowance,
    /// Its entry.
    pub entry: EntryKey,
    /// The entry's limits.
    pub entry_allowance: Allowance,
    /// Maximum number of queued requests of the entry, over all instances.
    pub queue: u32,
    /// Prompt tokens; `None` if token limits do not apply.
    pub tokens: Option<u32>,
    /// The request is refused if it has no slot at this time.
    pub deadline: Time,
}

impl Claim {
    pub(super) fn pair(&self) -> Pair {
        (self.entry, self.workspace)
    }

    pub(super) fn keys(&self) -> [LimitKey; 2] {
        keys_of(self.pair())
    }
}

/// Returns the limits that apply to requests of a pair.
pub(super) fn keys_of((entry, workspace): Pair) -> [LimitKey; 2] {
    [LimitKey::Workspace(workspace), LimitKey::Entry(entry)]
}
