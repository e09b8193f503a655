//! Requests that crash the endpoints that run them.
//!
//! Without this, a request that makes its endpoint crash is retried through any instance and
//! crashes one endpoint after the other, each with everything that runs there.
//!
//! | module | its job |
//! | --- | --- |
//! | `ledger` | which requests crashed which endpoints, and whether they may run |
//! | `message` | messages between instances and homes |
//! | `parts` | the parts of a prompt that other prompts may share |
//! | `proven` | the parts under which requests recently succeeded |
//! | `run_leases` | what the home of a suspect knows: which run holds the lease |
//! | `runs` | the runs of this instance, and the leases that it requests |
//!
//! A request that crashed one endpoint is a *suspect*: it runs at one endpoint at a time in the
//! entire fleet, so that its effect there is known before it is sent to the next. The permission to
//! run is a lease, which the suspect's homes grant: the two instances that decide for a key, chosen by
//! rendezvous hashing. A request that crashed [`MAX_CRASHES`] endpoints is refused. One that
//! completed a run successfully is no longer a suspect.
//!
//! The same holds for the parts that prompts share, since different requests may crash endpoints by
//! what they have in common. A crash makes each part of the prompt a suspect under which no request
//! recently succeeded; requests with a suspect part run one at a time, and a success clears it.
//!
//! Nothing here depends on the transport; `docs/design/suspects.md` weighs the design and says how
//! likely it is that an innocent request is refused.

mod ledger;
mod message;
mod parts;
mod proven;
mod run_leases;
mod runs;

pub use ledger::{
    CrashRecord, Ledger, MAX_CRASHES, MAX_SUSPECTS, PARTS_PROVEN_AFTER, PartStanding,
    REFUSAL_DURATION, SEPARATE_AFTER, SUCCESS_AFTER, Standing,
};
pub use message::{RunLeaseAnswer, RunLeaseReport};
pub use parts::{MAX_PARTS, PromptParts};
pub use proven::ProvenParts;
pub use run_leases::{RUN_LEASE_TTL, RunLeases};
pub use runs::{Admission, Due, Runs, SuspectRun};
