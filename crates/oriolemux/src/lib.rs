//! The oriolemux process: sockets, settings, logs and metrics around the decisions.
//!
//! # The story
//!
//! The decisions live in `oriolemux_core` and know no clock and no socket. This
//! crate is the shell around them. [`cli`] reads the command line; `serve` loads
//! the [`settings`] and hands them to [`serve::run`], which starts the listeners
//! and the node under a supervisor tree and feeds the node until it is told to stop.

pub mod callers;
pub mod cli;
pub mod endpoints;
pub mod events;
pub mod logs;
pub mod metrics;
pub mod node_task;
pub mod operators;
pub mod peers;
pub mod platform;
pub mod relay;
pub mod serve;
pub mod settings;
pub mod status;
pub mod story;
pub mod supervisor;
