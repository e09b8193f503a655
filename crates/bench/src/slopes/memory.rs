//! Resident memory by driver, each in a process of its own.
//!
//! Memory that an earlier measurement freed would be used again and hide what
//! the next one takes, so each driver is measured by a fresh child process that
//! grows step by step and prints its points.

use super::cost::resident_bytes;
use super::fit::Point;
use super::fleet::{ALLOWED_ENTRIES, FleetSize};
use super::requests::{HomesOfFleet, ask};
use super::subject::{Subject, arrival};
use super::values::one_shard;
use core::time::Duration;
use oriolemux_core::Time;
use oriolemux_core::catalogue::parse_shard;
use oriolemux_core::cell::message::{Ended, MAX_PREFIX_HASHES};
use oriolemux_core::cell::{CellMessage, EndKind};
use oriolemux_core::ids::{EntryKey, Incarnation, InstanceKey, WorkspaceKey};
use oriolemux_core::membership::{Membership, MembershipConfig};
use oriolemux_core::peer::PeerMessage;
use std::hint::black_box;
use std::process::Command;

/// Steps in which a driver grows.
const STEPS: usize = 5;
/// Steps before the first point.
const UNCOUNTED_STEPS: usize = 3;

/// Something whose memory is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum MemoryDriver {
    /// Records of the published list.
    List,
    /// Workspaces of shards that are held.
    Workspaces,
    /// Requests of own callers that are open.
    EntryRequests,
    /// Requests that wait in a cell.
    HomeRequests,
    /// Pairs of workspace and entry whose lengths were learnt.
    Learnt,
}

impl MemoryDriver {
    /// Every driver.
    pub const ALL: [MemoryDriver; 5] = [
        MemoryDriver::List,
        MemoryDriver::Workspaces,
        MemoryDriver::EntryRequests,
        MemoryDriver::HomeRequests,
        MemoryDriver::Learnt,
    ];

    /// Returns the stable name of the driver.
    pub fn name(self) -> &'static str {
        match self {
            MemoryDriver::List => "list",
            MemoryDriver::Workspaces => "workspaces",
            MemoryDriver::EntryRequests => "entry-requests",
            MemoryDriver::HomeRequests => "home-requests",
            MemoryDriver::Learnt => "learnt",
        }
    }

    /// Measures in this process, which must be fresh.
    pub fn measure(self) -> Vec<Point> {
        match self {
            MemoryDriver::List => list(),
            MemoryDriver::Workspaces => workspaces(),
            MemoryDriver::EntryRequests => entry_requests(),
            MemoryDriver::HomeRequests => home_requests(),
            MemoryDriver::Learnt => learnt(),
        }
    }

    /// Measures in a child process of this program.
    ///
    /// # Errors
    ///
    /// Fails if the child cannot be started or does not print its points.
    pub fn measure_in_child(self) -> std::io::Result<Vec<Point>> {
        let program = std::env::current_exe()?;
        let mut command = Command::new(program);
        command.args(["slopes", "--memory-of", self.name()]);
        let output = command.output()?;
        Ok(serde_json::from_slice(&output.stdout)?)
    }
}

/// Notes the memory after each step; `grow` returns how much of the driver it added.
fn steps(mut grow: impl FnMut(usize) -> f64) -> Vec<Point> {
    // The first steps fill what start-up freed.
    for step in 0..UNCOUNTED_STEPS {
        grow(step);
    }
    let before = resident_bytes();
    let mut held = 0.0;
    let mut points = vec![Point { x: 0.0, y: 0.0 }];
    for step in 0..STEPS {
        held += grow(UNCOUNTED_STEPS + step);
        let grown = resident_bytes().saturating_sub(before);
        points.push(Point {
            x: held,
            y: grown as f64,
        });
    }
    points
}

/// Copies of the list that are held for each step, so that a step is large
/// against a page.
const LIST_COPIES: usize = 16;

fn list() -> Vec<Point> {
    let size = FleetSize::PLANNED;
    let records = size.instances + size.engines;
    let mut held = Vec::new();
    let points = steps(|_| {
        for _ in 0..LIST_COPIES {
            let list = size.list(1);
            let first = &list.instances[0];
            let cfg = MembershipConfig::new(&first.name, Incarnation(7), &first.data_centre, 1);
            let mut membership = Membership::new(cfg);
            membership.list(Time::ZERO, list, &mut Vec::new());
            held.push(membership);
        }
        (records * LIST_COPIES) as f64
    });
    black_box(held);
    points
}

