//! Fetches missed records of the store from peers, and serves them.
//!
//! The request is the revision up to which the sender has all records, over TCP on the port number
//! of the datagrams. The reply is a delta with all later records, compressed if it is large
//! ([`mod@format`]). An empty reply is a refusal: the peer serves others at the moment. The core
//! decides whom to ask and how many may be served at once ([`core::gateway::catch_up`]).
//!
//! [`core::gateway::catch_up`]: oriolemux_core::gateway::catch_up

pub mod format;

use crate::cx::{Cx, OpenKind};
use crate::link::connect_socket;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::Wire;
use crate::store::{Source, apply, finish_full_read};
use core::time::Duration;
use format::FormatError;
use oriolemux_core::gateway::catch_up::{FetchFailure, LARGE_DELTA_BYTES, MAX_LARGE_TRANSFERS};
use oriolemux_core::gateway::replica::StoreDelta;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

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
    let after = cx.state().replica.revision();
    let fetched = tokio::select! {
        fetched = fetch(peer, after) => fetched,
        // The store or another peer delivered the records meanwhile.
        () = no_longer_behind(cx) => return,
    };
    let ms = millis(started.elapsed());
    let now = cx.now();
    match fetched {
        Ok(delta) => {
            ByReason::PeerAnswers.add("told");
            log_event!(DeltaReceived, peer:% = peer, revision = delta.revision, whole = delta.is_full,
                records = delta.records.len(), ms = ms);
            apply_delta(cx, delta);
        }
        Err(error) => {
            ByReason::PeerAnswers.add(error.label());
            cx.state()
                .on_fetch_failure(now, peer, error.fetch_failure());
            log_event!(DeltaFetchFailed, peer:% = peer, why = error.label(), revision = after, ms = ms);
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

fn apply_delta<W: Wire>(cx: &Cx<W>, delta: StoreDelta) {
    let seen: BTreeMap<String, ()> = match delta.is_full {
        true => delta
            .records
            .iter()
            .map(|it| (it.key.clone(), ()))
            .collect(),
        false => BTreeMap::new(),
    };
    let has_changes = apply(cx, Source::Peer, delta.records);
    if delta.is_full {
        finish_full_read(cx, Source::Peer, &seen, delta.revision);
    } else {
        cx.state().replica.advance_to(delta.revision);
    }
    if has_changes {
        // Peers can now fetch the delta from this instance and should learn so at once.
        cx.state().announce();
        cx.gossip_due.notify_one();
    }
}

/// Fetches a peer's records of the store above revision `after`.
///
/// # Errors
///
/// Fails if the peer cannot be reached, falls silent or refuses, or if its reply cannot be decoded.
/// The total duration is not bounded while data keeps arriving; the caller must bound it.
pub async fn fetch(peer: SocketAddrV4, after: u64) -> Result<StoreDelta, FetchError> {
    let silent = |_| FetchError::Silent(SILENCE_TIMEOUT);
    let mut stream = timeout(SILENCE_TIMEOUT, connect_socket(peer))
        .await
        .map_err(silent)??;
    stream.write_u64(after).await?;
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

/// Serves deltas to peers that request them. Never returns.
pub async fn serve_deltas<W: Wire>(cx: Arc<Cx<W>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let cx = Arc::clone(&cx);
                tokio::spawn(async move { serve_peer(&cx, stream, from).await });
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

async fn serve_peer<W: Wire>(cx: &Arc<Cx<W>>, stream: TcpStream, from: SocketAddr) {
    let started = Instant::now();
    let (how, bytes) = match timeout(TRANSFER_TIMEOUT, send_delta(cx, stream)).await {
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
async fn send_delta<W: Wire>(cx: &Arc<Cx<W>>, mut stream: TcpStream) -> io::Result<DeltaTransfer> {
    let after = stream.read_u64().await?;
    let size = cx.state().replica.delta_size(after);
    if size <= LARGE_DELTA_BYTES {
        let bytes = encode(cx, after)?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
        return Ok(DeltaTransfer::Small);
    }
    let Some(_telling) = cx.begin_large_transfer(MAX_LARGE_TRANSFERS) else {
        return Ok(DeltaTransfer::Small);
    };
    let bytes = encode(cx, after)?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
    // Written bytes may still be in flight. The peer closes its end when it has read everything.
    stream.read_to_end(&mut Vec::new()).await?;
    Ok(DeltaTransfer::Large(bytes.len()))
}

fn encode<W: Wire>(cx: &Cx<W>, after: u64) -> io::Result<Vec<u8>> {
    let delta = cx.state().replica.delta_since(after);
    format::encode(&delta).map_err(io::Error::other)
}
