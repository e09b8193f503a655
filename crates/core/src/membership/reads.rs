//! Reading the list: from the platform by a few, from peers by the rest.
//!
//! The platform answers about two thousand reads a second for all readers
//! together. Only [`WATCHERS`] instances of each data centre watch it; the
//! others hear of a new revision from them, and read the platform themselves
//! seldom, as a safety net.

use super::delta::{ListDelta, apply_delta, list_delta};
use super::list::InstanceList;
use super::{InstanceKey, Membership, MembershipAction, MembershipMessage};
use crate::note::Note;
use crate::time::Time;
use crate::value::PeerId;
use core::time::Duration;
use rand::Rng;

/// Instances of a data centre that hold a watch; a second covers the first's loss.
pub const WATCHERS: usize = 2;

/// First reads of a fleet that starts at once are spread over so long.
pub const START_SPREAD: Duration = Duration::from_millis(1000);

/// An instance that holds no watch reads the platform so often.
const FALLBACK_READ_INTERVAL: Duration = Duration::from_secs(300);

/// The shortest time between two watches, should the platform answer at once.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// A read or watch that was not answered by then has failed.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// The first wait after a failure; doubles up to [`RETRY_MOST`].
const RETRY_MIN: Duration = Duration::from_millis(250);

/// The longest wait after a failure.
const RETRY_MAX: Duration = Duration::from_secs(10);

/// A peer that does not answer a pull by then may be asked again.
const PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// A list that was not confirmed for so long is reported, and again after as long.
pub const LIST_STALE: Duration = Duration::from_secs(600);

/// What is known about reads of the platform.
#[derive(Clone, Debug, Default)]
pub(super) struct Reads {
    /// When to read or watch next.
    due: Option<Time>,
    /// When the read that is out was sent.
    read_sent: Option<Time>,
    /// When the watch that is out was sent.
    watch_sent: Option<Time>,
    /// Failures in a row.
    failures: u32,
    /// The list in force was current at this time.
    confirmed_at: Option<Time>,
    /// When to report that the list is stale.
    stale_due: Option<Time>,
    /// When a peer was asked for changes.
    pull_sent: Option<Time>,
    /// The highest revision that a peer said it holds.
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
    pub(super) fn jitter(&mut self, most: Duration) -> Duration {
        most.mul_f64(self.rng.random_range(0.0..1.0))
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

    /// Asks for a read of the list now, because an order depends on it.
    pub fn request_list_read(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        if self.reads.read_sent.is_none() {
            self.reads.read_sent = Some(now);
            out.push(MembershipAction::ReadList);
        }
    }

    /// The platform answered with a list.
    pub fn list(&mut self, now: Time, list: InstanceList, out: &mut Vec<MembershipAction>) {
        let revision = list.revision;
        let asked_at = self.take_pending(now, revision);
        self.platform_answered(out);
        self.consider_list(now, list, out);
        // A service that serves an old revision must not make the list look fresh.
        let current = revision == self.view.revision() && revision >= self.reads.highest_announced;
        if current {
            self.confirm(now, asked_at);
        }
        self.schedule_next(now);
    }

    /// Returns when the call was sent that is answered by a list of `revision`.
    ///
    /// A watch is answered by a higher revision only, so that the one in force
    /// answers the read; for any other the older call is taken, to be safe.
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

    /// The platform answered that there is nothing newer.
    pub fn list_unchanged(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        let asked_at = self.reads.watch_sent.take().unwrap_or(now);
        self.platform_answered(out);
        if self.quarantine.is_none() && self.view.revision() >= self.reads.highest_announced {
            self.confirm(now, asked_at);
        }
        self.schedule_next(now);
    }

    /// The platform did not answer, or with something that is not a list.
    pub fn list_failed(&mut self, now: Time, out: &mut Vec<MembershipAction>) {
        self.reads.clear_pending();
        if self.reads.failures == 0 {
            out.push(MembershipAction::Note(Note::PlatformDown));
        }
        let doubled = RETRY_MIN * (1 << self.reads.failures.min(6));
        self.reads.failures = self.reads.failures.saturating_add(1);
        let most = doubled.min(RETRY_MAX);
        let delay = most / 2 + self.jitter(most / 2);
        self.reads.due = Some(now + delay);
    }

    fn platform_answered(&mut self, out: &mut Vec<MembershipAction>) {
        if self.reads.failures > 0 {
            out.push(MembershipAction::Note(Note::PlatformUp));
        }
        self.reads.failures = 0;
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

    /// Takes over the watch as soon as this instance ranks for it.
    pub(super) fn refresh_reads(&mut self, now: Time) {
        let idle = self.reads.watch_sent.is_none() && self.reads.failures == 0;
        if idle && self.reads.due.is_some() && self.is_watcher() {
            let soon = now + MIN_WATCH_INTERVAL;
            self.reads.due = self.reads.due.min(Some(soon));
        }
    }

    /// Returns for how long the list in force has not been confirmed by the
    /// platform, counted from when the confirming call was sent.
    pub fn list_age(&self, now: Time) -> Option<Duration> {
        self.reads.confirmed_at.map(|it| now.since(it))
    }

    /// Returns when the call was sent that last confirmed the list in force;
    /// `None` if a newer one is known to exist.
    pub fn list_confirmed_at(&self) -> Option<Time> {
        let is_newest =
            self.view.revision() >= self.reads.highest_announced && self.quarantine.is_none();
        self.reads.confirmed_at.filter(|_| is_newest)
    }

    /// A peer said which revision of the list it holds.
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
            // The peer has gone, or the list is too long for its frames.
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
        self.consider_list(now, list, out);
    }

    /// Tells the instances that count on this one about a new list.
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
