//! Copies of generations' memory, and going on from them.

use super::{CALL_TIME, Carrier, Copy, Due, STANDING_EVERY, demand};
use crate::policy::reclaim::Way;
use oriolemux_core::gateway::choose::choose_copy_target;
use oriolemux_core::gateway::relocation::{ResumeFrom, STANDBY_MIN_TOKENS};
use oriolemux_core::gateway::request::CopyKind;
use oriolemux_core::time::Time;
use rand::Rng;

impl Carrier {
    pub(super) fn copy_engine(&mut self, now: Time, id: usize, kind: CopyKind) -> Option<usize> {
        let tokens = self.generations[id].counted;
        let source = self.generations[id].at?;
        let source = self.engines.all[source].key;
        let (world, rng) = self.world(now);
        let source = world.endpoints.get(source)?;
        let demand = demand(tokens, &[]);
        let key = choose_copy_target(world, &demand, source, kind, || rng.random())?;
        self.engines.index_of(key)
    }

    pub(super) fn choose_standing(&mut self, now: Time, id: usize) {
        let one = &self.generations[id];
        let wanted =
            self.way == Way::Ours && one.length.remaining(one.state.tokens()) >= STANDBY_MIN_TOKENS;
        let engine = match wanted {
            true => self.copy_engine(now, id, CopyKind::Standby),
            false => None,
        };
        let copy = engine.map(|engine| self.count_copy(id, engine));
        let one = &mut self.generations[id];
        one.standing = copy;
        one.state.set_standby(copy.is_some());
    }

    pub(super) fn count_copy(&mut self, id: usize, engine: usize) -> Copy {
        let counted = self.generations[id].counted;
        let key = self.engines.all[engine].key;
        self.usage.begin_copy(key, counted);
        Copy {
            engine,
            tokens: 0,
            counted,
        }
    }

    pub(super) fn drop_copy(&mut self, id: usize, copy: Option<Copy>) {
        if let Some(copy) = copy {
            let engine = &mut self.engines.all[copy.engine];
            engine.model.let_go(id as u64);
            self.usage.end_copy(engine.key, copy.counted);
        }
    }

    /// Holds room for all that a generation at engine `at` has in memory; returns how many
    /// tokens that are, if it runs there and there is room.
    fn hold(&mut self, id: usize, at: usize, copy: Copy) -> Option<u32> {
        let context = self.engines.all[at].model.context_of(id as u64);
        let target = &mut self.engines.all[copy.engine];
        context.filter(|&context| !target.is_gone && target.model.hold(id as u64, context))
    }

    pub(super) fn copy_ahead(&mut self, now: Time, id: usize, at: usize) {
        if self.generations[id].ahead.is_none() {
            let Some(engine) = self.copy_engine(now, id, CopyKind::PreCopy) else {
                let leaving = self.endpoints.get(self.engines.all[at].key);
                let leaving = leaving.and_then(|it| it.leaving_since());
                let leaving_for = leaving.map(|since| now.since(since)).unwrap_or_default();
                let state = &mut self.generations[id].state;
                state.pre_copy_refused(now, leaving_for);
                return;
            };
            let copy = self.count_copy(id, engine);
            self.generations[id].ahead = Some(copy);
        }
        let Some(copy) = self.generations[id].ahead else {
            return;
        };
        let room = self.hold(id, at, copy);
        let ends = match room {
            Some(context) => {
                let missing = context.saturating_sub(copy.tokens);
                self.engines.transfer(now, at, copy.engine, missing)
            }
            None => now + CALL_TIME,
        };
        let one = &mut self.generations[id];
        one.state.pre_copy_started(now);
        let epoch = one.epoch;
        self.due(ends, Due::Copied(id, epoch, room));
    }

    pub(super) fn copied(&mut self, now: Time, id: usize, tokens: Option<u32>) {
        let one = &mut self.generations[id];
        let there = one.ahead.is_some();
        if let (Some(copy), Some(tokens)) = (&mut one.ahead, tokens) {
            copy.tokens = tokens;
        }
        let complete = tokens.is_some() && there;
        if !one.state.pre_copy_ended(now, complete) {
            let copy = one.ahead.take();
            self.drop_copy(id, copy);
        }
        self.advance(now, id);
    }

    /// An engine sends what its standing copy lacks, as long as there is room.
    pub(super) fn refresh(&mut self, now: Time, id: usize) {
        let one = &self.generations[id];
        let (Some(at), Some(copy), epoch) = (one.at, one.standing, one.epoch) else {
            return;
        };
        let room = self.hold(id, at, copy);
        match room {
            Some(context) => {
                let missing = context.saturating_sub(copy.tokens);
                let done = self.engines.transfer(now, at, copy.engine, missing);
                self.due(done, Due::Stands(id, epoch, context));
            }
            None => self.due(now + STANDING_EVERY, Due::Standing(id, epoch)),
        }
    }

    pub(super) fn stands(&mut self, now: Time, id: usize, tokens: u32) {
        let one = &mut self.generations[id];
        if let Some(copy) = &mut one.standing {
            copy.tokens = tokens;
            let epoch = one.epoch;
            self.due(now + STANDING_EVERY, Due::Standing(id, epoch));
        }
    }

    /// Goes on from a copy; the generation is lost if that holds nothing.
    pub(super) fn go_on(&mut self, now: Time, id: usize, from: Option<ResumeFrom>) {
        self.leave_engine(now, id);
        let one = &mut self.generations[id];
        let (standing, ahead) = (one.standing.take(), one.ahead.take());
        let (used, other) = match from {
            Some(ResumeFrom::PreCopy) => (ahead, standing),
            Some(ResumeFrom::Standby) => (standing, ahead),
            None => (None, standing.or(ahead)),
        };
        let there = |copy: &Copy| copy.tokens > 0 && !self.engines.all[copy.engine].is_gone;
        let Some(used) = used.filter(there) else {
            self.drop_copy(id, other);
            self.drop_copy(id, used);
            self.counts.summary.relocation_lost += 1;
            return;
        };
        if other.is_some_and(|other| other.engine != used.engine) {
            self.drop_copy(id, other);
        } else if let Some(other) = other {
            let key = self.engines.all[other.engine].key;
            self.usage.end_copy(key, other.counted);
        }
        let key = self.engines.all[used.engine].key;
        self.usage.end_copy(key, used.counted);
        self.move_to(now, id, used.engine, used.tokens);
    }
}
