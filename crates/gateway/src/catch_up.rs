//! Fetches missed records of the store from peers, and serves them.
//!
//! The request is the revision up to which the sender has all records (its number, then its epoch)
//! and the version of its catalogue, over TCP on the port number of the datagrams. The reply is a delta with all later records, compressed if it is large
//! ([`mod@format`]). An empty reply is a refusal: the peer serves others at the moment. The core
//! decides whom to ask and how many may be served at once ([`core::gateway::catch_up`]).
//!
//! [`core::gateway::catch_up`]: oriolemux_core::gateway::catch_up

pub mod format;

use crate::connections::{Connections, SimpleConnection};
use crate::cx::{Cx, OpenKind};
use crate::link::connect_socket;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::{EngineCalls, Published, Wire};
use crate::proxy::server::{self, PREFACE};
use crate::store::{Source, apply, apply_catalogue, finish_full_read, log_epoch_change};
use core::time::Duration;
use format::FormatError;
use oriolemux_core::gateway::catch_up::{FetchFailure, LARGE_DELTA_BYTES, MAX_LARGE_TRANSFERS};
use oriolemux_core::gateway::replica::{DeltaRequest, StoreDelta};
use oriolemux_core::gateway::{Epoch, Record, Revision};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::task::TaskTracker;

/// How long a peer may take to read a delta. A slower one would block others; it reads the store
/// instead.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// A connection on which nothing arrives for this long is abandoned.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// The purpose under which sent deltas are counted.
const STORE_DELTA_PURPOSE: &str = "store_news";

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// Why fetching a delta from a peer failed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// the connection failed: {0}
    Connection(#[from] io::Error),
    /// no data for {0:?}
    Silent(Duration),
    /// the peer is serving others
    Refused,
    /// the reply cannot be decoded: {0}
    Format(#[from] FormatError),
}

impl FetchError {
    /// Returns the value that log lines and counters carry.
    pub const fn label(&self) -> &'static str {
        match self {
            FetchError::Connection(_) => "connection",
            FetchError::Silent(_) => "silent",
            FetchError::Refused => "refused",
            FetchError::Format(_) => "format",
        }
    }

    const fn fetch_failure(&self) -> FetchFailure {
        match self {
            FetchError::Refused => FetchFailure::Refused,
            _ => FetchFailure::Failed,
        }
    }
}

/// Fetches deltas whenever a peer has a later revision. Never returns.
pub async fn catch_up<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        cx.catch_up_due.notified().await;
        let peer = cx.state().choose_provider(cx.now());
        if let Some(peer) = peer {
            fetch_from(&cx, peer).await;
        }
    }
}

async fn fetch_from<W: Wire>(cx: &Cx<W>, peer: SocketAddrV4) {
    let started = Instant::now();
    let request = cx.state().delta_request();
    let fetched = tokio::select! {
        fetched = fetch(peer, request) => fetched,
        // The store or another peer delivered the records meanwhile.
        () = no_longer_behind(cx) => return,
    };
    let ms = millis(started.elapsed());
    let now = cx.now();
    match fetched {
        Ok(delta) => {
            ByReason::PeerAnswers.add("told");
            log_event!(DeltaReceived, peer:% = peer, epoch = delta.revision.epoch.0,
                revision = delta.revision.number, whole = delta.is_full,
                records = delta.records.len(), ms = ms);
            apply_delta(cx, request, delta);
            skip_unless_caught_up(cx, peer);
        }
        Err(error) => {
            ByReason::PeerAnswers.add(error.label());
            cx.state()
                .on_fetch_failure(now, peer, error.fetch_failure());
            log_event!(DeltaFetchFailed, peer:% = peer, why = error.label(),
                revision = request.after.number, ms = ms);
        }
    }
    cx.state().update_behind(cx.now());
}

async fn no_longer_behind<W: Wire>(cx: &Cx<W>) {
    loop {
        let changed = cx.replica_changed.notified();
        if !cx.state().is_behind() {
            return;
        }
        changed.await;
    }
}

/// Asks a peer again only after a pause if what it sent did not bring its catalogue in force here.
fn skip_unless_caught_up<W: Wire>(cx: &Cx<W>, peer: SocketAddrV4) {
    let now = cx.now();
    let mut state = cx.state();
    state.update_behind(now);
    if state.lacks_catalogue_of(peer) {
        state.on_fetch_failure(now, peer, FetchFailure::Failed);
    }
}

