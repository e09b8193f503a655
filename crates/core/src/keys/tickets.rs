//! Tickets: names for one request each, drawn before it is sent.
//!
//! A ticket is a [`RequestId`] of the process that issues it. Only that life
//! grants it, to one request of any process, and marks it as granted before it
//! answers. There is no clock, list or home in this, so it holds under
//! partition, pause and restart: a ticket whose issuer is gone or cannot be
//! reached is never run again, and its outcome is said to be unknown.
//!
//! [`crate::keys`] carries the claims; `docs/design/at-most-once.md` compares
//! tickets with bare keys.

use crate::ids::{Incarnation, RequestId, WorkspaceKey};
use crate::keys::ClaimId;
use crate::keys::table::{ClaimState, ClaimTable, Record};
use crate::reason::Reason;
use crate::time::Time;
use crate::value::PeerId;

/// Returns whether the life `peer` issued `ticket`.
pub fn is_issued_by(ticket: RequestId, peer: PeerId) -> bool {
    ticket.instance == peer.instance && ticket.incarnation == peer.incarnation
}

/// Returns whether the issuer of `ticket` is known to be gone, given the life
/// that its instance is in now.
pub fn issuer_has_restarted(ticket: RequestId, life_now: Option<Incarnation>) -> bool {
    life_now.is_some_and(|life| life != ticket.incarnation)
}

/// Issues a ticket, if there is room.
pub(crate) fn issue(
    table: &mut ClaimTable,
    ticket: RequestId,
    workspace: WorkspaceKey,
    forget_at: Time,
) -> Result<(), Reason> {
    if table.is_full() {
        return Err(Reason::InstanceFull);
    }
    let record = Record {
        workspace,
        body_hash: 0,
        state: ClaimState::Free,
        expires_at: forget_at,
    };
    table.put(ClaimId::Ticket(ticket), record);
    Ok(())
}
