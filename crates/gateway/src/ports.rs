//! The interface to the platform: three traits and their types.
//!
//! An implementation translates formats and makes calls. It makes no decisions, does not retry
//! and keeps no state beyond a connection.

use crate::link::connect_socket;
use crate::response::{ResponseBody, full_body};
use bytes::Bytes;
use core::future::Future;
use core::time::Duration;
use http::{HeaderMap, Response, StatusCode};
use oriolemux_core::fingerprint::PromptPartId;
use oriolemux_core::gateway::endpoints::EndpointRecord;
use oriolemux_core::gateway::rate_limits::ResponseLimit;
use oriolemux_core::gateway::reader::{CallFailure, StatedEpoch};
use oriolemux_core::gateway::run_end::StopAnswer;
use oriolemux_core::gateway::usage::ReportedLoad;
use oriolemux_core::gateway::{CatalogueSource, ContentHash, Cordon, Epoch, Record, Revision};
use std::io;
use std::net::SocketAddrV4;
use tokio::net::TcpStream;

/// The values of a caller's headers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallerHead {
    /// The caller's id of this attempt, which endpoints echo.
    pub attempt: Option<String>,
    /// How long the caller waits for the response.
    pub timeout: Option<Duration>,
    /// SHA-256 of the caller's key, if it sent one.
    pub key_digest: Option<[u8; 32]>,
    /// The length of a generation's prompt in tokens.
    pub prompt_tokens: u32,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The caller's estimate of the number of generated tokens.
    pub expected_tokens: Option<u32>,
    /// The event after which the caller wants a generation to continue.
    pub last_event_id: LastEventId,
    /// The parts of a generation's prompt that other prompts may share, in order: all but the last,
    /// which is the request's or its session's own.
    pub shared_parts: Vec<PromptPartId>,
}

/// The last event of a generation that a caller says it has received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LastEventId {
    /// The caller sent no event id.
    #[default]
    Absent,
    /// The caller has all events up to this one.
    Event(u64),
    /// The event id cannot be parsed.
    Invalid,
}

/// The location of a copy of a generation's KV cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CopyLocation<'a> {
    /// The engine that holds the copy.
    pub engine: SocketAddrV4,
    /// The handle of the copy at that engine.
    pub handle: &'a str,
}

/// How a generation continues after some event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resume<'a> {
    /// The copy to resume from. Without one, the engine recomputes the prompt and the events, which
    /// may be requested for a resumable generation only.
    pub copy: Option<CopyLocation<'a>>,
    /// The last event that the caller has received.
    pub last_event: u64,
}

/// The values that are sent to an endpoint in addition to the caller's request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ForwardHead<'a> {
    /// The time that remains for the request.
    pub timeout: Duration,
    /// The expected endpoint; another one at its address refuses the request.
    pub endpoint: &'a str,
    /// The caller's workspace.
    pub workspace: Option<&'a str>,
    /// The priority of a generation; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Where the engine should keep a standby copy of the generation's KV cache.
    pub copy_to: Option<SocketAddrV4>,
    /// Set if the request resumes a generation.
    pub resume: Option<Resume<'a>>,
}

/// The value of an optional response header.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Announced<T> {
    /// The header is absent.
    #[default]
    Absent,
    /// The header has a valid value.
    Value(T),
    /// The value cannot be parsed; it has no effect.
    Unreadable,
}

/// What an endpoint announces about itself in the head of any response.
///
/// See `docs/design/endpoint-announcements.md` for what follows from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Announcements {
    /// Whether it is leaving.
    pub leaving: Announced<bool>,
    /// For how long it wants no new requests from this instance, in a refusal.
    pub backoff: Announced<Duration>,
}

/// The values in the head of an endpoint's response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResponseHead {
    /// The endpoint reports that the request did not run.
    pub not_run: bool,
    /// The endpoint rejected the request for lack of capacity.
    pub rejected: bool,
    /// Another endpoint than the expected one responded.
    pub wrong_endpoint: bool,
    /// The response echoes the id of another attempt.
    pub wrong_attempt: bool,
    /// The response bears the endpoint's signature.
    pub is_signed: bool,
    /// The load that the endpoint reports.
    pub load: Option<ReportedLoad>,
    /// For how long the endpoint will still be cold, as it reports.
    pub cold_for: Option<Duration>,
    /// The rate limit that the endpoint reports: requests a second from all instances together.
    pub limit: ResponseLimit,
    /// How many rejections per second for lack of capacity, over all instances, the endpoint
    /// tolerates; it terminates if there are more.
    pub brittle: Announced<u32>,
    /// What the endpoint announces about itself.
    pub announced: Announcements,
}

/// The outcome of a call to the store.
#[derive(Clone, Debug)]
pub struct StoreAnswer<T> {
    /// The epoch that the store states in every answer, refusals included; absent if there was no
    /// answer.
    pub epoch: StatedEpoch,
    /// The content of the answer, or why there is none.
    pub content: Result<T, CallFailure>,
}