fn apply_delta<W: Wire>(cx: &Cx<W>, request: DeltaRequest, mut delta: StoreDelta) {
    let catalogue = delta.catalogue.take();
    let before = cx.state().replica.revision();
    let is_new_epoch = delta.revision.epoch > before.epoch;
    // A partial delta into a new epoch states what differs from the requested revision, and nothing
    // of what this replica has received since.
    let is_applicable = delta.is_full || !is_new_epoch || before == request.after;
    // A peer that has not reached the epoch of this replica knows nothing newer but a catalogue.
    if is_applicable && delta.revision.epoch >= before.epoch {
        follow_epoch(cx, before, delta.revision.epoch);
        let has_changes = apply_records(cx, delta);
        if has_changes || is_new_epoch {
            // Peers can now fetch the delta from this instance and should learn so at once.
            cx.state().announce();
            cx.gossip_due.notify_one();
        }
    }
    if let Some(record) = catalogue {
        apply_peer_catalogue(cx, record);
    }
}

fn follow_epoch<W: Wire>(cx: &Cx<W>, before: Revision, epoch: Epoch) {
    let now = cx.now();
    let from = cx.state().observe_peer_epoch(now, epoch);
    if let Some(from) = from.filter(|_| before != Revision::ZERO) {
        log_epoch_change(from, epoch, "peer", before);
    }
}

/// Applies the records of a delta; returns whether any changed.
fn apply_records<W: Wire>(cx: &Cx<W>, delta: StoreDelta) -> bool {
    let revision = delta.revision;
    if !delta.is_full {
        let has_changes = apply(cx, Source::Peer, delta.records);
        cx.state().replica.advance_to(revision);
        return has_changes;
    }
    let existing = delta.existing_keys();
    let has_changes = apply(cx, Source::Peer, delta.records);
    finish_full_read(cx, Source::Peer, Some(&existing), revision);
    has_changes
}

/// Puts a peer's catalogue in force that is newer than the store's.
fn apply_peer_catalogue<W: Wire>(cx: &Cx<W>, record: Record) {
    let Published::Catalogue(source) = cx.wire.decode(&record) else {
        log::warn!("a peer sent a catalogue that cannot be parsed");
        return;
    };
    if apply_catalogue(cx, Source::Peer, source) {
        cx.state().retain_catalogue(record);
        cx.replica_changed.notify_waiters();
    }
}

/// Fetches the records of the store that a peer knows beyond those of `request`.
///
/// # Errors
///
/// Fails if the peer cannot be reached, falls silent or refuses, or if its reply cannot be decoded.
/// The total duration is not bounded while data keeps arriving; the caller must bound it.
pub async fn fetch(peer: SocketAddrV4, request: DeltaRequest) -> Result<StoreDelta, FetchError> {
    let silent = |_| FetchError::Silent(SILENCE_TIMEOUT);
    let mut stream = timeout(SILENCE_TIMEOUT, connect_socket(peer, None))
        .await
        .map_err(silent)??;
    stream.write_u64(request.after.number).await?;
    stream.write_u64(request.after.epoch.0).await?;
    stream.write_u64(request.catalogue).await?;
    let mut bytes = Vec::new();
    while bytes.len() <= format::MAX_DELTA_BYTES {
        let read = timeout(SILENCE_TIMEOUT, stream.read_buf(&mut bytes));
        if read.await.map_err(silent)?? == 0 {
            break;
        }
    }
    if bytes.is_empty() {
        return Err(FetchError::Refused);
    }
    Ok(format::decode(&bytes)?)
}

/// The bytes that a request for a delta has.
const REQUEST_BYTES: usize = 24;

// A connection is one for requests if it begins with as many bytes of another protocol.
const _: () = assert!(PREFACE.len() == REQUEST_BYTES);

async fn read_request(mut bytes: &[u8]) -> io::Result<DeltaRequest> {
    let number = bytes.read_u64().await?;
    let epoch = Epoch(bytes.read_u64().await?);
    Ok(DeltaRequest {
        after: Revision { epoch, number },
        catalogue: bytes.read_u64().await?,
    })
}

