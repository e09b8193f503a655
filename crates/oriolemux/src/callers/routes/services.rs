//! `POST /v1/services/ENTRY`.

use super::work::{Received, WorkKind};
use crate::callers::errors::ErrorResponse;
use crate::callers::submit::Submission;
use crate::endpoints::{CallBody, WorkBody};
use crate::relay::caller::ResponseFormat;
use http::header::CONTENT_TYPE;
use oriolemux_core::event::Work;
use oriolemux_core::{Reason, RequestId};
use poem::Request;

/// Calls of plain services.
pub(super) struct Services;

impl WorkKind for Services {
    /// The entry's name.
    type Path = String;

    fn path(id: RequestId, req: &Request) -> Result<String, ErrorResponse> {
        req.path_params::<String>().map_err(|err| {
            ErrorResponse::not_submitted(id, Reason::BadRequest).with_detail(err.to_string())
        })
    }

    fn submission(entry: String, received: Received) -> Result<Submission, ErrorResponse> {
        let call = CallBody {
            content_type: received.raw_headers.get(CONTENT_TYPE).cloned(),
            bytes: received.bytes.clone().into(),
        };
        Ok(Submission {
            id: received.id,
            work: Work::Call,
            headers: received.headers,
            entry,
            body_bytes: received.bytes,
            counted: received.counted,
            body: WorkBody::Call(call),
            format: ResponseFormat::Bytes,
            remote: received.remote,
        })
    }
}
