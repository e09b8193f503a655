//! What a decision costs, by the number of queued requests and of endpoints.
//!
//! One cell is filled until requests queue, and then kept there: a request
//! passes its checkpoints and ends, another arrives, endpoints report. The time
//! of all these calls is divided by the decisions that came of them. A real
//! cell has a few endpoints; the large ones show how the cost grows.

use crate::slopes::thread_time;
use clap::Args;
use core::time::Duration;
use oriolemux_core::cell::{
    Cell, CellConfig, CellDecision, CellRequest, ClassRules, EndKind, EndpointInfo, EndpointKind,
    Requirement,
};
use oriolemux_core::checkpoint::{FIRST_CHECKPOINT, next_checkpoint};
use oriolemux_core::event::LoadReport;
use oriolemux_core::ids::{
    ClassKey, EndpointKey, EntryKey, Incarnation, InstanceKey, RequestId, WorkspaceKey,
};
use oriolemux_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;
use std::collections::VecDeque;
use std::process::ExitCode;

/// Queued requests that are measured.
const QUEUED: [usize; 3] = [10, 100, 1_000];
/// Endpoints of the cell that are measured.
const ENDPOINTS: [usize; 6] = [10, 30, 100, 300, 1_000, 2_400];
/// KV tokens of each endpoint.
const KV_TOKENS: u64 = 48_000;
/// Requests that end at each endpoint a second, in virtual time.
const ENDS_PER_SECOND: u64 = 2;
/// Time between load reports of an endpoint, in virtual time.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Batches of one measurement; the one that the machine disturbed least counts.
const BATCHES: usize = 5;
/// Decisions in a batch, at least.
const BATCH_DECISIONS: u64 = 4_000;
/// Workspaces and entries that requests are spread over.
const WORKSPACES: u64 = 40;
const ENTRIES: u64 = 6;

/// Arguments of `oriolemux-bench decide`.
#[derive(Clone, Debug, Args)]
pub struct DecideArgs {
    /// Seed of the requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// The cost at one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Cost {
    /// Requests in the queue.
    pub queued: usize,
    /// Endpoints of the cell.
    pub endpoints: usize,
    /// Nanoseconds for each grant, with every call that led to it.
    pub ns_per_decision: f64,
    /// Nanoseconds for each load report.
    pub ns_per_report: f64,
}

/// What the last line says.
#[derive(Clone, Debug, PartialEq, Serialize)]
struct Figures {
    costs: Vec<Cost>,
    /// Cost at the most endpoints over that at the fewest, over the same ratio
    /// of logarithms; at most 1 if growth is no worse than logarithmic. The
    /// worst over the queue lengths.
    growth_endpoints: f64,
    /// The same for queue lengths, the worst over the endpoints.
    growth_queued: f64,
    /// The dearest decision, in nanoseconds.
    worst_ns: f64,
}

/// A cell with what runs in it.
struct Bed {
    cell: Cell,
    rng: StdRng,
    now: Time,
    endpoints: Vec<EndpointKey>,
    running: VecDeque<(RequestId, u32)>,
    queued: usize,
    seq: u64,
    decided: Vec<CellDecision>,
    wake: Time,
    next_report: usize,
    reported: u64,
    report_time: Duration,
}

impl Bed {
    fn new(endpoints: usize, seed: u64) -> Self {
        let mut cell = Cell::new(CellConfig::default(), seed);
        let keys: Vec<EndpointKey> = (0..endpoints)
            .map(|at| EndpointKey::of(&format!("engine-{at}")))
            .collect();
        for key in &keys {
            cell.set_endpoint(Time::ZERO, EndpointInfo::near(*key, EndpointKind::Model));
        }
        Bed {
            cell,
            rng: StdRng::seed_from_u64(seed),
            now: Time::from_secs(1),
            endpoints: keys,
            running: VecDeque::new(),
            queued: 0,
            seq: 0,
            decided: Vec::new(),
            wake: Time::ZERO,
            next_report: 0,
            reported: 0,
            report_time: Duration::ZERO,
        }
    }

    fn request(&mut self) -> CellRequest {
        self.seq += 1;
        let (urgency, wait) = match self.seq % 4 {
            0 => (0, Duration::from_secs(1)),
            _ => (2, Duration::from_secs(60)),
        };
        // Nothing is refused for its wait here, so that the queue keeps its length.
        let longest = Duration::from_secs(1_000_000);
        CellRequest {
            id: RequestId {
                instance: InstanceKey(1),
                incarnation: Incarnation(1),
                seq: self.seq,
            },
            entry: EntryKey(self.rng.random_range(0..ENTRIES)),
            workspace: WorkspaceKey(self.rng.random_range(0..WORKSPACES)),
            class: ClassRules::new(ClassKey(urgency), urgency as u8, wait, longest),
            arrived: self.now,
            prompt_tokens: self.rng.random_range(100..1_000),
            max_tokens: 4_096,
            prefix: (0..4).map(|_| self.rng.random_range(0..256)).collect(),
            exclude: Vec::new(),
            replay_tokens: 0,
            needs: Requirement::ANY,
        }
    }

    /// Submits requests until `queued` wait.
    fn fill(&mut self, queued: usize) {
        while self.queued < queued {
            let req = self.request();
            self.cell.submit(self.now, req);
            self.queued += 1;
            self.poll();
        }
    }

