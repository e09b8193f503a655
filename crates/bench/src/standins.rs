//! Stand-ins for what stands around the product: model engines, plain
//! services and the platform. Each runs as a process of its own, prints
//! `listening ADDR` as its first line and keeps a record of what it truly did
//! for a checker to read. `docs/INTERFACES.md` lists what they assume.

pub mod engine;
pub mod platform;
pub mod service;
