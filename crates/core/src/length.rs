//! Estimates of answer lengths, learned from observed answers.
//!
//! The length of an answer is not known in advance. For each catalogue entry, the model learns the
//! *hazard* of each length bucket: the probability that an answer which reached the bucket ends in
//! it. Running and cancelled answers count too, because they show that an answer did not end
//! earlier. Long answers therefore count from the moment they pass the usual length, and not only
//! when they end.
//!
//! The estimate for a workspace's use of an entry is based on its own answers as far as there are
//! any, and otherwise on those of the entry, the class and a conservative prior (shrinkage with
//! pseudo-counts). See `docs/design/admission.md`.

pub mod buckets;
pub mod curve;
pub mod drift;
pub mod hazard;

use crate::ids::{ClassKey, EntryKey, WorkspaceKey};
use cranelift_entity::{PrimaryMap, entity_impl};
use curve::Curve;
use drift::Drift;
use hazard::Counts;
use std::collections::BTreeMap;

/// A node of the back-off tree: a class, an entry or a workspace's use of an entry.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LengthNode(u32);
entity_impl!(LengthNode, "length");

/// Number of recent answers that a class remembers.
const CLASS_WINDOW: f32 = 2_000.0;
/// Number of recent answers that an entry remembers.
const ENTRY_WINDOW: f32 = 400.0;
/// Number of recent answers that a workspace's use of an entry remembers.
const WORKSPACE_WINDOW: f32 = 100.0;
/// Weight of the parent's hazard against a node's own answers, in answers.
const SHRINKAGE: f32 = 16.0;
/// Weight of the prior against a class's own answers, in answers.
const PRIOR_STRENGTH: f32 = 4.0;
/// Maximum number of workspace nodes; further workspaces share their entry's node.
const MAX_WORKSPACE_NODES: usize = 2_048;
/// Maximum number of nodes examined to find one that can be reused.
const REUSE_PROBES: usize = 8;
/// A curve is recomputed when its number of answers changed by this fraction.
const CURVE_GROWTH: f32 = 0.02;
/// Number of answers that an entry must have seen before drift is detected. With fewer, the
/// comparison would be with the prior.
const DRIFT_MIN_SEEN: f32 = 60.0;
/// Fraction of its counts that a workspace's node keeps when its entry drifts.
const DRIFT_KEEP: f32 = 0.03;
/// Fraction of its counts that a class keeps when one of its entries drifts.
const DRIFT_KEEP_CLASS: f32 = 0.5;
/// Weight of one answer in the prompt correction.
const PROMPT_GAIN: f32 = 0.1;
/// Minimum and maximum factor of the prompt correction.
const PROMPT_FACTORS: (f32, f32) = (0.25, 4.0);

/// Invariant: `parent` was created before the node itself, so parent chains are finite.
#[derive(Clone, Debug)]
struct Node {
    parent: Option<LengthNode>,
    counts: Counts,
    /// Detects drift; only entries have one.
    drift: Option<Drift>,
    /// Number of drifts of this node; children compare it with `parent_drifts`.
    drifts: u32,
    parent_drifts: u32,
    curve: Curve,
    /// Number of answers seen when `curve` was computed.
    curve_seen: f32,
    /// Number of times that `curve` was computed.
    curve_version: u32,
    /// The parent's version that `curve` was computed with.
    parent_version: u32,
    /// Number of requests that refer to the node; it is not reused before they end.
    users: u32,
    prompt_factor: f32,
}

/// Answer lengths by class, entry and workspace.
#[derive(Clone, Debug, Default)]
pub struct LengthModel {
    nodes: PrimaryMap<LengthNode, Node>,
    classes: BTreeMap<ClassKey, LengthNode>,
    entries: BTreeMap<(ClassKey, EntryKey), LengthNode>,
    workspaces: BTreeMap<(LengthNode, WorkspaceKey), LengthNode>,
    workspace_keys: Vec<(LengthNode, WorkspaceKey)>,
    clock_hand: usize,
    drifts: u64,
}

impl LengthModel {
    /// Creates a model without observations.
    pub fn new() -> Self {
        LengthModel::default()
    }

    /// Returns the node of a workspace's use of an entry, which stays valid until
    /// [`LengthModel::release`].
    pub fn acquire(
        &mut self,
        class: ClassKey,
        entry: EntryKey,
        workspace: WorkspaceKey,
    ) -> LengthNode {
        let entry = self.entry_node(class, entry);
        let node = self.workspace_node(entry, workspace);
        self.nodes[node].users += 1;
        node
    }

    /// Releases a node returned by [`LengthModel::acquire`].
    pub fn release(&mut self, node: LengthNode) {
        debug_assert!(self.nodes[node].users > 0);
        self.nodes[node].users -= 1;
    }

    /// Returns the current estimate for a node.
    pub fn curve(&mut self, node: LengthNode) -> &Curve {
        self.refresh_curve(node);
        &self.nodes[node].curve
    }

    /// Records that an answer passed the buckets `from..to` without ending.
    pub fn survived(&mut self, node: LengthNode, from: usize, to: usize) {
        for bucket in from..to.min(buckets::COUNT) {
            self.observe(node, bucket, false);
        }
    }

    /// Records that an answer, known to have passed the buckets before `from`, ended with `tokens`.
    pub fn ended(&mut self, node: LengthNode, from: usize, tokens: u32) {
        let last = buckets::bucket_of(tokens);
        self.survived(node, from, last);
        self.observe(node, last, true);
    }

    /// Records how many tokens the engine counted in a prompt that was declared with `declared`.
    pub fn prompt_counted(&mut self, node: LengthNode, declared: u32, counted: u32) {
        if declared == 0 {
            return;
        }
        let ratio = counted as f32 / declared as f32;
        let entry = self.nodes[node].parent.unwrap_or(node);
        let factor = &mut self.nodes[entry].prompt_factor;
        *factor += PROMPT_GAIN * (ratio.clamp(PROMPT_FACTORS.0, PROMPT_FACTORS.1) - *factor);
    }

