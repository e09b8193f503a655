//! What instances tell each other: bulletins by datagram, records on request.
//!
//! Bulletins go to every peer known, at once when something changed, and else after
//! an interval that grows with the number of peers. A peer that missed what the store published reads
//! it over TCP on the same port, in one answer.

use crate::cx::{Cx, Open};
use crate::link::connect_socket;
use crate::meters::millis;
use crate::note;
use crate::ports::Wire;
use bincode::config::{Configuration, Limit, standard};
use oriolemux_core::gateway::Bulletin;
use oriolemux_core::gateway::replica::News;
use oriolemux_core::gateway::state::BULLETIN_DELAY;
use std::io;
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::time::{Instant, sleep_until, timeout};

/// The largest datagram that is sent and read. More would be cut into fragments,
/// of which each may be lost.
const MAX_DATAGRAM: usize = 16 * 1024;

/// The largest answer of a peer: a store of the size that is designed for, twice.
const MAX_TOLD: usize = 64 * 1024 * 1024;

/// How long a peer may take to read what it asked for.
const TELL_LIMIT: core::time::Duration = core::time::Duration::from_secs(3);

/// An answer above this size is told in a line of its own. Records of some endpoints
/// take less, a catalogue takes more.
const LARGE_ANSWER: usize = 4 * 1024;

/// Why a peer could not be asked.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum FetchError {
    /// the connection failed: {0}
    Connection(#[from] io::Error),
    /// the answer cannot be read: {0}
    Format(#[from] bincode::error::DecodeError),
}

impl FetchError {
    /// Returns a word for it, which lines and counters carry.
    pub const fn word(&self) -> &'static str {
        match self {
            FetchError::Connection(_) => "connection",
            FetchError::Format(_) => "format",
        }
    }
}

fn told_format()
-> Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<MAX_TOLD>> {
    standard().with_limit::<MAX_TOLD>()
}

fn datagram_format()
-> Configuration<bincode::config::LittleEndian, bincode::config::Varint, Limit<MAX_DATAGRAM>> {
    standard().with_limit::<MAX_DATAGRAM>()
}

/// Tells peers, for good.
pub async fn tell<W: Wire>(cx: Arc<Cx<W>>, socket: Arc<UdpSocket>) {
    let mut buf = Vec::new();
    loop {
        let interval = cx.state().bulletin_interval(cx.now());
        let due = Instant::now() + interval;
        tokio::select! {
            () = sleep_until(due) => {}
            () = cx.dirty.notified() => tokio::time::sleep(BULLETIN_DELAY).await,
        }
        let now = cx.now();
        let (bulletin, peers) = {
            let mut state = cx.state();
            let ticked = state.tick(now);
            if state.better_informed(now).is_some() {
                cx.behind.notify_one();
            }
            let bulletin = state.bulletin(now);
            let peers: Vec<SocketAddrV4> = state.peers.addresses().collect();
            drop(state);
            cx.tell_leaving(&ticked.leaving);
            for peer in ticked.silent {
                note!(PeerSilent, peer:% = peer);
            }
            (bulletin, peers)
        };
        buf.clear();
        if let Err(error) =
            bincode::serde::encode_into_std_write(&bulletin, &mut buf, datagram_format())
        {
            log::error!("a bulletin cannot be written: {error}");
            continue;
        }
        for peer in peers {
            if let Err(error) = socket.send_to(&buf, peer).await {
                log::debug!("peer {peer} cannot be told: {error}");
            }
        }
    }
}

/// Hears peers, for good.
pub async fn hear<W: Wire>(cx: Arc<Cx<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("no datagram: {error}");
                continue;
            }
        };
        let decoded =
            bincode::serde::decode_from_slice::<Bulletin, _>(&buf[..length], datagram_format());
        let bulletin = match decoded {
            Ok((bulletin, _)) => bulletin,
            Err(error) => {
                log::debug!("a datagram from {from} is no bulletin: {error}");
                continue;
            }
        };
        let now = cx.now();
        let mut state = cx.state();
        let heard = state.hear(now, &bulletin);
        let behind = state.better_informed(now).is_some();
        drop(state);
        cx.tell_leaving(&heard.leaving);
        if heard.is_new {
            note!(PeerHeard, peer:% = bulletin.address, incarnation = bulletin.incarnation.0);
        }
        if behind {
            cx.behind.notify_one();
        }
        cx.changed.notify_waiters();
    }
}

/// Answers peers that ask what was published, for good.
pub async fn answer<W: Wire>(cx: Arc<Cx<W>>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let cx = Arc::clone(&cx);
                tokio::spawn(async move {
                    let telling = cx.count(Open::Telling);
                    tell_peer(&cx, stream, from).await;
                    drop(telling);
                });
            }
            Err(error) => {
                log::warn!("cannot accept a peer: {error}");
                tokio::time::sleep(BULLETIN_DELAY).await;
            }
        }
    }
}

async fn tell_peer<W: Wire>(cx: &Cx<W>, stream: TcpStream, from: SocketAddr) {
    let begun = Instant::now();
    let told = timeout(TELL_LIMIT, tell_all(cx, stream)).await;
    let (how, bytes) = match told {
        Ok(Ok(bytes)) if bytes <= LARGE_ANSWER => return,
        Ok(Ok(bytes)) => ("read", bytes),
        Ok(Err(error)) => {
            log::debug!("{from} was not told: {error}");
            ("broken", 0)
        }
        Err(_) => ("unread", 0),
    };
    note!(
        ToldPeer,
        peer:% = from,
        how = how,
        bytes = bytes,
        ms = millis(begun.elapsed()),
        at_once = cx.open(Open::Telling)
    );
}

/// Tells all that the peer has not; returns how many bytes that took.
async fn tell_all<W: Wire>(cx: &Cx<W>, mut stream: TcpStream) -> io::Result<usize> {
    let after = stream.read_u64().await?;
    let news = cx.state().replica.news_for(after);
    let bytes = bincode::serde::encode_to_vec(&news, told_format()).map_err(io::Error::other)?;
    drop(news);
    stream.write_all(&bytes).await?;
    stream.shutdown().await?;
    Ok(bytes.len())
}

/// Asks a peer for what it knows of the store above revision `after`.
///
/// # Errors
///
/// Fails if the peer cannot be reached or its answer cannot be read.
pub async fn fetch(peer: SocketAddrV4, after: u64) -> Result<News, FetchError> {
    let mut stream = connect_socket(peer).await?;
    stream.write_u64(after).await?;
    let mut bytes = Vec::new();
    stream.take(MAX_TOLD as u64).read_to_end(&mut bytes).await?;
    let (news, _) = bincode::serde::decode_from_slice(&bytes, told_format())?;
    Ok(news)
}
