//! How control costs grow: processor time, memory and bytes for each driver.
//!
//! The decisions are measured alone, with the sizes of the real messages, on
//! one node of a fleet of the planned size; the driver plays everybody else.
//! Each slope has at least four points, and its error is printed. What the
//! slopes come to at a size is worked out in [`mod@capacity`], from which
//! `docs/CAPACITY.md` has its tables.

pub mod capacity;
mod cost;
mod counter;
mod fit;
mod fleet;
mod memory;
pub mod page;
mod processes;
mod requests;
mod shell;
mod subject;
mod values;

pub(crate) use cost::thread_time;
pub use fit::{Fit, Point, fit};
pub use fleet::FleetSize;
pub use memory::MemoryDriver;

use crate::fleet::FleetError;
use crate::process::child::Child;
use capacity::{Capacity, Demand, capacity};
use clap::Args;
use core::time::Duration;
use processes::AtRest;
use requests::RequestCost;
use serde::{Deserialize, Serialize};
use shell::SocketCost;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tempfile::TempDir;

/// Arguments of `oriolemux-bench slopes`.
#[derive(Clone, Debug, Args)]
pub struct SlopesArgs {
    /// Write the slopes as JSON to this file.
    #[arg(long)]
    out: Option<PathBuf>,
    /// Compute the tables of this page anew, from the slopes in `--from` or, without it, as measured now.
    #[arg(long)]
    page: Option<PathBuf>,
    /// Take the slopes from this file instead of measuring them.
    #[arg(long)]
    from: Option<PathBuf>,
    /// Measure the memory of one driver in this process and print its points.
    #[arg(long, hide = true)]
    memory_of: Option<MemoryDriver>,
}

/// A measured slope.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What is measured, as `role.driver.cost`.
    pub name: String,
    /// What one unit of the driver is.
    pub driver: String,
    /// The unit of the cost.
    pub cost: String,
    /// The points.
    pub points: Vec<Point>,
    /// The line through them.
    pub fit: Fit,
}

impl Slope {
    fn new(name: &str, driver: &str, cost: &str, points: Vec<Point>) -> Self {
        Slope {
            name: name.to_owned(),
            driver: driver.to_owned(),
            cost: cost.to_owned(),
            fit: fit(&points),
            points,
        }
    }
}

/// Measures every slope.
///
/// # Errors
///
/// Fails if a child process for memory cannot be run.
pub fn measure_all() -> std::io::Result<Vec<Slope>> {
    let mut slopes = Vec::new();
    slopes.extend(request_slopes());
    slopes.extend(value_slopes());
    slopes.extend(shell_slopes()?);
    slopes.extend(process_slopes()?);
    for driver in MemoryDriver::ALL {
        let name = format!("memory.{}.bytes", driver.name());
        let points = driver.measure_in_child()?;
        slopes.push(Slope::new(&name, driver.name(), "bytes", points));
    }
    Ok(slopes)
}

/// Requests of the points for requests.
const REQUESTS: [usize; 5] = [200, 400, 800, 1_200, 1_600];
/// Requests a second that a node of the planned size gets from its callers.
const ENTRY_RATE: f64 = 3.6;
/// Requests a second that the home of one cell of the planned size gets.
const CELL_RATE: f64 = 11.7;

fn request_slopes() -> Vec<Slope> {
    let size = FleetSize::PLANNED;
    let entry =
        REQUESTS.map(|requests| cheapest(|| requests::as_entry(&size, requests, ENTRY_RATE)));
    let home = REQUESTS.map(|requests| cheapest(|| requests::as_home(&size, requests, CELL_RATE)));
    let mut slopes = slopes_of("entry.request", &entry);
    slopes.extend(slopes_of("home.request", &home));
    slopes
}

/// Repeats of one point; the cheapest is the least disturbed by the machine.
const REPEATS: usize = 3;

fn cheapest(mut measure: impl FnMut() -> RequestCost) -> RequestCost {
    let costs = (0..REPEATS).map(|_| measure());
    let cheapest = costs.min_by(|a, b| a.micros.total_cmp(&b.micros));
    cheapest.expect("there are repeats")
}

/// Returns the point with the least cost of some repeats.
fn lowest(mut measure: impl FnMut() -> Point) -> Point {
    let points = (0..REPEATS).map(|_| measure());
    points
        .min_by(|a, b| a.y.total_cmp(&b.y))
        .expect("there are repeats")
}

