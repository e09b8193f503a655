//! Tickets: single-use names that a caller obtains before it sends a request.
//!
//! A ticket is a [`RequestId`] of the process that issues it. Only that incarnation grants it, to
//! one request of any process, and records the grant before it answers. This depends on no clock,
//! instance list or home, so it holds under partitions, pauses and restarts. A ticket whose issuer
//! is gone or unreachable is never run again, and its outcome is reported as unknown.
//!
//! [`crate::keys`] implements the claims; `docs/design/at-most-once.md` compares tickets with
//! idempotency keys.

use crate::ids::{Incarnation, RequestId, WorkspaceKey};
use crate::keys::ClaimId;
use crate::keys::table::{ClaimState, ClaimTable, Record};
use crate::reason::Reason;
use crate::time::Time;
use crate::value::PeerId;

/// Returns whether the incarnation `peer` issued `ticket`.
pub fn is_issued_by(ticket: RequestId, peer: PeerId) -> bool {
    ticket.instance == peer.instance && ticket.incarnation == peer.incarnation
}

/// Returns whether the issuer of `ticket` is known to have been replaced, given the current
/// incarnation of its instance.
pub fn issuer_has_restarted(ticket: RequestId, current: Option<Incarnation>) -> bool {
    current.is_some_and(|incarnation| incarnation != ticket.incarnation)
}

/// Issues a ticket unless the table is full.
pub(crate) fn issue(
    table: &mut ClaimTable,
    ticket: RequestId,
    workspace: WorkspaceKey,
    expires_at: Time,
) -> Result<(), Reason> {
    if table.is_full() {
        return Err(Reason::InstanceFull);
    }
    let record = Record {
        workspace,
        body_hash: 0,
        state: ClaimState::Free,
        expires_at,
    };
    table.put(ClaimId::Ticket(ticket), record);
    Ok(())
}
