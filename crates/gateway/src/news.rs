//! What instances tell each other unasked: bulletins by datagram.
//!
//! Bulletins go to every peer known, at once when something changed, and else after
//! an interval that grows with the number of peers. What does not fit a bulletin, the
//! records of the store, is asked for: [`catch_up`](crate::catch_up).

use crate::cx::Cx;
use crate::note;
use crate::ports::Wire;
use bincode::config::{Configuration, Limit, standard};
use oriolemux_core::gateway::Bulletin;
use oriolemux_core::gateway::state::BULLETIN_DELAY;
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep_until};

/// The largest datagram that is sent and read. More would be cut into fragments,
/// of which each may be lost.
const MAX_DATAGRAM: usize = 16 * 1024;

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
            if state.is_behind() {
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
        let behind = state.is_behind();
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
