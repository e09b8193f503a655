//! What the slopes come to at a size: the tables of `docs/CAPACITY.md`.

use super::Slope;
use super::fleet::FleetSize;
use super::requests::HomesOfFleet;
use core::time::Duration;
use oriolemux_core::catalogue::sync::SyncConfig;
use oriolemux_core::membership::WATCHERS;
use oriolemux_core::node::POLL_INTERVAL;
use serde::{Deserialize, Serialize};

/// How long the platform holds a watch that has no news.
const WATCH_TIME: Duration = Duration::from_secs(25);
/// How often an instance without a watch reads each value as a safety net.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(300);
/// Values that are watched: the list and the catalogue's index.
const WATCHED_VALUES: f64 = 2.0;
/// Part of a core, memory and bytes a second that a node may spend on control.
pub const BUDGET: Spending = Spending {
    core_pct: 2.1,
    megabytes: 64.0,
    bytes_per_s: 4_096.0,
};
const SECONDS_A_DAY: f64 = 86_400.0;
const MEGABYTE: f64 = 1_048_576.0;

/// What a fleet of some size has to do.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The fleet.
    pub size: FleetSize,
    /// Requests a second of the whole fleet at the peak.
    pub requests_per_s: f64,
    /// Tokens of a request, on average.
    pub tokens_per_request: f64,
    /// Tokens a second of one generation.
    pub tokens_per_s: f64,
    /// The busiest entry's requests over an even share; a ratio.
    pub uneven: f64,
    /// Changes of the catalogue and of the list a day.
    pub changes_per_day: f64,
    /// Requests that wait in the busiest cell during a surge.
    pub queued: f64,
}

impl Demand {
    /// One user today.
    pub const TODAY: Demand = Demand {
        size: FleetSize::TODAY,
        requests_per_s: 60.0,
        tokens_per_request: 300.0,
        tokens_per_s: 50.0,
        uneven: 1.5,
        changes_per_day: 50.0,
        queued: 1_000.0,
    };

    /// The plan for the next two years.
    pub const PLANNED: Demand = Demand {
        size: FleetSize::PLANNED,
        requests_per_s: 1_400.0,
        tokens_per_request: 321.0,
        tokens_per_s: 40.0,
        uneven: 1.5,
        changes_per_day: 300.0 + 66.0,
        queued: 1_000.0,
    };
}

/// What control takes of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Spending {
    /// Part of one core, in hundredths.
    pub core_pct: f64,
    /// Resident memory, in megabytes.
    pub megabytes: f64,
    /// Bytes a second, both directions.
    pub bytes_per_s: f64,
}

impl core::ops::Add for Spending {
    type Output = Spending;
    fn add(self, other: Spending) -> Spending {
        Spending {
            core_pct: self.core_pct + other.core_pct,
            megabytes: self.megabytes + other.megabytes,
            bytes_per_s: self.bytes_per_s + other.bytes_per_s,
        }
    }
}

/// What one role takes of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleSpending {
    /// The role.
    pub role: String,
    /// What the node has of it, for people.
    pub share: String,
    /// What it takes.
    pub spending: Spending,
}

/// One node of a fleet.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NodeCapacity {
    /// Each role.
    pub roles: Vec<RoleSpending>,
    /// Their sum.
    pub total: Spending,
}

/// A fleet of some size.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Capacity {
    /// Cells in all.
    pub cells: usize,
    /// Cells of the busiest node.
    pub busiest_cells: usize,
    /// Cells of the median node.
    pub median_cells: usize,
    /// The node with the most cells and an uneven part of the requests, which watches as well.
    pub busiest: NodeCapacity,
    /// The node in the middle.
    pub median: NodeCapacity,
    /// Calls of the platform a second, of the whole fleet, without news.
    pub platform_calls_per_s: f64,
}

/// The slopes by name.
struct Slopes<'a>(&'a [Slope]);

impl Slopes<'_> {
    fn find(&self, name: &str) -> &Slope {
        let found = self.0.iter().find(|slope| slope.name == name);
        found.unwrap_or_else(|| panic!("the slopes file has no slope {name}"))
    }

    fn per_unit(&self, name: &str) -> f64 {
        self.find(name).fit.slope
    }

    fn at_none(&self, name: &str) -> f64 {
        self.find(name).fit.intercept.max(0.0)
    }
}

/// What one node has of each role.
struct Node {
    entry_rate: f64,
    cells: f64,
    links: f64,
    watches: bool,
}

