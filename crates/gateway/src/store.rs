//! Follows the store's records.
//!
//! The core decides when to read and watch ([`StoreReader`]); this module makes the calls and
//! applies their results. In addition, deltas are fetched from peers:
//! [`catch_up`](crate::catch_up).
//!
//! [`StoreReader`]: oriolemux_core::gateway::reader::StoreReader

mod full_read;

use crate::cx::Cx;
use crate::log_event;
use crate::ports::{Changes, Published, Store, StoreAnswer, UnreadableItems, Wire};
use full_read::read_all;
use oriolemux_core::EndpointKey;
use oriolemux_core::gateway::endpoints::Removal;
use oriolemux_core::gateway::reader::{
    CallFailure, EpochObservation, StatedEpoch, Step, StoreReader, WATCH_TIMEOUT_MARGIN, WATCH_WAIT,
};
use oriolemux_core::gateway::replica::{Applied, Record};
use oriolemux_core::gateway::{
    CatalogueSource, Cordon, CordonEffect, Endpoint, EndpointRecord, EndpointState, Epoch, Revision,
};
use oriolemux_core::time::Time;
use std::collections::BTreeMap;
use std::sync::Arc;
use tokio::time::sleep;

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

fn log_unreadable_items(items: &UnreadableItems) {
    for item in &items.named {
        log_event!(
            StoreItemUnreadable,
            key = item.key.as_deref().unwrap_or("-"),
            why = item.why.as_str(),
            items = items.count
        );
    }
}

/// Lets peers know soon what this instance has learned from the store.
fn announce_changes<W: Wire>(cx: &Cx<W>, has_changes: bool) {
    let now = cx.now();
    let mut state = cx.state();
    state.update_behind(now);
    if has_changes {
        state.announce();
        drop(state);
        cx.gossip_due.notify_one();
    }
}

/// Completes a full read as of revision `began`: records that `seen` lacks are removed. Returns
/// whether the replica has reached a new epoch.
///
/// `seen` is `None` if the key of some item could not be read. Nothing is removed then, as
/// [`Replica::finish_read_with_unreadable_key`] explains.
///
/// [`Replica::finish_read_with_unreadable_key`]:
/// oriolemux_core::gateway::replica::Replica::finish_read_with_unreadable_key
///
/// A read that was overtaken by a new epoch has no effect.
pub fn finish_full_read<W: Wire>(
    cx: &Cx<W>,
    from: Source,
    seen: Option<&BTreeMap<String, ()>>,
    began: Revision,
) -> bool {
    let before = cx.state().replica.revision();
    if began.epoch < before.epoch {
        return false;
    }
    match seen {
        Some(seen) => {
            let missing = cx.state().replica.removals_after_read(seen, began);
            apply_as(cx, from, Removal::Missing, missing);
            cx.state().replica.finish_full_read(began);
            let closed = cx.state().endpoints.cordons().closed_cordons();
            lift_missing_cordons(cx, from, &closed);
        }
        None => cx.state().replica.finish_read_with_unreadable_key(began),
    }
    cx.replica_changed.notify_waiters();
    began.epoch > before.epoch
}

