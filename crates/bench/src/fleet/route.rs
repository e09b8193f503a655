//! A way to a process, through a proxy or straight.

use crate::proxy::{Proxy, Rules};
use std::io;
use std::net::SocketAddr;

/// A way to a process.
#[derive(Debug)]
pub struct Route {
    target: SocketAddr,
    proxy: Option<Proxy>,
}

impl Route {
    /// Makes a way to `target`, through a proxy if `proxied`.
    pub async fn new(target: SocketAddr, proxied: bool) -> io::Result<Self> {
        let proxy = match proxied {
            true => Some(Proxy::start(target).await?),
            false => None,
        };
        Ok(Route { target, proxy })
    }

    /// Returns the address to publish.
    pub fn address(&self) -> SocketAddr {
        self.proxy.as_ref().map_or(self.target, Proxy::address)
    }

    /// Sets what the proxy does; nothing if there is none.
    pub fn set(&self, rules: Rules) {
        if let Some(proxy) = &self.proxy {
            proxy.set(rules);
        }
    }

    /// Cuts all open connections, if there is a proxy.
    pub fn cut(&self) {
        if let Some(proxy) = &self.proxy {
            proxy.cut();
        }
    }

    /// Returns what cuts all open connections, to be called from elsewhere.
    pub fn cutter(&self) -> Option<impl Fn() + Send + Sync + use<>> {
        self.proxy.as_ref().map(Proxy::cutter)
    }

    /// Leads new connections to another process.
    pub fn retarget(&mut self, target: SocketAddr) {
        self.target = target;
        if let Some(proxy) = &self.proxy {
            proxy.retarget(target);
        }
    }
}
