//! The door between the operators' listener and the task that owns the node.

use crate::status::{Explanation, NodeStatus, Readiness};
use core::time::Duration;
use oriolemux_core::RequestId;
use tokio::sync::{mpsc, oneshot, watch};

/// How many questions wait for the node task; operators are few.
pub const QUERY_QUEUE: usize = 64;

/// An answer that takes longer than this will not come: the node task is stuck.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// What operators ask of the node task.
#[derive(Debug)]
pub enum OperatorQuery {
    /// Is anybody there? Asked for `/healthz`.
    Ping(oneshot::Sender<()>),
    /// What is the state of the instance?
    Status(oneshot::Sender<NodeStatus>),
    /// Why did a request go as it did? `None` if the instance holds no record of it.
    Explain(RequestId, oneshot::Sender<Option<Explanation>>),
    /// Begin a planned stop. Asking again changes nothing.
    Drain(oneshot::Sender<()>),
}

/// Why a question has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum QueryError {
    /// the node task did not answer in time
    Silent,
    /// the node task has ended
    Gone,
}

/// Asks the node task.
#[derive(Clone, Debug)]
pub struct OperatorPort {
    queries: mpsc::Sender<OperatorQuery>,
    readiness: watch::Receiver<Readiness>,
}

impl OperatorPort {
    /// Returns a port and the end that the node task serves.
    ///
    /// `readiness` is told apart from the questions, because the balancer asks
    /// often and must learn of a stop even if the node task is busy.
    pub fn new(readiness: watch::Receiver<Readiness>) -> (Self, mpsc::Receiver<OperatorQuery>) {
        let (queries, rx) = mpsc::channel(QUERY_QUEUE);
        (OperatorPort { queries, readiness }, rx)
    }

    /// Returns whether the balancer may send requests here.
    pub fn readiness(&self) -> Readiness {
        *self.readiness.borrow()
    }

    /// Returns whether the node task answers.
    ///
    /// # Errors
    ///
    /// Fails if it does not.
    pub async fn ping(&self) -> Result<(), QueryError> {
        self.ask(OperatorQuery::Ping).await
    }

    /// Returns the state of the instance.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn status(&self) -> Result<NodeStatus, QueryError> {
        self.ask(OperatorQuery::Status).await
    }

    /// Returns why a request went as it did, if the instance holds a record of it.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn explain(&self, id: RequestId) -> Result<Option<Explanation>, QueryError> {
        self.ask(|reply| OperatorQuery::Explain(id, reply)).await
    }

    /// Begins a planned stop.
    ///
    /// # Errors
    ///
    /// Fails if the node task does not answer.
    pub async fn drain(&self) -> Result<(), QueryError> {
        self.ask(OperatorQuery::Drain).await
    }

    async fn ask<T>(
        &self,
        query: impl FnOnce(oneshot::Sender<T>) -> OperatorQuery,
    ) -> Result<T, QueryError> {
        let (reply, answer) = oneshot::channel();
        let asked = async {
            let sent = self.queries.send(query(reply)).await;
            sent.map_err(|_| QueryError::Gone)?;
            answer.await.map_err(|_| QueryError::Gone)
        };
        let answered = tokio::time::timeout(ANSWER_TIMEOUT, asked).await;
        answered.unwrap_or(Err(QueryError::Silent))
    }
}
