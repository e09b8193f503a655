//! The interface between the operators' listener and the task that owns the node.

use crate::status::{Explanation, NodeStatus, Readiness};
use core::time::Duration;
use oriolemux_core::RequestId;
use tokio::sync::{mpsc, oneshot, watch};

/// How many queries are queued for the node task; operators are few.
pub const QUERY_QUEUE: usize = 64;

/// The longest wait for a reply. If it takes longer, the node task is stuck.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// A query of an operator to the node task.
#[derive(Debug)]
pub enum OperatorQuery {
    /// Checks that the node task replies, for `/healthz`.
    Ping(oneshot::Sender<()>),
    /// Returns the state of the instance.
    Status(oneshot::Sender<NodeStatus>),
    /// Returns the decisions about a request; `None` if the instance has no record of it.
    Explain(RequestId, oneshot::Sender<Option<Explanation>>),
    /// Begins a planned stop. It is idempotent.
    Drain(oneshot::Sender<()>),
}

/// Why a query failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum QueryError {
    /// the node task did not answer in time
    TimedOut,
    /// the node task has ended
    Gone,
}

/// Sends queries to the node task.
#[derive(Clone, Debug)]
pub struct OperatorPort {
    queries: mpsc::Sender<OperatorQuery>,
    readiness: watch::Receiver<Readiness>,
}

impl OperatorPort {
    /// Returns a port and the receiver for the node task.
    ///
    /// `readiness` does not use the query queue, because the load balancer polls it often and must
    /// be informed of a stop even if the node task is busy.
    pub fn new(readiness: watch::Receiver<Readiness>) -> (Self, mpsc::Receiver<OperatorQuery>) {
        let (queries, rx) = mpsc::channel(QUERY_QUEUE);
        (OperatorPort { queries, readiness }, rx)
    }

    /// Returns whether the load balancer may send requests here.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Checks that the node task replies.
    ///
    /// # Errors
    ///
    /// Fails if it does not reply in time.
    pub async fn ping(&self) -> Result<(), QueryError> {
        self.query(OperatorQuery::Ping).await
    }

    /// Returns the state of the instance.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn status(&self) -> Result<NodeStatus, QueryError> {
        self.query(OperatorQuery::Status).await
    }

    /// Returns the decisions about a request, if the instance has a record of it.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn explain(&self, id: RequestId) -> Result<Option<Explanation>, QueryError> {
        self.query(|reply| OperatorQuery::Explain(id, reply)).await
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn drain(&self) -> Result<(), QueryError> {
        self.query(OperatorQuery::Drain).await
    }

    async fn query<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery,
    ) -> Result<T, QueryError> {
        let (reply, rx) = oneshot::channel();
        let exchange = async {
            let sent = self.queries.send(query(reply)).await;
            sent.map_err(|_| QueryError::Gone)?;
            rx.await.map_err(|_| QueryError::Gone)
        };
        let result = tokio::time::timeout(REPLY_TIMEOUT, exchange).await;
        result.unwrap_or(Err(QueryError::TimedOut))
    }
}
