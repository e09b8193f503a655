//! Dials peers, with exponential backoff and jitter.

use super::auth::AuthenticatedPeer;
use super::link::{LinkContext, LinkEnd, Traffic, close_when_idle, run_accepted, run_dialled};
use super::table::{DialState, Registration, Shared};
use super::{PeersConfig, Rejection, auth};
use core::time::Duration;
use oriolemux_core::event::PeerTarget;
use oriolemux_core::ids::InstanceKey;
use rand::Rng;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// Keeps a link to a peer established for as long as it is wanted.
pub(super) async fn maintain_link(shared: Arc<Shared>, key: InstanceKey) {
    let stop = shared.stop().clone();
    let _ = stop.run_until_cancelled(dial_loop(shared, key)).await;
}

async fn dial_loop(shared: Arc<Shared>, key: InstanceKey) {
    let mut backoff = Backoff::new(shared.cfg());
    loop {
        match shared.dial_state(key) {
            DialState::Unwanted => return,
            DialState::Linked(changed) => {
                let changed = changed.notified();
                tokio::pin!(changed);
                changed.as_mut().enable();
                if matches!(shared.dial_state(key), DialState::Linked(_)) {
                    changed.await;
                }
            }
            DialState::Dial(target) => {
                let began = Instant::now();
                if dial_once(&shared, &target).await.is_err() {
                    shared.unreachable(key).await;
                }
                backoff.pause(began.elapsed()).await;
            }
        }
    }
}

/// Dials a peer and runs the link until it ends.
async fn dial_once(shared: &Arc<Shared>, target: &PeerTarget) -> Result<(), Rejection> {
    let limit = shared.cfg().connect_timeout;
    let connected = timeout(limit, connect(shared.cfg(), target)).await;
    let connected = connected.unwrap_or(Err(Rejection::TooSlow));
    let (io, peer) = connected.inspect_err(|&why| report(shared, why))?;
    let dialler = shared.cfg().id().instance;
    let registration = match shared.register(peer, dialler).await {
        Ok(registration) => registration,
        // The caller watches the link that was kept.
        Err(Rejection::Duplicate) => return Ok(()),
        Err(why) => {
            shared.rejected(why);
            return Err(why);
        }
    };
    run_link(shared, registration, io, Role::Dialled).await;
    Ok(())
}

/// Reports a rejection. A peer that is down is reported only by [`super::PeerEvent::Down`].
fn report(shared: &Shared, why: Rejection) {
    if !matches!(why, Rejection::Closed | Rejection::TooSlow) {
        shared.rejected(why);
    }
}

async fn connect(
    cfg: &PeersConfig,
    target: &PeerTarget,
) -> Result<(TcpStream, AuthenticatedPeer), Rejection> {
    let io = TcpStream::connect(target.address).await;
    let mut io = io.map_err(|_| Rejection::Closed)?;
    let _ = io.set_nodelay(true);
    let authenticated = auth::dial(&mut io, cfg, target.key).await?;
    Ok((io, authenticated))
}

/// The side of a connection that this process has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Role {
    Dialled,
    Accepted,
}

/// Runs a link in a task of its own, so that a panic in it ends only the link.
pub(super) async fn run_link(
    shared: &Arc<Shared>,
    registration: Registration,
    io: TcpStream,
    role: Role,
) {
    let registration = Arc::new(registration);
    let task = {
        let shared = Arc::clone(shared);
        let registration = Arc::clone(&registration);
        tokio::spawn(async move { drive_link(&shared, &registration, io, role).await })
    };
    let end = task
        .await
        .unwrap_or(LinkEnd::Broken(super::LinkFailure::Lost));
    shared.ended(&registration, end).await;
}

async fn drive_link(
    shared: &Shared,
    registration: &Registration,
    io: TcpStream,
    role: Role,
) -> LinkEnd {
    let cx = LinkContext {
        cfg: shared.cfg(),
        peer: registration.peer,
        queue: &registration.queue,
        events: shared.events(),
        drain: &registration.drain,
        retired: &registration.retired,
        traffic: Traffic::new(),
    };
    let run = async {
        match role {
            Role::Dialled => run_dialled(io, &cx).await,
            Role::Accepted => run_accepted(io, &cx).await,
        }
    };
    let key = registration.peer.instance;
    let idle = async {
        match role {
            Role::Dialled => close_when_idle(&cx, || shared.is_wanted(key)).await,
            Role::Accepted => core::future::pending().await,
        }
    };
    tokio::select! {
        end = run => end,
        () = idle => LinkEnd::Closed,
        () = registration.abort.cancelled() => LinkEnd::Closed,
        () = shared.stop().cancelled() => LinkEnd::Closed,
    }
}

/// Exponential backoff between dial attempts, with jitter so that peers that lost the same instance
/// do not reconnect to it at the same time.
struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    fn new(cfg: &PeersConfig) -> Self {
        let (first, longest) = cfg.reconnect;
        Backoff {
            first,
            longest,
            next: first,
        }
    }

    async fn pause(&mut self, lasted: Duration) {
        if lasted > self.longest {
            self.next = self.first;
        }
        let share = rand::rng().random_range(0.5..1.0);
        let pause = self.next.mul_f64(share);
        self.next = (self.next * 2).min(self.longest);
        sleep(pause).await;
    }
}
