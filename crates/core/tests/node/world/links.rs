//! Links between the nodes of the simulated fleet, and pauses and deaths of processes.

use super::{Seat, World, pair};
use oriolemux_core::InstanceKey;
use oriolemux_core::event::{Event, PeerId};

impl World {
    /// Partitions node number `n` from all others.
    pub fn isolate(&mut self, n: usize) {
        let me = self.key(n);
        let others: Vec<InstanceKey> = self.seats.keys().copied().collect();
        for other in others.into_iter().filter(|it| *it != me) {
            self.partitioned.insert(pair(me, other));
            self.drop_link(me, other);
        }
    }

    /// Partitions two nodes from each other.
    pub fn partition(&mut self, a: usize, b: usize) {
        let (a, b) = (self.key(a), self.key(b));
        self.partitioned.insert(pair(a, b));
        self.drop_link(a, b);
    }

    /// Heals every partition.
    pub fn heal(&mut self) {
        self.partitioned.clear();
    }

    /// Pauses node number `n`: its sockets stay open, and what arrives waits.
    pub fn pause(&mut self, n: usize) {
        let me = self.key(n);
        self.seats.get_mut(&me).expect("a node").paused = true;
    }

    /// Resumes node number `n`, which then handles the events that arrived meanwhile.
    pub fn resume(&mut self, n: usize) {
        let me = self.key(n);
        let seat = self.seats.get_mut(&me).expect("a node");
        seat.paused = false;
        for event in std::mem::take(&mut seat.inbox) {
            self.feed(me, event);
        }
        self.feed(me, Event::Wake);
    }

    /// Closes every link of node number `n`, as its peers do after some silence.
    pub fn drop_links(&mut self, n: usize) {
        let me = self.key(n);
        let others: Vec<InstanceKey> = self.seats.keys().copied().collect();
        for other in others {
            self.drop_link(me, other);
        }
    }

    /// Ends the process of node number `n` without warning.
    pub fn kill(&mut self, n: usize) {
        let me = self.key(n);
        if let Some(seat) = self.seats.get_mut(&me) {
            seat.dead = true;
        }
        self.drop_links(n);
        let partitioned: Vec<_> = self.seats.keys().map(|other| pair(me, *other)).collect();
        self.partitioned.extend(partitioned);
    }

    fn drop_link(&mut self, a: InstanceKey, b: InstanceKey) {
        if self.links.remove(&pair(a, b)).is_none() {
            return;
        }
        for (me, other) in [(a, b), (b, a)] {
            let incarnation = self.seats[&other].node.me().incarnation;
            let peer = PeerId {
                instance: other,
                incarnation,
            };
            self.feed(me, Event::PeerDown(peer));
        }
    }

    pub(super) fn dial(&mut self) {
        let wanted: Vec<(InstanceKey, InstanceKey)> = self
            .seats
            .iter()
            .filter(|(_, it)| !it.dead && !it.paused)
            .flat_map(|(me, it)| it.wants.iter().map(|other| pair(*me, *other)))
            .collect();
        for (a, b) in wanted {
            let there = |key| {
                let seat = self.seats.get(&key);
                seat.is_some_and(|it: &Seat| !it.dead && !it.paused)
            };
            let open = !self.partitioned.contains(&(a, b)) && there(a) && there(b);
            if !open || self.links.contains_key(&(a, b)) {
                continue;
            }
            self.count += 1;
            self.links.insert((a, b), self.count);
            let (id_a, id_b) = (self.seats[&a].node.me(), self.seats[&b].node.me());
            self.feed(a, Event::PeerUp(id_b));
            self.feed(b, Event::PeerUp(id_a));
        }
    }
}
