//! Reads of the list: from the platform by a few instances, from peers by the rest.
//!
//! The platform serves about two thousand reads per second for all readers together. Only
//! [`WATCHERS`] instances of each data centre watch the list. They notify the others of new
//! revisions, and the others read from the platform only rarely, as a fallback.

use super::delta::{ListDelta, apply_delta, list_delta};
use super::list::InstanceList;
use super::parse::{ParsedList, is_same};
use super::{InstanceKey, Membership, MembershipAction, MembershipMessage};
use crate::note::{Note, UnreadableEntry};
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use rand::Rng;

/// Number of instances in a data centre that watch the list; the second covers the loss of the
/// first.
pub const WATCHERS: usize = 2;

/// Interval over which instances that start together spread their first reads.
pub const START_SPREAD: Duration = Duration::from_millis(1000);

/// Mean interval of reads by an instance that does not watch the list.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(300);

/// Minimum time between two watches, in case the platform responds at once.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// A read or watch without a response within this time has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// Initial pause after a failure; doubles up to [`RETRY_MAX`].
const RETRY_MIN: Duration = Duration::from_millis(250);

/// Maximum pause after a failure.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// A peer that does not answer a pull within this time may be asked again.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// A list that is not confirmed for this long is reported, and again after the same time.
pub const LIST_STALE: Duration = Duration::from_secs(600);

/// The state of reads from the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    /// When to read or watch next.
    due: Option<Time>,
    /// When the pending read was sent.
    read_sent: Option<Time>,
    /// When the pending watch was sent.
    watch_sent: Option<Time>,
    /// Consecutive failures.
    failures: u32,
    /// Whether the last call got no answer, which was reported.
    is_down: bool,
    /// Why the last answer could not be read as a list, which was reported.
    unreadable: Option<String>,
    /// The unreadable entries of the last list that were reported.
    unreadable_entries: Vec<UnreadableEntry>,
    /// Number of unreadable entries of the last list.
    unreadable_count: usize,
    /// Latest time at which the list in force is known to have been current.
    confirmed_at: Option<Time>,
    /// When to report that the list is stale.
    stale_due: Option<Time>,
    /// When changes were last requested from a peer.
    pull_sent: Option<Time>,
    /// The highest revision that a peer announced.
    highest_announced: u64,
}

impl Reads {
    pub fn begin_after(&mut self, now: Time, delay: Duration) {
        self.due = Some(now + delay);
        self.stale_due = Some(now + LIST_STALE);
    }

    fn oldest_pending(&self) -> Option<Time> {
        self.read_sent.into_iter().chain(self.watch_sent).min()
    }

    fn clear_pending(&mut self) {
        self.read_sent = None;
        self.watch_sent = None;
    }
}

impl Membership {
    pub(super) fn jitter(&mut self, max: Duration) -> Duration {
        max.mul_f64(self.rng.random_range(0.0..1.0))
    }

    pub(super) fn next_read(&self) -> Time {
        let lost = self.reads.oldest_pending().map(|it| it + CALL_TIMEOUT);
        let due = if self.reads.watch_sent.is_some() {
            None
        } else {
            self.reads.due
        };
        let stale = self.reads.stale_due;
        let all = lost.into_iter().chain(due).chain(stale);
        all.min().unwrap_or(Time::NEVER)
    }

    pub(super) fn tick_reads(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let oldest = self.reads.oldest_pending();
        if oldest.is_some_and(|it| it + CALL_TIMEOUT <= now) {
            self.list_failed(now, out);
        }
        if self.reads.due.is_some_and(|it| it <= now) && self.reads.watch_sent.is_none() {
            self.reads.due = None;
            self.ask_platform(now, out);
        }
        if self.reads.stale_due.is_some_and(|it| it <= now) {
            self.reads.stale_due = Some(now + LIST_STALE);
            let since = self.reads.confirmed_at.unwrap_or(Time::ZERO);
            let age_secs = now.since(since).as_secs();
            out.push(MembershipAction::Note(Note::ListStale { age_secs }));
        }
    }

    fn ask_platform(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.view.revision() > 0 && self.is_watcher() {
            self.reads.watch_sent = Some(now);
            let above = self.seen_revision();
            out.push(MembershipAction::WatchList { above });
        } else if self.reads.read_sent.is_none() {
            self.reads.read_sent = Some(now);
            out.push(MembershipAction::ReadList);
        }
    }

