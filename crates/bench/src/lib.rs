//! Stand-ins, load and experiments for oriolemux; not shipped.
//!
//! [`standins`] take the place of model engines, plain services and the
//! platform, and record what they truly ran. [`load`] is a caller that records
//! what it got, byte for byte. A [`fleet`] is all of them, and instances of the
//! product, as real processes, with a [`proxy`] in every connection if wanted.
//! [`demo`] shows one at work; [`faults`] lets failures strike one and hands
//! what was recorded to the [`checker`]. [`engine_model`] is a model engine in
//! virtual time, behind both the stand-ins and the experiments. [`soak`] does to
//! instances of the gateway, on the platform's stand-in, what the other does to a fleet
//! of the product's own interface.

pub mod checker;
pub mod decide;
pub mod demo;
pub mod engine_model;
pub mod faults;
pub mod fleet;
pub mod load;
pub mod node;
pub mod policy;
pub mod process;
pub mod proxy;
pub mod relay_bench;
pub mod report;
pub mod slopes;
pub mod soak;
pub mod standins;
pub mod surge;
pub mod workload;