/// One key of the store in an answer. Its number is a revision of the epoch of the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The key.
    pub key: String,
    /// The store's number of the change that wrote or removed it.
    pub number: u64,
    /// The value, [`StoredRecord::UNREADABLE`] if it cannot be read; `None` if the key was removed.
    pub value: Option<Vec<u8>>,
}

impl StoredRecord {
    /// The value of a record of which no more than the key can be read. It is no value of any record
    /// that can be used, so that the record counts as one that cannot be decoded, here and at the peers
    /// that get it.
    pub const UNREADABLE: &[u8] = &[];

    /// Returns the record as one of `epoch`.
    pub fn in_epoch(self, epoch: Epoch) -> Record {
        let number = self.number;
        Record {
            key: self.key,
            revision: Revision { epoch, number },
            value: self.value,
        }
    }
}

/// An item of the store that does not parse as one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableItem {
    /// Its key, if that can be read.
    pub key: Option<String>,
    /// What is wrong with it.
    pub why: String,
}

/// The items of an answer that do not parse as such. Those with a readable key are among its records.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnreadableItems {
    /// The first of them.
    pub named: Vec<UnreadableItem>,
    /// How many there are.
    pub count: usize,
    /// How many of them have no readable key.
    pub without_key: usize,
}

/// One page of the store's records.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// The records.
    pub records: Vec<StoredRecord>,
    /// What else the page holds.
    pub unreadable: UnreadableItems,
    /// The key after which the next page begins, `None` on the last page.
    pub next: Option<String>,
    /// The number of the store's last change when the page was read.
    pub number: u64,
}

/// Changes of the store.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// The records that were written or removed.
    pub records: Vec<StoredRecord>,
    /// What else the answer holds.
    pub unreadable: UnreadableItems,
    /// All changes up to the one with this number are included.
    pub number: u64,
}

/// The meaning of a record.
#[derive(Clone, Debug)]
pub enum Published {
    /// The catalogue.
    Catalogue(CatalogueSource),
    /// An endpoint.
    Endpoint(EndpointRecord),
    /// The record of the catalogue was removed; the one in force stays.
    CatalogueGone,
    /// The record of an endpoint was removed.
    EndpointGone(String),
    /// A cordon of a data centre that the operator set or lifted.
    Cordon {
        /// The cordon. A value that cannot be parsed cordons the data centre as well.
        cordon: Cordon,
        /// What is wrong with the value, if anything.
        error: Option<String>,
    },
    /// A record that does not concern this product.
    Other,
    /// An endpoint's record that cannot be parsed; the endpoint must not be used.
    EndpointUnreadable {
        /// The published name.
        name: String,
        /// What is wrong with the record.
        error: String,
    },
    /// The record of the catalogue cannot be parsed.
    Unreadable(String),
}

impl Published {
    /// Returns whether the record is that of the catalogue.
    pub const fn is_of_catalogue(&self) -> bool {
        matches!(
            self,
            Published::Catalogue(_) | Published::CatalogueGone | Published::Unreadable(_)
        )
    }

    /// Returns the content hash of `record`, whose meaning this is.
    pub fn mark(&self, record: &Record) -> ContentHash {
        match self {
            Published::Endpoint(endpoint) => {
                ContentHash::of(&record.key, &[endpoint.canonical_form().as_bytes()])
            }
            Published::Cordon { cordon, .. } if cordon.is_closed => {
                ContentHash::of(&record.key, &[b"closed"])
            }
            Published::CatalogueGone
            | Published::EndpointGone(_)
            | Published::Cordon { .. }
            | Published::Other => ContentHash::NOTHING,
            Published::Catalogue(_)
            | Published::EndpointUnreadable { .. }
            | Published::Unreadable(_) => {
                let value = record.value.as_deref().unwrap_or_default();
                ContentHash::of(&record.key, &[value])
            }
        }
    }
}

/// The platform's names and formats of requests, responses and records.
pub trait Wire: Clone + Send + Sync + 'static {
    /// Parses a caller's headers.
    fn caller_head(&self, headers: &HeaderMap) -> CallerHead;

    /// Returns the headers for an endpoint: the caller's without hop-by-hop headers and without
    /// those that only this system sets, plus the values of `send`.
    fn endpoint_headers(&self, caller: &HeaderMap, send: &ForwardHead<'_>) -> HeaderMap;

    /// Parses the head of a response to `attempt`.
    fn response_head(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        attempt: Option<&str>,
    ) -> ResponseHead;

    /// Removes the hop-by-hop headers of a response.
    fn strip_response_headers(&self, headers: &mut HeaderMap);

    /// Decodes a record.
    fn decode(&self, record: &Record) -> Published;

    /// Returns whether all keys of cordons sort before `key` in the order of the pages.
    fn is_past_cordons(&self, key: &str) -> bool;

    /// Returns the key of the record that cordons a data centre.
    fn cordon_key(&self, data_centre: &str) -> String;

    /// Opens a connection to an endpoint. An implementation may reach endpoints through something
    /// else than a direct connection. `receive_buffer` is that of [`connect_socket`].
    fn connect(
        &self,
        address: SocketAddrV4,
        receive_buffer: Option<usize>,
    ) -> impl Future<Output = io::Result<TcpStream>> + Send {
        connect_socket(address, receive_buffer)
    }
}

