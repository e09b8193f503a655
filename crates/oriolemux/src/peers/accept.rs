//! Accepts connections of peers.

use super::dial::{Role, run_link};
use super::table::Shared;
use super::{Rejection, auth};
use crate::metrics::Counter;
use core::time::Duration;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};

/// How long to wait after a failed accept, for example because no file descriptor is left; without
/// the delay the loop would spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Accepts peers until the process stops.
pub(super) async fn accept_peers(shared: Arc<Shared>, listener: TcpListener) {
    let closing = shared.closing().clone();
    let _ = closing
        .run_until_cancelled(accept_loop(shared, listener))
        .await;
}

async fn accept_loop(shared: Arc<Shared>, listener: TcpListener) {
    let unauthenticated = Arc::new(Semaphore::new(shared.cfg().max_unauthenticated));
    loop {
        let Ok((io, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A client that connects and sends nothing holds a permit until the timeout. Further
        // connections are refused meanwhile; established links are not affected.
        let Ok(permit) = Arc::clone(&unauthenticated).try_acquire_owned() else {
            refused(&shared, Rejection::TooMany);
            continue;
        };
        let shared = Arc::clone(&shared);
        let tasks = shared.tasks().clone();
        tasks.spawn(async move {
            match serve_peer(&shared, io, permit).await {
                Ok(()) | Err(Rejection::Duplicate) => {}
                Err(why) => refused(&shared, why),
            }
        });
    }
}

fn refused(shared: &Shared, why: Rejection) {
    Counter::PeerConnectionsRefused.add(1);
    shared.rejected(why);
}

async fn serve_peer(
    shared: &Arc<Shared>,
    mut io: TcpStream,
    permit: tokio::sync::OwnedSemaphorePermit,
) -> Result<(), Rejection> {
    let _ = io.set_nodelay(true);
    let limit = shared.cfg().connect_timeout;
    let accepted = timeout(limit, auth::accept(&mut io, shared.cfg())).await;
    let authenticated = accepted.unwrap_or(Err(Rejection::TooSlow))?;
    drop(permit);
    let dialler = authenticated.peer.instance;
    let registration = shared.register(authenticated, dialler).await?;
    run_link(shared, registration, io, Role::Accepted).await;
    Ok(())
}