    fn poll(&mut self) {
        self.decided.clear();
        self.wake = self.cell.poll(self.now, &mut self.decided);
        for decision in &self.decided {
            self.queued -= 1;
            if let CellDecision::Grant { id, .. } = decision {
                let tokens = 1 << self.rng.random_range(4..11);
                self.running.push_back((*id, tokens));
            }
        }
    }

    /// Ends the request that has run longest.
    fn end_one(&mut self) {
        let Some((id, tokens)) = self.running.pop_front() else {
            return;
        };
        let mut checkpoint = FIRST_CHECKPOINT;
        while checkpoint <= tokens {
            self.cell.on_progress(self.now, id, checkpoint);
            checkpoint = next_checkpoint(checkpoint);
        }
        let end = EndKind::Complete {
            prompt_tokens: None,
        };
        self.cell.on_ended(self.now, id, tokens, end);
        self.poll();
    }

    /// Lets virtual time pass between two ends, with the reports that fall into it.
    fn pass(&mut self, queued: usize) {
        let ends = ENDS_PER_SECOND * self.endpoints.len() as u64;
        self.now += Duration::from_nanos(1_000_000_000 / ends);
        let per_second = 1.0 / REPORT_INTERVAL.as_secs_f64();
        let reports = per_second / ENDS_PER_SECOND as f64;
        if self.rng.random_bool(reports.min(1.0)) {
            self.report();
        }
        if self.wake <= self.now {
            self.poll();
        }
        self.fill(queued);
    }

    fn report(&mut self) {
        let at = self.next_report % self.endpoints.len();
        self.next_report += 1;
        let running = (self.running.len() / self.endpoints.len()) as u32;
        let report = LoadReport {
            lag_ms: 500,
            running,
            kv_tokens_total: KV_TOKENS,
            kv_tokens_used: (u64::from(running) * 800).min(KV_TOKENS),
            max_running: 64,
            ..LoadReport::default()
        };
        let start = thread_time();
        self.cell
            .on_load_report(self.now, self.endpoints[at], &report);
        self.report_time += thread_time().saturating_sub(start);
        self.reported += 1;
    }
}

/// Measures one size.
fn measure(queued: usize, endpoints: usize, seed: u64) -> Cost {
    let mut bed = Bed::new(endpoints, seed);
    for _ in 0..endpoints {
        bed.report();
    }
    bed.fill(queued);
    for _ in 0..BATCH_DECISIONS {
        bed.end_one();
        bed.pass(queued);
    }
    bed.reported = 0;
    bed.report_time = Duration::ZERO;
    let batches = (0..BATCHES).map(|_| batch(&mut bed, queued));
    let cheapest = batches.fold(f64::INFINITY, f64::min);
    Cost {
        queued,
        endpoints,
        ns_per_decision: cheapest,
        ns_per_report: bed.report_time.as_nanos() as f64 / bed.reported.max(1) as f64,
    }
}

/// Returns the nanoseconds for each decision of one batch.
fn batch(bed: &mut Bed, queued: usize) -> f64 {
    let before = bed.seq;
    let start = thread_time();
    for _ in 0..BATCH_DECISIONS {
        bed.end_one();
        bed.pass(queued);
    }
    let decisions = (bed.seq - before).max(1);
    let spent = thread_time().saturating_sub(start);
    spent.as_nanos() as f64 / decisions as f64
}

/// Returns how much worse than logarithmic the cost grows from `small` to `large`.
fn growth(small: (usize, f64), large: (usize, f64)) -> f64 {
    let cost = large.1 / small.1;
    let logarithm = (large.0 as f64).ln() / (small.0 as f64).ln();
    cost / logarithm
}

/// Returns the worst growth along one size, with the other held.
fn worst_growth(
    costs: &[Cost],
    along: impl Fn(&Cost) -> usize,
    held: impl Fn(&Cost) -> usize,
) -> f64 {
    let mut worst: f64 = 0.0;
    for small in costs {
        for large in costs {
            let apart = along(large) > along(small) && held(large) == held(small);
            if apart {
                let small = (along(small), small.ns_per_decision);
                let large = (along(large), large.ns_per_decision);
                worst = worst.max(growth(small, large));
            }
        }
    }
    worst
}

/// Prints the cost at each size; the last line is one JSON object.
pub fn run(args: DecideArgs) -> ExitCode {
    let mut costs = Vec::new();
    println!(
        "{:>9} {:>7} {:>15} {:>13}",
        "endpoints", "queued", "ns/decision", "ns/report"
    );
    for endpoints in ENDPOINTS {
        for queued in QUEUED {
            let cost = measure(queued, endpoints, args.seed);
            println!(
                "{endpoints:>9} {queued:>7} {:>15.0} {:>13.0}",
                cost.ns_per_decision, cost.ns_per_report
            );
            costs.push(cost);
        }
    }
    let figures = Figures {
        growth_endpoints: worst_growth(&costs, |c| c.endpoints, |c| c.queued),
        growth_queued: worst_growth(&costs, |c| c.queued, |c| c.endpoints),
        worst_ns: costs.iter().map(|c| c.ns_per_decision).fold(0.0, f64::max),
        costs,
    };
    println!(
        "{}",
        serde_json::to_string(&figures).expect("figures are plain data")
    );
    ExitCode::SUCCESS
}
