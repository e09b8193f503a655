//! What a request needs of the limits.

use super::{Allowance, LimitKey};
use crate::ids::{EntryKey, WorkspaceKey};
use crate::time::Time;

/// Requests of one workspace for one entry; they wait for the same limits.
pub(super) type Pair = (EntryKey, WorkspaceKey);

/// What a request needs of the limits.
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
    /// Requests that may wait for the entry, over all instances.
    pub queue: u32,
    /// Tokens of the prompt; `None` if limits of tokens do not apply.
    pub tokens: Option<u32>,
    /// The request is refused if it holds no place by then.
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

/// Returns the limits that hold for requests of a pair.
pub(super) fn keys_of((entry, workspace): Pair) -> [LimitKey; 2] {
    [LimitKey::Workspace(workspace), LimitKey::Entry(entry)]
}
