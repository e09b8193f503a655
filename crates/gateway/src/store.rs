//! Follows the store's records.
//!
//! The core decides when to read and watch ([`StoreReader`]); this module makes the calls and
//! applies their results. In addition, deltas are fetched from peers:
//! [`catch_up`](crate::catch_up).
//!
//! [`StoreReader`]: oriolemux_core::gateway::reader::StoreReader

use crate::cx::Cx;
use crate::log_event;
use crate::ports::{Published, Store, StoreAnswer, Wire};
use core::time::Duration;
use oriolemux_core::gateway::reader::{
    CallFailure, EpochObservation, StatedEpoch, Step, StoreReader, WATCH_TIMEOUT_MARGIN, WATCH_WAIT,
};
use oriolemux_core::gateway::replica::{Applied, Record};
use oriolemux_core::gateway::{CatalogueSource, Cordon, CordonEffect};
use oriolemux_core::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::sleep;

/// The timeout for the head of one page. A slow store takes up to some hundred milliseconds.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Reads and watches the store. Never returns.
pub async fn follow_store<W: Wire, S: Store>(cx: Arc<Cx<W>>, store: S) {
    loop {
        let step = cx.state().next_step(cx.now());
        match step {
            Step::Pause(pause) => sleep(pause).await,
            Step::StandBy(pause) => {
                cx.state().reader.stand_by();
                sleep(pause).await;
            }
            Step::Read => {
                let result = read_all(&cx, &store).await;
                record_result(&cx, result, StoreReader::on_read);
            }
            Step::Watch => watch(&cx, &store).await,
        }
    }
}

async fn read_all<W: Wire, S: Store>(cx: &Cx<W>, store: &S) -> Result<(), CallFailure> {
    let mut seen = BTreeMap::new();
    let mut after: Option<String> = None;
    let mut first_revision = None;
    let mut older = 0;
    loop {
        let answer = store.page(after.as_deref(), PAGE_TIMEOUT).await;
        observe_epoch(cx, "read", &answer);
        let page = answer.content?;
        // Pages are not a snapshot: later pages may lack what was written after the first one, so
        // only the first page's revision is certain.
        let first_revision = *first_revision.get_or_insert(page.revision);
        for record in &page.records {
            older += usize::from(cx.state().replica.has_newer(record));
            seen.insert(record.key.clone(), ());
        }
        let last = page.records.last().map(|it| it.key.clone());
        apply(cx, Source::Store, page.records);
        if page.next.is_none() || last.is_some_and(|key| cx.wire.is_past_cordons(&key)) {
            cx.state().cordons_read();
            cx.replica_changed.notify_waiters();
        }
        match page.next {
            Some(next) => after = Some(next),
            None => {
                log_event!(
                    StoreRead,
                    revision = first_revision,
                    records = seen.len(),
                    older = older
                );
                finish_full_read(cx, Source::Store, &seen, first_revision);
                let now = cx.now();
                cx.state().update_behind(now);
                return Ok(());
            }
        }
    }
}

/// Completes a full read as of revision `first_revision`: records that `seen` lacks are removed.
pub fn finish_full_read<W: Wire>(
    cx: &Cx<W>,
    from: Source,
    seen: &BTreeMap<String, ()>,
    first_revision: u64,
) {
    let missing = cx.state().replica.removals_after_read(seen, first_revision);
    apply(cx, from, missing);
    cx.state().replica.finish_full_read(first_revision);
    lift_missing_cordons(cx, from, first_revision);
    cx.replica_changed.notify_waiters();
}

/// Lifts cordons that came from peers and that the store did not hold at revision
/// `first_revision`: the records that set and lifted the cordon may both have been missed.
fn lift_missing_cordons<W: Wire>(cx: &Cx<W>, from: Source, first_revision: u64) {
    let now = cx.now();
    let mut lifted = Vec::new();
    let mut state = cx.state();
    for (data_centre, revision, _) in state.endpoints.cordons().closed() {
        let is_there = state.replica.has(&cx.wire.cordon_key(data_centre));
        if revision < first_revision && !is_there {
            lifted.push(Cordon {
                data_centre: data_centre.to_owned(),
                revision: first_revision,
                is_closed: false,
            });
        }
    }
    let effects: Vec<CordonEffect> = lifted
        .iter()
        .map(|it| state.publish_cordon(now, it.clone()))
        .collect();
    drop(state);
    for (cordon, effect) in lifted.iter().zip(effects) {
        cx.announce_cordon(cordon, effect, from);
    }
}

/// Waits for changes. A delta from a peer does not end the watch, because the watch response may be
/// large and nearly complete.
async fn watch<W: Wire, S: Store>(cx: &Cx<W>, store: &S) {
    let after = cx.state().replica.revision();
    let answer = store
        .watch(after, WATCH_WAIT, WATCH_WAIT + WATCH_TIMEOUT_MARGIN)
        .await;
    observe_epoch(cx, "watch", &answer);
    if matches!(answer.content, Err(CallFailure::HistoryGone)) {
        log_event!(HistoryGone, revision = after);
    }
    let mut answered: fn(&mut StoreReader, Time) -> bool = StoreReader::on_answer;
    let result = answer.content.map(|changes| {
        if !changes.records.is_empty() {
            answered = StoreReader::on_changes;
        }
        let has_changes = apply(cx, Source::Store, changes.records);
        let now = cx.now();
        let mut state = cx.state();
        state.replica.advance_to(changes.revision);
        state.update_behind(now);
        if has_changes {
            state.announce();
            drop(state);
            cx.gossip_due.notify_one();
        }
    });
    record_result(cx, result, answered);
}

