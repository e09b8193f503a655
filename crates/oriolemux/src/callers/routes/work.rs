//! The handler of requests for work of all kinds: reads and submits them.

use super::CallerCx;
use crate::callers::body;
use crate::callers::errors::ErrorResponse;
use crate::callers::submit::{Headers, Submission, submit};
use crate::endpoints::EndpointProtocol;
use core::marker::PhantomData;
use oriolemux_core::RequestId;
use oriolemux_gateway::bodies::KeptBody;
use poem::{Endpoint, Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;

/// A request whose head and body were read within their limits.
pub(super) struct Received {
    pub(super) id: RequestId,
    /// The parsed headers.
    pub(super) headers: Headers,
    /// The unparsed headers.
    pub(super) raw_headers: http::HeaderMap,
    pub(super) bytes: Vec<u8>,
    pub(super) counted: KeptBody,
    pub(super) remote: Option<SocketAddr>,
}

/// One kind of work.
pub(super) trait WorkKind: Send + Sync + 'static {
    /// The parameters in the path.
    type Path: Send;

    /// Parses the parameters in the path.
    fn path(id: RequestId, req: &Request) -> Result<Self::Path, ErrorResponse>;

    /// Builds the submission of a request.
    fn submission(path: Self::Path, received: Received) -> Result<Submission, ErrorResponse>;
}

/// Serves requests of one kind.
pub(super) struct Work<E, K> {
    cx: Arc<CallerCx<E>>,
    kind: PhantomData<K>,
}

impl<E, K> Work<E, K> {
    /// Returns the HTTP handler of a path.
    pub(super) fn new(cx: &Arc<CallerCx<E>>) -> Self {
        Work {
            cx: Arc::clone(cx),
            kind: PhantomData,
        }
    }
}

impl<E: EndpointProtocol, K: WorkKind> Endpoint for Work<E, K> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let cx = &self.cx;
        let id = cx.port.next_id();
        Ok(match read::<E, K>(cx, id, req).await {
            Ok(submission) => submit(cx, submission).await,
            Err(error) => error.into_response(),
        })
    }
}

async fn read<E, K: WorkKind>(
    cx: &CallerCx<E>,
    id: RequestId,
    req: Request,
) -> Result<Submission, ErrorResponse> {
    let headers = Headers::read(id, req.headers())?;
    let remote = req.remote_addr().as_socket_addr().copied();
    let path = K::path(id, &req)?;
    let (parts, body) = req.into_parts();
    let (bytes, counted) = body::read(body, &parts.headers, cx.body, &cx.bodies)
        .await
        .map_err(|err| {
            let error = ErrorResponse::not_submitted(id, err.reason());
            headers.qualify_outcome(error.with_detail(err.to_string()))
        })?;
    let received = Received {
        id,
        headers,
        raw_headers: parts.headers,
        bytes,
        counted,
        remote,
    };
    K::submission(path, received)
}
