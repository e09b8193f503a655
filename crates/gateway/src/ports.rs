//! What the platform must provide: two small traits and the types they speak in.
//!
//! An implementation translates and calls; it decides nothing, repeats nothing
//! and keeps no state beyond a connection.

use crate::response::{ResponseBody, full_body};
use bytes::Bytes;
use core::future::Future;
use core::time::Duration;
use http::{HeaderMap, Response, StatusCode};
use oriolemux_core::gateway::endpoints::EndpointRecord;
use oriolemux_core::gateway::rate_limits::ResponseLimit;
use oriolemux_core::gateway::reader::CallFailure;
use oriolemux_core::gateway::usage::ReportedLoad;
use oriolemux_core::gateway::{CatalogueSource, ContentHash, Cordon, Record};
use std::net::SocketAddrV4;

/// What the headers of a caller's request say.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's name of this attempt, which endpoints echo.
    pub attempt: Option<String>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// SHA-256 of the key, if there is one.
    pub key_digest: Option<[u8; 32]>,
    /// Tokens of the prompt of a generation.
    pub prompt_tokens: u32,
    /// The most tokens that the caller wants generated.
    pub max_tokens: u32,
    /// How many tokens the caller expects.
    pub expected_tokens: Option<u32>,
    /// Where in a generation the caller wants to go on.
    pub last_event_id: LastEventId,
}

/// What a caller says it holds of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastEventId {
    /// Nothing.
    #[default]
    Absent,
    /// All events up to this one.
    Event(u64),
    /// Something that cannot be read.
    Invalid,
}

/// A copy of a generation's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLocation<'a> {
    /// The engine that keeps it.
    pub engine: SocketAddrV4,
    /// Its name at that engine.
    pub handle: &'a str,
}

/// A generation that goes on after some event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resume<'a> {
    /// The memory that it goes on from. Without one the engine reads prompt and events
    /// anew, which only a resumable generation may ask for.
    pub copy: Option<CopyLocation<'a>>,
    /// The last event that the caller holds.
    pub last_event: u64,
}

/// What an endpoint is told besides the caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// The time that is left.
    pub timeout: Duration,
    /// The endpoint's name; another one at its address refuses.
    pub endpoint: &'a str,
    /// The workspace of the caller.
    pub workspace: Option<&'a str>,
    /// The rank of a generation; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Where a standing copy of a generation's memory is kept.
    pub copy_to: Option<SocketAddrV4>,
    /// Set if the request goes on with a generation.
    pub resume: Option<Resume<'a>>,
}

/// What the head of an endpoint's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The endpoint says that the request did not run.
    pub not_run: bool,
    /// The endpoint is not the one that was expected.
    pub wrong_endpoint: bool,
    /// The attempt that the answer names is another one.
    pub wrong_attempt: bool,
    /// How full the endpoint says it is.
    pub load: Option<ReportedLoad>,
    /// For how long the endpoint says it will still be cold.
    pub cold_for: Option<Duration>,
    /// How many requests a second the endpoint says it takes from all instances.
    pub limit: ResponseLimit,
}

/// A part of all records of the store.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records.
    pub records: Vec<Record>,
    /// The key after which the next page begins, if there is one.
    pub next: Option<String>,
    /// The store's revision when the page was read.
    pub revision: u64,
}

/// What has changed in the store.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The records as they were written or removed.
    pub records: Vec<Record>,
    /// The revision up to which these are all changes.
    pub revision: u64,
}

/// What a record means.
#[derive(Clone, Debug)]
pub enum Published {
    /// The catalogue.
    Catalogue(CatalogueSource),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// An endpoint's entry vanished.
    EndpointGone(String),
    /// The operator's word about a data centre.
    Cordon {
        /// What it says. A value that cannot be read closes the data centre all the same.
        cordon: Cordon,
        /// What is wrong with the value, if anything is.
        why: Option<String>,
    },
    /// Something that does not concern this product.
    Other,
    /// An endpoint's entry that cannot be read, so that it names none to use.
    EndpointUnreadable {
        /// The published name.
        name: String,
        /// What is wrong with it.
        why: String,
    },
    /// It cannot be read.
    Unreadable(String),
}

