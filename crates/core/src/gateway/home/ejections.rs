//! Engines that are skipped for a while because instances could not use them.
//!
//! While the store is unavailable, engines that are gone keep their records and look empty. Without
//! ejection the home grants them to everybody; each instance tries several of them in a row, is
//! refused by all and gives up its request within milliseconds while other engines have room. A
//! report of one instance alone is not enough, since its own link may be broken.

use crate::ids::EndpointKey;
use crate::time::Time;
use core::time::Duration;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;

/// Instances that must find an engine unusable before it is ejected for all.
const MIN_REPORTERS: usize = 2;

/// Duration of the first ejection; it doubles each time that the engine is found unusable again.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection. An engine that recovers gets work again within this time.
const MAX_EJECTION: Duration = Duration::from_secs(4);

/// An engine without a new report for this long is no longer tracked.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// An engine that a home now skips for all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HomeEjection {
    /// The engine.
    pub engine: EndpointKey,
    /// How many instances could not use it.
    pub reporters: usize,
    /// How long it is skipped.
    pub duration: Duration,
}

/// An engine that instances could not use.
#[derive(Clone, Debug, Default)]
struct Ejection {
    /// The instances that could not use it.
    reporters: BTreeSet<SocketAddrV4>,
    /// How often it was ejected.
    count: u32,
    /// Time of the last report.
    last_report: Time,
    /// End of the ejection.
    until: Time,
}

/// All such engines of a service.
#[derive(Clone, Debug, Default)]
pub(super) struct Ejections {
    by_engine: BTreeMap<EndpointKey, Ejection>,
}

impl Ejections {
    /// Records that an instance could not use an engine; returns the ejection that this causes.
    pub(super) fn record(
        &mut self,
        now: Time,
        engine: EndpointKey,
        reporter: SocketAddrV4,
    ) -> Option<HomeEjection> {
        let ejection = self.by_engine.entry(engine).or_default();
        ejection.reporters.insert(reporter);
        ejection.last_report = now;
        if ejection.reporters.len() < MIN_REPORTERS {
            return None;
        }
        let doublings = ejection.count.min(8);
        let duration = (FIRST_EJECTION * (1 << doublings)).min(MAX_EJECTION);
        ejection.count += 1;
        ejection.until = now + duration;
        Some(HomeEjection {
            engine,
            reporters: ejection.reporters.len(),
            duration,
        })
    }

    /// Removes engines without a recent report.
    pub(super) fn tick(&mut self, now: Time) {
        self.by_engine
            .retain(|_, it| now.since(it.last_report) < FORGET_AFTER);
    }

    /// Returns the engines that are ejected now.
    pub(super) fn ejected(&self, now: Time) -> impl Iterator<Item = EndpointKey> {
        let ejection = self.by_engine.iter().filter(move |(_, it)| now < it.until);
        ejection.map(|(engine, _)| *engine)
    }
}
