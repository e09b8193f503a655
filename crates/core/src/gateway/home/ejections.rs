//! Engines that instances could not use.
//!
//! What goes wrong without it: while the store is silent, engines that went keep their
//! entries. They look empty, so that the home sends everybody there; each instance finds out for
//! itself, is refused by several of them in a row, and gives up its request within
//! milliseconds while other engines have room. One instance alone may have lost its own link, and is not believed.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Instances that must find an engine unusable before it is passed over for all.
const MIN_REPORTERS: usize = 2;

/// The first time for which an engine is passed over for all; it doubles each time that it is
/// found unusable again.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// The longest time for which an engine is passed over. One that is back gets work again
/// within so long.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// An engine that nobody found unusable for so long is trusted as any other.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// An engine that instances could not use.
#[derive(Clone, Debug, Default)]
struct Ejection {
    /// Who could not use it.
    reporters: BTreeSet<SocketAddrV4>,
    /// How often that was.
    count: u32,
    /// When it was last.
    last_report: Time,
    /// It is passed over until then.
    until: Time,
}

/// All such engines of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    by_engine: BTreeMap<EndpointKey, Ejection>,
}

impl Ejections {
    /// Notes that an instance could not use an engine.
    pub(super) fn record(&mut self, now: Time, engine: EndpointKey, reporter: SocketAddrV4) {
        let ejection = self.by_engine.entry(engine).or_default();
        ejection.reporters.insert(reporter);
        ejection.last_report = now;
        if ejection.reporters.len() >= MIN_REPORTERS {
            let doublings = ejection.count.min(8);
            ejection.count += 1;
            ejection.until = now + (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        }
    }

    /// Forgets what is long ago.
    pub(super) fn tick(&mut self, now: Time) {
        self.by_engine
            .retain(|_, it| now.since(it.last_report) < FORGET_AFTER);
    }

    /// Returns the engines that are passed over now.
    pub(super) fn ejected(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        let ejection = self.by_engine.iter().filter(move |(_, it)| now < it.until);
        ejection.map(|(engine, _)| *engine)
    }
}
