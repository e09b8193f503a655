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

/// The most connections. Operators, load balancers and scrapers are few. Without a limit, any
/// client that reaches the port could use up the process's file descriptors, and callers would be
/// refused.
const MAX_CONNECTIONS: usize = 64;
/// Idle connections are closed after this time, so that they cannot hold all permits.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a request that is in progress when the listener stops may take.
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

/// The server for operators. It can be run again on the same listener if a run failed.
#[derive(Debug)]
pub struct OperatorServer {
    listener: TcpListener,
    port: OperatorPort,
    key: Secret,
}

impl OperatorServer {
    /// Creates a server on `listener` for clients that have `key`.
    pub fn new(listener: TcpListener, port: OperatorPort, key: Secret) -> Self {
        OperatorServer {
            listener,
            port,
            key,
        }
    }

    /// Serves until `stop` resolves. The listener should be the last to stop, so that operators can
    /// observe how the other parts stop.
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