fn slopes_of(name: &str, costs: &[RequestCost]) -> Vec<Slope> {
    let points = |cost| costs.iter().map(|it| it.point(cost)).collect();
    let slope =
        |unit: &str, cost| Slope::new(&format!("{name}.{unit}"), "request", unit, points(cost));
    vec![
        slope("us", |it| it.micros),
        slope("bytes", |it| it.bytes),
        slope("messages", |it| it.messages),
    ]
}

fn value_slopes() -> Vec<Slope> {
    let planned = FleetSize::PLANNED;
    let scaled = |percent: usize| FleetSize {
        instances: planned.instances * percent / 100,
        engines: planned.engines * percent / 100,
        ..planned
    };
    let entries = |entries| FleetSize { entries, ..planned };
    let lists =
        [25, 50, 100, 150, 200].map(|percent| lowest(|| values::list_micros(&scaled(percent))));
    let deltas = [1, 2, 4, 8, 16].map(|changed| values::delta_bytes(&planned, changed));
    let indexes = [50, 100, 200, 400, 800].map(entries);
    let shards = [200, 500, 1_000, 2_000, 3_000];
    let reports = [20, 40, 80, 120]
        .map(|secs| lowest(|| values::report_micros(&planned, Duration::from_secs(secs))));
    vec![
        Slope::new("list.accept.us", "record", "us", lists.to_vec()),
        Slope::new("list.delta.bytes", "change", "bytes", deltas.to_vec()),
        Slope::new(
            "index.accept.us",
            "entry",
            "us",
            indexes
                .map(|it| lowest(|| values::index_micros(&it)))
                .to_vec(),
        ),
        Slope::new(
            "index.size.bytes",
            "entry",
            "bytes",
            indexes.map(|it| values::index_bytes(&it)).to_vec(),
        ),
        Slope::new(
            "shard.accept.us",
            "workspace",
            "us",
            shards
                .map(|it| lowest(|| values::shard_micros(it)))
                .to_vec(),
        ),
        Slope::new(
            "shard.size.bytes",
            "workspace",
            "bytes",
            shards.map(values::shard_bytes).to_vec(),
        ),
        Slope::new("home.report.us", "load report", "us", reports.to_vec()),
    ]
}

/// Messages and polls of the points on sockets.
const SOCKET_UNITS: [u32; 5] = [200, 400, 600, 800, 1_000];
/// Seconds of the points of a quiet link.
const QUIET_SECS: [u64; 4] = [6, 12, 18, 24];

fn shell_slopes() -> std::io::Result<Vec<Slope>> {
    let quiet: Vec<_> = QUIET_SECS
        .iter()
        .map(|&secs| std::thread::spawn(move || shell::quiet_link(Duration::from_secs(secs))))
        .collect();
    let messages = SOCKET_UNITS.map(shell::link_messages);
    let engine = start_engine()?;
    let polls = SOCKET_UNITS.map(|polls| shell::load_polls(polls, engine.address));
    let quiet = quiet.into_iter().map(|thread| {
        thread
            .join()
            .unwrap_or_else(|_| Err(std::io::Error::other("a measurement panicked")))
    });
    let quiet: Vec<SocketCost> = quiet.collect::<Result<_, _>>()?;
    let messages: Vec<SocketCost> = messages.into_iter().collect::<Result<_, _>>()?;
    let polls: Vec<SocketCost> = polls.into_iter().collect::<Result<_, _>>()?;
    let points = |costs: &[SocketCost], cost| costs.iter().map(|it| it.point(cost)).collect();
    let micros = |it: &SocketCost| it.micros;
    let bytes = |it: &SocketCost| it.bytes;
    Ok(vec![
        Slope::new(
            "link.message.us",
            "message",
            "us",
            points(&messages, micros),
        ),
        Slope::new(
            "link.overhead.bytes",
            "message",
            "bytes",
            points(&messages, bytes),
        ),
        Slope::new("link.quiet.us", "second", "us", points(&quiet, micros)),
        Slope::new(
            "link.heartbeat.bytes",
            "second",
            "bytes",
            points(&quiet, bytes),
        ),
        Slope::new("poll.us", "poll", "us", points(&polls, micros)),
        Slope::new("poll.bytes", "poll", "bytes", points(&polls, bytes)),
    ])
}

/// Endpoints of the points of an instance at rest.
const REST_ENDPOINTS: [usize; 4] = [1, 2, 4, 8];
/// Instances of the points of a catalogue's spread.
const SPREAD_INSTANCES: [usize; 5] = [2, 4, 8, 16, 24];

