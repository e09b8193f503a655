//! Lists that name far too little are not believed at once.
//!
//! A list that is empty or half-written looks exactly like the loss of most of
//! the fleet. Believing it would move every home and close every endpoint in
//! one step, while keeping the old list costs little: what is truly gone shows
//! itself by broken links and refusals.

use super::links::Link;
use super::list::{InstanceList, ListedState};
use super::{Membership, MembershipAction, View};
use crate::ids::InstanceKey;
use crate::note::Note;
use crate::time::Time;
use core::time::Duration;

/// A later revision confirms a doubted list only after so long, so that a
/// writer that publishes a list in pieces does not confirm itself.
pub const QUARANTINE_CONFIRM: Duration = Duration::from_secs(10);

/// A doubted list that nothing contradicts is believed after so long.
pub const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(300);

/// A list that is held back.
#[derive(Clone, Debug)]
pub(super) struct Quarantine {
    list: InstanceList,
    since: Time,
    /// Instances that it no longer names.
    missing: Vec<InstanceKey>,
}

/// What links to vanished instances say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// At least one is there.
    Alive,
    /// All that were linked are down.
    Dead,
    /// None was linked.
    Unknown,
}

impl Membership {
    /// Takes in a list from the platform or from a peer.
    ///
    /// Returns whether its revision is at least the one in force.
    pub(super) fn consider_list(
        &mut self,
        now: Time,
        mut list: InstanceList,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        if list.revision < self.view.revision() {
            return false;
        }
        if list.revision == self.view.revision() {
            return true;
        }
        list.normalise();
        if !loses_most(&self.view, &list) {
            self.accept_list(now, list, out);
            return true;
        }
        self.quarantine_list(now, list, out);
        true
    }

    fn quarantine_list(&mut self, now: Time, list: InstanceList, out: &mut Vec<MembershipAction>) {
        let vanished = missing_instances(&self.view, &list);
        let Some(doubt) = &mut self.quarantine else {
            out.push(MembershipAction::Note(Note::ListQuarantined {
                named: count(list.instances.len()),
                known: count(self.view.list().instances.len()),
            }));
            self.quarantine = Some(Quarantine {
                list,
                since: now,
                missing: vanished,
            });
            return;
        };
        if list.revision <= doubt.list.revision {
            return;
        }
        doubt.list = list;
        doubt.missing = vanished;
        let confirmed = now >= doubt.since + QUARANTINE_CONFIRM;
        if confirmed && !doubt.list.instances.is_empty() {
            self.accept_quarantined(now, out);
        }
    }

    fn accept_quarantined(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if let Some(doubt) = self.quarantine.take() {
            self.accept_list(now, doubt.list, out);
        }
    }

    /// Returns the highest revision seen, also of a list that is doubted.
    pub(super) fn seen_revision(&self) -> u64 {
        let doubted = self.quarantine.as_ref().map_or(0, |it| it.list.revision);
        self.view.revision().max(doubted)
    }

    pub(super) fn quarantine_due(&self) -> Time {
        let Some(doubt) = &self.quarantine else {
            return Time::NEVER;
        };
        if doubt.list.instances.is_empty() {
            return Time::NEVER;
        }
        match self.evidence(doubt) {
            Evidence::Alive => Time::NEVER,
            Evidence::Dead => doubt.since + QUARANTINE_CONFIRM,
            Evidence::Unknown => doubt.since + QUARANTINE_TIMEOUT,
        }
    }

    pub(super) fn tick_quarantine(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.quarantine_due() <= now {
            self.accept_quarantined(now, out);
        }
    }

    fn evidence(&self, doubt: &Quarantine) -> Evidence {
        let mut evidence = Evidence::Unknown;
        for life in doubt
            .missing
            .iter()
            .filter_map(|it| self.peer_states.get(it))
        {
            match life.link {
                Link::Up => return Evidence::Alive,
                Link::Down { .. } => evidence = Evidence::Dead,
                Link::Unknown => {}
            }
        }
        evidence
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

fn missing_instances(view: &View, list: &InstanceList) -> Vec<InstanceKey> {
    let named: Vec<InstanceKey> = list.instances.iter().map(|it| it.key()).collect();
    let live = view
        .instances()
        .filter(|it| it.record.state == ListedState::Live);
    live.map(|it| it.key)
        .filter(|it| !named.contains(it))
        .collect()
}

/// Returns whether more than half of the live instances or of the live
/// endpoints are missing, without ever having been called leaving.
fn loses_most(view: &View, list: &InstanceList) -> bool {
    let known = view
        .instances()
        .filter(|it| it.record.state == ListedState::Live);
    let lost = missing_instances(view, list).len();
    if lost * 2 > known.count() {
        return true;
    }
    let known = view
        .endpoints()
        .filter(|it| it.record.state == ListedState::Live);
    let named = |name: &str| {
        let found = list
            .endpoints
            .binary_search_by(|it| it.name.as_str().cmp(name));
        found.is_ok()
    };
    let (mut all, mut lost) = (0, 0);
    for endpoint in known {
        all += 1;
        lost += usize::from(!named(&endpoint.record.name));
    }
    lost * 2 > all
}
