//! Successes without the signature of their endpoint, which callers must not get.

use crate::log_event;
use crate::meters::millis;
use crate::ports::Wire;
use http::{HeaderMap, StatusCode};
use std::time::Instant;

/// Returns whether a response is a success without the signature of its endpoint.
pub fn is_unsigned<W: Wire>(wire: &W, status: StatusCode, headers: &HeaderMap) -> bool {
    status.is_success() && !wire.response_head(status, headers, None).is_signed
}

/// A response to a request, for the log.
#[derive(Clone, Copy, Debug)]
pub struct UnsignedResponse<'a> {
    /// The caller's id of the attempt.
    pub attempt: &'a str,
    /// The entry.
    pub entry: &'a str,
    /// The name of the endpoint, or `-` if it is not known.
    pub endpoint: &'a str,
    /// The status.
    pub status: StatusCode,
    /// When the request arrived.
    pub arrived: Instant,
}

impl UnsignedResponse<'_> {
    /// Logs the response.
    pub fn log(self) {
        log_event!(
            ResponseUnsigned,
            attempt = self.attempt,
            entry = self.entry,
            endpoint = self.endpoint,
            status = self.status.as_u16(),
            ms = millis(self.arrived.elapsed())
        );
    }
}
