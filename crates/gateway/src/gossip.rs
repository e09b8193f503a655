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
use crate::meters::{ByReason, Histogram, millis};
use crate::ports::Wire;
use crate::store::{Source, lift_missing_cordons};
use bincode::config::{Configuration, Limit, LittleEndian, Varint, standard};
use oriolemux_core::gateway::home::HomeRejection;
use oriolemux_core::gateway::state::{GOSSIP_DELAY, TICK};
use oriolemux_core::gateway::{Body, Datagram};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

/// The largest datagram that is sent and received. A larger one would be split into more fragments,
/// each of which may be lost.
const MAX_DATAGRAM: usize = 16 * 1024;

/// How many datagrams are applied before the home of a service decides about its requests. Its
/// decisions take longer than applying a report; a burst of reports that is decided one by one
/// fills the socket's buffer. The bound keeps the time short within which callers are not served.
const MAX_BATCH: usize = 64;

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
        cx.announce_absent(&ticked.absent);
        for endpoint in ticked.returned {
            cx.announce_returned(endpoint);
        }
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
        for rejection in ticked.home_rejections {
            log_rejection(&rejection);
        }
        for error in ticked.forecast_errors {
            Histogram::ForecastError.record(error);
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

fn log_rejection(rejection: &HomeRejection) {
    ByReason::HomeRejections.add(&rejection.reason.to_string());
    ByReason::HomeRejectionPriorities.add(&rejection.priority.to_string());
    log_event!(
        RejectedByForecast,
        instance:% = rejection.instance,
        request = rejection.request,
        reason:% = rejection.reason,
        workspace = rejection.workspace,
        priority = rejection.priority,
        need = rejection.tokens,
        waited_ms = millis(rejection.waited),
        wait_ms = millis(rejection.prediction.wait),
        ahead = rejection.prediction.ahead,
        per_second = rejection.prediction.rate
    );
}

/// Receives datagrams of peers. Never returns.
///
/// All datagrams that the socket's buffer holds are applied before this instance decides as a home.
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
        let mut send = on_bytes(&cx, &buf[..length], from);
        let mut batch = 1;
        while batch < MAX_BATCH
            && let Ok((length, from)) = socket.try_recv_from(&mut buf)
        {
            send.append(&mut on_bytes(&cx, &buf[..length], from));
            batch += 1;
        }
        let now = cx.now();
        let mut decisions = cx.state().decide_pending(now);
        if decisions.decided {
            cx.decided.notify_waiters();
        }
        send.append(&mut decisions.send);
        send_all(&cx, &socket, send).await;
        if batch == MAX_BATCH {
            // More are waiting, and requests of callers must not wait for all of them.
            tokio::task::yield_now().await;
        }
    }
}

/// Applies a datagram; returns the messages to send.
fn on_bytes<W: Wire>(cx: &Cx<W>, bytes: &[u8], from: SocketAddr) -> Vec<(SocketAddrV4, Body)> {
    match bincode::serde::decode_from_slice::<Datagram, _>(bytes, datagram_format()) {
        Ok((datagram, _)) => on_datagram(cx, datagram),
        Err(error) => {
            log::debug!("cannot decode a datagram from {from}: {error}");
            log_dropped(from, "unreadable");
            Vec::new()
        }
    }
}

fn on_datagram<W: Wire>(cx: &Cx<W>, datagram: Datagram) -> Vec<(SocketAddrV4, Body)> {
    let now = cx.now();
    let (from, incarnation) = (datagram.from.address, datagram.from.incarnation);
    let received = cx.state().on_datagram(now, datagram);
    let received = match received {
        Ok(received) => received,
        Err(why) => {
            log_dropped(from, why.label());
            return Vec::new();
        }
    };
    cx.announce_leaving(&received.leaving);
    for (cordon, effect) in &received.cordons {
        cx.announce_cordon(cordon, *effect, Source::Peer);
    }
    for change in &received.limits {
        cx.announce_limit(change, Source::Peer);
    }
    for change in &received.brittle {
        cx.announce_brittle(change, Source::Peer);
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
    received.send
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
