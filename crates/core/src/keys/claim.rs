//! Claims and the answers to them.

use super::KeysMessage;
use crate::ids::{RequestId, WorkspaceKey};
use crate::outcome::{PriorOutcome, Verdict};
use crate::reason::{Outcome, Reason};
use crate::value::PeerId;
use core::time::Duration;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Suggested delay before a caller retries after a refusal that may soon be resolved.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// An idempotency key of a workspace, as the first half of its SHA-256.
///
/// Callers choose their keys. With a short hash they could construct collisions, and one request
/// would receive the outcome of another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct KeyHash(pub [u8; 16]);

impl KeyHash {
    /// Returns the hash of the key `key` of `workspace`.
    pub fn of(workspace: WorkspaceKey, key: &str) -> Self {
        let digest = Sha256::new()
            .chain_update(workspace.0.to_le_bytes())
            .chain_update(key)
            .finalize();
        let mut half = [0; 16];
        half.copy_from_slice(&digest[..16]);
        KeyHash(half)
    }

    /// Returns the value by which instances are ranked to find the home.
    pub fn rank_key(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

/// The name shared by requests of which at most one may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ClaimId {
    /// A ticket. The incarnation that issued it grants the claim.
    Ticket(RequestId),
    /// An idempotency key. The key's home grants the claim.
    Key(KeyHash),
}

/// A request's claim to be the one that runs under a name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The claimed ticket or key.
    pub id: ClaimId,
    /// The request that is to run. Only the incarnation that accepted it may run it.
    pub claimant: RequestId,
    /// The workspace that the request belongs to.
    pub workspace: WorkspaceKey,
    /// Hash of the body; distinguishes a duplicate from another request under the same name.
    pub body_hash: u64,
    /// Revision of the instance list by which the requesting process chose the home.
    pub list_revision: u64,
}

impl Claim {
    /// Returns whether `peer` is the incarnation that accepted the claimant.
    pub fn is_from(&self, peer: PeerId) -> bool {
        is_from_incarnation(self.claimant, peer)
    }
}

/// Returns whether `request` was accepted by the incarnation `peer`.
pub(super) fn is_from_incarnation(request: RequestId, peer: PeerId) -> bool {
    request.instance == peer.instance && request.incarnation == peer.incarnation
}

/// Why a claim was not granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimRefusal {
    /// Another request holds the claim and has not ended.
    Running,
    /// Another request held the claim and ended with this outcome.
    Ran(PriorOutcome),
    /// The process that held the claim or issued the ticket is gone.
    HolderGone,
    /// The name was claimed for a different body.
    BodyDiffers,
    /// The ticket was issued to another workspace.
    NotIssued,
    /// The record of the ticket has expired.
    Expired,
    /// This process is not the key's home, or cannot be certain of it yet.
    Unsure {
        /// Time after which it may be certain.
        retry_after: Duration,
    },
    /// The limit [`MAX_CLAIMS`](super::MAX_CLAIMS) is reached.
    Full,
    /// The granting process did not answer in time.
    TimedOut,
}

impl ClaimRefusal {
    /// Returns the response to the caller.
    ///
    /// The outcome is "not run" only if the request's work cannot have run under this name. In all
    /// other cases the request may be a duplicate of one that did run.
    pub fn verdict(self) -> Verdict {
        match self {
            ClaimRefusal::Running => unknown(Reason::AlreadyRunning, Some(RETRY_AFTER)),
            ClaimRefusal::Ran(prior) => Verdict::duplicate(Reason::AlreadyRan, prior),
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

/// State of a claim as reported by its holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HolderState {
    /// The request is running or waiting.
    Running,
    /// The request provably did not run; the name is free again.
    NotRun,
    /// The request ended and ran, or may have run.
    Ended(PriorOutcome),
}

impl HolderState {
    /// Returns the state of a request that ended with `verdict`; `None` means a complete response.
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
