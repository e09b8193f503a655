//! Homes ask entries whether what they hold for them still stands.
//!
//! What goes wrong otherwise: the word that a request has ended is lost, with
//! a link that breaks for a moment or in a queue that was full. The home then
//! holds the request's place for as long as both processes live, seen as
//! memory that is never free. So a home asks after a link came back, and from
//! time to time; the entry takes back what it does not know of.

use super::Node;
use super::request::Stage;
use super::timers::TimerKind;
use crate::cell::CellMessage;
use crate::event::PeerId;
use crate::ids::InstanceKey;
use crate::peer::PeerMessage;
use core::time::Duration;
use std::collections::BTreeMap;

/// How often homes ask. At 40 running requests an entry that is 11 bytes a second.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(30);

impl Node {
    /// Asks every entry about everything, now and again later.
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

    /// Asks an entry about everything that is held for it.
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

    /// A home asks what still stands; takes back what does not.
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
