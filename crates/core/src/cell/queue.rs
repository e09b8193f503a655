//! Queue of waiting requests in the order of their deadlines.
//!
//! The deadline of a request is its arrival time plus the wait target of its class, so requests age
//! without extra work: a request that arrives later than that deadline sorts behind it, whatever
//! its class. Requests of one class, size class and requirement share a *lane*. A head that fits
//! nowhere blocks only its own lane, so short requests can use the gaps that long ones leave. The
//! hold in [`crate::cell`] bounds how long they may do so. See `docs/design/admission.md`.

pub mod backlog;

use crate::cell::{CellRequest, Requirement};
use crate::ids::RequestId;
use crate::length::LengthNode;
use crate::memory::ClassIx;
use crate::routing::prefix::EndpointIx;
use crate::time::Time;
use backlog::Backlog;
use cranelift_entity::SecondaryMap;
use std::collections::{BTreeMap, BTreeSet};

/// Bounds between the size classes of lanes, in tokens of forecast memory.
const SIZE_BOUNDS: [u32; 3] = [512, 2_048, 8_192];

/// Identifies the requests that compete for the same kind of room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LaneKey {
    /// The class.
    pub class: ClassIx,
    /// What the endpoint must have loaded.
    pub needs: Requirement,
    /// The size class; 0 is the smallest.
    pub size: u8,
}

impl LaneKey {
    /// Returns the lane of a request whose forecast memory is `tokens`.
    pub fn new(class: ClassIx, needs: Requirement, tokens: u32) -> LaneKey {
        let size = SIZE_BOUNDS.iter().filter(|bound| tokens >= **bound).count();
        LaneKey {
            class,
            needs,
            size: size as u8,
        }
    }
}

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub req: CellRequest,
    /// Whether it is treated as urgent.
    pub urgent: bool,
    /// Its node in the length model, acquired for as long as the request waits.
    pub node: LengthNode,
    /// Its lane.
    pub lane: LaneKey,
    /// The time by which it should start.
    pub deadline: Time,
    /// The time from which room is held for it if it has not started.
    pub hold_from: Time,
    /// The endpoint whose room is held for it.
    pub hold: Option<EndpointIx>,
    /// When it is next checked for refusal if it has not started.
    pub review: Time,
    /// Its predicted use of KV cache integrated over its generated tokens, in token-tokens (tokens
    /// held times tokens generated).
    pub work: f64,
}

/// Waiting requests in the order of their deadlines.
///
/// Invariants: every waiting request is in exactly one lane, in `reviews`, in `arrivals` and in the
/// backlog of its class; no lane is empty.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<RequestId, Waiting>,
    lanes: BTreeMap<LaneKey, BTreeSet<(Time, RequestId)>>,
    reviews: BTreeSet<(Time, RequestId)>,
    arrivals: BTreeSet<(Time, RequestId)>,
    backlogs: SecondaryMap<ClassIx, Backlog>,
}

impl Queue {
    /// Adds a request that is not in the queue.
    pub fn push(&mut self, waiting: Waiting) {
        let id = waiting.req.id;
        debug_assert!(!self.waiting.contains_key(&id));
        let lane = self.lanes.entry(waiting.lane).or_default();
        lane.insert((waiting.deadline, id));
        self.reviews.insert((waiting.review, id));
        self.arrivals.insert((waiting.req.arrived, id));
        self.backlogs[waiting.lane.class].add(waiting.deadline, waiting.work);
        self.waiting.insert(id, waiting);
    }

    /// Removes and returns a request.
    pub fn remove(&mut self, id: RequestId) -> Option<Waiting> {
        let waiting = self.waiting.remove(&id)?;
        if let Some(lane) = self.lanes.get_mut(&waiting.lane) {
            lane.remove(&(waiting.deadline, id));
            if lane.is_empty() {
                self.lanes.remove(&waiting.lane);
            }
        }
        self.reviews.remove(&(waiting.review, id));
        self.arrivals.remove(&(waiting.req.arrived, id));
        self.backlogs[waiting.lane.class].sub(waiting.deadline, waiting.work);
        Some(waiting)
    }

    /// Returns a request.
    pub fn get(&self, id: RequestId) -> Option<&Waiting> {
        self.waiting.get(&id)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Returns the earliest arrival time of the waiting requests.
    pub fn oldest_arrival(&self) -> Option<Time> {
        self.arrivals.first().map(|(arrived, _)| *arrived)
    }

    /// Returns the head with the earliest deadline among the lanes that are not in `blocked`.
    pub fn head(&self, blocked: &[LaneKey]) -> Option<(LaneKey, RequestId)> {
        let open = self.lanes.iter().filter(|(key, _)| !blocked.contains(key));
        let heads = open.filter_map(|(key, lane)| lane.first().map(|head| (*head, *key)));
        heads.min().map(|((_, id), key)| (key, id))
    }

    /// Returns the earliest review time and its request.
    pub fn next_review(&self) -> Option<(Time, RequestId)> {
        self.reviews.first().copied()
    }

    /// Sets when a request is next checked for refusal.
    pub fn review_at(&mut self, id: RequestId, review: Time) {
        if let Some(waiting) = self.waiting.get_mut(&id) {
            self.reviews.remove(&(waiting.review, id));
            waiting.review = review;
            self.reviews.insert((review, id));
        }
    }

    /// Sets the endpoint whose room is held for a request.
    pub fn set_hold(&mut self, id: RequestId, hold: Option<EndpointIx>) {
        if let Some(waiting) = self.waiting.get_mut(&id) {
            waiting.hold = hold;
        }
    }

    /// Returns the work of a class that is due by `deadline`, in token-tokens.
    pub fn work_before(&self, class: ClassIx, deadline: Time) -> f64 {
        self.backlogs[class].before(deadline)
    }

    /// Returns the total work of a class, in token-tokens.
    pub fn work(&self, class: ClassIx) -> f64 {
        self.backlogs[class].total()
    }

    /// Returns the ids of the requests in `range`.
    pub fn ids(
        &self,
        range: core::ops::RangeInclusive<RequestId>,
    ) -> impl Iterator<Item = RequestId> {
        self.waiting.range(range).map(|(id, _)| *id)
    }
}