/// Workspaces of each shard; a value of the platform holds no more.
const SHARD_WORKSPACES: usize = 3_000;
/// Shards that each step adds.
const SHARD_STEP: usize = 4;

fn workspaces() -> Vec<Point> {
    let text = one_shard(SHARD_WORKSPACES);
    // The first parse grows the heap by what the parser frees again.
    drop(parse_shard(text.as_bytes(), 0, 1));
    let mut held = Vec::new();
    let points = steps(|_| {
        let shards = (0..SHARD_STEP).map(|_| parse_shard(text.as_bytes(), 0, 1));
        held.extend(shards.map(|shard| shard.expect("generated shards are valid")));
        (SHARD_WORKSPACES * SHARD_STEP) as f64
    });
    black_box(held);
    points
}

/// Requests that each step adds.
const REQUEST_STEP: usize = 2_500;
/// Requests in a cell's queue that each step adds.
const QUEUE_STEP: usize = 1_000;
/// Pairs that each step adds; a cell remembers a bounded number of them.
const LEARNT_STEP: usize = 240;

fn entry_requests() -> Vec<Point> {
    let size = FleetSize::PLANNED;
    let name = size.list(1).instances[0].name.clone();
    let me = InstanceKey::of(&name);
    let workspaces = size.workspaces_of_shards(1);
    let mut subject = Subject::start(&size, &name);
    let mut seq = 0;
    steps(|_| {
        for _ in 0..REQUEST_STEP {
            seq += 1;
            let workspace = workspaces[seq as usize % workspaces.len()];
            let entry = seq as usize % ALLOWED_ENTRIES;
            subject.handle(arrival(me, seq, workspace, entry));
            subject.outbox.clear();
        }
        REQUEST_STEP as f64
    })
}

fn home_requests() -> Vec<Point> {
    let size = FleetSize::PLANNED;
    let (name, cells) = HomesOfFleet::of(&size).busiest();
    let peer = other_instance(&size, &name);
    let mut subject = Subject::start(&size, &name);
    subject.link(peer);
    subject.pass(Duration::from_secs(2));
    let mut seq = 0;
    steps(|_| {
        for _ in 0..QUEUE_STEP {
            seq += 1;
            let mut ask = ask(cells[seq as usize % cells.len()], seq);
            // Nothing is refused for its wait, so that all of them are held.
            ask.class.longest_wait = Duration::from_secs(10_000_000);
            ask.prefix = (0..MAX_PREFIX_HASHES as u64).collect();
            let message = PeerMessage::Cell(CellMessage::Request(Box::new(ask)));
            let event = subject.received(peer, message);
            subject.handle(event);
            subject.outbox.clear();
        }
        QUEUE_STEP as f64
    })
}

fn learnt() -> Vec<Point> {
    let size = FleetSize::PLANNED;
    let (name, cells) = HomesOfFleet::of(&size).busiest();
    let peer = other_instance(&size, &name);
    let mut subject = Subject::start(&size, &name);
    subject.link(peer);
    subject.pass(Duration::from_secs(2));
    let mut seq = 0;
    steps(|_| {
        for _ in 0..LEARNT_STEP {
            seq += 1;
            let mut ask = ask(cells[0], seq);
            ask.workspace = WorkspaceKey(seq);
            ask.entry = EntryKey(seq % 6);
            let ended = Ended {
                seq,
                tokens: 300 + seq as u32 % 64,
                end: EndKind::Complete {
                    prompt_tokens: None,
                },
            };
            for message in [
                CellMessage::Request(Box::new(ask)),
                CellMessage::Ended(vec![ended]),
            ] {
                let event = subject.received(peer, PeerMessage::Cell(message));
                subject.handle(event);
            }
            subject.outbox.clear();
        }
        LEARNT_STEP as f64
    })
}

fn other_instance(size: &FleetSize, name: &str) -> InstanceKey {
    let list = size.list(1);
    let other = list.instances.iter().find(|it| it.name != name);
    other.expect("a fleet has several instances").key()
}
