//! The decision logic of oriolemux, as deterministic state machines.
//!
//! # Overview
//!
//! A process of oriolemux (an *instance*) routes requests of callers to endpoints with scarce
//! capacity. It accepts a request, looks up its limits and its target in the [`catalogue`],
//! requests a grant from the *home* of a cell of endpoints, dispatches the request to the granted
//! endpoint and delivers the output. The home is the instance that decides for a cell, chosen by
//! rendezvous hashing. This crate holds the decisions on that path and does no input or output: it
//! contains no clock, socket, thread, runtime or global state. Time and randomness are arguments,
//! effects are returned as [`Action`]s, and the order of iteration never depends on a hash seed. So
//! the same code runs behind real sockets, in tests that replay a failure event by event, and in
//! simulations in virtual time.
//!
//! The shell (the `oriolemux` crate) passes [`Event`]s to a [`Node`] and carries out its
//! [`Action`]s. Tokens never pass through the node: each stream has a small state machine of its
//! own in [`delivery`].
//!
//! # Layers
//!
//! A module depends only on modules of lower layers, so that each can be read together with those
//! above it in this list. `tests/layers.rs` checks the sources against the list.
//!
//! 0. `ids`, `time`, `reason`, `findings`, `checkpoint`, `fingerprint`: names, values and rules
//!    without dependencies on other modules.
//! 1. `value`, `rendezvous`, `length`, `routing`, `note`, `suspects`: values that subsystems share,
//!    and arithmetic over them.
//! 2. `membership`, `memory`, `outcome`, `gateway`: the members of the fleet, KV cache forecasts,
//!    outcomes of requests, and everything for HTTP entries, which needs none of the rest.
//! 3. `catalogue`, `cell`, `keys`, `limits`, `retry`: the subsystems of one instance.
//! 4. `orders`, `explain`, `peer`: modules that combine several subsystems, and the messages
//!    between instances.
//! 5. `event`: the input and output of a node.
//! 6. `node`, `delivery`: the node that combines everything, and the state machine of each stream.
//!
//! The reasons for the design are in `docs/design/`.

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
