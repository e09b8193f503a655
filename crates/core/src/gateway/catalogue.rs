//! The catalogue of HTTP entries.
//!
//! A [`CatalogueSource`] is what was published, decoded but not checked.
//! [`Catalogue::compile`] checks all of it, reports every finding together, and
//! makes the tables by which requests are judged. A catalogue is never changed
//! after that: a request keeps the one that it was judged by to its end.

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

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// A call that is idempotent.
    Idempotent,
    /// A call that runs at most once.
    AtMostOnce,
    /// A generation, streamed as events, that runs at most once.
    Stream,
    /// A generation, streamed as events, that any engine may go on with after the last
    /// event that its caller holds. It is idempotent: before its first event it may begin
    /// anew anywhere.
    ResumableStream,
}

impl RequestKind {
    /// Returns whether the request may run more than once.
    pub const fn is_idempotent(self) -> bool {
        matches!(self, RequestKind::Idempotent | RequestKind::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub const fn is_stream(self) -> bool {
        matches!(self, RequestKind::Stream | RequestKind::ResumableStream)
    }
}

/// A share of an entry's requests that goes to one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightedService<S> {
    /// The service.
    pub service: S,
    /// Its weight among the entry's services.
    pub weight: u32,
}

/// An entry: what requests it covers and what they may take.
#[derive(Clone, Debug, PartialEq)]
pub struct HttpEntry<S = ServiceId> {
    /// The published name.
    pub name: String,
    /// The host that requests name.
    pub host: String,
    /// The path prefix; it begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// The longest that a request may be kept.
    pub timeout: Duration,
    /// Within which time an answer, or a stream's first event, is wanted.
    pub target: Duration,
    /// The longest pause between events of a stream that is wanted; zero if not given.
    pub gap_target: Duration,
    /// The rank among entries; 0 is the most urgent.
    pub priority: u8,
    /// The most endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Whether no key is needed.
    pub public: bool,
    /// Where its requests go.
    pub services: Vec<WeightedService<S>>,
}

/// What an engine's memory and links bear.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Generations that run at once.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_cache_tokens: u32,
    /// Whether a generation's memory can be kept at a second engine as it grows.
    pub standby_copies: bool,
}

/// A service: endpoints that do the same work.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The published name.
    pub name: String,
    /// Given if its endpoints are engines.
    pub engine: Option<EngineLimits>,
    /// Given if its endpoints bear less while they are cold.
    pub cold: Option<ColdLimits>,
}

/// A workspace and the keys that its callers send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The published name.
    pub name: String,
    /// SHA-256 of each key.
    pub key_digests: Vec<[u8; 32]>,
    /// Its rank, which goes before the entry's.
    pub priority: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub max_head_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// A head must be complete within this time of its first byte.
    pub head_timeout: Duration,
    /// A connection may be idle for this long.
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

/// A catalogue as it was published, decoded and not yet checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CatalogueSource {
    /// The publisher's version.
    pub version: u64,
    /// The entries; services by name.
    pub entries: Vec<HttpEntry<String>>,
    /// The services.
    pub services: Vec<Service>,
    /// The workspaces; without any, no key is asked for.
    pub workspaces: Vec<Workspace>,
    /// What callers may send.
    pub limits: CallerLimits,
}

/// A mistake in a catalogue.
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
        /// The service that it names.
        service: String,
    },
    /// entry `{0}`: no service has a weight above zero
    NoService(String),
    /// service `{0}` is defined twice
    DuplicateService(String),
    /// workspace `{0}`: a key of it belongs to another workspace
    DuplicateKey(String),
}

/// How a request is judged by a catalogue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestMatch {
    /// It may be served.
    Serve {
        /// Under this entry.
        entry: EntryId,
        /// For this workspace.
        workspace: Option<WorkspaceId>,
    },
    /// No entry covers it.
    NoEntry,
    /// Its key is missing or unknown.
    UnknownKey,
}

/// A catalogue that was checked.
///
/// Invariant: every id in `entries`, `by_host` and `by_key` is valid here, and
/// each entry has a service with a weight above zero.
#[derive(Clone, Debug, Default)]
pub struct Catalogue {
    version: u64,
    entries: PrimaryMap<EntryId, HttpEntry>,
    services: PrimaryMap<ServiceId, Service>,
    workspaces: PrimaryMap<WorkspaceId, Workspace>,
    by_host: BTreeMap<String, BTreeMap<String, EntryId>>,
    by_key: BTreeMap<[u8; 32], WorkspaceId>,
    by_service: BTreeMap<String, ServiceId>,
    limits: CallerLimits,
}

impl Catalogue {
    /// Checks a published catalogue and makes its tables.
    ///
    /// # Errors
    ///
    /// Returns every finding; the catalogue in force then stays in force.
    pub fn compile(source: CatalogueSource) -> Result<Self, Vec<CatalogueFinding>> {
        let mut findings = Vec::new();
        let mut catalogue = Catalogue {
            version: source.version,
            limits: source.limits,
            ..Catalogue::default()
        };
        catalogue.add_services(source.services, &mut findings);
        catalogue.add_workspaces(source.workspaces, &mut findings);
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

    /// Returns what callers may send.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// Returns an entry.
    pub fn entry(&self, id: EntryId) -> &HttpEntry {
        &self.entries[id]
    }

    /// Returns how many entries there are.
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

    /// Returns what the endpoints of a service bear while they are cold, if that is less.
    pub fn cold_limits(&self, service: &str) -> Option<ColdLimits> {
        self.services[*self.by_service.get(service)?].cold
    }

    /// Returns a workspace.
    pub fn workspace(&self, id: WorkspaceId) -> &Workspace {
        &self.workspaces[id]
    }

    /// Judges a request by its host, path and the digest of the key it carries.
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
        let open = self.workspaces.is_empty() || self.entries[entry].public;
        if workspace.is_none() && !open {
            return RequestMatch::UnknownKey;
        }
        RequestMatch::Serve { entry, workspace }
    }

    /// Finds the entry with the longest prefix of `path`. A host may carry a port.
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

    /// Returns the service for a request of `entry`; `draw` is uniform below one.
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