fn process_slopes() -> std::io::Result<Vec<Slope>> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    let measured = runtime.block_on(async {
        let mut rests = Vec::new();
        for endpoints in REST_ENDPOINTS {
            rests.push(processes::at_rest(endpoints).await?);
        }
        let mut spread = Vec::new();
        for instances in SPREAD_INSTANCES {
            spread.push(processes::spread(instances).await?);
        }
        Ok::<_, FleetError>((rests, spread))
    });
    let (rests, spread) = measured.map_err(std::io::Error::other)?;
    let points = |cost: fn(&AtRest) -> f64| {
        let point = |it: &AtRest| Point {
            x: it.endpoints,
            y: cost(it),
        };
        rests.iter().map(point).collect()
    };
    Ok(vec![
        Slope::new(
            "process.endpoint.bytes",
            "endpoint",
            "bytes",
            points(|it| it.bytes),
        ),
        Slope::new(
            "process.endpoint.us",
            "endpoint",
            "us a second",
            points(|it| it.micros_per_s),
        ),
        Slope::new("catalogue.spread.s", "instance", "s", spread),
    ])
}

/// A stand-in engine in a process of its own.
struct EngineProcess {
    address: SocketAddr,
    _child: Child,
    _logs: TempDir,
}

fn start_engine() -> std::io::Result<EngineProcess> {
    let logs = TempDir::new()?;
    let program = std::env::current_exe()?;
    let log = logs.path().join("engine.log");
    let started = Child::start_listening("engine", &program, ["engine"], &log);
    let (child, address) = started.map_err(std::io::Error::other)?;
    Ok(EngineProcess {
        address,
        _child: child,
        _logs: logs,
    })
}

/// Measures and prints every slope; the last line is one JSON object.
pub fn run(args: SlopesArgs) -> ExitCode {
    if let Some(driver) = args.memory_of {
        let points = driver.measure();
        println!(
            "{}",
            serde_json::to_string(&points).expect("points are plain data")
        );
        return ExitCode::SUCCESS;
    }
    match measure_and_write(&args) {
        Ok(slopes) => {
            print_table(&slopes);
            let capacity = capacity(&slopes, &Demand::PLANNED);
            let figures = LastLine::of(&slopes, &capacity);
            println!(
                "{}",
                serde_json::to_string(&figures).expect("figures are plain data")
            );
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("oriolemux-bench slopes: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure_and_write(args: &SlopesArgs) -> std::io::Result<Vec<Slope>> {
    let slopes = match &args.from {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => measure_all()?,
    };
    if let Some(path) = &args.out {
        std::fs::write(path, serde_json::to_string_pretty(&slopes)? + "\n")?;
    }
    if let Some(path) = &args.page {
        let text = std::fs::read_to_string(path)?;
        let text = page::with_tables(&text, &slopes);
        let text = text.ok_or_else(|| std::io::Error::other("the page has no marks"))?;
        std::fs::write(path, text)?;
    }
    Ok(slopes)
}

/// What the last line says of a fleet of the planned size.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct LastLine {
    control_core_pct: ByNode,
    control_mb: ByNode,
    control_bytes_per_s: ByNode,
    catalogue_spread_s: f64,
    platform_calls_per_s: f64,
}

/// A figure of the busiest and of the median node.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
struct ByNode {
    busiest: f64,
    median: f64,
}

impl LastLine {
    fn of(slopes: &[Slope], capacity: &Capacity) -> Self {
        let by_node = |f: fn(&capacity::Spending) -> f64| ByNode {
            busiest: f(&capacity.busiest.total),
            median: f(&capacity.median.total),
        };
        LastLine {
            control_core_pct: by_node(|it| it.core_pct),
            control_mb: by_node(|it| it.megabytes),
            control_bytes_per_s: by_node(|it| it.bytes_per_s),
            catalogue_spread_s: capacity::spread_s(slopes, &Demand::PLANNED),
            platform_calls_per_s: capacity.platform_calls_per_s,
        }
    }
}

fn print_table(slopes: &[Slope]) {
    println!(
        "{:<32} {:>14} {:>12} {:>9} {:>9}  unit",
        "slope", "per unit", "at none", "error", "residual"
    );
    for slope in slopes {
        println!(
            "{:<32} {:>14.3} {:>12.1} {:>8.1}% {:>8.1}%  {} per {}",
            slope.name,
            slope.fit.slope,
            slope.fit.intercept,
            slope.fit.slope_error * 100.0,
            slope.fit.worst_residual * 100.0,
            slope.cost,
            slope.driver
        );
    }
}