impl Published {
    /// Returns the mark of `record`, which means this.
    pub fn mark(&self, record: &Record) -> ContentHash {
        match self {
            Published::Endpoint(endpoint) => {
                ContentHash::of(&record.key, &[endpoint.canonical_form().as_bytes()])
            }
            Published::Cordon { cordon, .. } if cordon.is_closed => {
                ContentHash::of(&record.key, &[b"closed"])
            }
            Published::EndpointGone(_) | Published::Cordon { .. } | Published::Other => {
                ContentHash::NOTHING
            }
            Published::Catalogue(_)
            | Published::EndpointUnreadable { .. }
            | Published::Unreadable(_) => {
                let value = record.value.as_deref().unwrap_or_default();
                ContentHash::of(&record.key, &[value])
            }
        }
    }
}

/// The names and formats of requests, answers and records.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Reads what a caller's headers say.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Returns the headers for an endpoint: the caller's, less those that concern
    /// one connection and those that are the system's to set, and the system's.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &ForwardHead<'_>) -> HeaderMap;

    /// Reads what the head of an answer to `attempt` says.
    fn response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&str>,
    ) -> ResponseHead;

    /// Removes the headers of an answer that concern one connection.
    fn strip_response_headers(&self, headers: &mut HeaderMap);

    /// Reads a record.
    fn decode(&self, record: &Record) -> Published;

    /// Returns whether all cordons stand before `key` in the order in which pages are read.
    fn is_past_cordons(&self, key: &str) -> bool;

    /// Returns the key under which the store keeps the operator's word about a data centre.
    fn cordon_key(&self, data_centre: &str) -> String;
}

/// The store, which can only be read.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one page of all records. Its answer must begin within `limit`, and may then
    /// take as long as it comes.
    fn page(
        &self,
        after: Option<&str>,
        limit: Duration,
    ) -> impl Future<Output = Result<Page, CallFailure>> + Send;

    /// Waits at most `wait` for changes above `after`. The answer must begin within `limit`,
    /// and may then take as long as it comes.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = Result<Changes, CallFailure>> + Send;
}

/// What became of the call that moves a running generation's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Complete {
        /// Its name.
        handle: String,
    },
    /// There is no room at the target, or it cannot be reached. A generation that
    /// was stopped for the move can go on at its source under this name.
    NoRoom {
        /// The name at the source, if the generation was stopped.
        handle: Option<String>,
    },
    /// The engine does not run the generation, at least not yet.
    NotRunning,
    /// Another call for the generation is in progress.
    Busy,
    /// There was no answer that can be read.
    NoAnswer,
}

impl CopyOutcome {
    /// Returns a word for it, which log lines carry.
    pub const fn label(&self) -> &'static str {
        match self {
            CopyOutcome::Complete { .. } => "done",
            CopyOutcome::NoRoom { .. } => "no_room",
            CopyOutcome::NotRunning => "not_running",
            CopyOutcome::Busy => "busy",
            CopyOutcome::NoAnswer => "no_answer",
        }
    }
}

/// The calls to engines besides the requests of callers.
pub trait EngineCalls: Clone + Send + Sync + 'static {
    /// Copies a running generation's memory from `source` to `target`, and stops it
    /// first if `stop` is set.
    fn copy_generation(
        &self,
        source: SocketAddrV4,
        attempt: &str,
        target: SocketAddrV4,
        stop: bool,
        limit: Duration,
    ) -> impl Future<Output = CopyOutcome> + Send;

    /// Frees a copy that nobody will use, at both engines. Returns whether the engine
    /// took the call.
    fn free_copy(
        &self,
        source: SocketAddrV4,
        handle: &str,
        limit: Duration,
    ) -> impl Future<Output = bool> + Send;
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl BufferedResponse {
    /// Returns the answer as the caller gets it.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
