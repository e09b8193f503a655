//! `POST /v1/completions`.

use super::work::{Kind, Received};
use crate::callers::completion::CompletionCall;
use crate::callers::errors::ErrorAnswer;
use crate::callers::submit::Submission;
use crate::endpoints::WorkBody;
use crate::relay::caller::AnswerForm;
use oriolemux_core::{Reason, RequestId};
use poem::Request;

/// Completions.
pub(super) struct Completions;

impl Kind for Completions {
    type Path = ();

    fn path(_id: RequestId, _req: &Request) -> Result<(), ErrorAnswer> {
        Ok(())
    }

    fn submission(_path: (), received: Received) -> Result<Submission, ErrorAnswer> {
        let Received {
            id,
            headers,
            bytes,
            remote,
            ..
        } = received;
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
}
