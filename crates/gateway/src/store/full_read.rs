//! Reads all pages of the store.

use super::{
    AnswerEpoch, Source, announce_changes, apply, finish_full_read, log_unreadable_items,
    observe_epoch,
};
use crate::catch_up::format::MAX_DELTA_BYTES;
use crate::cx::Cx;
use crate::log_event;
use crate::ports::{Store, Wire};
use core::time::Duration;
use oriolemux_core::gateway::Revision;
use oriolemux_core::gateway::reader::{CallFailure, NextPage};
use oriolemux_core::gateway::replica::Record;
use std::collections::BTreeMap;
use tokio::time::timeout;

/// The timeout for the head of one page. A slow store takes up to some hundred milliseconds.
const PAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The largest store that is read, in bytes of keys and values: as much as peers send each other.
/// A store whose pages never end would fill the memory otherwise.
const MAX_READ_BYTES: usize = MAX_DELTA_BYTES;

/// Bytes that each page counts for besides its records.
const PAGE_BYTES: usize = 1024;

/// Reads all pages. If the store comes back from a copy meanwhile, the read begins again: pages of
/// two histories do not complete each other.
pub(super) async fn read_all<W: Wire, S: Store>(cx: &Cx<W>, store: &S) -> Result<(), CallFailure> {
    let mut read = FullRead::default();
    let was_complete = cx.state().replica.is_complete();
    loop {
        let known = cx.state().reader.epoch();
        let answer = store.page(read.after.as_deref(), PAGE_TIMEOUT).await;
        let epoch = match observe_epoch(cx, "read", known, &answer) {
            AnswerEpoch::Current(epoch) | AnswerEpoch::Advanced(epoch) => epoch,
            AnswerEpoch::Outdated => return Err(CallFailure::OutdatedEpoch),
        };
        let page = answer.content?;
        let began = read.began.get_or_insert(Revision {
            epoch,
            number: page.number,
        });
        let records = page.records.iter();
        let sizes = records.map(|it| it.key.len() + it.value.as_ref().map_or(0, Vec::len));
        read.bytes += PAGE_BYTES + sizes.sum::<usize>();
        if read.bytes > MAX_READ_BYTES {
            return Err(CallFailure::TooLarge);
        }
        if began.epoch != epoch {
            read = FullRead {
                bytes: read.bytes,
                ..FullRead::default()
            };
            continue;
        }
        // Pages are not a snapshot: later pages may lack what was written after the first one, so
        // only the first page's revision is certain.
        let began = *began;
        log_unreadable_items(&page.unreadable);
        read.has_unreadable_key |= page.unreadable.without_key > 0;
        let records: Vec<Record> = page
            .records
            .into_iter()
            .map(|it| it.in_epoch(epoch))
            .collect();
        for record in &records {
            read.older += usize::from(cx.state().replica.has_newer(record));
            read.seen.insert(record.key.clone(), ());
        }
        let last = records.last().map(|it| it.key.clone());
        apply(cx, Source::Store, records);
        if page.next.is_none() || last.is_some_and(|key| cx.wire.is_past_cordons(&key)) {
            cx.state().cordons_read();
            cx.replica_changed.notify_waiters();
        }
        match page.next {
            Some(next) => {
                read.after = Some(next);
                if is_completed_by_peer(cx, was_complete).await {
                    return Ok(());
                }
            }
            None => {
                log_event!(
                    StoreRead,
                    epoch = began.epoch.0,
                    revision = began.number,
                    records = read.seen.len(),
                    older = read.older
                );
                let seen = (!read.has_unreadable_key).then_some(&read.seen);
                let has_changes = finish_full_read(cx, Source::Store, seen, began);
                announce_changes(cx, has_changes);
                return Ok(());
            }
        }
    }
}

/// Waits for as long as a peer may send all records; returns whether one has.
async fn is_completed_by_peer<W: Wire>(cx: &Cx<W>, was_complete: bool) -> bool {
    loop {
        let changed = cx.replica_changed.notified();
        let next = cx.state().next_page(cx.now(), was_complete);
        match next {
            NextPage::Read => return false,
            NextPage::Complete => return true,
            // What a peer sends ends the wait at once.
            NextPage::Wait(pause) => drop(timeout(pause, changed).await),
        }
    }
}

/// The progress of a full read.
#[derive(Default)]
struct FullRead {
    /// The key after which the next page begins.
    after: Option<String>,
    /// The store's revision at the first page.
    began: Option<Revision>,
    /// The keys of all pages.
    seen: BTreeMap<String, ()>,
    /// Whether the key of some item could not be read.
    has_unreadable_key: bool,
    /// The bytes of all pages, also of those in earlier epochs.
    bytes: usize,
    /// How many records were known at a later revision.
    older: usize,
}
