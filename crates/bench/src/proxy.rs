//! A fault-injecting TCP proxy.
//!
//! It stands between two processes and does to their bytes what networks do:
//! delay, stall, one direction or both, cut, and cut in the middle of a frame.
//! It is told at run time, by [`Proxy`] inside one process or by the admin
//! routes of the command. A duplicate cannot happen inside a TCP stream; the
//! stand-in engine duplicates events instead.

mod command;
mod pump;
pub mod rules;

pub use command::{ProxyArgs, run};
pub use rules::{Accept, Flow, Rules};

use pump::Lines;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

/// A running proxy; it ends when dropped, and its connections with it.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    shared: Arc<Shared>,
    accepting: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    rules: watch::Sender<Rules>,
    target: watch::Sender<SocketAddr>,
    /// Rises when all connections are to be cut.
    cuts: watch::Sender<u64>,
}

impl Proxy {
    /// Starts a proxy in front of `target`, on any free port.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        Self::start_at(any_port, target).await
    }

    /// Starts a proxy in front of `target` at `listen`.
    pub async fn start_at(listen: SocketAddr, target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            rules: watch::Sender::new(Rules::default()),
            target: watch::Sender::new(target),
            cuts: watch::Sender::new(0),
        });
        let accepting = tokio::spawn(accept(listener, Arc::clone(&shared)));
        Ok(Proxy {
            address,
            shared,
            accepting,
        })
    }

    /// Returns the address that the proxy listens at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the rules for all connections, open and new.
    pub fn set(&self, rules: Rules) {
        self.shared.rules.send_replace(rules);
    }

    /// Lets everything pass again.
    pub fn heal(&self) {
        self.set(Rules::default());
    }

    /// Sends new connections to another target.
    pub fn retarget(&self, target: SocketAddr) {
        self.shared.target.send_replace(target);
    }

    /// Cuts all open connections now.
    pub fn cut(&self) {
        self.cutter()();
    }

    /// Returns what cuts all open connections, to be called from elsewhere.
    pub fn cutter(&self) -> impl Fn() + Send + Sync + use<> {
        let shared = Arc::clone(&self.shared);
        move || shared.cuts.send_modify(|count| *count += 1)
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
        self.cut();
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        // Accepting fails for one connection only, for example when it was
        // reset at once; the next one may do.
        if let Ok((client, _)) = listener.accept().await {
            tokio::spawn(serve(client, Arc::clone(&shared)));
        }
    }
}

async fn serve(client: TcpStream, shared: Arc<Shared>) {
    let mut cuts = shared.cuts.subscribe();
    cuts.mark_unchanged();
    let connection = async {
        if !admitted(&shared).await {
            return;
        }
        let target = *shared.target.borrow();
        let Ok(server) = TcpStream::connect(target).await else {
            return;
        };
        let lines = Lines {
            client,
            server,
            rules: shared.rules.subscribe(),
        };
        lines.pump().await;
    };
    tokio::select! {
        () = connection => {}
        _ = cuts.changed() => {}
    }
}

/// Waits until a new connection is let through; false closes it at once.
async fn admitted(shared: &Shared) -> bool {
    let mut rules = shared.rules.subscribe();
    loop {
        match rules.borrow_and_update().accept {
            Accept::Yes => return true,
            Accept::Refuse => return false,
            Accept::Hang => {}
        }
        if rules.changed().await.is_err() {
            return false;
        }
    }
}
