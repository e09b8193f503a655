//! What failures act upon, and what is noted while they do.

use super::CaseError;
use crate::checker::{LeavingNotice, Outage, PlannedStop, RevisionSeen};
use crate::fleet::plan::SHORT_SETTLE;
use crate::fleet::{Fleet, Plan};
use crate::standins::journal::now_us;
use crate::standins::text::Sampling;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Model engines of a case.
pub const ENGINES: usize = 4;
/// Instances of a case; even ones are in one view, odd ones in the other.
pub const INSTANCES: usize = 4;
/// The endpoint index of the service.
pub const SERVICE: usize = ENGINES;
/// Options of the engines: fast steps and memory that the surge fills.
const ENGINE_ARGS: &str =
    "--kv-tokens 4096 --max-running 32 --step-ms 4 --per-running-us 20 --prefill-us 4 --lag-ms 100";
/// Options of the services.
const SERVICE_ARGS: &str = "--call-ms 10";
/// Options of the platforms: short watches, which confirm the list often.
const PLATFORM_ARGS: &str = "--watch-ms 300";
/// Shorter timeouts than in production, in the same proportions, so that a case takes seconds.
const SETTINGS: &str = "[endpoints]\nstall_timeout_ms = 800\nconnect_timeout_ms = 500\n\
    report_timeout_ms = 400\n\n\
    [stop]\nnotice_ms = 300\n\n";
/// How long the homes of keys need after the start until they grant.
pub const SETTLE: Duration = SHORT_SETTLE.saturating_add(Duration::from_millis(200));
/// How often the instances' catalogue revisions are looked at.
const SIGHT_INTERVAL: Duration = Duration::from_millis(100);

/// What the balancer knows: which instances get requests.
#[derive(Clone, Debug)]
pub struct Balancer(Arc<Mutex<Vec<Member>>>);

#[derive(Clone, Debug)]
struct Member {
    name: String,
    address: SocketAddr,
    up: bool,
}

impl Balancer {
    fn new(fleet: &Fleet) -> Self {
        let members = fleet.instances.iter().map(|instance| Member {
            name: instance.name.clone(),
            address: instance.callers,
            up: true,
        });
        Balancer(Arc::new(Mutex::new(members.collect())))
    }

    /// Takes an instance out, or in again.
    pub fn set(&self, index: usize, up: bool) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)[index].up = up;
    }

    /// Returns an instance that gets requests, the one that `pick` chooses.
    pub fn choose(&self, pick: usize) -> Option<(String, SocketAddr)> {
        let members = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let up: Vec<&Member> = members.iter().filter(|member| member.up).collect();
        let member = up.get(pick.checked_rem(up.len())?)?;
        Some((member.name.clone(), member.address))
    }
}

/// What was noted about the failures of a case.
#[derive(Debug, Default)]
pub struct Notes {
    /// When endpoints were first said to be leaving.
    pub leaving: Vec<LeavingNotice>,
    /// Planned stops.
    pub stops: Vec<PlannedStop>,
    /// Instances that were not there.
    pub outages: Vec<Outage>,
}

/// What failures act upon.
#[derive(Debug)]
pub struct Scene {
    /// The fleet.
    pub fleet: Fleet,
    /// Which instances get requests.
    pub balancer: Balancer,
    /// What was noted.
    pub notes: Notes,
    /// The program that every process runs.
    pub program: PathBuf,
    /// Failures that go on by themselves until they are healed, by slot.
    pub repeating: Vec<(usize, JoinHandle<()>)>,
}