/// A read-only client of the store.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one page of all records. The head of the response must arrive within `limit`; the
    /// body may take longer as long as data keeps arriving.
    fn page(
        &self,
        after: Option<&str>,
        limit: Duration,
    ) -> impl Future<Output = StoreAnswer<Page>> + Send;

    /// Waits at most `wait` for changes after the one with number `after`. The head of the response must
    /// arrive within `limit`; the body may take longer as long as data keeps arriving.
    fn watch(
        &self,
        after: u64,
        wait: Duration,
        limit: Duration,
    ) -> impl Future<Output = StoreAnswer<Changes>> + Send;
}

/// The outcome of a call that copies a running generation's KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyOutcome {
    /// The copy is complete.
    Complete {
        /// The handle of the copy.
        handle: String,
    },
    /// The target has no room or cannot be reached. A generation that was stopped for the copy
    /// can resume at its source with this handle.
    NoRoom {
        /// The handle at the source, if the generation was stopped.
        handle: Option<String>,
    },
    /// The engine does not run the generation, or not yet.
    NotRunning,
    /// Another process than the expected engine answers at the address.
    Replaced,
    /// Another call for the same generation is in progress.
    Busy,
    /// No connection to the engine could be opened.
    Unreachable,
    /// There was no response.
    NoAnswer,
    /// The engine answered with another status than those of this call, and did nothing.
    Refused,
    /// The response cannot be parsed, belongs to another request or names no valid handle.
    Unreadable,
}

impl CopyOutcome {
    /// Returns the value that log lines carry.
    pub const fn label(&self) -> &'static str {
        match self {
            CopyOutcome::Complete { .. } => "done",
            CopyOutcome::NoRoom { .. } => "no_room",
            CopyOutcome::NotRunning => "not_running",
            CopyOutcome::Replaced => "replaced",
            CopyOutcome::Busy => "busy",
            CopyOutcome::Unreachable => "unreachable",
            CopyOutcome::NoAnswer => "no_answer",
            CopyOutcome::Refused => "refused",
            CopyOutcome::Unreadable => "unreadable",
        }
    }

    /// Returns what the outcome is as the answer to an order to stop the generation.
    ///
    /// An engine that stopped a generation and found no room for its copy names the handle under which
    /// it keeps the KV cache. Without one, the engine refused the order as it may refuse any request.
    pub const fn stop_answer(&self) -> StopAnswer {
        match self {
            CopyOutcome::Complete { .. } => StopAnswer::Stopped,
            CopyOutcome::NoRoom { handle: Some(_) } => StopAnswer::StoppedWithoutRoom,
            CopyOutcome::NoRoom { handle: None } | CopyOutcome::Refused => StopAnswer::Refused,
            CopyOutcome::NotRunning => StopAnswer::NotRunning,
            CopyOutcome::Replaced => StopAnswer::Replaced,
            CopyOutcome::Busy => StopAnswer::Busy,
            CopyOutcome::Unreachable => StopAnswer::Unreached,
            CopyOutcome::NoAnswer => StopAnswer::Unanswered,
            CopyOutcome::Unreadable => StopAnswer::Unreadable,
        }
    }

    /// Returns the handle of a copy, or of the KV cache that a stopped generation left at its engine.
    pub fn into_handle(self) -> Option<String> {
        match self {
            CopyOutcome::Complete { handle } => Some(handle),
            CopyOutcome::NoRoom { handle } => handle,
            _ => None,
        }
    }
}

/// An order to copy a running generation's KV cache.
#[derive(Clone, Copy, Debug)]
pub struct CopyOrder<'a> {
    /// The address of the engine that runs the generation.
    pub source: SocketAddrV4,
    /// The name of that engine; another one at its address refuses the order.
    pub endpoint: &'a str,
    /// The attempt that runs there.
    pub attempt: &'a str,
    /// The engine that gets the copy.
    pub target: SocketAddrV4,
    /// Whether the generation is stopped first.
    pub stop: bool,
}

/// The calls to engines other than forwarded requests.
pub trait EngineCalls: Clone + Send + Sync + 'static {
    /// Copies a running generation's KV cache.
    fn copy_generation(
        &self,
        order: CopyOrder<'_>,
        limit: Duration,
    ) -> impl Future<Output = CopyOutcome> + Send;

    /// Frees an unused copy at both engines. Returns whether the source accepted the call.
    fn free_copy(
        &self,
        source: SocketAddrV4,
        handle: &str,
        limit: Duration,
    ) -> impl Future<Output = bool> + Send;
}

/// A response that was read to its end.
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
    /// Returns the response for the caller.
    pub fn into_response(self) -> Response<ResponseBody> {
        let mut response = Response::new(full_body(self.body));
        *response.status_mut() = self.status;
        *response.headers_mut() = self.headers;
        response
    }
}
