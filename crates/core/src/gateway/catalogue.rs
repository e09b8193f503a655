//! The catalogue of HTTP entries.
//!
//! A [`CatalogueSource`] is a published catalogue, decoded but not validated.
//! [`Catalogue::compile`] validates it, reports all findings together, and builds the lookup
//! tables. A catalogue is immutable: a request uses the catalogue with which it was matched until
//! it ends.

use super::cold::ColdLimits;
use core::time::Duration;
use cranelift_entity::{PrimaryMap, entity_impl};
use std::collections::BTreeMap;

/// An entry of one catalogue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryId(u32);
entity_impl!(EntryId, "entry");

/// A service of one catalogue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(u32);
entity_impl!(ServiceId, "service");

/// A workspace of one catalogue.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkspaceId(u32);
entity_impl!(WorkspaceId, "workspace");

/// How a request is run, and whether it may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// An idempotent call; it may be retried.
    Idempotent,
    /// A call that must run at most once.
    AtMostOnce,
    /// A generation, streamed as events, that must run at most once.
    Stream,
    /// A generation, streamed as events, that any engine can resume after the last event that its
    /// caller has. It is idempotent: before its first event it may be restarted at any engine.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }
}

/// A service of an entry with its share of the requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService<S> {
    /// The service.
    pub service: S,
    /// Its weight relative to the entry's other services.
    pub weight: u32,
}

/// An entry: the requests that it covers, and their limits.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpEntry<S = ServiceId> {
    /// The published name.
    pub name: String,
    /// The value of the host header of its requests, without a port.
    pub host: String,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: String,
    /// How its requests are run, and whether they may be retried.
    pub kind: RequestKind,
    /// Upper bound of the time to serve a request.
    pub timeout: Duration,
    /// Latency target for a response, or for the first event of a stream.
    pub target: Duration,
    /// Target for the longest gap between events of a stream; zero if there is none.
    pub gap_target: Duration,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Upper bound of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
    /// The services that handle its requests.
    pub services: Vec<WeightedService<S>>,
}

/// The limits of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Generations that it runs at once.
    pub slots: u32,
    /// Capacity of its KV cache, in tokens.
    pub kv_cache_tokens: u32,
    /// Whether a second engine can keep a copy of a generation's KV cache while it grows.
    pub standby_copies: bool,
}

/// A service: a group of equivalent endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The published name.
    pub name: String,
    /// The limits of its endpoints if they are engines.
    pub engine: Option<EngineLimits>,
    /// The limits of its endpoints while they are cold, if they are lower then.
    pub cold: Option<ColdLimits>,
}

/// A workspace and the keys that its callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The published name.
    pub name: String,
    /// SHA-256 of each key.
    pub key_digests: Vec<[u8; 32]>,
    /// Its priority, which overrides the entry's.
    pub priority: Option<u8>,
}

/// Limits of requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum bytes of a request's head.
    pub max_head_bytes: usize,
    /// Maximum bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time from its first byte within which a head must be complete.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        CallerLimits {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// A published catalogue, decoded but not validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueSource {
    /// The publisher's version.
    pub version: u64,
    /// The entries, which refer to services by name.
    pub entries: Vec<HttpEntry<String>>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces. If there is no list of them, no key is required; an empty list admits nobody.
    pub workspaces: Option<Vec<Workspace>>,
    /// Limits of requests and connections of callers.
    pub limits: CallerLimits,
}

/// An error in a catalogue.
#[derive(Clone, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum CatalogueFinding {
    /// entry `{0}`: the prefix must begin and end with a slash
    Prefix(String),
    /// entry `{0}`: another entry has the same host and prefix
    DuplicatePrefix(String),
    /// entry `{entry}`: there is no service `{service}`
    UnknownService {
        /// The entry.
        entry: String,
        /// The undefined service.
        service: String,
    },
    /// entry `{0}`: no service has a weight above zero
    NoService(String),
    /// service `{0}` is defined twice
    DuplicateService(String),
    /// workspace `{0}`: a key of it belongs to another workspace
    DuplicateKey(String),
}

/// The result of matching a request against a catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestMatch {
    /// The request may be served.
    Serve {
        /// The entry that covers it.
        entry: EntryId,
        /// The workspace of its key, if it has a known key.
        workspace: Option<WorkspaceId>,
    },
    /// No entry covers it.
    NoEntry,
    /// Its key is missing or unknown.
    UnknownKey,
}

/// A validated catalogue.
///
/// Invariant: every id in `entries`, `by_host` and `by_key` is valid here, and each entry has a
/// service with a weight above zero.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    version: u64,
    entries: PrimaryMap<EntryId, HttpEntry>,
    services: PrimaryMap<ServiceId, Service>,
    /// Whether requests need the key of a workspace, unless their entry is public.
    requires_key: bool,
    workspaces: PrimaryMap<WorkspaceId, Workspace>,
    by_host: BTreeMap<String, BTreeMap<String, EntryId>>,
    by_key: BTreeMap<[u8; 32], WorkspaceId>,
    by_service: BTreeMap<String, ServiceId>,
    limits: CallerLimits,
}

