//! The policies to beat. All of them see the whole fleet at once and without
//! lag, which favours them.

use super::api::{Ask, Decision, Fleet, Policy, SAME_PRIORITY};
use oriolemux_core::time::Time;
use std::collections::{HashMap, VecDeque};

/// Whether a baseline tells the engines how urgent a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Priorities {
    Same,
    ByClass,
}

impl Priorities {
    fn of(self, ask: &Ask<'_>) -> u8 {
        match self {
            Priorities::Same => SAME_PRIORITY,
            Priorities::ByClass => ask.class.urgency,
        }
    }
}

/// Each request goes to the next engine, without admission.
pub(super) struct RoundRobin {
    engines: usize,
    next: usize,
    due: Vec<Decision>,
}

impl RoundRobin {
    pub fn new(fleet: &Fleet) -> Self {
        RoundRobin {
            engines: fleet.engines.len(),
            next: 0,
            due: Vec::new(),
        }
    }
}

impl Policy for RoundRobin {
    fn arrive(&mut self, _now: Time, ask: &Ask<'_>) {
        self.due.push(Decision::Place {
            id: ask.id,
            engine: self.next,
            priority: SAME_PRIORITY,
        });
        self.next = (self.next + 1) % self.engines;
    }

    fn ended(&mut self, _now: Time, _id: u64, _tokens: u32) {}

    fn poll(&mut self, _now: Time, out: &mut Vec<Decision>) -> Time {
        out.append(&mut self.due);
        Time::NEVER
    }
}

/// Each request goes to the engine with the fewest requests, without admission.
pub(super) struct LeastOutstanding {
    priorities: Priorities,
    outstanding: Vec<u32>,
    at: HashMap<u64, usize>,
    due: Vec<Decision>,
}

impl LeastOutstanding {
    pub fn new(fleet: &Fleet, priorities: Priorities) -> Self {
        LeastOutstanding {
            priorities,
            outstanding: vec![0; fleet.engines.len()],
            at: HashMap::new(),
            due: Vec::new(),
        }
    }
}

impl Policy for LeastOutstanding {
    fn arrive(&mut self, _now: Time, ask: &Ask<'_>) {
        let engine = least(&self.outstanding);
        self.outstanding[engine] += 1;
        self.at.insert(ask.id, engine);
        self.due.push(Decision::Place {
            id: ask.id,
            engine,
            priority: self.priorities.of(ask),
        });
    }

    fn ended(&mut self, _now: Time, id: u64, _tokens: u32) {
        if let Some(engine) = self.at.remove(&id) {
            self.outstanding[engine] -= 1;
        }
    }

    fn poll(&mut self, _now: Time, out: &mut Vec<Decision>) -> Time {
        out.append(&mut self.due);
        Time::NEVER
    }
}

/// What a request takes of an engine's room under [`FirstCome`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Room {
    /// One of so many places.
    Places(u32),
    /// KV tokens for the prompt and all of `max_tokens`.
    MaxTokens,
}

#[derive(Clone, Copy)]
struct Queued {
    id: u64,
    needed: u32,
    expires: Time,
}

/// First come, first served by the engine with the most room; a request waits
/// until there is room for it, or is refused after its class's longest wait.
pub(super) struct FirstCome {
    room: Room,
    free: Vec<u32>,
    queue: VecDeque<Queued>,
    running: HashMap<u64, (usize, u32)>,
}

impl FirstCome {
    pub fn new(fleet: &Fleet, room: Room) -> Self {
        let each = match room {
            Room::Places(places) => places,
            Room::MaxTokens => fleet.mix.engine().kv_tokens(),
        };
        FirstCome {
            room,
            free: vec![each; fleet.engines.len()],
            queue: VecDeque::new(),
            running: HashMap::new(),
        }
    }
}

impl Policy for FirstCome {
    fn arrive(&mut self, _now: Time, ask: &Ask<'_>) {
        let needed = match self.room {
            Room::Places(_) => 1,
            Room::MaxTokens => ask.prompt_tokens + ask.max_tokens,
        };
        self.queue.push_back(Queued {
            id: ask.id,
            needed,
            expires: ask.expires(),
        });
    }

    fn ended(&mut self, _now: Time, id: u64, _tokens: u32) {
        if let Some((engine, needed)) = self.running.remove(&id) {
            self.free[engine] += needed;
        }
    }

    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time {
        while let Some(&head) = self.queue.front() {
            let engine = most(&self.free);
            if now >= head.expires {
                out.push(Decision::Refuse { id: head.id });
            } else if self.free[engine] >= head.needed {
                self.free[engine] -= head.needed;
                self.running.insert(head.id, (engine, head.needed));
                out.push(Decision::Place {
                    id: head.id,
                    engine,
                    priority: SAME_PRIORITY,
                });
            } else {
                break;
            }
            self.queue.pop_front();
        }
        refuse_expired(&mut self.queue, now, out);
        self.queue
            .iter()
            .map(|queued| queued.expires)
            .min()
            .unwrap_or(Time::NEVER)
    }
}

fn refuse_expired(queue: &mut VecDeque<Queued>, now: Time, out: &mut Vec<Decision>) {
    queue.retain(|queued| {
        let expired = now >= queued.expires;
        if expired {
            out.push(Decision::Refuse { id: queued.id });
        }
        !expired
    });
}

fn least(values: &[u32]) -> usize {
    let indexed = values.iter().enumerate();
    indexed
        .min_by_key(|(_, value)| **value)
        .map_or(0, |(at, _)| at)
}

fn most(values: &[u32]) -> usize {
    let indexed = values.iter().enumerate();
    indexed
        .max_by_key(|(_, value)| **value)
        .map_or(0, |(at, _)| at)
}
