//! Every decision of oriolemux, as deterministic state machines.
//!
//! # The story
//!
//! A process of oriolemux (an *instance*) stands between callers and crowded
//! endpoints. It accepts a request, learns from the [`catalogue`] what the
//! request may take, asks the *home* of a cell of endpoints for a grant, runs
//! one generation at the granted endpoint and delivers it. This crate holds
//! the decisions of that path and none of its input or output: there is no
//! clock, no socket, no thread, no runtime and no global here. Time and
//! randomness come in as arguments, effects go out as [`Action`]s, and the
//! order of iteration never depends on a hash seed. The same code therefore
//! runs behind real sockets, in a test that replays a failure event by event,
//! and in an experiment in virtual time.
//!
//! The shell (the `oriolemux` crate) feeds a [`Node`] with [`Event`]s and
//! carries out its [`Action`]s. Tokens never pass through the node: each
//! stream owns a small machine of its own in [`delivery`].
//!
//! # The layers
//!
//! A module knows those of lower layers only, so that each can be read with what
//! stands above it in this list. `tests/layers.rs` reads the list and holds the
//! sources to it.
//!
//! 0. `ids`, `time`, `reason`, `findings`, `checkpoint`, `fingerprint`: names, values and rules that
//!    know nothing else.
//! 1. `value`, `rendezvous`, `length`, `routing`, `note`, `suspects`: values that subsystems
//!    share, and arithmetic over them.
//! 2. `membership`, `memory`, `outcome`, `gateway`: who is there, what fits, what became
//!    of a request; and all that concerns HTTP entries, which needs none of the rest.
//! 3. `catalogue`, `cell`, `keys`, `limits`, `retry`: the subsystems of one instance.
//! 4. `orders`, `explain`, `peer`: what needs several of them, and what they say to peers.
//! 5. `event`: what a node is told and asks for.
//! 6. `node`, `delivery`: the node on top, and the machine of each stream beside it.
//!
//! See `docs/design/` for why each part is as it is.

pub mod catalogue;
pub mod cell;
pub mod checkpoint;
pub mod delivery;
pub mod event;
pub mod explain;
pub mod findings;
pub mod fingerprint;
pub mod gateway;
pub mod ids;
pub mod keys;
pub mod length;
pub mod limits;
pub mod membership;
pub mod memory;
pub mod node;
pub mod note;
pub mod orders;
pub mod outcome;
pub mod peer;
pub mod reason;
pub mod rendezvous;
pub mod retry;
pub mod routing;
pub mod suspects;
pub mod time;
pub mod value;

pub use delivery::Delivery;
pub use event::{Action, Event};
pub use ids::{
    AttemptId, CellKey, ClassKey, EndpointKey, EntryKey, Incarnation, InstanceKey, ModelKey,
    RequestId, WorkspaceKey,
};
pub use node::{Node, NodeConfig};
pub use outcome::{NotRun, Ran, RequestOutcome, Verdict};
pub use reason::{Outcome, Reason};
pub use time::Time;
