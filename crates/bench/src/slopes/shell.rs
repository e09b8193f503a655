//! What the shell adds to the decisions: links and load polls over sockets.
//!
//! The side that is measured runs on a thread of its own, whose processor time
//! is read; the other side and the forwarder that counts bytes run elsewhere.

use super::cost::thread_time;
use super::counter::forward;
use super::fit::Point;
use super::subject::frame_bytes;
use core::future::Future;
use core::time::Duration;
use oriolemux::callers::port::Clock;
use oriolemux::endpoints::polls::POLLS_PER_CACHE;
use oriolemux::endpoints::{EndpointProtocol, HttpProtocol, HttpSettings};
use oriolemux::peers::{PeerEvent, Peers, PeersConfig, PeersHandle};
use oriolemux::settings::Secret;
use oriolemux_core::cell::CellMessage;
use oriolemux_core::cell::message::Checkpoint;
use oriolemux_core::event::{EndpointTarget, PeerTarget};
use oriolemux_core::ids::{EndpointKey, Incarnation, InstanceKey};
use oriolemux_core::peer::{PeerEnvelope, PeerMessage};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc as std_mpsc;
use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval, sleep};

const SECRET: &[u8] = b"the secret of a measurement";
/// Time between two messages of a busy link.
const MESSAGE_GAP: Duration = Duration::from_millis(4);
/// Time between two polls of a busy poller.
const POLL_GAP: Duration = Duration::from_millis(5);
/// Events that may wait for whoever reads a link's events.
const EVENT_ROOM: usize = 256;
/// How long a link may take to come up.
const UP_LIMIT: Duration = Duration::from_secs(10);

/// What something cost on sockets. The bytes of a link's own messages are left
/// out, because they are counted with the requests that cause them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct SocketCost {
    pub units: f64,
    pub micros: f64,
    pub bytes: f64,
}

impl SocketCost {
    pub fn point(&self, cost: fn(&SocketCost) -> f64) -> Point {
        Point {
            x: self.units,
            y: cost(self),
        }
    }
}