/// Works out what the slopes come to under `demand`.
///
/// # Panics
///
/// Panics if a slope is missing.
pub fn capacity(slopes: &[Slope], demand: &Demand) -> Capacity {
    let slopes = Slopes(slopes);
    let size = &demand.size;
    let counts = HomesOfFleet::of(size).counts();
    let cells: usize = counts.iter().sum();
    let busiest_cells = counts.last().copied().unwrap_or(0);
    let median_cells = counts[counts.len() / 2];
    let even_rate = demand.requests_per_s / size.instances as f64;
    let in_centre = (size.instances as f64 / size.data_centres as f64 - 1.0).max(1.0);
    let cells_in_centre = (cells as f64 / size.data_centres as f64).max(1.0);
    let to_homes = cells_in_centre.min(in_centre);
    // A home is linked by every entry of its data centre, another node links to the homes.
    let links = |cells: usize| if cells > 0 { in_centre } else { to_homes };
    let busiest = Node {
        entry_rate: even_rate * demand.uneven,
        cells: busiest_cells as f64,
        links: links(busiest_cells),
        watches: true,
    };
    let median = Node {
        entry_rate: even_rate,
        cells: median_cells as f64,
        links: links(median_cells),
        watches: false,
    };
    let per_cell = PerCell {
        requests: demand.requests_per_s / cells.max(1) as f64,
        endpoints: (size.engines + size.services) as f64 / cells.max(1) as f64,
    };
    Capacity {
        cells,
        busiest_cells,
        median_cells,
        busiest: node_capacity(&slopes, demand, &per_cell, &busiest),
        median: node_capacity(&slopes, demand, &per_cell, &median),
        platform_calls_per_s: platform_calls(size),
    }
}

/// What one cell has on average.
struct PerCell {
    requests: f64,
    endpoints: f64,
}

fn node_capacity(
    slopes: &Slopes<'_>,
    demand: &Demand,
    per_cell: &PerCell,
    node: &Node,
) -> NodeCapacity {
    let mut roles = vec![
        process(slopes),
        entry(slopes, demand, node),
        home(slopes, demand, per_cell, node),
        polls(slopes, per_cell, node),
        links(slopes, node),
        catalogue(slopes, demand),
    ];
    if node.watches {
        roles.push(watcher(slopes, demand));
    }
    let total = roles
        .iter()
        .fold(Spending::default(), |sum, role| sum + role.spending);
    NodeCapacity { roles, total }
}

fn role(role: &str, share: String, spending: Spending) -> RoleSpending {
    RoleSpending {
        role: role.to_owned(),
        share,
        spending,
    }
}

fn core_pct(micros_per_s: f64) -> f64 {
    micros_per_s / 1e4
}

fn process(slopes: &Slopes<'_>) -> RoleSpending {
    let bytes = slopes.at_none("process.endpoint.bytes");
    let spending = Spending {
        megabytes: bytes / MEGABYTE,
        ..Spending::default()
    };
    role(
        "process",
        "runtime, sockets, logs, metrics".to_owned(),
        spending,
    )
}

/// Messages, frames and decisions for the requests of the node's own callers.
fn entry(slopes: &Slopes<'_>, demand: &Demand, node: &Node) -> RoleSpending {
    let live = node.entry_rate * demand.tokens_per_request / demand.tokens_per_s;
    let (micros, bytes) = request_cost(slopes, "entry.request");
    let memory = slopes.per_unit("memory.entry-requests.bytes") * live;
    let spending = Spending {
        core_pct: core_pct(node.entry_rate * micros),
        megabytes: memory / MEGABYTE,
        bytes_per_s: node.entry_rate * bytes,
    };
    let share = format!("{:.1} requests/s, {live:.0} live", node.entry_rate);
    role("entry", share, spending)
}

/// Decisions for the cells of the node.
fn home(slopes: &Slopes<'_>, demand: &Demand, per_cell: &PerCell, node: &Node) -> RoleSpending {
    let rate = node.cells * per_cell.requests;
    let (micros, bytes) = request_cost(slopes, "home.request");
    let learnt = slopes.per_unit("memory.learnt.bytes") * LEARNT_PAIRS;
    let queued = slopes.per_unit("memory.home-requests.bytes") * demand.queued;
    let spending = Spending {
        core_pct: core_pct(rate * micros),
        megabytes: node.cells * (learnt + queued) / MEGABYTE,
        bytes_per_s: rate * bytes,
    };
    let share = format!("{:.0} cells, {rate:.1} requests/s", node.cells);
    role("cell home", share, spending)
}

/// Pairs of workspace and entry that one cell remembers lengths of, at most
/// (`oriolemux_core::length`).
const LEARNT_PAIRS: f64 = 2_048.0;

/// Returns microseconds and bytes of one request, with its messages on their links.
fn request_cost(slopes: &Slopes<'_>, name: &str) -> (f64, f64) {
    let messages = slopes.per_unit(&format!("{name}.messages"));
    let micros = slopes.per_unit(&format!("{name}.us"));
    let bytes = slopes.per_unit(&format!("{name}.bytes"));
    (
        micros + messages * slopes.per_unit("link.message.us"),
        bytes + messages * slopes.per_unit("link.overhead.bytes"),
    )
}

