//! What one request costs the node of its caller, and the home of its cell.

use super::fit::Point;
use super::fleet::{ALLOWED_ENTRIES, FleetSize};
use super::subject::{self, Subject, completion_of, progress_of};
use core::cmp::Reverse;
use core::time::Duration;
use oriolemux_core::cell::message::{Checkpoint, Ended, Grant, GrantRequest};
use oriolemux_core::cell::{
    Alternative, CellMessage, ClassRules, EndKind, GrantRecord, MAX_ALTERNATIVES, NotChosen,
    Requirement,
};
use oriolemux_core::event::AttemptUpdate;
use oriolemux_core::ids::{
    AttemptId, CellKey, ClassKey, EndpointKey, EntryKey, Incarnation, InstanceKey, RequestId,
    WorkspaceKey,
};
use oriolemux_core::membership::{CELL_ENDPOINTS, Membership, MembershipConfig, plan_cells};
use oriolemux_core::peer::PeerMessage;
use oriolemux_core::{Event, Time};
use std::collections::{BTreeMap, BinaryHeap};

/// Tokens of an answer: what the plan's tokens and requests a second come to.
pub(super) const ANSWER_TOKENS: u32 = 321;
/// Time between tokens.
const TOKEN_TIME: Duration = Duration::from_millis(25);
/// The incarnation under which the subject names its requests.
const SUBJECT_LIFE: Incarnation = Incarnation(7);

/// What so many requests cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct RequestCost {
    pub requests: f64,
    pub micros: f64,
    pub bytes: f64,
    pub messages: f64,
}

impl RequestCost {
    fn of(subject: &Subject, requests: usize) -> Self {
        RequestCost {
            requests: requests as f64,
            micros: subject.spent.as_secs_f64() * 1e6,
            bytes: subject.traffic.bytes() as f64,
            messages: subject.traffic.messages() as f64,
        }
    }

    pub fn point(&self, cost: fn(&RequestCost) -> f64) -> Point {
        Point {
            x: self.requests,
            y: cost(self),
        }
    }
}

/// Something that happens to a request of the script.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive,
    Progress(u32),
    End,
}

/// Returns the steps of `requests` requests that arrive `gap` apart, by time.
fn script(requests: usize, gap: Duration, start: Time) -> BinaryHeap<Reverse<(Time, u64, Step)>> {
    let mut script = BinaryHeap::new();
    for at in 0..requests {
        let seq = at as u64 + 1;
        let arrival = start + gap * at as u32;
        script.push(Reverse((arrival, seq, Step::Arrive)));
        let checkpoints = progress_of(ANSWER_TOKENS);
        for update in checkpoints {
            if let AttemptUpdate::Progress { tokens } = update {
                let at = arrival + TOKEN_TIME * tokens;
                script.push(Reverse((at, seq, Step::Progress(tokens))));
            }
        }
        let end = arrival + TOKEN_TIME * ANSWER_TOKENS;
        script.push(Reverse((end, seq, Step::End)));
    }
    script
}

/// Returns what `requests` requests cost the node that their callers reach,
/// at `per_second` requests a second.
pub(super) fn as_entry(size: &FleetSize, requests: usize, per_second: f64) -> RequestCost {
    let name = size.list(1).instances[0].name.clone();
    let me = InstanceKey::of(&name);
    let endpoints = endpoints_of_cells(size);
    let mut subject = Subject::start(size, &name);
    link_own_centre(&mut subject, size, &name);
    let workspaces = size.workspaces_of_shards(WARM_SHARDS);
    warm_up_shards(&mut subject, me, &workspaces, &endpoints);
    reset(&mut subject);

    let gap = Duration::from_secs_f64(1.0 / per_second);
    let mut script = script(requests, gap, subject.now);
    let mut attempts: BTreeMap<u64, AttemptId> = BTreeMap::new();
    while let Some(Reverse((at, seq, step))) = script.pop() {
        let wait = at.since(subject.now);
        subject.pass(wait);
        match step {
            Step::Arrive => {
                let entry = seq as usize % ALLOWED_ENTRIES.min(size.entries);
                let workspace = workspaces[seq as usize % workspaces.len()];
                subject.handle(subject::arrival(me, SEQ_BASE + seq, workspace, entry));
                grant_asks(&mut subject, &endpoints);
            }
            Step::Progress(tokens) => {
                let update = AttemptUpdate::Progress { tokens };
                tell(&mut subject, &attempts, seq, update);
            }
            Step::End => tell(&mut subject, &attempts, seq, completion_of(ANSWER_TOKENS)),
        }
        grant_asks(&mut subject, &endpoints);
        for (id, number) in core::mem::take(&mut subject.dispatched) {
            let attempt = AttemptId {
                request: id,
                number,
            };
            attempts.insert(id.seq - SEQ_BASE, attempt);
        }
    }
    assert_eq!(attempts.len(), requests, "refused: {:?}", subject.refused);
    RequestCost::of(&subject, requests)
}