/// Returns what so many messages cost the side that sends half of them and
/// receives the other half.
pub(super) fn link_messages(messages: u32) -> io::Result<SocketCost> {
    on_thread(async move {
        let mut link = Link::start().await?;
        let bytes = link.bytes();
        let before = thread_time();
        let mut ticks = interval(MESSAGE_GAP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for number in 0..messages / 2 {
            ticks.tick().await;
            link.near.send(link.far, &envelope(number));
            link.next_envelope().await?;
        }
        Ok(SocketCost {
            units: f64::from(messages),
            micros: micros_since(before),
            bytes: (link.bytes() - bytes) as f64 - frames(messages / 2 * 2),
        })
    })
}

/// Returns what a link with hardly any traffic costs in `time`: one message a
/// second keeps it in use.
pub(super) fn quiet_link(time: Duration) -> io::Result<SocketCost> {
    on_thread(async move {
        let mut link = Link::start().await?;
        let bytes = link.bytes();
        let before = thread_time();
        for number in 0..time.as_secs() as u32 {
            link.near.send(link.far, &envelope(number));
            link.next_envelope().await?;
            sleep(Duration::from_secs(1)).await;
        }
        Ok(SocketCost {
            units: time.as_secs_f64(),
            micros: micros_since(before),
            bytes: (link.bytes() - bytes) as f64 - frames(time.as_secs() as u32 * 2),
        })
    })
}

/// Returns what so many polls of an endpoint's load and cache events cost.
pub(super) fn load_polls(polls: u32, engine: SocketAddr) -> io::Result<SocketCost> {
    on_thread(async move {
        let (address, count) = elsewhere(move || forward(engine))?;
        let protocol =
            HttpProtocol::new(Clock::start(), HttpSettings::default()).map_err(io::Error::other)?;
        let target = EndpointTarget {
            key: EndpointKey::of("engine"),
            name: "engine".to_owned(),
            address,
        };
        poll(&protocol, &target, 0).await?;
        let bytes = count.load(Ordering::Relaxed);
        let before = thread_time();
        let mut ticks = interval(POLL_GAP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        for number in 0..polls {
            ticks.tick().await;
            poll(&protocol, &target, number).await?;
        }
        Ok(SocketCost {
            units: f64::from(polls),
            micros: micros_since(before),
            bytes: (count.load(Ordering::Relaxed) - bytes) as f64,
        })
    })
}

/// Polls as a node does: cache events come with some of the polls only.
async fn poll(protocol: &HttpProtocol, target: &EndpointTarget, number: u32) -> io::Result<()> {
    protocol.load(target).await.map_err(io::Error::other)?;
    if !number.is_multiple_of(POLLS_PER_CACHE) {
        return Ok(());
    }
    let events = protocol.cache_events(target, 0).await;
    events.map(drop).map_err(io::Error::other)
}

/// A link through a forwarder that counts. The far side answers each message.
struct Link {
    near: PeersHandle,
    far: InstanceKey,
    events: mpsc::Receiver<PeerEvent>,
    count: std::sync::Arc<std::sync::atomic::AtomicU64>,
}

impl Link {
    async fn start() -> io::Result<Self> {
        let far_address = elsewhere(echo)?;
        let (address, count) = elsewhere(move || forward(far_address))?;
        let (tx, events) = mpsc::channel(EVENT_ROOM);
        let near = Peers::start(config("near"), tx).await?;
        let far = InstanceKey::of("far");
        near.set_links(vec![PeerTarget {
            key: far,
            name: "far".to_owned(),
            address,
        }]);
        let mut link = Link {
            near,
            far,
            events,
            count,
        };
        link.wait_up().await?;
        Ok(link)
    }

    fn bytes(&self) -> u64 {
        self.count.load(Ordering::Relaxed)
    }

    async fn wait_up(&mut self) -> io::Result<()> {
        let wait = async {
            while let Some(event) = self.events.recv().await {
                if matches!(event, PeerEvent::Up(_)) {
                    return Ok(());
                }
            }
            Err(io::ErrorKind::BrokenPipe.into())
        };
        tokio::time::timeout(UP_LIMIT, wait).await?
    }

    async fn next_envelope(&mut self) -> io::Result<()> {
        loop {
            match self.events.recv().await {
                Some(PeerEvent::Envelope(..)) => return Ok(()),
                Some(_) => {}
                None => return Err(io::ErrorKind::BrokenPipe.into()),
            }
        }
    }
}

/// Starts the far side, which sends every envelope back.
async fn echo() -> io::Result<SocketAddr> {
    let (tx, mut events) = mpsc::channel(EVENT_ROOM);
    let far = Peers::start(config("far"), tx).await?;
    let address = far.local_addr();
    tokio::spawn(async move {
        while let Some(event) = events.recv().await {
            if let PeerEvent::Envelope(from, envelope) = event {
                far.send(from.instance, &envelope);
            }
        }
    });
    Ok(address)
}

fn config(name: &str) -> PeersConfig {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    PeersConfig::new(any_port, name, Incarnation(1), Secret::new(SECRET))
}

fn envelope(number: u32) -> PeerEnvelope {
    let checkpoint = Checkpoint {
        seq: u64::from(number),
        tokens: 256,
    };
    PeerEnvelope {
        catalogue_revision: 1,
        list_revision: 1,
        messages: vec![PeerMessage::Cell(CellMessage::Progress(vec![checkpoint]))],
    }
}

/// Returns the bytes of so many messages themselves.
fn frames(messages: u32) -> f64 {
    frame_bytes(&envelope(1)) as f64 * f64::from(messages)
}

fn micros_since(before: Duration) -> f64 {
    thread_time().saturating_sub(before).as_secs_f64() * 1e6
}

/// Runs a future to its end on a thread and a runtime of its own.
fn on_thread<T, F>(future: F) -> io::Result<T>
where
    T: Send + 'static,
    F: Future<Output = io::Result<T>> + Send + 'static,
{
    let thread = std::thread::spawn(move || runtime()?.block_on(future));
    thread
        .join()
        .unwrap_or_else(|_| Err(io::Error::other("the measurement panicked")))
}

/// Starts something on a thread of its own that goes on until the process ends.
fn elsewhere<T, F, S>(start: S) -> io::Result<T>
where
    T: Send + 'static,
    F: Future<Output = io::Result<T>>,
    S: FnOnce() -> F + Send + 'static,
{
    let (tx, rx) = std_mpsc::channel();
    std::thread::spawn(move || {
        let started = runtime().and_then(|runtime| {
            let started = runtime.block_on(start())?;
            Ok((runtime, started))
        });
        match started {
            Ok((runtime, started)) => {
                let _ = tx.send(Ok(started));
                runtime.block_on(core::future::pending::<()>());
            }
            Err(err) => drop(tx.send(Err(err))),
        }
    });
    rx.recv()
        .unwrap_or_else(|_| Err(io::ErrorKind::BrokenPipe.into()))
}

fn runtime() -> io::Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
}