/// Load and cache events of the endpoints of the node's cells.
fn polls(slopes: &Slopes<'_>, per_cell: &PerCell, node: &Node) -> RoleSpending {
    let endpoints = node.cells * per_cell.endpoints;
    let rate = endpoints / POLL_INTERVAL.as_secs_f64();
    // As a whole process pays it, which is more than client and decisions alone.
    let micros_per_s = slopes.per_unit("process.endpoint.us") * endpoints;
    let memory = slopes.per_unit("process.endpoint.bytes") * endpoints;
    let spending = Spending {
        core_pct: core_pct(micros_per_s),
        megabytes: memory.max(0.0) / MEGABYTE,
        bytes_per_s: rate * slopes.per_unit("poll.bytes"),
    };
    let share = format!("{endpoints:.1} endpoints, {rate:.0} polls/s");
    role("endpoint polls", share, spending)
}

/// Heartbeats of links in use.
fn links(slopes: &Slopes<'_>, node: &Node) -> RoleSpending {
    let messages = 2.0 * slopes.per_unit("link.message.us");
    let micros = (slopes.per_unit("link.quiet.us") - messages).max(0.0);
    let spending = Spending {
        core_pct: core_pct(node.links * micros),
        megabytes: 0.0,
        bytes_per_s: node.links * slopes.per_unit("link.heartbeat.bytes"),
    };
    role("links", format!("{:.0} links", node.links), spending)
}

/// The list and the catalogue in force, and their changes.
fn catalogue(slopes: &Slopes<'_>, demand: &Demand) -> RoleSpending {
    let size = &demand.size;
    let records = (size.instances + size.engines + size.services) as f64;
    let changes = demand.changes_per_day / SECONDS_A_DAY;
    let per_list = slopes.per_unit("list.accept.us") * records;
    let per_index = slopes.per_unit("index.accept.us") * size.entries as f64;
    let held = slopes.per_unit("memory.workspaces.bytes") * size.workspaces as f64;
    let held = held.min(SyncConfig::new(0).shard_memory as f64);
    let index = slopes.per_unit("index.size.bytes") * size.entries as f64;
    let list = slopes.per_unit("memory.list.bytes") * records;
    let delta = slopes.per_unit("list.delta.bytes") + slopes.at_none("list.delta.bytes");
    let spending = Spending {
        core_pct: core_pct(changes * (per_list + per_index)),
        megabytes: (list + held + index) / MEGABYTE,
        bytes_per_s: changes * delta * 2.0,
    };
    let share = format!("{records:.0} records, {} entries", size.entries);
    role("list and catalogue", share, spending)
}

/// Watches, and the shards that are verified before a revision comes into force.
fn watcher(slopes: &Slopes<'_>, demand: &Demand) -> RoleSpending {
    let size = &demand.size;
    let changes = demand.changes_per_day / SECONDS_A_DAY;
    let shard = size.workspaces as f64 / f64::from(size.shards);
    // One shard changes with each revision.
    let micros = slopes.per_unit("shard.accept.us") * shard;
    let bytes = slopes.per_unit("shard.size.bytes") * shard;
    let index = slopes.per_unit("index.size.bytes") * size.entries as f64;
    let spending = Spending {
        core_pct: core_pct(changes * micros),
        megabytes: SyncConfig::new(0).kept_memory as f64 / MEGABYTE,
        bytes_per_s: changes * (bytes + index),
    };
    role("watcher", "2 watches".to_owned(), spending)
}

fn platform_calls(size: &FleetSize) -> f64 {
    let watchers = (WATCHERS * size.data_centres).min(size.instances) as f64;
    let others = size.instances as f64 - watchers;
    let watches = watchers / WATCH_TIME.as_secs_f64();
    let fallbacks = others / FALLBACK_INTERVAL.as_secs_f64();
    WATCHED_VALUES * (watches + fallbacks)
}

/// Returns how long a revision takes until it is in force everywhere: as
/// measured within one data centre, each of which has watchers of its own, and
/// the time to verify what is larger at this size.
///
/// # Panics
///
/// Panics if a slope is missing.
pub fn spread_s(slopes: &[Slope], demand: &Demand) -> f64 {
    let slopes = Slopes(slopes);
    let size = &demand.size;
    let in_centre = size.instances as f64 / size.data_centres as f64;
    let spread = slopes.find("catalogue.spread.s").fit;
    let within = spread.intercept + spread.slope.max(0.0) * in_centre;
    let index = slopes.per_unit("index.accept.us") * size.entries as f64;
    let shard = size.workspaces as f64 / f64::from(size.shards);
    let shards = slopes.per_unit("shard.accept.us") * shard;
    // Every shard may have changed; index and shards are verified by a watcher,
    // the index again by each instance.
    within + (2.0 * index + shards * f64::from(size.shards)) / 1e6
}
