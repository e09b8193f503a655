//! `POST /v1/completions`.

use super::CallerCx;
use crate::callers::body;
use crate::callers::completion::CompletionCall;
use crate::callers::errors::ErrorAnswer;
use crate::callers::submit::{Headers, Submission, submit};
use crate::endpoints::{EndpointProtocol, WorkBody};
use crate::relay::caller::AnswerForm;
use oriolemux_core::{Reason, RequestId};
use poem::{Endpoint, Request, Response};
use std::sync::Arc;

/// Serves completions.
pub(super) struct Completions<E>(pub Arc<CallerCx<E>>);

impl<E: EndpointProtocol> Endpoint for Completions<E> {
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
    let (parts, body) = req.into_parts();
    let bytes = body::read(body, &parts.headers, cx.body)
        .await
        .map_err(|err| {
            let error = ErrorAnswer::not_submitted(id, err.reason());
            headers.judge(error.with_detail(err.to_string()))
        })?;
    let call = CompletionCall::parse(&bytes).map_err(|err| {
        ErrorAnswer::not_submitted(id, Reason::BadRequest).with_detail(err.to_string())
    })?;
    let form = if call.stream {
        AnswerForm::Events
    } else {
        AnswerForm::Json
    };
    Ok(Submission {
        id,
        work: call.work(headers.prompt_tokens),
        headers,
        entry: call.entry,
        body_bytes: bytes,
        body: WorkBody::Completion(call.body),
        form,
        remote,
    })
}
