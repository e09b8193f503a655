//! Requests that end the endpoints that begin them.
//!
//! What goes wrong without it: a request that makes its endpoint crash comes again, through
//! any instance, and ends one endpoint after the other, each with all that runs there.
//!
//! | module | its job |
//! | --- | --- |
//! | `ledger` | which requests ended which endpoints, and whether they may run |
//! | `message` | what instances and homes tell each other |
//! | `runs` | what this instance runs of suspects, and what it asks of their home |
//! | `run_leases` | what the home of a suspect knows: who runs it now |
//!
//! A request that ended one endpoint is a *suspect*: it runs at one endpoint at a time in the
//! whole fleet, so that what it does there is known before it is sent to the next. One that
//! ended [`MAX_CRASHES`] of them is refused. One that ran well is no suspect any more.
//!
//! Nothing here knows how messages travel; `docs/design/suspects.md` weighs the design and
//! says how likely it is that an innocent request is refused.

mod ledger;
mod message;
mod run_leases;
mod runs;

pub use ledger::{
    CrashRecord, Ledger, MAX_CRASHES, MAX_SUSPECTS, REFUSAL_DURATION, SUCCESS_AFTER, Standing,
};
pub use message::{RunLeaseAnswer, RunLeaseReport};
pub use run_leases::{RUN_LEASE_TTL, RunLeases};
pub use runs::{Admission, Due, Runs, SuspectRun};
