//! Stand-ins, load and experiments for oriolemux; not shipped.
//!
//! [`standins`] take the place of model engines, plain services and the
//! platform, and record what they truly ran. [`load`] is a caller that records
//! what it got, byte for byte. [`demo`] and [`faults`] start all of them, and
//! instances of the product, as real processes. [`engine_model`] is a model
//! engine in virtual time, behind both the stand-ins and the experiments.

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
pub mod standins;
pub mod workload;
