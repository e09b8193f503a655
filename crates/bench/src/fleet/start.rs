//! Starts the processes of a fleet.

use super::catalogue::Catalogue;
use super::list::{DATA_CENTRE, MODEL};
use super::operators::{OPERATORS_KEY, Operators, PEER_SECRET};
use super::plan::Plan;
use super::route::Route;
use super::{Endpoint, Fleet, FleetError, Instance, View};
use crate::process::child::Child;
use crate::standins::admin::Admin;
use rand::Rng;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

/// How often a fleet is started anew because one of its ports was taken.
const START_TRIES: u32 = 5;

impl Fleet {
    /// Starts everything that `plan` names, with `program` for every process,
    /// and waits until every instance serves.
    ///
    /// Instances must know their ports before they start, so that a free one
    /// is found, left and bound again by the instance. On a busy machine
    /// another process takes it in between now and then; the instance ends and
    /// says so, and everything is started again.
    pub async fn start(plan: Plan, program: &Path) -> Result<Self, FleetError> {
        for _ in 1..START_TRIES {
            match Self::start_once(plan.clone(), program).await {
                Err(error) if is_port_taken(&error) => {}
                started => return started,
            }
        }
        Self::start_once(plan, program).await
    }

    async fn start_once(plan: Plan, program: &Path) -> Result<Self, FleetError> {
        let dir = tempfile::Builder::new().prefix("oriolemux-").tempdir()?;
        write_secrets(dir.path())?;
        let endpoints = start_endpoints(&plan, program, dir.path())?;
        let mut views = Vec::new();
        for view in 0..plan.views {
            views.push(start_view(&plan, program, dir.path(), view, &endpoints).await?);
        }
        let mut fleet = Fleet {
            catalogue: Catalogue::first(plan.services > 0),
            endpoints,
            instances: Vec::new(),
            views,
            admin: Admin::new()?,
            operators: Operators::new().map_err(io::Error::other)?,
            leaving: Vec::new(),
            unlisted: Vec::new(),
            list_revision: 0,
            plan,
            dir,
        };
        fleet.start_instances(program).await?;
        Ok(fleet)
    }

    async fn start_instances(&mut self, program: &Path) -> Result<(), FleetError> {
        let mut planned = Vec::new();
        for index in 0..self.plan.instances {
            planned.push(self.plan_instance(index)?);
        }
        for instance in &planned {
            for view in &mut self.views {
                let route = Route::new(instance.peers, self.plan.proxied).await?;
                view.to_instances.push(route);
            }
        }
        for instance in planned {
            let child = start_instance(program, &instance.name, &instance.settings, self.dir())?;
            self.instances.push(instance.with(child));
        }
        for view in 0..self.views.len() {
            self.write_catalogue(view, &self.catalogue).await?;
        }
        self.publish_list().await?;
        self.all_ready().await
    }

    fn plan_instance(&self, index: usize) -> Result<PlannedInstance, FleetError> {
        let [callers, peers, operators] = free_addresses()?;
        let view = index % self.views.len();
        let name = format!("entry-{}", index + 1);
        let settings = self.dir().join(format!("{name}.toml"));
        let platform = self.views[view].to_platform.address();
        let dir = self.dir().display();
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"{DATA_CENTRE}\"\n\n\
             [callers]\nlisten = \"{callers}\"\n\n\
             [peers]\nlisten = \"{peers}\"\nsecret_file = \"{dir}/peer-secret\"\n\n\
             [operators]\nlisten = \"{operators}\"\nkey_file = \"{dir}/operators-key\"\n\n\
             [platform]\naddresses = [\"{platform}\"]\n\n{}",
            self.plan.settings
        );
        std::fs::write(&settings, text)?;
        Ok(PlannedInstance {
            name,
            callers,
            peers,
            operators,
            settings,
            view,
        })
    }

    /// Starts instance `index` again at the same addresses, after its end.
    pub fn restart_instance(&mut self, index: usize, program: &Path) -> Result<(), FleetError> {
        let instance = &self.instances[index];
        let child = start_instance(program, &instance.name, &instance.settings, self.dir())?;
        self.instances[index].child = child;
        Ok(())
    }

    /// Starts endpoint `index` again, after its end, and leads all ways to it.
    pub fn restart_endpoint(&mut self, index: usize, program: &Path) -> Result<(), FleetError> {
        let endpoint = &mut self.endpoints[index];
        let log = endpoint.child.log().to_owned();
        let (child, address) =
            Child::start_listening(&endpoint.name, program, endpoint.args.clone(), &log)?;
        endpoint.child = child;
        endpoint.address = address;
        for view in &mut self.views {
            view.to_endpoints[index].retarget(address);
        }
        Ok(())
    }
}

