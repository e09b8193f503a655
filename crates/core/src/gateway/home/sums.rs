//! Usage over all instances that report to a home, as running sums.
//!
//! A home needs the sum for each decision, and decides after nearly every datagram. Adding up all
//! reports each time takes longer than the decision itself where hundreds of instances report.

use crate::gateway::usage::{PeerUsage, Usage};
use crate::ids::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};

/// What all reports and reservations add up to.
#[derive(Clone, Debug, Default)]
pub(super) struct UsageSums {
    used: BTreeMap<EndpointKey, UsageSum>,
    /// How many instances reported an engine as failing.
    failing: BTreeMap<EndpointKey, usize>,
}

/// A sum of [`Usage`] values. Its fields are wide enough never to saturate, because a saturated sum
/// would be wrong once a value is subtracted from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct UsageSum {
    running: u64,
    pending_prefill: u64,
    tokens: u64,
    copy_tokens: u64,
}

impl UsageSums {
    /// Adds the usage of an engine.
    pub(super) fn add(&mut self, engine: EndpointKey, used: Usage) {
        self.used.entry(engine).or_default().add(used);
    }

    /// Subtracts a usage that was added before.
    pub(super) fn subtract(&mut self, engine: EndpointKey, used: Usage) {
        if let Some(sum) = self.used.get_mut(&engine) {
            sum.subtract(used);
            if *sum == UsageSum::default() {
                self.used.remove(&engine);
            }
        }
    }

    /// Adds the report of one instance that an engine fails.
    pub(super) fn add_failing(&mut self, engine: EndpointKey) {
        *self.failing.entry(engine).or_default() += 1;
    }

    /// Subtracts a report that was added before.
    pub(super) fn subtract_failing(&mut self, engine: EndpointKey) {
        if let Some(count) = self.failing.get_mut(&engine) {
            *count -= 1;
            if *count == 0 {
                self.failing.remove(&engine);
            }
        }
    }

    /// Returns the sums as they are used and sent.
    pub(super) fn total(&self) -> PeerUsage {
        let mut total = PeerUsage::default();
        for (engine, sum) in &self.used {
            total.add(*engine, sum.usage());
        }
        total.failing.extend(self.failing.keys());
        total
    }

    /// Returns the sums without `own`, which is part of them.
    pub(super) fn without(
        &self,
        own: impl Iterator<Item = (EndpointKey, Usage)>,
    ) -> Vec<(EndpointKey, Usage)> {
        let mut parts: BTreeMap<EndpointKey, UsageSum> = BTreeMap::new();
        for (engine, used) in own {
            parts.entry(engine).or_default().add(used);
        }
        let others = self.used.iter().map(|(engine, sum)| {
            let part = parts.get(engine).copied().unwrap_or_default();
            (*engine, sum.less(part).usage())
        });
        others.filter(|(_, used)| *used != Usage::NONE).collect()
    }

    /// Returns the engines that instances report as failing, without those that only the instance
    /// with these reports.
    pub(super) fn failing_without(&self, own: &[EndpointKey]) -> impl Iterator<Item = EndpointKey> {
        let own: BTreeSet<EndpointKey> = own.iter().copied().collect();
        let others = self
            .failing
            .iter()
            .filter(move |(engine, count)| **count > usize::from(own.contains(engine)));
        others.map(|(engine, _)| *engine)
    }
}

impl UsageSum {
    fn add(&mut self, used: Usage) {
        self.running += u64::from(used.running);
        self.pending_prefill += u64::from(used.pending_prefill);
        self.tokens += u64::from(used.tokens);
        self.copy_tokens += u64::from(used.copy_tokens);
    }

    fn subtract(&mut self, used: Usage) {
        let mut part = UsageSum::default();
        part.add(used);
        *self = self.less(part);
    }

    fn less(self, part: UsageSum) -> UsageSum {
        UsageSum {
            running: self.running.saturating_sub(part.running),
            pending_prefill: self.pending_prefill.saturating_sub(part.pending_prefill),
            tokens: self.tokens.saturating_sub(part.tokens),
            copy_tokens: self.copy_tokens.saturating_sub(part.copy_tokens),
        }
    }

    fn usage(self) -> Usage {
        let narrow = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Usage {
            running: u16::try_from(self.running).unwrap_or(u16::MAX),
            pending_prefill: narrow(self.pending_prefill),
            tokens: narrow(self.tokens),
            copy_tokens: narrow(self.copy_tokens),
        }
    }
}

/// What a home granted to one instance and no report includes yet, by request. Each change updates
/// the sums.
#[derive(Clone, Debug, Default)]
pub(super) struct Reservations {
    granted: BTreeMap<u64, (EndpointKey, Usage)>,
}

impl Reservations {
    /// Reserves what is granted to a request.
    pub(super) fn insert(
        &mut self,
        sums: &mut UsageSums,
        id: u64,
        engine: EndpointKey,
        used: Usage,
    ) {
        sums.add(engine, used);
        if let Some((engine, used)) = self.granted.insert(id, (engine, used)) {
            sums.subtract(engine, used);
        }
    }

    /// Releases all reservations but those for which `keep` returns true.
    pub(super) fn retain(
        &mut self,
        sums: &mut UsageSums,
        mut keep: impl FnMut(u64, EndpointKey) -> bool,
    ) {
        self.granted.retain(|id, (engine, used)| {
            let is_kept = keep(*id, *engine);
            if !is_kept {
                sums.subtract(*engine, *used);
            }
            is_kept
        });
    }

    /// Returns the engine that is reserved for a request.
    pub(super) fn engine(&self, id: u64) -> Option<EndpointKey> {
        self.granted.get(&id).map(|(engine, _)| *engine)
    }

    /// Returns all reservations.
    pub(super) fn all(&self) -> impl Iterator<Item = (EndpointKey, Usage)> {
        self.granted.values().copied()
    }
}