impl Scene {
    /// Starts the fleet of a case.
    ///
    /// With random sampling a replay elsewhere differs from what was delivered,
    /// with greedy sampling it does not; both must be met.
    pub async fn start(program: &Path, sampling: Sampling) -> Result<Self, CaseError> {
        let sampling = match sampling {
            Sampling::Greedy => "--sampling greedy",
            Sampling::Random => "--sampling random",
        };
        let plan = Plan::default()
            .with_instances(INSTANCES)
            .with_engines(ENGINES)
            .with_services(1)
            .with_two_views()
            .with_engine_args(ENGINE_ARGS)
            .with_engine_args(sampling)
            .with_service_args(SERVICE_ARGS)
            .with_platform_args(PLATFORM_ARGS)
            .with_settings(SETTINGS)
            .with_short_claims();
        let fleet = Fleet::start(plan, program).await?;
        Ok(Scene {
            balancer: Balancer::new(&fleet),
            fleet,
            notes: Notes::default(),
            program: program.to_owned(),
            repeating: Vec::new(),
        })
    }

    /// Notes that an endpoint is said to be leaving from now on.
    pub fn note_leaving(&mut self, endpoint: usize) {
        let endpoint = self.fleet.endpoints[endpoint].name.clone();
        self.notes.leaving.push(LeavingNotice {
            endpoint,
            from_us: now_us(),
            until_us: None,
        });
    }

    /// Notes that an endpoint is no longer said to be leaving.
    pub fn note_staying(&mut self, endpoint: usize) {
        let name = &self.fleet.endpoints[endpoint].name;
        for notice in &mut self.notes.leaving {
            if notice.endpoint == *name && notice.until_us.is_none() {
                notice.until_us = Some(now_us());
            }
        }
    }

    /// Notes that an instance is not there from now on.
    pub fn note_down(&mut self, instance: usize) {
        self.balancer.set(instance, false);
        let instance = self.fleet.instances[instance].name.clone();
        self.notes.outages.push(Outage {
            instance,
            from_us: now_us(),
            until_us: u64::MAX,
        });
    }

    /// Notes that an instance serves again.
    pub fn note_up(&mut self, instance: usize) {
        let name = &self.fleet.instances[instance].name;
        for outage in &mut self.notes.outages {
            if outage.instance == *name && outage.until_us == u64::MAX {
                outage.until_us = now_us();
            }
        }
        self.balancer.set(instance, true);
    }

    /// Starts to look at the catalogue revisions in force; ends when dropped.
    pub fn watch_revisions(&self) -> Sightings {
        let seen = Arc::new(Mutex::new(Vec::new()));
        let watched: Vec<(String, SocketAddr)> = self
            .fleet
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.operators))
            .collect();
        let tasks = watched
            .into_iter()
            .map(|(name, operators)| {
                let client = self.fleet.operators.clone();
                let seen = Arc::clone(&seen);
                tokio::spawn(async move {
                    loop {
                        if let Ok(status) = client.status(operators).await {
                            let revision = status.catalogue.revision;
                            push(&seen, &name, (revision > 0).then_some(revision));
                        }
                        tokio::time::sleep(SIGHT_INTERVAL).await;
                    }
                })
            })
            .collect();
        Sightings { seen, tasks }
    }
}

fn push(seen: &Mutex<Vec<RevisionSeen>>, instance: &str, revision: Option<u64>) {
    let sighting = RevisionSeen {
        instance: instance.to_owned(),
        at_us: now_us(),
        revision,
    };
    seen.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(sighting);
}

/// Catalogue revisions as they are seen.
#[derive(Debug)]
pub struct Sightings {
    seen: Arc<Mutex<Vec<RevisionSeen>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl Sightings {
    /// Returns whether the last sighting of every instance is `revision`.
    pub fn all_at(&self, revision: u64, instances: usize) -> bool {
        let seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        let mut last = std::collections::BTreeMap::new();
        for sighting in seen.iter() {
            last.insert(sighting.instance.as_str(), sighting.revision);
        }
        last.len() == instances && last.values().all(|seen| *seen == Some(revision))
    }

    /// Stops looking and returns what was seen.
    pub fn stop(self) -> Vec<RevisionSeen> {
        for task in &self.tasks {
            task.abort();
        }
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *seen)
    }
}