    /// Reads the list now, because an order depends on it.
    pub fn request_list_read(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.reads.read_sent.is_none() {
            self.reads.read_sent = Some(now);
            out.push(MembershipAction::ReadList);
        }
    }

    /// Handles a list from the platform of which every entry was read.
    pub fn list(&mut self, now: Time, list: InstanceList, out: &mut Vec<MembershipAction>) {
        self.parsed_list(now, list.into(), out);
    }

    /// Handles a list from the platform.
    pub fn parsed_list(&mut self, now: Time, parsed: ParsedList, out: &mut Vec<MembershipAction>) {
        let revision = parsed.list.revision;
        let asked_at = self.take_pending(now, revision);
        self.platform_answered(out);
        self.note_unreadable(&parsed, out);
        self.consider_list(now, parsed, out);
        // A platform replica that serves an old revision must not make the list look current.
        let current = revision == self.view.revision() && revision >= self.reads.highest_announced;
        if current {
            self.confirm(now, asked_at);
        }
        self.schedule_next(now);
    }

    /// Returns when the call was sent that a list of `revision` answers.
    ///
    /// Only a higher revision answers a watch, so the revision in force answers the read. Otherwise
    /// the older call is assumed, which is the safe choice.
    fn take_pending(&mut self, now: Time, revision: u64) -> Time {
        if revision == self.view.revision()
            && let Some(read) = self.reads.read_sent.take()
        {
            return read;
        }
        let asked_at = self.reads.oldest_pending().unwrap_or(now);
        self.reads.clear_pending();
        asked_at
    }

    /// Handles the platform's response that there is no newer list.
    pub fn list_unchanged(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let asked_at = self.reads.watch_sent.take().unwrap_or(now);
        self.platform_answered(out);
        if self.quarantine.is_none() && self.view.revision() >= self.reads.highest_announced {
            self.confirm(now, asked_at);
        }
        self.schedule_next(now);
    }

    /// Reports the unreadable entries that the last list did not have.
    fn note_unreadable(&mut self, parsed: &ParsedList, out: &mut Vec<MembershipAction>) {
        if parsed.list.revision < self.seen_revision() {
            return;
        }
        let known = core::mem::take(&mut self.reads.unreadable_entries);
        self.reads.unreadable_count = parsed.unreadable_count();
        for entry in parsed.described() {
            if !known.iter().any(|it| is_same(it, entry)) {
                out.push(MembershipAction::Note(Note::ListEntryUnreadable {
                    revision: parsed.list.revision,
                    entry: entry.clone(),
                    unreadable: parsed.unreadable_count(),
                }));
            }
            self.reads.unreadable_entries.push(entry.clone());
        }
    }

    /// Returns the number of entries of the platform's last list that could not be read.
    pub fn unreadable_entries(&self) -> usize {
        self.reads.unreadable_count
    }

    /// Handles a failed call to the platform.
    pub fn list_failed(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if !self.reads.is_down {
            self.reads.is_down = true;
            out.push(MembershipAction::Note(Note::PlatformDown));
        }
        self.read_again_later(now);
    }

    /// Handles an answer of the platform whose outer form is not that of a list.
    pub fn list_unreadable(&mut self, now: Time, reason: String, out: &mut Vec<MembershipAction>) {
        self.platform_is_up(out);
        if self.reads.unreadable.as_ref() != Some(&reason) {
            self.reads.unreadable = Some(reason.clone());
            out.push(MembershipAction::Note(Note::ListUnreadable { reason }));
        }
        self.read_again_later(now);
    }

    fn read_again_later(&mut self, now: Time) {
        self.reads.clear_pending();
        let doubled = RETRY_MIN * (1 << self.reads.failures.min(6));
        self.reads.failures = self.reads.failures.saturating_add(1);
        let max = doubled.min(RETRY_MAX);
        let delay = max / 2 + self.jitter(max / 2);
        self.reads.due = Some(now + delay);
    }

    fn platform_answered(&mut self, out: &mut Vec<MembershipAction>) {
        self.platform_is_up(out);
        self.reads.failures = 0;
        self.reads.unreadable = None;
    }