    /// Returns how many tokens the engine is expected to count in a prompt of `declared` tokens.
    pub fn corrected_prompt(&self, node: LengthNode, declared: u32) -> u32 {
        let entry = self.nodes[node].parent.unwrap_or(node);
        (declared as f32 * self.nodes[entry].prompt_factor).ceil() as u32
    }

    /// Returns how many drifts of entries were detected.
    pub fn drifts(&self) -> u64 {
        self.drifts
    }

    fn entry_node(&mut self, class: ClassKey, entry: EntryKey) -> LengthNode {
        let nodes = &mut self.nodes;
        let parent = *self
            .classes
            .entry(class)
            .or_insert_with(|| nodes.push(Node::new(None, CLASS_WINDOW)));
        *self.entries.entry((class, entry)).or_insert_with(|| {
            let mut node = Node::new(Some(parent), ENTRY_WINDOW);
            node.drift = Some(Drift::default());
            nodes.push(node)
        })
    }

    fn workspace_node(&mut self, entry: LengthNode, workspace: WorkspaceKey) -> LengthNode {
        if let Some(node) = self.workspaces.get(&(entry, workspace)) {
            return *node;
        }
        let mut fresh = Node::new(Some(entry), WORKSPACE_WINDOW);
        fresh.parent_drifts = self.nodes[entry].drifts;
        let node = if self.workspaces.len() < MAX_WORKSPACE_NODES {
            self.workspace_keys.push((entry, workspace));
            self.nodes.push(fresh)
        } else {
            let Some(reused) = self.reuse(entry, workspace) else {
                return entry;
            };
            self.nodes[reused] = fresh;
            reused
        };
        self.workspaces.insert((entry, workspace), node);
        node
    }

    /// Finds a workspace node without requests and reassigns it to a new key.
    fn reuse(&mut self, entry: LengthNode, workspace: WorkspaceKey) -> Option<LengthNode> {
        for _ in 0..REUSE_PROBES {
            self.clock_hand = (self.clock_hand + 1) % self.workspace_keys.len();
            let key = self.workspace_keys[self.clock_hand];
            let node = self.workspaces[&key];
            if self.nodes[node].users == 0 {
                self.workspaces.remove(&key);
                self.workspace_keys[self.clock_hand] = (entry, workspace);
                return Some(node);
            }
        }
        None
    }

    fn observe(&mut self, node: LengthNode, bucket: usize, ended: bool) {
        let mut at = Some(node);
        while let Some(node) = at {
            self.apply_parent_drift(node);
            let hazard = self.nodes[node].curve.hazard(bucket);
            let this = &mut self.nodes[node];
            this.counts.observe(bucket, ended);
            at = this.parent;
            let has_learned = this.counts.seen() > DRIFT_MIN_SEEN;
            let drifted = this.drift.as_mut().is_some_and(|drift| {
                drift.count(bucket, ended);
                has_learned && drift.observe(hazard, ended)
            });
            if drifted {
                self.on_drift(node);
            }
        }
    }

    /// Keeps only the recent observations of an entry whose lengths changed.
    ///
    /// Without this, answers that double in length would be admitted by their earlier lengths until
    /// the long window has turned over, which shows as hours of preemptions.
    fn on_drift(&mut self, entry: LengthNode) {
        self.drifts += 1;
        let node = &mut self.nodes[entry];
        node.drifts += 1;
        if let Some(drift) = &node.drift {
            node.counts.replace_by(drift.recent());
        }
        node.curve_seen = 0.0;
        if let Some(class) = node.parent {
            self.nodes[class].counts.forget(DRIFT_KEEP_CLASS);
            self.nodes[class].curve_seen = 0.0;
        }
    }

    fn apply_parent_drift(&mut self, node: LengthNode) {
        let Some(parent) = self.nodes[node].parent else {
            return;
        };
        let drifts = self.nodes[parent].drifts;
        let node = &mut self.nodes[node];
        if node.parent_drifts != drifts {
            node.parent_drifts = drifts;
            node.counts.forget(DRIFT_KEEP);
            node.curve_seen = 0.0;
        }
    }

    fn refresh_curve(&mut self, node: LengthNode) {
        self.apply_parent_drift(node);
        let parent = self.nodes[node].parent;
        if let Some(parent) = parent {
            self.refresh_curve(parent);
        }
        let above = parent.map_or(0, |parent| self.nodes[parent].curve_version);
        let this = &self.nodes[node];
        let seen = this.counts.seen();
        let known = this.curve_seen.min(this.counts.window());
        let grown = (seen - this.curve_seen).abs() > known * CURVE_GROWTH;
        if this.curve_version > 0 && !grown && this.parent_version == above {
            return;
        }
        let base = parent.map(|parent| self.nodes[parent].curve.clone());
        let this = &mut self.nodes[node];
        match base {
            Some(base) => this.curve.blend(&this.counts, &base, SHRINKAGE),
            None => this.curve.blend_with_prior(&this.counts, PRIOR_STRENGTH),
        }
        this.curve_seen = seen;
        this.curve_version += 1;
        this.parent_version = above;
    }
}

impl Node {
    fn new(parent: Option<LengthNode>, window: f32) -> Node {
        Node {
            parent,
            counts: Counts::new(window),
            drift: None,
            drifts: 0,
            parent_drifts: 0,
            curve: Curve::prior(),
            curve_seen: 0.0,
            curve_version: 0,
            parent_version: 0,
            users: 0,
            prompt_factor: 1.0,
        }
    }
}
