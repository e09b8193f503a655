//! The callers' side: an OpenAI-style server.
//!
//! A [`CallerServer`] bounds what callers may send, names each request, hands
//! it to the node through a [`port::NodePort`] and starts its
//! [`crate::relay::Relay`]. It decides nothing: whether a key is good, an entry
//! exists or there is room is the node's answer.
//!
//! `docs/API.md` says what callers see.

pub mod accept;
pub mod auth;
pub mod body;
pub mod completion;
pub mod connections;
pub mod errors;
pub mod port;
pub mod prefix;
pub mod routes;
pub mod server;
pub mod submit;

pub use server::{CallerServer, CallerServerBuilder};
