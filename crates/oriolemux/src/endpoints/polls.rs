//! Polls endpoints for load and cache events, and sends orders, for the node task.

use super::EndpointProtocol;
use crate::callers::port::{NodeGone, NodePort};
use oriolemux_core::event::{EndpointTarget, OrderKind};
use oriolemux_core::{EndpointKey, Event, Time};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Cache events are requested with one in this many load polls. They arrive late and with gaps in any
/// case, and each request costs as many bytes as a load report.
pub const POLLS_PER_CACHE: u32 = 4;

/// The read position in an endpoint's cache events.
#[derive(Clone, Copy, Debug, Default)]
struct Cursor {
    /// The sequence number after which events are requested.
    after: u64,
    /// Load polls since the last request for cache events; at 0 the next poll requests them.
    polls: u32,
}

/// Executes [`oriolemux_core::Action::PollLoad`] and [`oriolemux_core::Action::Order`].
///
/// It keeps the read position in each endpoint's cache events. Plain services respond to requests
/// for cache events with 404, which counts as no events.
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

    /// Requests an endpoint's load, and with one in [`POLLS_PER_CACHE`] polls its cache events,
    /// and passes them to the node.
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

    /// Counts a poll; returns whether cache events are requested with it.
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
        // A lower sequence number means that the endpoint restarted with an empty cache. Without
        // this check its old blocks would count as cached until it had reached the old number.
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

    /// Sends an order, unless `send_before` has passed, and reports the result to the node.
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