    fn platform_is_up(&mut self, out: &mut Vec<MembershipAction>) {
        if core::mem::take(&mut self.reads.is_down) {
            out.push(MembershipAction::Note(Note::PlatformUp));
        }
    }

    fn confirm(&mut self, now: Time, asked_at: Time) {
        self.reads.confirmed_at = self.reads.confirmed_at.max(Some(asked_at));
        self.reads.stale_due = Some(now + LIST_STALE);
    }

    fn schedule_next(&mut self, now: Time) {
        let delay = if self.is_watcher() {
            MIN_WATCH_INTERVAL
        } else {
            FALLBACK_READ_INTERVAL / 2 + self.jitter(FALLBACK_READ_INTERVAL)
        };
        self.reads.due = Some(now + delay);
    }

    /// Starts the watch as soon as this instance ranks as a watcher.
    pub(super) fn refresh_reads(&mut self, now: Time) {
        let idle = self.reads.watch_sent.is_none() && self.reads.failures == 0;
        if idle && self.reads.due.is_some() && self.is_watcher() {
            let soon = now + MIN_WATCH_INTERVAL;
            self.reads.due = self.reads.due.min(Some(soon));
        }
    }

    /// Returns the time since the platform last confirmed the list in force, counted from when the
    /// confirming call was sent.
    pub fn list_age(&self, now: Time) -> Option<Duration> {
        self.reads.confirmed_at.map(|it| now.since(it))
    }

    /// Returns when the call was sent that last confirmed the list in force; `None` if a newer list
    /// is known to exist.
    pub fn list_confirmed_at(&self) -> Option<Time> {
        let is_newest =
            self.view.revision() >= self.reads.highest_announced && self.quarantine.is_none();
        self.reads.confirmed_at.filter(|_| is_newest)
    }

    /// Handles the list revision that a peer announced.
    pub fn peer_revision(
        &mut self,
        now: Time,
        from: PeerId,
        revision: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        self.reads.highest_announced = self.reads.highest_announced.max(revision);
        if revision <= self.seen_revision() {
            return;
        }
        match self.reads.pull_sent {
            Some(at) if now < at + PULL_TIMEOUT => return,
            // The peer is gone, or the list is too long for its frames.
            Some(_) => self.request_list_read(now, out),
            None => {}
        }
        self.pull(now, from.instance, self.view.revision(), out);
    }

    fn pull(&mut self, now: Time, from: InstanceKey, have: u64, out: &mut Vec<MembershipAction>) {
        self.reads.pull_sent = Some(now);
        self.send(now, from, MembershipMessage::ListPull { have }, out);
    }

    pub(super) fn answer_pull(
        &mut self,
        now: Time,
        from: PeerId,
        have: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        if have >= self.view.revision() {
            return;
        }
        let base = self.history.iter().find(|it| it.revision == have);
        let message = match base {
            Some(base) => MembershipMessage::Delta(Box::new(list_delta(base, self.view.list()))),
            None => MembershipMessage::FullList(Box::new(self.view.list().clone())),
        };
        self.send(now, from.instance, message, out);
    }

    pub(super) fn pulled_delta(
        &mut self,
        now: Time,
        from: PeerId,
        delta: &ListDelta,
        out: &mut Vec<MembershipAction>,
    ) {
        if delta.to <= self.view.revision() {
            return;
        }
        match apply_delta(self.view.list(), delta) {
            Some(list) => self.pulled_list(now, list, out),
            None => self.pull(now, from.instance, 0, out),
        }
    }

    pub(super) fn pulled_list(
        &mut self,
        now: Time,
        list: InstanceList,
        out: &mut Vec<MembershipAction>,
    ) {
        self.reads.pull_sent = None;
        self.consider_list(now, list.into(), out);
    }

    /// Announces a new list to the instances that depend on this one.
    pub(super) fn announce_revision(
        &mut self,
        now: Time,
        revision: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        let mut receivers = self.own_watchers();
        if receivers.contains(&self.me) {
            receivers.extend(self.own_data_centre_instances());
            receivers.extend(self.foreign_watchers());
        }
        receivers.sort_unstable();
        receivers.dedup();
        receivers.retain(|&it| it != self.me);
        for to in receivers {
            self.send(now, to, MembershipMessage::ListNotice { revision }, out);
        }
    }
}
