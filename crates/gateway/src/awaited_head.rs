//! The head of a response, which is read even if its request is given up.

use crate::cx::Cx;
use crate::job::Job;
use crate::link::{Link, LinkError};
use crate::log_event;
use crate::observe::ResponseOrigin;
use crate::ports::Wire;
use core::pin::Pin;
use core::time::Duration;
use http::Response;
use hyper::body::Incoming;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::time::Time;
use std::sync::Arc;
use tokio::time::timeout;

/// How long the connection of a request that is given up stays open, so that a response that has
/// arrived is read. It needs one turn of the runtime, and delays the cancellation of the request.
const ARRIVED_HEAD_TIMEOUT: Duration = Duration::from_millis(5);

/// A request that was sent and has no response yet.
///
/// A request is given up when its timeout passes or its caller leaves. If this process did not run
/// for some time, the response may have arrived long before. What an endpoint announces in it binds
/// this instance all the same: an endpoint that leaves may tell nobody else.
pub struct AwaitedHead<W: Wire, F>
where
    F: Future<Output = Result<Response<Incoming>, LinkError>> + Send + 'static,
{
    request: Arc<SentRequest<W>>,
    /// The connection and the response; `None` once the wait has ended.
    pending: Option<(Link, Pin<Box<F>>)>,
}

/// What is known of a request after its job has ended.
struct SentRequest<W: Wire> {
    cx: Arc<Cx<W>>,
    attempt: Option<String>,
    entry: String,
    place: Placement,
}

impl<W: Wire, F> AwaitedHead<W, F>
where
    F: Future<Output = Result<Response<Incoming>, LinkError>> + Send + 'static,
{
    /// Begins to wait for `response` of `place` to the request of `job`.
    pub fn new(job: &Job<W>, place: &Placement, link: Link, response: F) -> Self {
        AwaitedHead {
            request: Arc::new(SentRequest {
                cx: Arc::clone(&job.cx),
                attempt: job.head.attempt.clone(),
                entry: job.entry().name.clone(),
                place: place.clone(),
            }),
            pending: Some((link, Box::pin(response))),
        }
    }

    /// Waits for the head of the response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks; the request may have run then.
    pub async fn wait(mut self) -> Result<(Link, Response<Incoming>), LinkError> {
        let ended = match self.pending.as_mut() {
            Some((_, response)) => response.as_mut().await,
            None => core::future::pending().await,
        };
        match self.pending.take() {
            Some((link, _)) => ended.map(|response| (link, response)),
            None => core::future::pending().await,
        }
    }
}

impl<W: Wire, F> Drop for AwaitedHead<W, F>
where
    F: Future<Output = Result<Response<Incoming>, LinkError>> + Send + 'static,
{
    fn drop(&mut self) {
        let Some((link, response)) = self.pending.take() else {
            return;
        };
        let request = Arc::clone(&self.request);
        tokio::spawn(async move {
            if let Ok(Ok(response)) = timeout(ARRIVED_HEAD_TIMEOUT, response).await {
                request.observe_late(&link, &response);
            }
        });
    }
}

impl<W: Wire> SentRequest<W> {
    /// Applies what a response says about its endpoint, after its request was given up.
    fn observe_late(&self, link: &Link, response: &Response<Incoming>) {
        let attempt = self.attempt.as_deref();
        let wire = &self.cx.wire;
        let head = wire.response_head(response.status(), response.headers(), attempt);
        let origin = ResponseOrigin {
            attempt: attempt.unwrap_or("-"),
            entry: &self.entry,
            place: &self.place,
        };
        log_event!(
            LateHeadRead,
            attempt = origin.attempt,
            endpoint = self.place.name.as_str(),
            status = response.status().as_u16()
        );
        let now = self.cx.now();
        let sent = now.before(link.sent.elapsed()).unwrap_or(Time::ZERO);
        self.cx.observe_response_head(&origin, &head, sent);
    }
}