/// Reports the epoch of an answer to the store reader.
fn observe_epoch<W: Wire, T>(cx: &Cx<W>, call: &'static str, answer: &StoreAnswer<T>) {
    if matches!(answer.content, Err(CallFailure::NoAnswer)) && answer.epoch == StatedEpoch::Absent {
        return;
    }
    let mut state = cx.state();
    let revision = state.replica.revision();
    match state.reader.observe_epoch(answer.epoch) {
        EpochObservation::Current | EpochObservation::First => {}
        EpochObservation::Advanced { from, to } => {
            log_event!(
                EpochChanged,
                from = from.0,
                to = to.0,
                by = call,
                revision = revision
            );
        }
        EpochObservation::Outdated { stated, known } => {
            log_event!(
                AnswerOutdated,
                stated = stated.0,
                known = known.0,
                by = call
            );
        }
        EpochObservation::Unstated { known } => {
            let is_unreadable = answer.epoch == StatedEpoch::Unreadable;
            log_event!(
                EpochUnstated,
                known = known.0,
                unreadable = is_unreadable,
                by = call
            );
        }
    }
}

/// Reports the result of a call to the store reader.
fn record_result<W: Wire>(
    cx: &Cx<W>,
    result: Result<(), CallFailure>,
    answered: fn(&mut StoreReader, Time) -> bool,
) {
    let now = cx.now();
    let mut state = cx.state();
    match result {
        Ok(()) => {
            if answered(&mut state.reader, now) {
                log_event!(StoreRegained, revision = state.replica.revision());
            }
        }
        Err(failure) => {
            let draw = state.draw();
            if state.reader.on_failure(now, failure, draw) {
                let failure = format!("{failure:?}");
                log_event!(
                    StoreLost,
                    failure = failure.as_str(),
                    revision = state.replica.revision()
                );
                // Requests that wait for the first catalogue need not wait any longer.
                cx.replica_changed.notify_waiters();
            }
        }
    }
}

/// The source of records or reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store itself.
    Store,
    /// A peer.
    Peer,
    /// An endpoint's own response.
    Endpoint,
}

impl Source {
    /// Returns the value that log lines carry.
    pub const fn label(self) -> &'static str {
        match self {
            Source::Store => "store",
            Source::Peer => "peer",
            Source::Endpoint => "endpoint",
        }
    }
}

/// Applies records and the consequences of those that changed; returns whether any changed.
pub fn apply<W: Wire>(cx: &Cx<W>, from: Source, records: Vec<Record>) -> bool {
    let mut leaving = Vec::new();
    let mut has_changes = false;
    for record in records {
        if !cx.state().replica.is_newer(&record) {
            continue;
        }
        let published = cx.wire.decode(&record);
        let mark = published.mark(&record);
        if cx.state().replica.apply(record.clone(), mark) != Applied::Changed {
            continue;
        }
        has_changes = true;
        let now = cx.now();
        match published {
            Published::Catalogue(source) => apply_catalogue(cx, from, source),
            Published::Endpoint(endpoint) => {
                leaving.extend(cx.state().publish_endpoint(now, endpoint));
            }
            Published::EndpointGone(name) => {
                leaving.extend(cx.state().endpoint_vanished(now, &name));
            }
            Published::Cordon { cordon, error } => {
                if let Some(error) = error {
                    log_unreadable(&record, &error);
                }
                let effect = cx.state().publish_cordon(now, cordon.clone());
                cx.announce_cordon(&cordon, effect, from);
            }
            Published::Other => {}
            Published::EndpointUnreadable { name, error } => {
                cx.state().endpoints.mark_unreadable(&name);
                log_unreadable(&record, &error);
            }
            Published::Unreadable(error) => log_unreadable(&record, &error),
        }
    }
    cx.announce_leaving(&leaving);
    if has_changes {
        cx.replica_changed.notify_waiters();
    }
    has_changes
}

fn log_unreadable(record: &Record, error: &str) {
    log_event!(
        RecordUnreadable,
        key = record.key.as_str(),
        revision = record.revision,
        why = error
    );
}

fn apply_catalogue<W: Wire>(cx: &Cx<W>, from: Source, source: CatalogueSource) {
    let version = source.version;
    let published = cx.state().publish_catalogue(source);
    match published {
        Ok(true) => log_event!(CatalogueInForce, version = version, from = from.label()),
        Ok(false) => log_event!(CatalogueOlder, version = version),
        Err(findings) => {
            for finding in findings {
                let finding = finding.to_string();
                log_event!(
                    CatalogueRejected,
                    version = version,
                    finding = finding.as_str()
                );
            }
        }
    }
}
