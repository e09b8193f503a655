//! Homes periodically ask entry instances which of their requests still exist.
//!
//! The report that a request has ended can be lost, with a link that breaks for a moment or in a
//! queue that is full. The home would then hold the grant of the request for as long as both
//! processes run, which shows as KV cache that never becomes free. So a home asks whenever a link
//! is up again, and periodically; the entry instance withdraws the requests that it does not know.

use super::Node;
use super::request::Stage;
use super::timers::TimerKind;
use crate::cell::CellMessage;
use crate::event::PeerId;
use crate::ids::InstanceKey;
use crate::peer::PeerMessage;
use core::time::Duration;
use std::collections::BTreeMap;

/// How often homes ask. With 40 running requests per entry instance this costs 11 bytes a second.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(30);

impl Node {
    /// Asks every entry instance about all its requests, and schedules the next round.
    pub(super) fn confirm_all(&mut self) {
        let mut held: BTreeMap<PeerId, Vec<u64>> = BTreeMap::new();
        for id in self.homes.held() {
            let holder = PeerId {
                instance: id.instance,
                incarnation: id.incarnation,
            };
            held.entry(holder).or_default().push(id.seq);
        }
        for (holder, seqs) in held {
            self.confirm(holder.instance, seqs);
        }
        let next = self.now + CONFIRM_INTERVAL;
        self.timers.set(next, TimerKind::Confirm);
    }

    /// Asks an entry instance about all requests that are held for it.
    pub(super) fn confirm_with(&mut self, holder: PeerId) {
        let held = self.homes.held();
        let held = held
            .filter(|it| (it.instance, it.incarnation) == (holder.instance, holder.incarnation));
        let seqs: Vec<u64> = held.map(|it| it.seq).collect();
        if !seqs.is_empty() {
            self.confirm(holder.instance, seqs);
        }
    }

    fn confirm(&mut self, holder: InstanceKey, seqs: Vec<u64>) {
        let message = CellMessage::Confirm(seqs);
        self.send(holder, PeerMessage::Cell(message));
    }

    /// Answers a home that asks which requests still exist: withdraws those that do not.
    pub(super) fn on_confirm(&mut self, home: InstanceKey, mut seqs: Vec<u64>) {
        seqs.retain(|&seq| !self.is_held_at(home, seq));
        if !seqs.is_empty() {
            let message = CellMessage::Withdraw(seqs);
            self.send(home, PeerMessage::Cell(message));
        }
    }

    fn is_held_at(&self, at: InstanceKey, seq: u64) -> bool {
        let stage = self.requests.get(&seq).map(|it| it.stage);
        matches!(stage, Some(Stage::Placing { home, .. } | Stage::Running { home, .. }) if home == at)
    }
}
