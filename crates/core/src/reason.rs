//! Reasons of refusals, retries and typed failures.
//!
//! The `reason` field of an error response, the label of a counter and the text of a log event all
//! use the same names, so that an operator can correlate them.

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran, as its caller is told.
///
/// `docs/GUARANTEES.md` defines the guarantee behind each value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request did not run anywhere. Only `outcome::NotRun` yields this value, and it cannot be
    /// constructed once the request may have run.
    NotRun,
    /// The request may or may not have run.
    Unknown,
    /// Only the first tokens of one generation were delivered.
    Partial,
    /// The request ran and its full response was delivered.
    Complete,
}

impl Outcome {
    /// Returns the stable name used in errors, metrics and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Partial => "partial",
            Outcome::Complete => "complete",
        }
    }
}

macro_rules! reasons {
    ($($(#[doc = $doc:literal])* $name:ident = $text:literal, $status:literal, $group:ident;)*) => {
        /// Why a request was refused, retried, cut short or failed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Reason { $($(#[doc = $doc])* $name,)* }

        impl Reason {
            /// Every reason, in the order of the catalogue of events.
            pub const ALL: &'static [Reason] = &[$(Reason::$name,)*];

            /// Returns the stable name used in errors, metrics and logs.
            pub const fn as_str(self) -> &'static str {
                match self { $(Reason::$name => $text,)* }
            }

            /// Returns the HTTP status that a caller sees with this reason.
            pub const fn http_status(self) -> u16 {
                match self { $(Reason::$name => $status,)* }
            }

            /// Returns the lines of its description for the catalogue of events.
            pub const fn doc(self) -> &'static [&'static str] {
                match self { $(Reason::$name => &[$($doc),*],)* }
            }

            /// Returns its group.
            pub const fn group(self) -> ReasonGroup {
                match self { $(Reason::$name => ReasonGroup::$group,)* }
            }
        }
    };
}

/// The kind of a [`Reason`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReasonGroup {
    /// The caller's input is at fault; the same request will be refused again.
    Input,
    /// A limit is reached or capacity is missing; the same request may be accepted later.
    Limit,
    /// A component or connection failed while the request was handled.
    Failure,
    /// A received message did not match the state of its attempt and was dropped.
    Discard,
}

impl ReasonGroup {
    /// Returns the name used in the catalogue of events.
    pub const fn as_str(self) -> &'static str {
        match self {
            ReasonGroup::Input => "input",
            ReasonGroup::Limit => "limit",
            ReasonGroup::Failure => "failure",
            ReasonGroup::Discard => "discard",
        }
    }
}

reasons! {
    /// No bearer key, or one that no workspace holds.
    BadKey = "bad_key", 401, Input;
    /// The workspace may not use the entry.
    EntryForbidden = "entry_forbidden", 403, Input;
    /// The catalogue has no such entry.
    UnknownEntry = "unknown_entry", 404, Input;
    /// The body is larger than the limit.
    BodyTooLarge = "body_too_large", 413, Input;
    /// The prompt has more tokens than the entry allows.
    PromptTooLong = "prompt_too_long", 413, Input;
    /// The body is not valid UTF-8 or JSON, or a field has a wrong value.
    BadRequest = "bad_request", 400, Input;
    /// An idempotency key was used before for a different request.
    KeyReused = "key_reused", 422, Input;
    /// A ticket is malformed or was never issued.
    BadTicket = "bad_ticket", 400, Input;
    /// The same request ended several endpoints that had begun it.
    CrashesEndpoints = "ends_endpoints", 400, Input;

    /// The entry's limit of concurrent requests is reached.
    EntryConcurrency = "entry_concurrency", 429, Limit;
    /// The workspace's limit of concurrent requests is reached.
    WorkspaceConcurrency = "workspace_concurrency", 429, Limit;
    /// The workspace's or entry's tokens a minute are used up.
    TokenRate = "token_rate", 429, Limit;
    /// The queue is at its limit.
    QueueFull = "queue_full", 503, Limit;
    /// The predicted wait is longer than the class's longest wait.
    WaitTooLong = "wait_too_long", 503, Limit;
    /// The request waited for the class's longest wait and did not start.
    WaitExpired = "wait_expired", 503, Limit;
    /// The instance holds as many connections or requests as its settings allow.
    InstanceFull = "instance_full", 503, Limit;
    /// The same request ended an endpoint, and runs at another one at the moment.
    NoRunLease = "turn_taken", 503, Limit;
    /// No live endpoint serves the entry.
    NoEndpoint = "no_endpoint", 503, Limit;
    /// The retry budget is used up.
    RetryBudget = "retry_budget", 503, Limit;
    /// The instance is stopping and takes no new work.
    Stopping = "stopping", 503, Limit;
    /// No catalogue has been accepted yet.
    NoCatalogue = "no_catalogue", 503, Limit;
    /// The home of an idempotency key changed recently, or cannot be reached.
    KeyHomeUnsure = "key_home_unsure", 503, Limit;

    /// No connection to the endpoint could be made.
    ConnectFailed = "connect_failed", 502, Failure;
    /// The endpoint refused definitely and ran nothing.
    EndpointRefused = "endpoint_refused", 503, Failure;
    /// The endpoint is leaving and refused.
    EndpointLeaving = "endpoint_leaving", 503, Failure;
    /// The endpoint does not hold the model, version or adapter and refused.
    EndpointNotLoaded = "endpoint_not_loaded", 503, Failure;
    /// The connection to the endpoint broke.
    ConnectionLost = "connection_lost", 502, Failure;
    /// The endpoint sent nothing for longer than the stall limit.
    Stalled = "stalled", 504, Failure;
    /// The stream ended without its end mark.
    Truncated = "truncated", 502, Failure;
    /// The endpoint sent something that is not in its protocol.
    Garbage = "garbage", 502, Failure;
    /// The endpoint failed while it generated.
    EndpointError = "endpoint_error", 502, Failure;
    /// The endpoint no longer holds the generation that was to be resumed.
    GenerationLost = "generation_lost", 502, Failure;
    /// A replay elsewhere differed from what was already delivered.
    ReplayDiverged = "replay_diverged", 502, Failure;
    /// The process that held the ticket or key is gone.
    HolderGone = "holder_gone", 409, Failure;
    /// The home did not answer in time.
    HomeSilent = "home_silent", 503, Failure;
    /// The request with this key or ticket has not been heard to end.
    AlreadyRunning = "already_running", 409, Failure;
    /// The request with this key or ticket already ran.
    AlreadyRan = "already_ran", 409, Failure;
    /// The ticket was issued so long ago that its use is not remembered.
    TicketExpired = "ticket_expired", 409, Failure;
    /// The caller went away.
    CallerGone = "caller_gone", 499, Failure;
    /// The process woke after a pause that outlasted what it was about to do.
    PausedTooLong = "paused_too_long", 503, Failure;
    /// The instance was told to stop at once.
    StoppedNow = "stopped_now", 503, Failure;
    /// An internal part failed.
    Internal = "internal", 500, Failure;

    /// An answer carried another attempt's id.
    WrongAttempt = "wrong_attempt", 502, Discard;
    /// A token arrived that was delivered before.
    DuplicateToken = "duplicate_token", 502, Discard;
    /// A token arrived out of order.
    TokenGap = "token_gap", 502, Discard;
    /// An answer arrived after its attempt had ended.
    LateAnswer = "late_answer", 502, Discard;
}

impl std::fmt::Display for Reason {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