/// Shards that the workspaces of the measured requests stand in; few enough to
/// be held. What a shard costs that is not held has slopes of its own.
const WARM_SHARDS: u32 = 8;
/// Requests before the measurement.
const WARM_UP_REQUESTS: usize = 200;
/// Sequence numbers below this are used before the measurement.
const SEQ_BASE: u64 = 1_000_000;

fn tell(
    subject: &mut Subject,
    attempts: &BTreeMap<u64, AttemptId>,
    seq: u64,
    update: AttemptUpdate,
) {
    if let Some(&attempt) = attempts.get(&seq) {
        subject.handle(Event::Attempt { attempt, update });
    }
}

/// Plays the homes of cells: grants every ask at once.
fn grant_asks(subject: &mut Subject, endpoints: &BTreeMap<CellKey, Vec<EndpointKey>>) {
    while let Some((home, message)) = subject.outbox.pop() {
        let answer = match message {
            PeerMessage::Cell(CellMessage::Request(ask)) => grant_of(&ask, &endpoints[&ask.cell]),
            _ => continue,
        };
        let event = subject.received(home, answer);
        subject.handle(event);
    }
}

fn grant_of(ask: &GrantRequest, endpoints: &[EndpointKey]) -> PeerMessage {
    let grant = Grant {
        seq: ask.seq,
        endpoint: endpoints[ask.seq as usize % endpoints.len()],
        priority: 1,
        record: usual_record(endpoints),
    };
    PeerMessage::Cell(CellMessage::Grant(Box::new(grant)))
}

/// Returns a record as long as a home of several endpoints writes it.
fn usual_record(endpoints: &[EndpointKey]) -> GrantRecord {
    let lost = endpoints.iter().take(MAX_ALTERNATIVES);
    GrantRecord {
        predicted_tokens: 320,
        predicted_p90: 900,
        waited_ms: 40,
        free: 20_000,
        needed: 1_200,
        queued: 3,
        prefix_blocks: 4,
        alternatives: lost
            .map(|&endpoint| Alternative {
                endpoint,
                reason: NotChosen::Outranked,
                free: 12_000,
            })
            .collect(),
    }
}

/// Returns what `requests` requests cost the home of their cells, which is the
/// node with the most cells, at `per_second` requests a second in all.
pub(super) fn as_home(size: &FleetSize, requests: usize, per_second: f64) -> RequestCost {
    let homes = HomesOfFleet::of(size);
    let (name, cells) = homes.busiest();
    let mut subject = Subject::start(size, &name);
    let peers = link_own_centre(&mut subject, size, &name);
    subject.pass(Duration::from_secs(2));
    reset(&mut subject);

    let gap = Duration::from_secs_f64(1.0 / per_second);
    let mut script = script(requests, gap, subject.now);
    while let Some(Reverse((at, seq, step))) = script.pop() {
        let wait = at.since(subject.now);
        subject.pass(wait);
        let peer = peers[seq as usize % peers.len()];
        let message = match step {
            Step::Arrive => {
                CellMessage::Request(Box::new(ask(cells[seq as usize % cells.len()], seq)))
            }
            Step::Progress(tokens) => CellMessage::Progress(vec![Checkpoint { seq, tokens }]),
            Step::End => CellMessage::Ended(vec![Ended {
                seq,
                tokens: ANSWER_TOKENS,
                end: EndKind::Complete {
                    prompt_tokens: Some(700),
                },
            }]),
        };
        let event = subject.received(peer, PeerMessage::Cell(message));
        subject.handle(event);
    }
    let is_grant =
        |it: &&(InstanceKey, PeerMessage)| matches!(it.1, PeerMessage::Cell(CellMessage::Grant(_)));
    let granted = subject.outbox.iter().filter(is_grant).count();
    assert!(
        granted * 10 > requests * 9,
        "{granted} of {requests} were granted"
    );
    RequestCost::of(&subject, requests)
}

