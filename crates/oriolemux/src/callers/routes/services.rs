//! `POST /v1/services/ENTRY`.

use super::CallerCx;
use crate::callers::body;
use crate::callers::errors::ErrorAnswer;
use crate::callers::submit::{Headers, Submission, submit};
use crate::endpoints::{CallBody, EndpointProtocol, WorkBody};
use crate::relay::caller::AnswerForm;
use http::header::CONTENT_TYPE;
use oriolemux_core::event::Work;
use oriolemux_core::{Reason, RequestId};
use poem::{Endpoint, Request, Response};
use std::sync::Arc;

/// Serves calls of plain services.
pub(super) struct Services<E>(pub Arc<CallerCx<E>>);

impl<E: EndpointProtocol> Endpoint for Services<E> {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let cx = &self.0;
        let id = cx.port.draw_id();
        Ok(match read(cx, id, req).await {
            Ok(submission) => submit(cx, submission).await,
            Err(error) => error.into_response(),
        })
    }
}

async fn read<E>(cx: &CallerCx<E>, id: RequestId, req: Request) -> Result<Submission, ErrorAnswer> {
    let headers = Headers::read(id, req.headers())?;
    let remote = req.remote_addr().as_socket_addr().copied();
    let entry = req.path_params::<String>().map_err(|err| {
        ErrorAnswer::not_submitted(id, Reason::BadRequest).with_detail(err.to_string())
    })?;
    let (parts, body) = req.into_parts();
    let bytes = body::read(body, &parts.headers, cx.body)
        .await
        .map_err(|err| {
            let error = ErrorAnswer::not_submitted(id, err.reason());
            headers.judge(error.with_detail(err.to_string()))
        })?;
    let call = CallBody {
        content_type: parts.headers.get(CONTENT_TYPE).cloned(),
        bytes: bytes.clone().into(),
    };
    Ok(Submission {
        id,
        work: Work::Call,
        headers,
        entry,
        body_bytes: bytes,
        body: WorkBody::Call(call),
        form: AnswerForm::Bytes,
        remote,
    })
}
