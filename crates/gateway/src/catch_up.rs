//! Records of the store from peer to peer: asked for by who missed them.
//!
//! The question is the revision up to which the asker knows everything, over TCP on the
//! port of the datagrams; the answer is what came after it, in one piece, compressed where
//! it is large ([`mod@format`]). An answer of no bytes is a refusal: the peer tells others at
//! the moment. The core says whom to ask and how many may be told at once
//! ([`core::gateway::catch_up`]).
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
use oriolemux_core::gateway::catch_up::{LARGE_NEWS, MAX_LARGE_TOLD, NotTold};
use oriolemux_core::gateway::replica::News;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout};

/// How long a peer may take to read what it asked for. One that takes longer holds up
/// others, and reads the store meanwhile.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(3);

/// An answer of which nothing came for so long does not come.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(700);

/// The purpose under which answers are counted.
const STORE_DELTA_PURPOSE: &str = "store_news";

/// How long to wait before another connection is accepted where one could not be.
const ACCEPT_PAUSE: Duration = Duration::from_millis(2);

/// Why a peer did not tell what it knows.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// the connection failed: {0}
    Connection(#[from] io::Error),
    /// nothing came for {0:?}
    Silent(Duration),
    /// the peer tells others at the moment
    Refused,
    /// the answer cannot be read: {0}
    Format(#[from] FormatError),
}

impl FetchError {
    /// Returns a word for it, which lines and counters carry.
    pub const fn label(&self) -> &'static str {
        match self {
            FetchError::Connection(_) => "connection",
            FetchError::Silent(_) => "silent",
            FetchError::Refused => "refused",
            FetchError::Format(_) => "format",
        }
    }

    const fn fetch_failure(&self) -> NotTold {
        match self {
            FetchError::Refused => NotTold::Refused,
            _ => NotTold::Failed,
        }
    }
}

/// Asks peers whenever one knows more, for good.
pub async fn catch_up<W: Wire>(cx: Arc<Cx<W>>) {
    loop {
        cx.catch_up_due.notified().await;
        let peer = cx.state().better_informed(cx.now());
        if let Some(peer) = peer {
            fetch_from(&cx, peer).await;
        }
    }
}

async fn fetch_from<W: Wire>(cx: &Cx<W>, peer: SocketAddrV4) {
    let begun = Instant::now();
    let after = cx.state().replica.revision();
    let fetched = tokio::select! {
        fetched = fetch(peer, after) => fetched,
        // The store, or another peer, made the question pointless.
        () = no_longer_behind(cx) => return,
    };
    let ms = millis(begun.elapsed());
    let now = cx.now();
    match fetched {
        Ok(delta) => {
            ByReason::PeerAnswers.add("told");
            log_event!(DeltaReceived, peer:% = peer, revision = delta.revision, whole = delta.whole,
                records = delta.records.len(), ms = ms);
            apply_delta(cx, delta);
        }
        Err(error) => {
            ByReason::PeerAnswers.add(error.label());
            cx.state().not_told(now, peer, error.fetch_failure());
            log_event!(DeltaFetchFailed, peer:% = peer, why = error.label(), revision = after, ms = ms);
        }
    }
    cx.state().note_behind(cx.now());
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

fn apply_delta<W: Wire>(cx: &Cx<W>, delta: News) {
    let seen: BTreeMap<String, ()> = match delta.whole {
        true => delta
            .records
            .iter()
            .map(|it| (it.key.clone(), ()))
            .collect(),
        false => BTreeMap::new(),
    };
    let has_changes = apply(cx, Source::Peer, delta.records);
    if delta.whole {
        finish_full_read(cx, Source::Peer, &seen, delta.revision);
    } else {
        cx.state().replica.reached(delta.revision);
    }
    if has_changes {
        // Who was told can tell it on, and the others must hear so at once.
        cx.state().announce();
        cx.gossip_due.notify_one();
    }
}

/// Asks a peer for what it knows of the store above revision `after`.
///
/// # Errors
///
/// Fails if the peer cannot be reached, falls silent or refuses, or if its answer cannot
/// be read. How long an answer takes as long as it comes is the caller's to bound.
pub async fn fetch(peer: SocketAddrV4, after: u64) -> Result<News, FetchError> {
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

/// Answers peers that ask what was published, for good.
pub async fn serve_deltas<W: Wire>(cx: Arc<Cx<W>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let cx = Arc::clone(&cx);
                tokio::spawn(async move { serve_peer(&cx, stream, from).await });
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// How the telling of a peer ended.
enum DeltaTransfer {
    /// It was told something small, or refused.
    Small,
    /// It read all of so many bytes on the wire.
    Large(usize),
}

async fn serve_peer<W: Wire>(cx: &Arc<Cx<W>>, stream: TcpStream, from: SocketAddr) {
    let begun = Instant::now();
    let (how, bytes) = match timeout(TRANSFER_TIMEOUT, send_delta(cx, stream)).await {
        Ok(Ok(DeltaTransfer::Small)) => return,
        Ok(Ok(DeltaTransfer::Large(bytes))) => ("read", bytes),
        Ok(Err(error)) => {
            log::debug!("{from} was not told: {error}");
            ("broken", 0)
        }
        Err(_) => ("unread", 0),
    };
    log_event!(
        DeltaSent,
        peer:% = from,
        how = how,
        bytes = bytes,
        ms = millis(begun.elapsed()),
        at_once = cx.open_count(OpenKind::LargeTransfer)
    );
}

/// Tells all that the peer has not, unless that is much and others are being told.
async fn send_delta<W: Wire>(cx: &Arc<Cx<W>>, mut stream: TcpStream) -> io::Result<DeltaTransfer> {
    let after = stream.read_u64().await?;
    let size = cx.state().replica.news_size(after);
    if size <= LARGE_NEWS {
        let bytes = encode(cx, after)?;
        stream.write_all(&bytes).await?;
        stream.shutdown().await?;
        cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
        return Ok(DeltaTransfer::Small);
    }
    let Some(_telling) = cx.begin_large_transfer(MAX_LARGE_TOLD) else {
        return Ok(DeltaTransfer::Small);
    };
    let bytes = encode(cx, after)?;
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    cx.record_sent(STORE_DELTA_PURPOSE, bytes.len());
    // What is written may still be on the way. The peer closes when it has read it all.
    stream.read_to_end(&mut Vec::new()).await?;
    Ok(DeltaTransfer::Large(bytes.len()))
}

fn encode<W: Wire>(cx: &Cx<W>, after: u64) -> io::Result<Vec<u8>> {
    let delta = cx.state().replica.news_for(after);
    format::encode(&delta).map_err(io::Error::other)
}
