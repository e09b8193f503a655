//! The process that relays.

use super::{RelayArgs, RelayBenchError};
use crate::fleet::{Fleet, Plan};
use crate::process::child::Child;
use std::net::SocketAddr;
use std::path::Path;

/// The process that relays: a whole instance, or the relay alone.
#[derive(Debug)]
pub(super) enum Relaying {
    /// An instance with platform and published engines.
    Instance(Box<Fleet>),
    /// The relay alone.
    Bare {
        /// The process.
        child: Child,
        /// Where callers reach it.
        address: SocketAddr,
    },
}

impl Relaying {
    /// Starts what `args` ask for, before `engines`.
    pub async fn start(
        args: &RelayArgs,
        engines: &[SocketAddr],
        dir: &Path,
    ) -> Result<Self, RelayBenchError> {
        match args.bare {
            true => start_bare(args, engines, dir),
            false => start_instance(engines).await,
        }
    }

    /// Returns where callers reach it.
    pub fn address(&self) -> SocketAddr {
        match self {
            Relaying::Instance(fleet) => fleet.instances[0].callers,
            Relaying::Bare { address, .. } => *address,
        }
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        match self {
            Relaying::Instance(fleet) => fleet.instances[0].child.pid(),
            Relaying::Bare { child, .. } => child.pid(),
        }
    }
}

fn start_bare(
    args: &RelayArgs,
    engines: &[SocketAddr],
    dir: &Path,
) -> Result<Relaying, RelayBenchError> {
    let mut child_args = vec![
        "relay-node".to_owned(),
        "--threads".to_owned(),
        args.bare_threads.to_string(),
    ];
    child_args.extend(engines.iter().map(SocketAddr::to_string));
    let program = std::env::current_exe()?;
    let log = dir.join("bare.log");
    let (child, address) = Child::start_listening("bare", &program, child_args, &log)?;
    Ok(Relaying::Bare { child, address })
}

/// Starts an instance and then publishes our engines in place of the fleet's,
/// which pace themselves by another clock.
async fn start_instance(engines: &[SocketAddr]) -> Result<Relaying, RelayBenchError> {
    let program = std::env::current_exe()?;
    let plan = Plan::default().with_engines(engines.len());
    let mut fleet = Fleet::start(plan, &program).await?;
    for (route, engine) in fleet.views[0].to_endpoints.iter_mut().zip(engines) {
        route.retarget(*engine);
    }
    for endpoint in &mut fleet.endpoints {
        endpoint.child.kill();
    }
    fleet.publish_list().await?;
    fleet.all_ready().await?;
    tokio::time::sleep(LIST_SPREAD).await;
    Ok(Relaying::Instance(Box::new(fleet)))
}

/// How long the instance is given to learn of the published engines and their load.
const LIST_SPREAD: std::time::Duration = std::time::Duration::from_secs(3);
