//! Datagrams that instances send each other.
//!
//! The core decides what to send to whom and when ([`Gateway::tick`], [`Gateway::on_datagram`]).
//! Records of the store do not fit a datagram and are fetched over TCP: [`catch_up`].
//!
//! [`catch_up`]: crate::catch_up
//! [`Gateway::tick`]: oriolemux_core::gateway::Gateway::tick
//! [`Gateway::on_datagram`]: oriolemux_core::gateway::Gateway::on_datagram

use crate::cx::Cx;
use crate::log_event;
use crate::meters::{ByReason, millis};
use crate::ports::Wire;
use crate::store::{Source, lift_missing_cordons};
use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use oriolemux_core::gateway::state::{GOSSIP_DELAY, TICK};
use oriolemux_core::gateway::{Body, Datagram};
use std::net::SocketAddrV4;
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// The largest datagram that is sent and received. A larger one would be split into more fragments,
/// each of which may be lost.
const MAX_DATAGRAM: usize = 16 * 1024;

fn datagram_format() -> Configuration<LittleEndian, Varint, Limit<MAX_DATAGRAM>> {
    standard().with_limit::<MAX_DATAGRAM>()
}

/// Sends what is due to peers. Never returns.
pub async fn send_loop<W: Wire>(cx: Arc<Cx<W>>, socket: Arc<UdpSocket>) {
    loop {
        let tick = cx.state().tick_interval();
        if timeout(tick.min(TICK), cx.gossip_due.notified())
            .await
            .is_ok()
        {
            sleep(GOSSIP_DELAY).await;
        }
        let now = cx.now();
        let ticked = cx.state().tick(now);
        cx.announce_leaving(&ticked.leaving);
        for endpoint in ticked.backoffs_ended {
            let name = cx.endpoint_name(endpoint);
            log_event!(BackoffEnded, endpoint = name.as_str());
        }
        for ejection in ticked.home_ejections {
            let name = cx.endpoint_name(ejection.engine);
            log_event!(
                EjectedByHome,
                endpoint = name.as_str(),
                reporters = ejection.reporters,
                ms = millis(ejection.duration)
            );
        }
        for change in ticked.risk_changes {
            let name = cx.endpoint_name(change.engine);
            log_event!(
                EngineRiskChanged,
                endpoint = name.as_str(),
                before = change.before.label(),
                after = change.after.label(),
                typical_ms = change.typical_ms,
                stall_percent = change.stall_percent,
                stalled_ms = change.stalled_ms,
                target_ms = change.target_ms,
                gaps = change.gaps,
                changed = change.changed,
                risky = change.risky,
                engines = change.engines
            );
        }
        for peer in ticked.silent {
            log_event!(PeerGone, peer:% = peer);
        }
        let overdue = cx.state().overdue_cordons(now);
        if !overdue.is_empty() {
            lift_missing_cordons(&cx, Source::Store, &overdue);
        }
        if cx.state().is_behind() {
            cx.catch_up_due.notify_one();
        }
        if ticked.decided {
            cx.decided.notify_waiters();
        }
        if ticked.suspects_changed {
            cx.announce_suspects();
        }
        send_all(&cx, &socket, ticked.send).await;
    }
}

/// Receives datagrams of peers. Never returns.
pub async fn receive_loop<W: Wire>(cx: Arc<Cx<W>>, socket: Arc<UdpSocket>) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let (length, from) = match socket.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("receiving a datagram failed: {error}");
                continue;
            }
        };
        let decoded =
            bincode::serde::decode_from_slice::<Datagram, _>(&buf[..length], datagram_format());
        match decoded {
            Ok((datagram, _)) => on_datagram(&cx, &socket, datagram).await,
            Err(error) => {
                log::debug!("cannot decode a datagram from {from}: {error}");
                log_dropped(from, "unreadable");
            }
        }
    }
}

async fn on_datagram<W: Wire>(cx: &Cx<W>, socket: &UdpSocket, datagram: Datagram) {
    let now = cx.now();
    let (from, incarnation) = (datagram.from.address, datagram.from.incarnation);
    let received = cx.state().on_datagram(now, datagram);
    let received = match received {
        Ok(received) => received,
        Err(why) => return log_dropped(from, why.label()),
    };
    cx.announce_leaving(&received.leaving);
    for (cordon, effect) in &received.cordons {
        cx.announce_cordon(cordon, *effect, Source::Peer);
    }
    for change in &received.limits {
        cx.announce_limit(change, Source::Peer);
    }
    if received.is_new {
        log_event!(PeerJoined, peer:% = from, incarnation = incarnation.0);
    }
    for peer in received.gone {
        log_event!(PeerGone, peer:% = peer);
    }
    if cx.state().is_behind() {
        cx.catch_up_due.notify_one();
    }
    if received.gossip_soon {
        cx.gossip_due.notify_one();
    }
    if received.decided {
        cx.decided.notify_waiters();
    }
    if received.suspects_changed {
        cx.announce_suspects();
    }
    send_all(cx, socket, received.send).await;
}

fn log_dropped(from: impl core::fmt::Display, why: &str) {
    ByReason::DatagramsDropped.add(why);
    log_event!(DatagramDropped, peer:% = from, why = why);
}

async fn send_all<W: Wire>(cx: &Cx<W>, socket: &UdpSocket, send: Vec<(SocketAddrV4, Body)>) {
    let mut buf = Vec::new();
    for (to, body) in send {
        let purpose = body.purpose();
        let now = cx.now();
        let datagram = cx.state().datagram(now, body);
        buf.clear();
        let written = bincode::serde::encode_into_std_write(&datagram, &mut buf, datagram_format());
        if let Err(error) = written {
            log::error!("cannot encode a datagram for {purpose}: {error}");
            continue;
        }
        cx.record_sent(purpose, buf.len());
        if let Err(error) = socket.send_to(&buf, to).await {
            log::debug!("sending a datagram to {to} failed: {error}");
        }
    }
}
