//! Messages between an entry instance and the home of a cell.
//!
//! They identify a request by its sequence number only: the authenticated peer of the link supplies
//! the instance and its incarnation. They carry durations and no points in time, because two
//! processes share no clock.

use crate::cell::decision::GrantRecord;
use crate::cell::request::{CellRequest, ClassRules, EndKind, Requirement, Running};
use crate::ids::{CellKey, EndpointKey, EntryKey, RequestId, WorkspaceKey};
use crate::reason::Reason;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Maximum number of prefix hashes in a grant request; the longest prefixes are kept.
pub const MAX_PREFIX_HASHES: usize = 8;

/// A message between an entry instance and the home of a cell.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CellMessage {
    /// Entry to home: requests a grant.
    Request(Box<GrantRequest>),
    /// Home to entry: the request may run.
    Grant(Box<Grant>),
    /// Home to entry: the request is refused.
    Refused(Box<Refused>),
    /// Entry to home: checkpoints that running requests reached.
    Progress(#[serde(with = "crate::cell::codec")] Vec<Checkpoint>),
    /// Entry to home: requests that ended.
    Ended(Vec<Ended>),
    /// Entry to home: requests whose callers left or that moved to another cell.
    Withdraw(Vec<u64>),
    /// Entry to home: all requests that the entry runs in a cell, after the home changed.
    Resync {
        /// The cell.
        cell: CellKey,
        /// The running requests.
        running: Vec<RunningReport>,
    },
    /// Home to entry: queries whether these requests still wait or run in the home's cells. The
    /// entry withdraws those that do not.
    Confirm(Vec<u64>),
}

/// A request for a grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// The cell.
    pub cell: CellKey,
    /// The request's sequence number at the sender.
    pub seq: u64,
    /// See [`CellRequest::entry`].
    pub entry: EntryKey,
    /// See [`CellRequest::workspace`].
    pub workspace: WorkspaceKey,
    /// See [`CellRequest::class`].
    pub class: ClassRules,
    /// How long the request has waited so far, in milliseconds.
    pub waited_ms: u32,
    /// See [`CellRequest::prompt_tokens`].
    pub prompt_tokens: u32,
    /// See [`CellRequest::max_tokens`].
    pub max_tokens: u32,
    /// See [`CellRequest::replay_tokens`].
    pub replay_tokens: u32,
    /// See [`CellRequest::needs`].
    pub needs: Requirement,
    /// See [`CellRequest::prefix`]; at most [`MAX_PREFIX_HASHES`].
    pub prefix: Vec<u64>,
    /// See [`CellRequest::exclude`].
    pub exclude: Vec<EndpointKey>,
}

impl GrantRequest {
    /// Returns the message that requests a grant for `req` at `now`.
    pub fn from_request(cell: CellKey, req: &CellRequest, now: Time) -> GrantRequest {
        let skip = req.prefix.len().saturating_sub(MAX_PREFIX_HASHES);
        GrantRequest {
            cell,
            seq: req.id.seq,
            entry: req.entry,
            workspace: req.workspace,
            class: req.class,
            waited_ms: millis(now.since(req.arrived)),
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            replay_tokens: req.replay_tokens,
            needs: req.needs,
            prefix: req.prefix[skip..].to_vec(),
            exclude: req.exclude.clone(),
        }
    }

    /// Returns the request as the home records it when the message arrives from `from` at `now`.
    pub fn into_request(self, from: PeerId, now: Time) -> CellRequest {
        let waited = Duration::from_millis(self.waited_ms.into()).as_micros() as u64;
        CellRequest {
            id: request_id(from, self.seq),
            entry: self.entry,
            workspace: self.workspace,
            class: self.class,
            arrived: Time::from_micros(now.as_micros().saturating_sub(waited)),
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            prefix: self.prefix,
            exclude: self.exclude,
            replay_tokens: self.replay_tokens,
            needs: self.needs,
        }
    }
}

/// A grant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The request's sequence number at the receiver.
    pub seq: u64,
    /// The endpoint that it may run on.
    pub endpoint: EndpointKey,
    /// The engine's priority; 0 is the most urgent.
    pub priority: u8,
    /// The figures behind the grant.
    pub record: GrantRecord,
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Refused {
    /// The request's sequence number at the receiver.
    pub seq: u64,
    /// Why it is refused.
    pub reason: Reason,
    /// Suggested delay before a retry, in milliseconds.
    pub retry_after_ms: u32,
    /// Predicted wait, in milliseconds.
    pub predicted_wait_ms: u32,
    /// The figures behind the refusal.
    pub record: GrantRecord,
}

/// A checkpoint that a running request reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The request's sequence number at the sender.
    pub seq: u64,
    /// Tokens generated so far.
    pub tokens: u32,
}

/// A request that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ended {
    /// The request's sequence number at the sender.
    pub seq: u64,
    /// Tokens generated.
    pub tokens: u32,
    /// How it ended.
    pub end: EndKind,
}

/// A running request, as its entry instance reports it to a new home.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct RunningReport {
    /// The request's sequence number at the sender.
    pub seq: u64,
    /// See [`Running::endpoint`].
    pub endpoint: EndpointKey,
    /// See [`Running::entry`].
    pub entry: EntryKey,
    /// See [`Running::workspace`].
    pub workspace: WorkspaceKey,
    /// See [`Running::class`].
    pub class: ClassRules,
    /// See [`Running::prompt_tokens`].
    pub prompt_tokens: u32,
    /// See [`Running::max_tokens`].
    pub max_tokens: u32,
    /// See [`Running::tokens`].
    pub tokens: u32,
}

impl RunningReport {
    /// Returns the running request as the home records it when the report arrives from `from`.
    pub fn into_running(self, from: PeerId) -> Running {
        Running {
            id: request_id(from, self.seq),
            endpoint: self.endpoint,
            entry: self.entry,
            workspace: self.workspace,
            class: self.class,
            prompt_tokens: self.prompt_tokens,
            max_tokens: self.max_tokens,
            tokens: self.tokens,
        }
    }
}

impl From<&Running> for RunningReport {
    fn from(running: &Running) -> RunningReport {
        RunningReport {
            seq: running.id.seq,
            endpoint: running.endpoint,
            entry: running.entry,
            workspace: running.workspace,
            class: running.class,
            prompt_tokens: running.prompt_tokens,
            max_tokens: running.max_tokens,
            tokens: running.tokens,
        }
    }
}

/// Returns the id of the request with the sequence number `seq` at `from`.
pub fn request_id(from: PeerId, seq: u64) -> RequestId {
    RequestId {
        instance: from.instance,
        incarnation: from.incarnation,
        seq,
    }
}

/// Returns `duration` in milliseconds, rounded down and saturating at [`u32::MAX`].
pub fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
