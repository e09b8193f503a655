//! Complete nodes in a simulated fleet: links that break, endpoints that leave, processes that are
//! paused or replaced.

mod claims;
mod ejections;
mod failures;
mod histories;
mod leases;
mod orders;
mod path;
mod suspects;
mod world;
