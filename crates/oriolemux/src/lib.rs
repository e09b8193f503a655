//! The oriolemux process: sockets, settings, logs and metrics around the decision logic.
//!
//! # Overview
//!
//! All decisions are made in `oriolemux_core`, which uses no clock and no socket. This crate does
//! the I/O. [`cli`] parses the command line; its command `serve` loads the [`settings`] and passes
//! them to [`serve::run`], which starts the listeners and the node under a supervisor tree and sends
//! events to the node until the process is stopped.

pub mod buffered;
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
pub mod resources;
mod response_head;
pub mod serve;
pub mod settings;
pub mod status;
pub mod story;
pub mod supervisor;