fn is_port_taken(error: &FleetError) -> bool {
    const IN_USE: &str = "Address already in use";
    matches!(error, FleetError::Ended { last_words, .. } if last_words.contains(IN_USE))
}

struct PlannedInstance {
    name: String,
    callers: SocketAddr,
    peers: SocketAddr,
    operators: SocketAddr,
    settings: PathBuf,
    view: usize,
}

impl PlannedInstance {
    fn with(self, child: Child) -> Instance {
        Instance {
            name: self.name,
            child,
            callers: self.callers,
            peers: self.peers,
            operators: self.operators,
            settings: self.settings,
            view: self.view,
        }
    }
}

fn write_secrets(dir: &Path) -> io::Result<()> {
    std::fs::write(dir.join("peer-secret"), PEER_SECRET)?;
    std::fs::write(dir.join("operators-key"), OPERATORS_KEY)
}

fn start_endpoints(plan: &Plan, program: &Path, dir: &Path) -> Result<Vec<Endpoint>, FleetError> {
    let mut endpoints = Vec::new();
    for index in 1..=plan.engines {
        let mut args = vec!["engine".to_owned(), "--model".to_owned(), MODEL.to_owned()];
        args.extend(plan.engine_args.clone());
        let name = format!("engine-{index}");
        endpoints.push(start_endpoint(name, args, program, dir)?);
    }
    for index in 1..=plan.services {
        let mut args = vec!["service".to_owned()];
        args.extend(plan.service_args.clone());
        let name = format!("service-{index}");
        endpoints.push(start_endpoint(name, args, program, dir)?);
    }
    Ok(endpoints)
}

fn start_endpoint(
    name: String,
    mut args: Vec<String>,
    program: &Path,
    dir: &Path,
) -> Result<Endpoint, FleetError> {
    let journal = dir.join(format!("{name}.journal"));
    args.extend(["--journal".to_owned(), journal.display().to_string()]);
    let log = dir.join(format!("{name}.log"));
    let (child, address) = Child::start_listening(&name, program, args.clone(), &log)?;
    Ok(Endpoint {
        name,
        child,
        address,
        journal,
        args,
    })
}

async fn start_view(
    plan: &Plan,
    program: &Path,
    dir: &Path,
    view: usize,
    endpoints: &[Endpoint],
) -> Result<View, FleetError> {
    let name = format!("platform-{}", view + 1);
    let log = dir.join(format!("{name}.log"));
    let mut args = vec!["platform".to_owned()];
    args.extend(plan.platform_args.clone());
    let (child, platform) = Child::start_listening(&name, program, args, &log)?;
    let mut to_endpoints = Vec::new();
    for endpoint in endpoints {
        to_endpoints.push(Route::new(endpoint.address, plan.proxied).await?);
    }
    Ok(View {
        child,
        platform,
        to_platform: Route::new(platform, plan.proxied).await?,
        to_endpoints,
        to_instances: Vec::new(),
    })
}

fn start_instance(
    program: &Path,
    name: &str,
    settings: &Path,
    dir: &Path,
) -> Result<Child, FleetError> {
    let log = dir.join(format!("{name}.log"));
    let settings = settings.display().to_string();
    let args = ["node", "serve", "--settings", &settings];
    Ok(Child::start(name, program, args, &log)?)
}

/// Ports that are tried for instances: below those that the system gives to
/// outgoing connections, any of which could take a port between its choice and
/// the start of the instance.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Finds free addresses.
///
/// They must be known before the instance starts, because the list publishes
/// them, and must stay the same when it starts again.
fn free_addresses<const N: usize>() -> io::Result<[SocketAddr; N]> {
    let mut rng = rand::rng();
    let mut held = Vec::new();
    while held.len() < N {
        let port = rng.random_range(PORTS);
        match TcpListener::bind(("127.0.0.1", port)) {
            Ok(listener) => held.push(listener),
            Err(error) if error.kind() == io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error),
        }
    }
    let mut addresses = [SocketAddr::from(([127, 0, 0, 1], 0)); N];
    for (address, listener) in addresses.iter_mut().zip(&held) {
        *address = listener.local_addr()?;
    }
    Ok(addresses)
}
