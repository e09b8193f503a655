//! Questions which catalogue is in force at each instance.
//!
//! Each catalogue brings a key and drops that of the one before, so that the answer to a
//! call with a key says whether its catalogue is in force.

use super::record::Probe;
use super::world::{World, key_of};
use core::time::Duration;
use oriolemux_platform_standin::{Caller, Connection};
use std::sync::Arc;
use std::time::Instant;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

/// How often each instance is asked.
const ASKS_EACH: Duration = Duration::from_millis(120);

/// How long an answer is waited for.
const WAITS: Duration = Duration::from_secs(2);

/// Running probes.
pub struct Probes {
    stop: CancellationToken,
    tasks: JoinSet<Vec<Probe>>,
}

/// Starts to ask every instance.
pub fn start(world: &Arc<World>) -> Probes {
    let stop = CancellationToken::new();
    let mut tasks = JoinSet::new();
    for instance in 0..world.instances() {
        tasks.spawn(ask(Arc::clone(world), instance, stop.clone()));
    }
    Probes { stop, tasks }
}

impl Probes {
    /// Ends, and returns what was heard.
    pub async fn end(self) -> Vec<Probe> {
        self.stop.cancel();
        self.tasks.join_all().await.into_iter().flatten().collect()
    }
}

async fn ask(world: Arc<World>, instance: usize, stop: CancellationToken) -> Vec<Probe> {
    let mut probes = Vec::new();
    while !stop.is_cancelled() {
        let newest = world.published();
        for version in [newest, newest.saturating_sub(1)] {
            if version > 0 {
                let name = format!("probe-{instance}-{}", probes.len());
                probes.push(one(&world, instance, version, &name).await);
            }
        }
        sleep(ASKS_EACH).await;
    }
    probes
}

async fn one(world: &World, instance: usize, version: u32, name: &str) -> Probe {
    let (front, life) = world.front(instance);
    let caller = Caller::new(name, "/read/probe")
        .key(&key_of(version))
        .timeout(WAITS);
    let sent = Instant::now();
    let exchange = async {
        let mut connection = Connection::open(front).await.ok()?;
        connection.send(caller).await.ok()
    };
    let reply = timeout(WAITS, exchange).await.ok().flatten();
    let taken = reply.and_then(|reply| match reply.status.as_u16() {
        401 => Some(false),
        _ if reply.is_signed() => Some(true),
        // Refused for another reason; that says nothing of the key.
        _ => None,
    });
    Probe {
        instance,
        life,
        sent,
        version,
        taken,
    }
}
