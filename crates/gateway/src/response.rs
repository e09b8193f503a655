//! The gateway's own error responses to callers.

use bytes::Bytes;
use core::convert::Infallible;
use core::fmt;
use core::time::Duration;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use oriolemux_core::gateway::request::PlacementError;

/// The body of a response, buffered or streamed. It fails when a stream is aborted, so that the
/// connection ends without the terminator of a complete response.
pub type ResponseBody = UnsyncBoxBody<Bytes, StreamAborted>;

/// A stream was aborted before its end.
#[derive(Clone, Copy, Debug, displaydoc::Display, thiserror::Error)]
/// the generation was aborted before its end
pub struct StreamAborted;

/// The share of the caller's remaining time that `Retry-After` may use. Callers honour up to a
/// third; a quarter leaves room for network delays.
const RETRY_SHARE: f64 = 0.25;

/// The shortest `Retry-After`.
const RETRY_MIN: Duration = Duration::from_millis(50);

/// The longest `Retry-After` where another instance, or this one a moment later, can serve the
/// request.
const RETRY_MAX: Duration = Duration::from_secs(1);

/// The longest `Retry-After` where no endpoint has room: a burst of callers lasts for seconds, and
/// a caller that returns within it is refused again.
const RETRY_MAX_FULL: Duration = Duration::from_secs(8);

/// Share of a known wait over which callers that are refused because of it are spread.
const BACKOFF_SPREAD: f64 = 0.25;

/// Upper bound of the time over which these callers are spread.
const MAX_BACKOFF_SPREAD: Duration = Duration::from_secs(2);

