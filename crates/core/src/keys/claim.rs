//! Claims, and the answers to them.

use super::KeysMessage;
use crate::ids::{RequestId, WorkspaceKey};
use crate::outcome::{PriorOutcome, Verdict};
use crate::reason::{Outcome, Reason};
use crate::value::PeerId;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// When a caller whose request still runs is told to ask again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// A workspace's idempotency key, as the first half of its SHA-256.
///
/// Callers choose their keys, so a short hash could be made to collide on
/// purpose and one request be answered with another's outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Hashes the key `key` of `workspace`.
    pub fn of(workspace: WorkspaceKey, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.0.to_le_bytes())
            .chain_update(key)
            .finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        KeyHash(half)
    }

    /// Returns the value that the home is ranked by.
    pub fn rank_key(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// The name that binds requests which must not both run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimId {
    /// A ticket; granted by the incarnation that issued it.
    Ticket(RequestId),
    /// An idempotency key; granted by the key's home.
    Key(KeyHash),
}

/// A request's claim to be the one that runs under a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The name.
    pub id: ClaimId,
    /// The request that is to run; its life is the only one that may run it.
    pub claimant: RequestId,
    /// Whose request it is.
    pub workspace: WorkspaceKey,
    /// Tells a repeat from another request under the same name.
    pub body_hash: u64,
    /// The list by which the asker chose the home.
    pub list_revision: u64,
}

impl Claim {
    /// Returns whether `peer` is the life that the claimant belongs to.
    pub fn is_from(&self, peer: PeerId) -> bool {
        is_from_incarnation(self.claimant, peer)
    }
}

/// Returns whether `request` was accepted by the life `peer`.
pub(super) fn is_from_incarnation(request: RequestId, peer: PeerId) -> bool {
    request.instance == peer.instance && request.incarnation == peer.incarnation
}

/// Why a claim was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// Another request holds it and has not ended.
    Running,
    /// Another request held it and ended so.
    Ran(PriorOutcome),
    /// The process that held or issued it is gone.
    HolderGone,
    /// It was taken for another body.
    BodyDiffers,
    /// The ticket was issued to another workspace.
    NotIssued,
    /// The ticket is not remembered any more.
    Expired,
    /// This process is not, or not yet surely, the key's home.
    Unsure {
        /// When it may be.
        retry_after: Duration,
    },
    /// As many claims are held as there is room for.
    Full,
    /// No answer came from the process that grants it.
    TimedOut,
}

impl ClaimRefusal {
    /// Returns what the caller is told.
    ///
    /// "Not run" only where this request's work cannot have run under this
    /// name: anything else may be the repeat of a request that did run.
    pub fn verdict(self) -> Verdict {
        match self {
            ClaimRefusal::Running => unknown(Reason::AlreadyRunning, Some(RETRY_AFTER)),
            ClaimRefusal::Ran(earlier) => Verdict::repeated(Reason::AlreadyRan, earlier),
            ClaimRefusal::HolderGone => unknown(Reason::HolderGone, None),
            ClaimRefusal::BodyDiffers => Verdict::not_accepted(Reason::KeyReused, None),
            ClaimRefusal::NotIssued => Verdict::not_accepted(Reason::BadTicket, None),
            ClaimRefusal::Expired => unknown(Reason::TicketExpired, None),
            ClaimRefusal::Unsure { retry_after } => {
                unknown(Reason::KeyHomeUnsure, Some(retry_after))
            }
            ClaimRefusal::Full => unknown(Reason::InstanceFull, Some(RETRY_AFTER)),
            ClaimRefusal::TimedOut => unknown(Reason::HomeSilent, Some(RETRY_AFTER)),
        }
    }
}

fn unknown(reason: Reason, retry_after: Option<Duration>) -> Verdict {
    Verdict::unknown(reason).with_retry_after(retry_after)
}

/// What became of a claim, as its holder says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderState {
    /// The request runs or waits.
    Running,
    /// It truly did not run; the name is free again.
    NotRun,
    /// It ended, or may have run.
    Ended(PriorOutcome),
}

impl HolderState {
    /// Returns the state of a request that ended with `verdict`; `None` stands
    /// for a whole answer.
    pub fn of(verdict: Option<&Verdict>) -> Self {
        let Some(verdict) = verdict else {
            return HolderState::Ended(PriorOutcome::Complete);
        };
        match verdict.outcome() {
            Outcome::NotRun => HolderState::NotRun,
            Outcome::Unknown => HolderState::Ended(PriorOutcome::Unknown),
            Outcome::Partial => HolderState::Ended(PriorOutcome::Partial {
                delivered: verdict.delivered(),
            }),
            Outcome::Complete => HolderState::Ended(PriorOutcome::Complete),
        }
    }
}

/// Returns the message that answers `claim`.
pub(super) fn answer_message(claim: &Claim, answer: Result<(), ClaimRefusal>) -> KeysMessage {
    let Claim { id, claimant, .. } = *claim;
    match answer {
        Ok(()) => KeysMessage::Granted { id, claimant },
        Err(refusal) => KeysMessage::Refused {
            id,
            claimant,
            refusal,
        },
    }
}
