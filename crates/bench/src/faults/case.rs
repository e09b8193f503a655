//! Runs one case.

use super::Case;
use super::collect;
use super::heal::{self, heal};
use super::inject::inject;
use super::scene::{INSTANCES, SETTLE, Scene, Sightings};
use super::surge;
use crate::checker::{CallerRecord, Evidence, PlannedStop, Violation, check};
use crate::fleet::FleetError;
use crate::process::child::ChildError;
use crate::standins::admin::AdminError;
use crate::standins::journal::now_us;
use nix::sys::signal::Signal;
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// What can go wrong with a case itself.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CaseError {
    /// {0}
    Fleet(#[from] FleetError),
    /// {0}
    Child(#[from] ChildError),
    /// {0}
    Admin(#[from] AdminError),
    /// a caller could not be made: {0}
    Caller(#[from] reqwest::Error),
    /// {0}
    Io(#[from] io::Error),
}

/// What a case showed.
#[derive(Debug)]
pub struct CaseOutcome {
    /// Everything that was recorded.
    pub evidence: Evidence,
    /// Broken promises.
    pub violations: Vec<Violation>,
    /// What instances say about the requests that took longest.
    pub slowest: Vec<String>,
    /// How long the case took.
    pub lasted: Duration,
    /// Where the files were kept, if they were.
    pub files: Option<PathBuf>,
}

/// When the first failure strikes.
const STRIKE_AT: Duration = Duration::from_millis(600);
/// How much later the second one strikes.
const SECOND_AFTER: Duration = Duration::from_millis(300);
/// How long requests come after the last failure was healed.
const AFTERMATH: Duration = Duration::from_millis(1_500);
/// How long the last catalogue revision may take to be in force everywhere.
const CATALOGUE_LIMIT: Duration = Duration::from_secs(20);
/// How often it is looked at.
const CATALOGUE_POLL: Duration = Duration::from_millis(50);

/// Requests that took longer are looked into.
const SLOW_US: u64 = 15_000_000;
/// How many of them.
const EXPLAINED: usize = 2;

/// Runs one case from the start of its fleet to its check.
pub async fn run_case(case: &Case) -> Result<CaseOutcome, CaseError> {
    let begun = Instant::now();
    let mut scene = Scene::start(&case.program, case.sampling).await?;
    let result = run_in(&mut scene, case).await;
    let files = case.keep.then(|| scene.fleet.keep_dir().to_owned());
    let (evidence, slowest) = result?;
    Ok(CaseOutcome {
        violations: check(&evidence),
        evidence,
        slowest,
        lasted: begun.elapsed(),
        files,
    })
}

async fn run_in(scene: &mut Scene, case: &Case) -> Result<(Evidence, Vec<String>), CaseError> {
    let sightings = scene.watch_revisions();
    tokio::time::sleep(SETTLE).await;
    let longest = case.faults.iter().map(|fault| fault.hold()).max();
    let lasting = STRIKE_AT + SECOND_AFTER + longest.unwrap_or_default() + AFTERMATH;
    let balancer = scene.balancer.clone();
    let (seed, requests) = (case.seed, case.requests);
    let load = tokio::spawn(async move { surge::run(&balancer, seed, requests, lasting).await });
    strike(scene, case).await?;
    let callers = load.await.map_err(io::Error::other)??;
    wait_for_catalogue(scene, &sightings).await;
    let revisions = sightings.stop();
    let slowest = explain_slowest(scene, &callers).await;
    stop_all(scene).await?;
    let evidence = collect::evidence(scene, callers, revisions)?;
    Ok((evidence, slowest))
}

/// Asks instances about the requests that took longest, while they still know.
async fn explain_slowest(scene: &Scene, callers: &[CallerRecord]) -> Vec<String> {
    let slow = |caller: &&CallerRecord| caller.received.lasted_us >= SLOW_US;
    let mut slow: Vec<&CallerRecord> = callers.iter().filter(slow).collect();
    slow.sort_by_key(|caller| std::cmp::Reverse(caller.received.lasted_us));
    let mut lines = Vec::new();
    for caller in slow.into_iter().take(EXPLAINED) {
        let seconds = caller.received.lasted_us as f64 / 1e6;
        let ending = &caller.received.ending;
        let prompt = &caller.received.prompt;
        lines.push(format!("{seconds:.1} s, {prompt}, {ending:?}"));
        let instances = scene.fleet.instances.iter();
        let asked = instances.filter(|instance| instance.name == caller.instance);
        for (instance, id) in asked.zip(&caller.received.request) {
            let path = format!("explain/{id}");
            let page = scene.fleet.operators.page(instance.operators, &path).await;
            lines.push(page.unwrap_or_else(|error| error.to_string()));
        }
    }
    lines
}

/// Lets the failures strike one after the other, and heals them together.
async fn strike(scene: &mut Scene, case: &Case) -> Result<(), CaseError> {
    tokio::time::sleep(STRIKE_AT).await;
    let begun = Instant::now();
    for (slot, fault) in case.faults.iter().enumerate() {
        if slot > 0 {
            tokio::time::sleep(SECOND_AFTER).await;
        }
        inject(scene, *fault, slot).await?;
    }
    let longest = case.faults.iter().map(|fault| fault.hold()).max();
    let left = longest.unwrap_or_default().saturating_sub(begun.elapsed());
    tokio::time::sleep(left).await;
    for (slot, fault) in case.faults.iter().enumerate() {
        heal(scene, *fault, slot).await?;
    }
    Ok(())
}

/// Waits until the last revision is in force everywhere; the checker tells if it never is.
async fn wait_for_catalogue(scene: &Scene, sightings: &Sightings) {
    let deadline = Instant::now() + CATALOGUE_LIMIT;
    let last = scene.fleet.catalogue.revision;
    while !sightings.all_at(last, INSTANCES) && Instant::now() < deadline {
        tokio::time::sleep(CATALOGUE_POLL).await;
    }
}

/// Stops every instance as planned; nothing is in flight any more.
async fn stop_all(scene: &mut Scene) -> Result<(), CaseError> {
    for instance in &scene.fleet.instances {
        scene.notes.stops.push(PlannedStop {
            instance: instance.name.clone(),
            at_us: now_us(),
            exit_code: None,
        });
        instance.child.signal(Signal::SIGTERM)?;
    }
    for slot in 0..scene.fleet.instances.len() {
        heal::note_exit(scene, slot).await?;
    }
    Ok(())
}
