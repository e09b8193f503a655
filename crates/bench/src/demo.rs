//! A small fleet as real processes that shows what the product does.
//!
//! Short urgent and long requests are sent at once to several instances before
//! a few crowded engines. Tokens are shown as they arrive, then each route with
//! its reasons, as the instances' operators see them. In the end a planned stop
//! of all instances while a long stream still runs shows that it is not cut.

mod requests;
mod screen;

use crate::fleet::{Fleet, FleetError, Plan};
use crate::load::{Caller, Received};
use crate::process::block_on;
use crate::process::child::Child;
use nix::sys::signal::Signal;
use requests::{Request, Requests};
use screen::Screen;
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinSet;

/// Options of the demo.
#[derive(Clone, Debug, clap::Args)]
pub struct DemoArgs {
    /// How many instances are started.
    #[arg(long, default_value_t = 3)]
    pub instances: usize,
    /// How many model engines are started.
    #[arg(long, default_value_t = 3)]
    pub engines: usize,
    /// Keep the directory with settings, catalogue, list, logs and journals.
    #[arg(long)]
    pub keep: bool,
}

/// What can go wrong with the demo.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum DemoError {
    /// {0}
    Fleet(#[from] FleetError),
    /// {0}
    Child(#[from] crate::process::child::ChildError),
    /// a caller could not be made: {0}
    Caller(#[from] reqwest::Error),
    /// {0}
    Io(#[from] io::Error),
    /// {0} of the requests did not end with their whole answer
    NotWhole(usize),
    /// {name} ended with {status} instead of 0
    BadExit {
        /// The instance.
        name: String,
        /// Its exit status.
        status: std::process::ExitStatus,
    },
}

/// Options of every engine: small memory, so that long requests crowd it.
const ENGINE_ARGS: &str = "--kv-tokens 4096 --max-running 8 --step-ms 8";
/// How long a planned stop may take: longer than the longest stream.
const STOP_LIMIT: Duration = Duration::from_secs(30);
/// How long an explanation may take.
const EXPLAIN_LIMIT: Duration = Duration::from_secs(10);

/// Runs the demo.
pub fn run(args: DemoArgs) -> ExitCode {
    block_on("demo", show(args))
}

async fn show(args: DemoArgs) -> Result<ExitCode, DemoError> {
    let program = std::env::current_exe()?;
    let screen = Arc::new(Screen::new());
    screen.head("Starting platform, engines, a plain service and instances as processes");
    let plan = Plan::default()
        .with_instances(args.instances)
        .with_engines(args.engines)
        .with_services(1)
        .with_engine_args(ENGINE_ARGS);
    let mut fleet = Fleet::start(plan, &program).await?;
    if args.keep {
        screen.line(&format!("files are kept in {}", fleet.keep_dir().display()));
    }
    list_processes(&fleet, &screen);

    screen.head("Short urgent and long requests at once");
    let ended = send_all(&fleet, &screen, Requests::crowd()).await?;

    screen.head("Why each went where it did (oriolemux explain)");
    for (request, received) in &ended {
        explain(&fleet, &program, &screen, request, received)?;
    }

    screen.head("Planned stop of every instance while long streams run");
    let last = stop_under_load(&mut fleet, &screen).await?;
    let not_whole = ended.iter().chain(&last);
    let not_whole = not_whole.filter(|(_, got)| !got.is_complete()).count();
    if not_whole > 0 {
        return Err(DemoError::NotWhole(not_whole));
    }
    screen.head("Every request had its whole answer, and every instance ended with 0");
    Ok(ExitCode::SUCCESS)
}

fn list_processes(fleet: &Fleet, screen: &Screen) {
    for endpoint in &fleet.endpoints {
        let (name, pid) = (&endpoint.name, endpoint.child.pid());
        screen.line(&format!("{name:<10} pid {pid:<8} at {}", endpoint.address));
    }
    for instance in &fleet.instances {
        let (name, pid) = (&instance.name, instance.child.pid());
        let (callers, operators) = (instance.callers, instance.operators);
        screen.line(&format!(
            "{name:<10} pid {pid:<8} callers at {callers}, operators at {operators}"
        ));
    }
}

/// Sends all requests at once, spread over the instances, and waits for their ends.
async fn send_all(
    fleet: &Fleet,
    screen: &Arc<Screen>,
    requests: Vec<Request>,
) -> Result<Vec<(Request, Received)>, DemoError> {
    let mut sent = begin_all(fleet, screen, requests)?;
    let mut ended = Vec::new();
    while let Some(result) = sent.join_next().await {
        ended.push(result.map_err(io::Error::other)?);
    }
    ended.sort_by_key(|(request, _)| request.number);
    Ok(ended)
}

fn begin_all(
    fleet: &Fleet,
    screen: &Arc<Screen>,
    requests: Vec<Request>,
) -> Result<JoinSet<(Request, Received)>, DemoError> {
    let mut sent = JoinSet::new();
    for mut request in requests {
        let instance = request.number % fleet.instances.len();
        request.instance = instance;
        let address = fleet.instances[instance].callers;
        let caller = Caller::new(request.key)?;
        let screen = Arc::clone(screen);
        sent.spawn(async move {
            let received = request.send(&caller, address, &screen).await;
            (request, received)
        });
    }
    Ok(sent)
}

/// Prints what the instance that took the request says about it.
fn explain(
    fleet: &Fleet,
    program: &Path,
    screen: &Screen,
    request: &Request,
    received: &Received,
) -> Result<(), DemoError> {
    let Some(id) = &received.request else {
        return Ok(());
    };
    let instance = &fleet.instances[request.instance];
    screen.line(&format!(
        "{} ({id}, through {})",
        request.name, instance.name
    ));
    let log: PathBuf = fleet.dir().join(format!("explain-{}.log", request.number));
    let settings = instance.settings.display().to_string();
    let args = ["node", "explain", id, "--settings", &settings];
    Child::start("explain", program, args, &log)?.wait(EXPLAIN_LIMIT)?;
    for line in std::fs::read_to_string(log)?.lines() {
        screen.line(&format!("    {line}"));
    }
    Ok(())
}

/// Tells all instances to stop while streams run, and waits for both.
async fn stop_under_load(
    fleet: &mut Fleet,
    screen: &Arc<Screen>,
) -> Result<Vec<(Request, Received)>, DemoError> {
    let mut sent = begin_all(fleet, screen, Requests::last())?;
    screen.first_tokens(sent.len()).await;
    for instance in &fleet.instances {
        instance.child.signal(Signal::SIGTERM)?;
        screen.line(&format!("{} was sent SIGTERM", instance.name));
    }
    let mut ended = Vec::new();
    while let Some(result) = sent.join_next().await {
        ended.push(result.map_err(io::Error::other)?);
    }
    for instance in &mut fleet.instances {
        let status = instance.child.wait(STOP_LIMIT)?;
        let name = instance.name.clone();
        if !status.success() {
            return Err(DemoError::BadExit { name, status });
        }
        screen.line(&format!("{name} ended with 0"));
    }
    Ok(ended)
}