pub(super) fn ask(cell: CellKey, seq: u64) -> GrantRequest {
    let class = ClassKey::of("long");
    let (wait, longest) = (Duration::from_secs(60), Duration::from_secs(600));
    GrantRequest {
        cell,
        seq,
        entry: EntryKey::of(&FleetSize::entry_name(seq as usize % 6)),
        workspace: WorkspaceKey(seq % 97),
        class: ClassRules::new(class, 2, wait, longest),
        waited_ms: 2,
        prompt_tokens: 700,
        max_tokens: 4_096,
        replay_tokens: 0,
        needs: Requirement::ANY,
        prefix: (0..4).map(|block| seq % 6 * 8 + block).collect(),
        exclude: Vec::new(),
    }
}

/// Which instance is the home of which cells.
pub(super) struct HomesOfFleet {
    cells_of: BTreeMap<String, Vec<CellKey>>,
}

impl HomesOfFleet {
    /// Computes the homes as every instance does.
    pub fn of(size: &FleetSize) -> Self {
        let list = size.list(1);
        let first = &list.instances[0];
        let cfg = MembershipConfig::new(&first.name, SUBJECT_LIFE, &first.data_centre, 1);
        let mut membership = Membership::new(cfg);
        membership.list(Time::ZERO, list.clone(), &mut Vec::new());
        let names: BTreeMap<InstanceKey, &str> = list
            .instances
            .iter()
            .map(|it| (it.key(), it.name.as_str()))
            .collect();
        let mut cells_of: BTreeMap<String, Vec<CellKey>> = list
            .instances
            .iter()
            .map(|it| (it.name.clone(), Vec::new()))
            .collect();
        for cell in membership.view().cells() {
            let home = membership.home_of_cell(cell.plan.key);
            let name = home.and_then(|home| names.get(&home));
            if let Some(cells) = name.and_then(|name| cells_of.get_mut(*name)) {
                cells.push(cell.plan.key);
            }
        }
        HomesOfFleet { cells_of }
    }

    /// Returns the instance with the most cells, and the cells.
    pub fn busiest(&self) -> (String, Vec<CellKey>) {
        let most = self.cells_of.iter().max_by_key(|(_, cells)| cells.len());
        let (name, cells) = most.expect("a fleet has instances");
        (name.clone(), cells.clone())
    }

    /// Returns how many cells each instance has, the fewest first.
    pub fn counts(&self) -> Vec<usize> {
        let mut counts: Vec<usize> = self.cells_of.values().map(Vec::len).collect();
        counts.sort_unstable();
        counts
    }
}

fn endpoints_of_cells(size: &FleetSize) -> BTreeMap<CellKey, Vec<EndpointKey>> {
    let plans = plan_cells(&size.list(1).endpoints, CELL_ENDPOINTS);
    let pair = |plan: oriolemux_core::membership::CellPlan| (plan.key, plan.endpoints);
    plans.into_iter().map(pair).collect()
}

/// Links every other instance of the data centre; returns their keys.
fn link_own_centre(subject: &mut Subject, size: &FleetSize, name: &str) -> Vec<InstanceKey> {
    let list = size.list(1);
    let own = list.instances.iter().find(|it| it.name == name);
    let own = own.map(|it| it.data_centre.clone()).unwrap_or_default();
    let others = list
        .instances
        .iter()
        .filter(|it| it.name != name && it.data_centre == own);
    let keys: Vec<InstanceKey> = others.map(|it| it.key()).collect();
    for &key in &keys {
        subject.link(key);
    }
    keys
}

/// Has the node fetch the shards that its callers' workspaces stand in.
fn warm_up_shards(
    subject: &mut Subject,
    me: InstanceKey,
    workspaces: &[usize],
    endpoints: &BTreeMap<CellKey, Vec<EndpointKey>>,
) {
    for (at, &workspace) in workspaces.iter().take(WARM_UP_REQUESTS).enumerate() {
        let seq = at as u64 + 1;
        subject.handle(subject::arrival(me, seq, workspace, 0));
        grant_asks(subject, endpoints);
        subject.handle(Event::CallerGone(RequestId {
            instance: me,
            incarnation: SUBJECT_LIFE,
            seq,
        }));
        subject.pass(Duration::from_millis(20));
    }
    subject.dispatched.clear();
}

fn reset(subject: &mut Subject) {
    subject.outbox.clear();
    subject.traffic = Default::default();
    subject.spent = Duration::ZERO;
    subject.polled = 0;
    subject.platform_calls = 0;
}