/// Lifts those of `cordons` that the replica does not hold although it has passed their revision:
/// the records that set and lifted the cordon may both have been missed.
pub fn lift_missing_cordons<W: Wire>(cx: &Cx<W>, from: Source, cordons: &[Cordon]) {
    let now = cx.now();
    let mut lifted = Vec::new();
    let mut state = cx.state();
    let revision = state.replica.revision();
    for cordon in cordons {
        let is_there = state.replica.has(&cx.wire.cordon_key(&cordon.data_centre));
        if cordon.revision < revision && !is_there {
            lifted.push(Cordon {
                data_centre: cordon.data_centre.clone(),
                revision,
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
    let (after, known) = {
        let state = cx.state();
        (state.replica.revision(), state.reader.epoch())
    };
    let answer = store
        .watch(after.number, WATCH_WAIT, WATCH_WAIT + WATCH_TIMEOUT_MARGIN)
        .await;
    let mut answered: fn(&mut StoreReader, Time) -> bool = StoreReader::on_answer;
    let result = match (observe_epoch(cx, "watch", known, &answer), answer.content) {
        (AnswerEpoch::Outdated, _) => Err(CallFailure::OutdatedEpoch),
        // A watch from a revision of another epoch shows nothing of what it skipped.
        (AnswerEpoch::Advanced(_), Ok(_) | Err(CallFailure::HistoryGone)) => Ok(()),
        (AnswerEpoch::Current(epoch), Ok(_)) if epoch != after.epoch => Ok(()),
        (AnswerEpoch::Current(epoch), Ok(changes)) => {
            if !changes.records.is_empty() || changes.unreadable.count > 0 {
                answered = StoreReader::on_changes;
            }
            apply_changes(cx, epoch, changes);
            Ok(())
        }
        (_, Err(failure)) => {
            if failure == CallFailure::HistoryGone {
                log_event!(HistoryGone, epoch = after.epoch.0, revision = after.number);
            }
            Err(failure)
        }
    };
    record_result(cx, result, answered);
}

fn apply_changes<W: Wire>(cx: &Cx<W>, epoch: Epoch, changes: Changes) {
    log_unreadable_items(&changes.unreadable);
    let records = changes.records.into_iter();
    let records = records.map(|it| it.in_epoch(epoch)).collect();
    let has_changes = apply(cx, Source::Store, records);
    let number = changes.number;
    cx.state().replica.advance_to(Revision { epoch, number });
    announce_changes(cx, has_changes);
}

/// The epoch to which an answer of the store belongs.
enum AnswerEpoch {
    /// The latest known one.
    Current(Epoch),
    /// A later one than any that was known.
    Advanced(Epoch),
    /// An earlier one.
    Outdated,
}

/// Reports the epoch of an answer to a call that was made when `known` was the latest epoch.
fn observe_epoch<W: Wire, T>(
    cx: &Cx<W>,
    call: &'static str,
    known: Epoch,
    answer: &StoreAnswer<T>,
) -> AnswerEpoch {
    let is_unread = matches!(
        answer.content,
        Err(CallFailure::NoAnswer | CallFailure::Unreadable)
    );
    if is_unread && answer.epoch == StatedEpoch::Absent {
        return AnswerEpoch::Current(known);
    }
    let now = cx.now();
    let mut state = cx.state();
    match state.observe_store_epoch(now, known, answer.epoch) {
        EpochObservation::Current => AnswerEpoch::Current(state.reader.epoch()),
        EpochObservation::Advanced { from, to } => {
            // An instance that has read nothing yet knows no other history.
            if !state.replica.is_empty() {
                log_epoch_change(from, to, call, state.replica.revision());
            }
            AnswerEpoch::Advanced(to)
        }
        EpochObservation::Outdated { stated, known } => {
            log_event!(
                AnswerOutdated,
                stated = stated.0,
                known = known.0,
                by = call
            );
            AnswerEpoch::Outdated
        }
        EpochObservation::Unstated { known } => {
            let is_unreadable = answer.epoch == StatedEpoch::Unreadable;
            log_event!(
                EpochUnstated,
                known = known.0,
                unreadable = is_unreadable,
                by = call
            );
            AnswerEpoch::Current(known)
        }
    }
}

/// Logs that the store is in a later epoch; `revision` is the last one known of the one before.
pub fn log_epoch_change(from: Epoch, to: Epoch, by: &'static str, revision: Revision) {
    log_event!(
        EpochChanged,
        from = from.0,
        to = to.0,
        by = by,
        revision = revision.number
    );
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
                log_event!(StoreRegained, revision = state.replica.revision().number);
            }
        }
        Err(failure) => {
            let draw = state.draw();
            if state.reader.on_failure(now, failure, draw) {
                let revision = state.replica.revision().number;
                if failure == CallFailure::Unreadable {
                    log_event!(StoreAnswerUnreadable, revision = revision);
                } else {
                    let failure = format!("{failure:?}");
                    log_event!(StoreLost, failure = failure.as_str(), revision = revision);
                }
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
    apply_as(cx, from, Removal::Stated, records)
}

/// Applies records as [`apply`] does; `removal` is how it is known that the removed ones are gone.
fn apply_as<W: Wire>(cx: &Cx<W>, from: Source, removal: Removal, records: Vec<Record>) -> bool {
    let mut leaving = Vec::new();
    let mut absent = Vec::new();
    let mut has_changes = false;
    for record in records {
        if !cx.state().replica.is_newer(&record) {
            continue;
        }
        let published = cx.wire.decode(&record);
        let mark = published.mark(&record);
        let previous = match published.is_of_catalogue() {
            true => cx.state().replica.get(&record.key).cloned(),
            false => None,
        };
        if cx.state().replica.apply(record.clone(), mark) != Applied::Changed {
            continue;
        }
        has_changes = true;
        let now = cx.now();
        let mut is_in_force = false;
        let is_of_catalogue = published.is_of_catalogue();
        match published {
            Published::Catalogue(source) => is_in_force = apply_catalogue(cx, from, source),
            Published::CatalogueGone => {}
            Published::Endpoint(endpoint) => {
                leaving.extend(publish_endpoint(cx, now, endpoint));
            }
            Published::EndpointGone(name) => {
                let gone = cx.state().endpoint_vanished(now, &name, removal);
                log_if_held_back(cx, now, &name);
                absent.extend(gone);
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
        if is_of_catalogue {
            cx.state()
                .on_catalogue_record(&record.key, previous, is_in_force);
        }
    }
    cx.announce_leaving(&leaving);
    cx.announce_absent(&absent);
    if has_changes {
        cx.replica_changed.notify_waiters();
    }
    has_changes
}

/// Applies the record of an endpoint; returns the endpoints that have begun to leave.
fn publish_endpoint<W: Wire>(cx: &Cx<W>, now: Time, record: EndpointRecord) -> Vec<EndpointKey> {
    let key = record.key();
    let mut state = cx.state();
    let was_absent = state.endpoints.get(key).is_some_and(Endpoint::is_absent);
    let leaving = state.publish_endpoint(now, record);
    let has_returned = was_absent && state.is_usable(key);
    drop(state);
    if has_returned {
        cx.announce_returned(key);
    }
    leaving
}

/// Logs a removed record that may return, and on whose statement.
fn log_if_held_back<W: Wire>(cx: &Cx<W>, now: Time, name: &str) {
    let state = cx.state();
    let key = state.endpoints.newest(name);
    let endpoint = key.and_then(|it| state.endpoints.get(it));
    if !endpoint.is_some_and(|it| matches!(it.state, EndpointState::Lapsed { .. })) {
        return;
    }
    let own = state.reader.may_miss_records(now);
    let watcher = state.states_missing_records(now);
    drop(state);
    let watcher = watcher.map_or_else(|| "-".to_owned(), |it| it.to_string());
    log_event!(
        RemovalHeldBack,
        endpoint = name,
        own = own,
        watcher = watcher.as_str()
    );
}

fn log_unreadable(record: &Record, error: &str) {
    log_event!(
        RecordUnreadable,
        key = record.key.as_str(),
        revision = record.revision.number,
        why = error
    );
}

/// Puts a catalogue in force unless it is older or has findings; returns whether the one in force
/// has its version.
pub fn apply_catalogue<W: Wire>(cx: &Cx<W>, from: Source, source: CatalogueSource) -> bool {
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
            return false;
        }
    }
    cx.state().catalogue_version() == version
}
