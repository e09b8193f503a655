//! Stand-ins for what stands around the product: model engines, plain
//! services and the platform. Each runs as a process of its own, prints
//! `listening ADDR` as its first line and keeps a record of what it truly did
//! for a checker to read. `docs/INTERFACES.md` lists what they assume.

pub mod admin;
pub mod cuts;
pub mod engine;
pub mod http;
pub mod journal;
pub mod platform;
pub mod service;
pub mod text;
