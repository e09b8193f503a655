//! Real processes: what an instance takes at rest, and how a catalogue spreads.

use super::fit::Point;
use crate::fleet::{Fleet, FleetError, Plan};
use core::time::Duration;
use std::time::Instant;
use tokio::time::sleep;

/// How long an instance rests before and while it is looked at.
const REST: Duration = Duration::from_secs(4);
/// How often instances are asked which catalogue is in force.
const SPREAD_POLL: Duration = Duration::from_millis(5);
/// Revisions that are published for one point; the slowest counts.
const SPREAD_REVISIONS: usize = 3;
/// A revision that is not in force everywhere by then never will be.
const SPREAD_LIMIT: Duration = Duration::from_secs(30);

/// What an instance takes at rest.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct AtRest {
    pub endpoints: f64,
    pub bytes: f64,
    pub micros_per_s: f64,
}

/// Measures an instance that is home for so many endpoints and has no callers.
pub(super) async fn at_rest(endpoints: usize) -> Result<AtRest, FleetError> {
    let plan = Plan::default().with_engines(endpoints);
    let mut fleet = Fleet::start(plan, &std::env::current_exe()?).await?;
    fleet.all_ready().await?;
    sleep(REST).await;
    let pid = fleet.instances[0].child.pid();
    let before = processor_time(pid)?;
    sleep(REST).await;
    let spent = processor_time(pid)?.saturating_sub(before);
    Ok(AtRest {
        endpoints: endpoints as f64,
        bytes: resident_bytes(pid)?,
        micros_per_s: spent.as_secs_f64() * 1e6 / REST.as_secs_f64(),
    })
}

/// Returns how long a catalogue revision takes until it is in force at every
/// one of so many instances.
pub(super) async fn spread(instances: usize) -> Result<Point, FleetError> {
    let plan = Plan::default().with_instances(instances);
    let mut fleet = Fleet::start(plan, &std::env::current_exe()?).await?;
    fleet.all_ready().await?;
    sleep(REST).await;
    let mut slowest = Duration::ZERO;
    for _ in 0..SPREAD_REVISIONS {
        slowest = slowest.max(spread_once(&mut fleet).await?);
    }
    Ok(Point {
        x: instances as f64,
        y: slowest.as_secs_f64(),
    })
}

async fn spread_once(fleet: &mut Fleet) -> Result<Duration, FleetError> {
    let start = Instant::now();
    fleet.publish_catalogue().await?;
    let revision = fleet.catalogue.revision;
    while start.elapsed() < SPREAD_LIMIT {
        if in_force_everywhere(fleet, revision).await {
            break;
        }
        sleep(SPREAD_POLL).await;
    }
    Ok(start.elapsed())
}

async fn in_force_everywhere(fleet: &Fleet, revision: u64) -> bool {
    for instance in &fleet.instances {
        let status = fleet.operators.status(instance.operators).await;
        if !status.is_ok_and(|it| it.catalogue.revision == revision) {
            return false;
        }
    }
    true
}

/// Returns the anonymous memory of a process.
fn resident_bytes(pid: u32) -> std::io::Result<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    let kilobytes = kilobytes.and_then(|it| it.trim().trim_end_matches(" kB").trim().parse().ok());
    Ok(kilobytes.unwrap_or(0.0) * 1024.0)
}

/// Returns the processor time of all threads of a process, from the scheduler's
/// nanoseconds; the usual figures count in hundredths of a second.
fn processor_time(pid: u32) -> std::io::Result<Duration> {
    let mut total = Duration::ZERO;
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let text = std::fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanos = text
            .split_whitespace()
            .next()
            .and_then(|it| it.parse().ok());
        total += Duration::from_nanos(nanos.unwrap_or(0));
    }
    Ok(total)
}
