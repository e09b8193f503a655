//! The server for callers, with an OpenAI-style API.
//!
//! A [`CallerServer`] limits what callers may send, assigns an id to each request, submits it to
//! the node through a [`port::NodePort`] and starts its [`crate::relay::Relay`]. All decisions are
//! made by the node: whether a key is valid, an entry exists or there is capacity.
//!
//! `docs/API.md` describes the API.

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
