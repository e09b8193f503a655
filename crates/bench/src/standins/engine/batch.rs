//! Continuous batching within limited KV memory.
//!
//! Each step generates one token for every running generation whose prompt is
//! computed. When memory runs out, the least urgent and latest generation is
//! preempted: it loses its memory, goes back to the front of the waiting ones
//! and is recomputed, which is the stall that callers feel.

use super::generation::Generation;
use indexmap::IndexMap;

/// The generations of an engine by attempt, and which of them run or wait.
#[derive(Debug, Default)]
pub struct Batch {
    /// Every generation whose text is held.
    pub held: IndexMap<String, Generation>,
    running: Vec<String>,
    waiting: Vec<String>,
    /// Preemptions since the start.
    pub preemptions: u64,
}

/// What limits a batch.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Tokens of KV memory.
    pub kv_tokens: u64,
    /// The most generations that run at once.
    pub max_running: u32,
    /// Tokens of prompt that are computed in one step.
    pub prefill_tokens: u32,
}

/// What a step did, by attempt.
#[derive(Debug, Default)]
pub struct Step {
    /// Generations that ran for the first time.
    pub started: Vec<String>,
    /// Generations that lost their memory.
    pub preempted: Vec<String>,
    /// Generations that are whole now.
    pub ended: Vec<String>,
}

impl Batch {
    /// Adds a generation that waits for its first step.
    pub fn add(&mut self, generation: Generation) {
        self.waiting.push(generation.attempt.clone());
        self.held.insert(generation.attempt.clone(), generation);
    }

    /// Returns how many generations run.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns how many generations wait.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// Returns the tokens of KV memory in use.
    pub fn kv_used(&self) -> u64 {
        let tokens = self
            .running
            .iter()
            .filter_map(|attempt| self.held.get(attempt));
        tokens.map(Generation::kv_tokens).sum()
    }

    /// Takes a generation out of the batch; its text stays held.
    pub fn stop(&mut self, attempt: &str) {
        self.running.retain(|name| name != attempt);
        self.waiting.retain(|name| name != attempt);
    }

    /// Runs one decoding step.
    pub fn step(&mut self, room: Room) -> Step {
        let mut step = Step::default();
        self.admit(room, &mut step);
        self.make_room(room, &mut step);
        self.compute(room, &mut step);
        step
    }

    fn admit(&mut self, room: Room, step: &mut Step) {
        let held = &self.held;
        // Stable: among equals the earlier one, or the preempted one, comes first.
        self.waiting
            .sort_by_key(|attempt| held.get(attempt).map_or(u8::MAX, |g| g.priority));
        let mut used = self.kv_used();
        while self.running() < room.max_running && !self.waiting.is_empty() {
            let attempt = &self.waiting[0];
            let Some(generation) = self.held.get_mut(attempt) else {
                self.waiting.remove(0);
                continue;
            };
            let need = generation.kv_tokens() + 1;
            // Alone it runs in any case, or an oversized prompt would block the engine for ever.
            if used + need > room.kv_tokens && !self.running.is_empty() {
                return;
            }
            used += need;
            generation.prefill_left = generation.kv_tokens() as u32;
            if !generation.started {
                generation.started = true;
                step.started.push(attempt.clone());
            }
            self.running.push(self.waiting.remove(0));
        }
    }

    fn make_room(&mut self, room: Room, step: &mut Step) {
        let growth = self.running.len() as u64;
        let mut used = self.kv_used() + growth;
        while used > room.kv_tokens && self.running.len() > 1 {
            let victim = self.victim();
            let attempt = self.running.remove(victim);
            used -= self.held.get(&attempt).map_or(0, Generation::kv_tokens) + 1;
            self.preemptions += 1;
            step.preempted.push(attempt.clone());
            self.waiting.insert(0, attempt);
        }
    }

    /// Returns the position of the least urgent generation, the latest among equals.
    fn victim(&self) -> usize {
        let priority = |attempt: &String| self.held.get(attempt).map_or(u8::MAX, |g| g.priority);
        let indexed = self.running.iter().enumerate();
        indexed
            .max_by_key(|(index, attempt)| (priority(attempt), *index))
            .map_or(0, |(index, _)| index)
    }

    fn compute(&mut self, room: Room, step: &mut Step) {
        let mut budget = room.prefill_tokens;
        for attempt in &self.running {
            let Some(generation) = self.held.get_mut(attempt) else {
                continue;
            };
            if generation.prefill_left > 0 {
                let done = generation.prefill_left.min(budget);
                generation.prefill_left -= done;
                budget -= done;
            } else {
                generation.generated += 1;
            }
            debug_assert!(generation.generated <= generation.length);
            if generation.is_whole() {
                step.ended.push(attempt.clone());
            }
        }
        self.running.retain(|attempt| !step.ended.contains(attempt));
    }
}
