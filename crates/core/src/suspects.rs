//! Requests that end the endpoints that begin them.
//!
//! What goes wrong without it: a request that makes its endpoint crash comes again, through
//! any instance, and ends one endpoint after the other, each with all that runs there.

mod fingerprint;

pub use fingerprint::{Fingerprint, Identity};