/// Declares an enum whose variants are known by stable words in responses, log lines and metrics.
macro_rules! labels {
    ($(#[$meta:meta])* pub enum $name:ident { $($variant:ident = $word:literal,)* }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name { $(#[doc = $word] $variant,)* }

        impl $name {
            /// All variants.
            pub const ALL: &'static [$name] = &[$($name::$variant,)*];

            /// Returns the word.
            pub const fn word(self) -> &'static str {
                match self { $($name::$variant => $word,)* }
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }
    };
}

labels! {
    /// Why the gateway responds itself.
    pub enum Reason {
        NoCatalogue = "no_catalogue",
        NoEntry = "no_entry",
        UnknownKey = "unknown_key",
        BodyTooLarge = "body_too_large",
        BodyBroken = "body_broken",
        NoSuchEvent = "no_such_event",
        NoEndpoint = "no_endpoint",
        Cordoned = "data_centres_cordoned",
        EndpointsFull = "endpoints_full",
        EndpointsLimited = "endpoints_limited",
        WaitTooLong = "wait_too_long",
        NotRunAtEndpoint = "not_run_at_endpoint",
        NoConnection = "no_connection",
        Stopping = "stopping",
        StopDeadline = "stop_deadline",
        ResponseLost = "answer_lost",
        WrongAttempt = "answer_foreign",
        Unsigned = "answer_unsigned",
        Timeout = "timeout",
        BudgetSpent = "budget_spent",
        NotStopped = "not_stopped",
        CrashesEndpoints = "ends_endpoints",
        PartCrashesEndpoints = "prompt_part_ends_endpoints",
        NoRunLease = "turn_taken",
        EndpointsBackedOff = "endpoints_backed_off",
        EndpointsBrittle = "endpoints_brittle",
        RelayFailed = "relay_failed",
        InstanceFull = "instance_full",
    }
}

labels! {
    /// How a generation ended, other than by a [`Reason`]. `copy_holder_left`: there was a copy, and each
    /// engine that held it had left. `copy_not_taken`: engines were asked to resume, and none did.
    pub enum StreamEnd {
        Complete = "complete",
        CallerLeftEarly = "caller_left_early",
        CallerLeft = "caller_left",
        EventMissing = "event_missing",
        NoCopy = "no_copy",
        CopyHolderLeft = "copy_holder_left",
        CopyNotTaken = "copy_not_taken",
    }
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum GenerationEnd {
    /// {0}
    Stream(StreamEnd),
    /// {0}
    Failed(Reason),
}

impl GenerationEnd {
    /// Returns the word.
    pub const fn word(self) -> &'static str {
        match self {
            GenerationEnd::Stream(end) => end.word(),
            GenerationEnd::Failed(reason) => reason.word(),
        }
    }

    /// Returns all ways in which a generation ends.
    pub fn all() -> impl Iterator<Item = GenerationEnd> {
        let ends = StreamEnd::ALL.iter().copied().map(GenerationEnd::Stream);
        let reasons = Reason::ALL.iter().copied().map(GenerationEnd::Failed);
        ends.chain(reasons)
    }
}

impl From<StreamEnd> for GenerationEnd {
    fn from(end: StreamEnd) -> Self {
        GenerationEnd::Stream(end)
    }
}

impl From<Reason> for GenerationEnd {
    fn from(why: Reason) -> Self {
        GenerationEnd::Failed(why)
    }
}

impl Reason {
    /// Returns the status. 429 and 503 promise that the request did not run.
    ///
    /// A request that crashes endpoints gets a client error: a caller that gets a server error
    /// sends the request again, which cannot succeed.
    pub const fn status(self) -> StatusCode {
        match self {
            Reason::NoEntry => StatusCode::NOT_FOUND,
            Reason::UnknownKey => StatusCode::UNAUTHORIZED,
            Reason::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::BodyBroken
            | Reason::NoSuchEvent
            | Reason::CrashesEndpoints
            | Reason::PartCrashesEndpoints => StatusCode::BAD_REQUEST,
            Reason::NoCatalogue
            | Reason::NoEndpoint
            | Reason::Cordoned
            | Reason::EndpointsFull
            | Reason::EndpointsLimited
            | Reason::EndpointsBackedOff
            | Reason::EndpointsBrittle
            | Reason::WaitTooLong
            | Reason::NotRunAtEndpoint
            | Reason::NoConnection
            | Reason::NoRunLease
            | Reason::InstanceFull
            | Reason::Stopping => StatusCode::SERVICE_UNAVAILABLE,
            Reason::ResponseLost
            | Reason::WrongAttempt
            | Reason::Unsigned
            | Reason::BudgetSpent
            | Reason::NotStopped
            | Reason::RelayFailed => StatusCode::BAD_GATEWAY,
            Reason::Timeout | Reason::StopDeadline => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl From<PlacementError> for Reason {
    fn from(why: PlacementError) -> Self {
        match why {
            PlacementError::NoEndpoint => Reason::NoEndpoint,
            PlacementError::Full => Reason::EndpointsFull,
            PlacementError::Cordoned => Reason::Cordoned,
            PlacementError::RateLimited => Reason::EndpointsLimited,
            PlacementError::BackedOff => Reason::EndpointsBackedOff,
            PlacementError::Brittle => Reason::EndpointsBrittle,
        }
    }
}

/// Returns the `Retry-After` for a caller that waits for `remaining` more.
pub fn retry_after(reason: Reason, remaining: Duration) -> Duration {
    let latest = match reason {
        Reason::EndpointsFull | Reason::EndpointsBrittle | Reason::Cordoned => RETRY_MAX_FULL,
        _ => RETRY_MAX,
    };
    let share = remaining.mul_f64(RETRY_SHARE);
    share.clamp(RETRY_MIN, latest).min(share)
}

/// Returns the `Retry-After` for a caller that waits for `remaining` more and can be served by another
/// instance at once, so early that its response may still arrive within `target`.
pub fn retry_after_elsewhere(reason: Reason, remaining: Duration, target: Duration) -> Duration {
    retry_after(reason, remaining).min(target.mul_f64(RETRY_SHARE))
}

/// Returns the `Retry-After` for a caller that cannot be served for `wait`, because all endpoints
/// requested a backoff or have no room until then. `draw` is a random number below one: without the spread, all callers that
/// were refused meanwhile would return at the same moment.
pub fn retry_after_backoff(wait: Duration, draw: f64) -> Duration {
    let spread = wait.mul_f64(BACKOFF_SPREAD).min(MAX_BACKOFF_SPREAD);
    wait + spread.mul_f64(draw)
}

/// Returns the response for `reason` to a caller that waits for `remaining` more.
pub fn refuse(reason: Reason, remaining: Duration) -> Response<ResponseBody> {
    refuse_until(reason, retry_after(reason, remaining))
}

/// Returns the response for `reason` to a caller that may return after `delay`.
pub fn refuse_until(reason: Reason, delay: Duration) -> Response<ResponseBody> {
    let body = format!("{{\"error\":\"{reason}\"}}\n");
    let mut response = Response::new(full_body(body.into()));
    *response.status_mut() = reason.status();
    response.extensions_mut().insert(reason);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if reason.status() == StatusCode::SERVICE_UNAVAILABLE {
        let seconds = format!("{:.3}", delay.as_secs_f64());
        match HeaderValue::try_from(seconds) {
            Ok(seconds) => drop(response.headers_mut().insert(header::RETRY_AFTER, seconds)),
            Err(error) => log::error!("cannot state a delay of {delay:?}: {error}"),
        }
    }
    response
}

/// Returns a buffered body.
pub fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never: Infallible| match never {})
        .boxed_unsync()
}
