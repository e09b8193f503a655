//! A leaving endpoint receives no new work after a few seconds.

use super::evidence::{Evidence, LeavingNotice};
use super::{Promise, Violations};
use crate::standins::journal::Fact;

/// How long after the first notice anywhere work may still arrive, in microseconds.
pub const LEAVING_GRACE_US: u64 = 5_000_000;

/// Checks every notice.
pub fn check(evidence: &Evidence, found: &mut Violations) {
    for notice in &evidence.leaving {
        check_notice(evidence, notice, found);
    }
}

fn check_notice(evidence: &Evidence, notice: &LeavingNotice, found: &mut Violations) {
    let from = notice.from_us + LEAVING_GRACE_US;
    let until = notice.until_us.unwrap_or(u64::MAX);
    let endpoints = evidence.endpoints.iter();
    for endpoint in endpoints.filter(|endpoint| endpoint.name == notice.endpoint) {
        for entry in &endpoint.entries {
            let Fact::Arrived { attempt, .. } = &entry.fact else {
                continue;
            };
            if (from..until).contains(&entry.at_us) {
                let late_ms = (entry.at_us - notice.from_us) / 1_000;
                let detail = format!("{attempt} arrived at {} {late_ms} ms late", endpoint.name);
                found.push(Promise::Leaving, detail);
            }
        }
    }
}