impl Catalogue {
    /// Validates a published catalogue and builds its lookup tables.
    ///
    /// # Errors
    ///
    /// Returns all findings; the current catalogue then stays in force.
    pub fn compile(source: CatalogueSource) -> Result<Self, Vec<CatalogueFinding>> {
        let mut findings = Vec::new();
        let mut catalogue = Catalogue {
            version: source.version,
            limits: source.limits,
            requires_key: source.workspaces.is_some(),
            ..Catalogue::default()
        };
        catalogue.add_services(source.services, &mut findings);
        catalogue.add_workspaces(source.workspaces.unwrap_or_default(), &mut findings);
        for entry in source.entries {
            catalogue.add_entry(entry, &mut findings);
        }
        if findings.is_empty() {
            return Ok(catalogue);
        }
        Err(findings)
    }

    fn add_services(&mut self, services: Vec<Service>, findings: &mut Vec<CatalogueFinding>) {
        for service in services {
            let name = service.name.clone();
            let id = self.services.push(service);
            if self.by_service.insert(name.clone(), id).is_some() {
                findings.push(CatalogueFinding::DuplicateService(name));
            }
        }
    }

    fn add_workspaces(&mut self, list: Vec<Workspace>, findings: &mut Vec<CatalogueFinding>) {
        for workspace in list {
            let id = self.workspaces.push(workspace);
            let workspace = &self.workspaces[id];
            for digest in &workspace.key_digests {
                let holder = self.by_key.insert(*digest, id);
                if holder.is_some_and(|holder| holder != id) {
                    findings.push(CatalogueFinding::DuplicateKey(workspace.name.clone()));
                }
            }
        }
    }

    fn add_entry(&mut self, entry: HttpEntry<String>, findings: &mut Vec<CatalogueFinding>) {
        let name = entry.name.clone();
        if !entry.prefix.starts_with('/') || !entry.prefix.ends_with('/') {
            findings.push(CatalogueFinding::Prefix(name.clone()));
        }
        let mut services = Vec::with_capacity(entry.services.len());
        for target in &entry.services {
            match self.by_service.get(&target.service) {
                Some(&service) => services.push(WeightedService {
                    service,
                    weight: target.weight,
                }),
                None => findings.push(CatalogueFinding::UnknownService {
                    entry: name.clone(),
                    service: target.service.clone(),
                }),
            }
        }
        if services.iter().all(|target| target.weight == 0) {
            findings.push(CatalogueFinding::NoService(name.clone()));
        }
        let host = entry.host.to_ascii_lowercase();
        let prefix = entry.prefix.clone();
        let id = self.entries.push(HttpEntry {
            services,
            name: entry.name,
            host: entry.host,
            prefix: entry.prefix,
            kind: entry.kind,
            timeout: entry.timeout,
            target: entry.target,
            gap_target: entry.gap_target,
            priority: entry.priority,
            max_attempts: entry.max_attempts.max(1),
            public: entry.public,
        });
        let prefixes = self.by_host.entry(host).or_default();
        if prefixes.insert(prefix, id).is_some() {
            findings.push(CatalogueFinding::DuplicatePrefix(name));
        }
    }

    /// Returns the publisher's version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits of requests and connections of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns an entry.
    pub fn entry(&self, id: EntryId) -> &HttpEntry {
        &self.entries[id]
    }

    /// Returns the number of entries.
    pub fn entries(&self) -> usize {
        self.entries.len()
    }

    /// Returns a service.
    pub fn service(&self, id: ServiceId) -> &Service {
        &self.services[id]
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// Returns the limits of a service's endpoints while they are cold, if they are lower then.
    pub fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.services[*self.by_service.get(service)?].cold
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Workspace> {
        self.workspaces.values()
    }

    /// Returns a workspace.
    pub fn workspace(&self, id: WorkspaceId) -> &Workspace {
        &self.workspaces[id]
    }

    /// Matches a request by its host, its path and the digest of its key.
    pub fn match_request(
        &self,
        host: &str,
        path: &str,
        key_digest: Option<&[u8; 32]>,
    ) -> RequestMatch {
        let Some(entry) = self.find_entry(host, path) else {
            return RequestMatch::NoEntry;
        };
        let workspace = key_digest
            .and_then(|digest| self.by_key.get(digest))
            .copied();
        let needs_key = self.requires_key && !self.entries[entry].public;
        if workspace.is_none() && needs_key {
            return RequestMatch::UnknownKey;
        }
        RequestMatch::Serve { entry, workspace }
    }

    /// Finds the entry with the longest prefix of `path`. `host` may include a port.
    fn find_entry(&self, host: &str, path: &str) -> Option<EntryId> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(&host.to_ascii_lowercase())?,
        };
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(&entry) = prefixes.get(&path[..=slash]) {
                return Some(entry);
            }
            end = slash;
        }
        None
    }

    /// Returns a service of `entry`, chosen by weight; `draw` is uniform in `[0, 1)`.
    pub fn pick_service(&self, entry: EntryId, draw: f64) -> ServiceId {
        let services = &self.entries[entry].services;
        let total: u64 = services.iter().map(|it| u64::from(it.weight)).sum();
        let mut at = (draw * total as f64) as u64;
        for target in services {
            let weight = u64::from(target.weight);
            if at < weight {
                return target.service;
            }
            at -= weight;
        }
        debug_assert!(false, "a draw of {draw} lies beyond all weights");
        services[0].service
    }
}
