//! `POST /v1/completions`.

use super::work::{Received, WorkKind};
use crate::callers::completion::CompletionCall;
use crate::callers::errors::ErrorResponse;
use crate::callers::submit::Submission;
use crate::endpoints::WorkBody;
use crate::relay::caller::ResponseFormat;
use oriolemux_core::{Reason, RequestId};
use poem::Request;

/// Completions.
pub(super) struct Completions;

impl WorkKind for Completions {
    type Path = ();

    fn path(_id: RequestId, _req: &Request) -> Result<(), ErrorResponse> {
        Ok(())
    }

    fn submission(_path: (), received: Received) -> Result<Submission, ErrorResponse> {
        let Received {
            id,
            headers,
            bytes,
            counted,
            remote,
            ..
        } = received;
        let call = CompletionCall::parse(&bytes).map_err(|err| {
            ErrorResponse::not_submitted(id, Reason::BadRequest).with_detail(err.to_string())
        })?;
        let format = if call.stream {
            ResponseFormat::Events
        } else {
            ResponseFormat::Json
        };
        Ok(Submission {
            id,
            work: call.work(headers.prompt_tokens),
            headers,
            entry: call.entry,
            body_bytes: bytes,
            counted,
            body: WorkBody::Completion(call.body),
            format,
            remote,
        })
    }
}
