//! Quarantine of lists that drop most of the fleet.
//!
//! A list that is empty or half-written looks exactly like the loss of most of the fleet. Accepting
//! it would move every home and close every endpoint in one step, while keeping the old list costs
//! little: instances and endpoints that are really gone show as broken links and refusals.

use super::links::Link;
use super::list::{InstanceList, ListedState};
use super::parse::ParsedList;
use super::{Membership, MembershipAction, View};
use crate::ids::InstanceKey;
use crate::note::Note;
use crate::time::Time;
use core::time::Duration;

/// Minimum time before a later revision confirms a quarantined list, so that a writer that
/// publishes a list in pieces does not confirm itself.
pub const QUARANTINE_CONFIRM: Duration = Duration::from_secs(10);

/// A quarantined list that no evidence contradicts is accepted after this time.
pub const QUARANTINE_TIMEOUT: Duration = Duration::from_secs(300);

/// A list in quarantine.
#[derive(Clone, Debug)]
pub(super) struct Quarantine {
    parsed: ParsedList,
    since: Time,
    /// Live instances that the list no longer contains.
    missing: Vec<InstanceKey>,
}

/// The state of the links to missing instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// At least one link is up.
    Alive,
    /// All known links are down.
    Dead,
    /// No link is known.
    Unknown,
}

impl Membership {
    /// Handles a list from the platform or from a peer.
    ///
    /// Returns whether its revision is at least the one in force.
    pub(super) fn consider_list(
        &mut self,
        now: Time,
        mut parsed: ParsedList,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        let list = &mut parsed.list;
        if list.revision < self.view.revision() {
            return false;
        }
        if list.revision == self.view.revision() {
            return true;
        }
        list.normalise();
        // What cannot be read counts as missing here: a writer that makes most entries unreadable
        // must not take most of the fleet out of use.
        if !loses_most(&self.view, list) {
            self.accept_parsed(now, parsed, out);
            return true;
        }
        self.quarantine_list(now, parsed, out);
        true
    }

    fn accept_parsed(&mut self, now: Time, parsed: ParsedList, out: &mut Vec<MembershipAction>) {
        let list = parsed.with_unreadable_of(self.view.list());
        self.accept_list(now, list, out);
    }

    fn quarantine_list(&mut self, now: Time, parsed: ParsedList, out: &mut Vec<MembershipAction>) {
        let missing = missing_instances(&self.view, &parsed.list);
        let Some(quarantine) = &mut self.quarantine else {
            out.push(MembershipAction::Note(Note::ListQuarantined {
                named: count(parsed.list.instances.len()),
                known: count(self.view.list().instances.len()),
            }));
            self.quarantine = Some(Quarantine {
                parsed,
                since: now,
                missing,
            });
            return;
        };
        if parsed.list.revision <= quarantine.parsed.list.revision {
            return;
        }
        quarantine.parsed = parsed;
        quarantine.missing = missing;
        let confirmed = now >= quarantine.since + QUARANTINE_CONFIRM;
        if confirmed && !quarantine.parsed.list.instances.is_empty() {
            self.accept_quarantined(now, out);
        }
    }

    fn accept_quarantined(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if let Some(quarantine) = self.quarantine.take() {
            self.accept_parsed(now, quarantine.parsed, out);
        }
    }

    /// Returns the highest revision seen, including that of a quarantined list.
    pub(super) fn seen_revision(&self) -> u64 {
        let quarantined = self
            .quarantine
            .as_ref()
            .map_or(0, |it| it.parsed.list.revision);
        self.view.revision().max(quarantined)
    }

    pub(super) fn quarantine_due(&self) -> Time {
        let Some(quarantine) = &self.quarantine else {
            return Time::NEVER;
        };
        if quarantine.parsed.list.instances.is_empty() {
            return Time::NEVER;
        }
        match self.evidence(quarantine) {
            Evidence::Alive => Time::NEVER,
            Evidence::Dead => quarantine.since + QUARANTINE_CONFIRM,
            Evidence::Unknown => quarantine.since + QUARANTINE_TIMEOUT,
        }
    }

    pub(super) fn tick_quarantine(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.quarantine_due() <= now {
            self.accept_quarantined(now, out);
        }
    }

    fn evidence(&self, quarantine: &Quarantine) -> Evidence {
        let mut evidence = Evidence::Unknown;
        for state in quarantine
            .missing
            .iter()
            .filter_map(|it| self.peer_states.get(it))
        {
            match state.link {
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

/// Returns whether more than half of the live instances or of the live endpoints are missing
/// without having been listed as leaving.
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