/// Accepts connections of peers: for deltas, and for requests of callers that a peer passes on.
/// Never returns.
pub async fn serve_peers<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    listener: TcpListener,
    tasks: TaskTracker,
) {
    let connections = Connections::new("peers", cx.limits.connections.peers);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let used = SimpleConnection::new();
                let Some(open) = connections.open(Arc::clone(&used)) else {
                    // Its peer asks another one.
                    continue;
                };
                let (cx, engines, tasks) = (Arc::clone(&cx), engines.clone(), tasks.clone());
                tokio::spawn(async move {
                    let _open = open;
                    tokio::select! {
                        () = serve_connection(cx, engines, stream, from, tasks, &used) => {}
                        () = used.evicted() => {}
                    }
                });
                if connections.is_full() {
                    // Evicted connections end before others are accepted.
                    tokio::task::yield_now().await;
                }
            }
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// How serving a delta ended.
enum DeltaTransfer {
    /// A small delta was sent, or the peer was refused.
    Small,
    /// The peer read a large delta of this many bytes on the wire.
    Large(usize),
}

/// Tells by its first bytes what a connection is for.
async fn serve_connection<W: Wire, E: EngineCalls>(
    cx: Arc<Cx<W>>,
    engines: E,
    mut stream: TcpStream,
    from: SocketAddr,
    tasks: TaskTracker,
    used: &Arc<SimpleConnection>,
) {
    let mut first = [0; REQUEST_BYTES];
    match timeout(TRANSFER_TIMEOUT, stream.read_exact(&mut first)).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => return log::debug!("connection of the peer {from} failed: {error}"),
        Err(_) => return log::debug!("the peer {from} sent no request"),
    }
    if first != *PREFACE {
        let _served = used.begin_request();
        return serve_delta(&cx, &first, stream, from).await;
    }
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a peer connection: {error}");
    }
    let (rx, tx) = stream.into_split();
    let io = tokio::io::join(PREFACE.as_slice().chain(rx), tx);
    server::serve(cx, engines, io, from, tasks, used).await;
}

async fn serve_delta<W: Wire>(
    cx: &Arc<Cx<W>>,
    request: &[u8],
    stream: TcpStream,
    from: SocketAddr,
) {
    let started = Instant::now();
    let (how, bytes) = match timeout(TRANSFER_TIMEOUT, send_delta(cx, request, stream)).await {
        Ok(Ok(DeltaTransfer::Small)) => return,
        Ok(Ok(DeltaTransfer::Large(bytes))) => ("read", bytes),
        Ok(Err(error)) => {
            log::debug!("sending a delta to {from} failed: {error}");
            ("broken", 0)
        }
        Err(_) => ("unread", 0),
    };
    log_event!(
        DeltaSent,
        peer:% = from,
        how = how,
        bytes = bytes,
        ms = millis(started.elapsed()),
        at_once = cx.open_count(OpenKind::LargeTransfer)
    );
}

/// Sends the delta, unless it is large and too many large transfers are in progress.
async fn send_delta<W: Wire>(
    cx: &Arc<Cx<W>>,
    request: &[u8],
    mut stream: TcpStream,
) -> io::Result<DeltaTransfer> {
    let request = read_request(request).await?;
    let size = cx.state().delta_size(request);
    if size <= LARGE_DELTA_BYTES {
        let bytes = encode(cx, request)?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
        return Ok(DeltaTransfer::Small);
    }
    let Some(_telling) = cx.begin_large_transfer(MAX_LARGE_TRANSFERS) else {
        return Ok(DeltaTransfer::Small);
    };
    let bytes = encode(cx, request)?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
    // Written bytes may still be in flight. The peer closes its end when it has read everything.
    match stream.read(&mut [0]).await? {
        0 => Ok(DeltaTransfer::Large(bytes.len())),
        _ => Err(io::Error::new(
            ErrorKind::InvalidData,
            "the peer sent more than a request",
        )),
    }
}

fn encode<W: Wire>(cx: &Cx<W>, request: DeltaRequest) -> io::Result<Vec<u8>> {
    let delta = cx.state().delta_for(request);
    format::encode(&delta).map_err(io::Error::other)
}
