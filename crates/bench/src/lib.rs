//! Stand-ins, load and experiments for oriolemux; not shipped.
//!
//! [`standins`] take the place of model engines, plain services and the
//! platform, and record what they truly ran. [`load`] is a caller that records
//! what it got, byte for byte. [`demo`] and [`faults`] start all of them, and
//! instances of the product, as real processes.

pub mod demo;
pub mod faults;
pub mod load;
pub mod node;
pub mod process;
pub mod proxy;
pub mod standins;
