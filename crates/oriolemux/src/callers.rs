//! The callers' side: an OpenAI-style server.
//!
//! See `docs/API.md` for what callers see.

pub mod port;
