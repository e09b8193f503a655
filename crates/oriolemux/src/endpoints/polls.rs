//! Polls of load and cache events, and orders, for the node task.

use super::EndpointProtocol;
use crate::callers::port::{NodeGone, NodePort};
use oriolemux_core::event::{EndpointTarget, OrderKind};
use oriolemux_core::{EndpointKey, Event, Time};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Cache events are asked for with every so many polls of load. They come late
/// and with gaps in any case, and each ask costs as many bytes as a report.
pub const POLLS_PER_CACHE: u32 = 4;

/// How far an endpoint's cache events were read.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// The number to ask for events after.
    after: u64,
    /// Polls of load since the last ask; 0 asks with the next poll.
    polls: u32,
}

/// Carries out [`oriolemux_core::Action::PollLoad`] and
/// [`oriolemux_core::Action::Order`].
///
/// It remembers how far each endpoint's cache events were read. Plain services
/// answer 404 to cache events, which counts as no news.
#[derive(Clone, Debug)]
pub struct Polls<E> {
    protocol: E,
    cursors: Arc<Mutex<BTreeMap<EndpointKey, Cursor>>>,
}

impl<E: EndpointProtocol> Polls<E> {
    /// Polls through `protocol`.
    pub fn new(protocol: E) -> Self {
        Polls {
            protocol,
            cursors: Arc::default(),
        }
    }

    /// Asks an endpoint for its load, and now and then for its cache events, and
    /// tells the node.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn poll(&self, endpoint: &EndpointTarget, port: &NodePort) -> Result<(), NodeGone> {
        let key = endpoint.key;
        match self.protocol.load(endpoint).await {
            Ok(report) => {
                let endpoint = key;
                port.event(Event::Load { endpoint, report }).await?;
            }
            Err(_) => return port.event(Event::LoadFailed { endpoint: key }).await,
        }
        match self.is_cache_due(key) {
            true => self.poll_cache(endpoint, port).await,
            false => Ok(()),
        }
    }

    /// Counts a poll; returns whether cache events are asked for with it.
    fn is_cache_due(&self, key: EndpointKey) -> bool {
        let mut cursors = self.cursors();
        let cursor = cursors.entry(key).or_default();
        let is_due = cursor.polls == 0;
        cursor.polls = (cursor.polls + 1) % POLLS_PER_CACHE;
        is_due
    }

    async fn poll_cache(&self, endpoint: &EndpointTarget, port: &NodePort) -> Result<(), NodeGone> {
        let key = endpoint.key;
        let after = self.cursors().entry(key).or_default().after;
        let Ok(batch) = self.protocol.cache_events(endpoint, after).await else {
            return Ok(());
        };
        // A number that fell back means that the endpoint restarted with an
        // empty cache. Without this check its old blocks would be believed
        // in until it had counted up to the old number.
        let restarted = batch.next < after;
        self.cursors().entry(key).or_default().after = batch.next;
        let gap = batch.gap || restarted;
        if !gap && batch.stored.is_empty() && batch.evicted.is_empty() {
            return Ok(());
        }
        let event = Event::Cache {
            endpoint: key,
            gap,
            stored: batch.stored,
            evicted: batch.evicted,
        };
        port.event(event).await
    }

    /// Gives an order, unless it is too late, and tells the node what became of it.
    ///
    /// # Errors
    ///
    /// Fails if the node task has ended.
    pub async fn order(
        &self,
        endpoint: &EndpointTarget,
        fencing: u64,
        kind: &OrderKind,
        send_before: Time,
        port: &NodePort,
    ) -> Result<(), NodeGone> {
        let given = self.protocol.order(endpoint, fencing, kind, send_before);
        let result = given.await;
        let endpoint = endpoint.key;
        let event = Event::OrderAnswered {
            endpoint,
            fencing,
            result,
        };
        port.event(event).await
    }

    fn cursors(&self) -> MutexGuard<'_, BTreeMap<EndpointKey, Cursor>> {
        self.cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
