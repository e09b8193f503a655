//! Serves operators on a listener of their own.

use super::accept::OperatorAcceptor;
use super::port::OperatorPort;
use super::routes::routes;
use crate::settings::Secret;
use crate::supervisor::watch_for_pauses;
use core::time::Duration;
use poem::Server;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Operators, balancers and scrapers are few. Without a bound, whoever reaches the port could
/// use up the process's file descriptors, and callers would be refused.
const MAX_CONNECTIONS: usize = 64;
/// An idle connection is closed after this time, so that silent ones cannot hold all places.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// A request that is still answered when the listener stops gets this long.
const STOP_TIMEOUT: Duration = Duration::from_secs(2);

/// Binds the operators' address.
///
/// # Errors
///
/// Fails if the address is in use or not of this machine.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Serves operators. It can be run again on the same listener if a run failed.
#[derive(Debug)]
pub struct OperatorServer {
    listener: TcpListener,
    port: OperatorPort,
    key: Secret,
}

impl OperatorServer {
    /// Serves on `listener` those who have `key`.
    pub fn new(listener: TcpListener, port: OperatorPort, key: Secret) -> Self {
        OperatorServer {
            listener,
            port,
            key,
        }
    }

    /// Serves until `stop` resolves. The listener should be the last to stop, so
    /// that operators can watch the others do it.
    ///
    /// # Errors
    ///
    /// Fails if the listener cannot be used.
    pub async fn run(&self, stop: impl Future<Output = ()>) -> io::Result<()> {
        let acceptor = OperatorAcceptor::new(self.listener.try_clone()?, MAX_CONNECTIONS)?;
        let app = routes(self.port.clone(), self.key.clone());
        let server = Server::new_with_acceptor(acceptor)
            .idle_timeout(IDLE_TIMEOUT)
            .run_with_graceful_shutdown(app, stop, Some(STOP_TIMEOUT));
        tokio::select! {
            served = server => served,
            () = watch_for_pauses() => Ok(()),
        }
    }
}
