//! The current state of an instance, for operators.
//!
//! It is the response of `/status` on the metrics listener, and what `oriolemux status`
//! prints. Existing fields are stable; new ones may be added.

use crate::cx::{Cx, OpenKind};
use crate::meters::millis;
use crate::ports::Wire;
use oriolemux_core::gateway::endpoints::Endpoint;
use oriolemux_core::gateway::members::Member;
use oriolemux_core::gateway::request::{service_hash, workspace_hash};
use oriolemux_core::gateway::{EndpointState, Gateway};
use oriolemux_core::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Whether the balancer may send callers here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// No: no catalogue, or for a node no list of instances, is in force yet.
    #[default]
    Starting,
    /// Yes.
    Ready,
    /// No: a stop was requested.
    Stopping,
    /// No: more callers connect than this instance can serve, and others have room.
    Overloaded,
}

impl Readiness {
    /// Returns the name that responses use.
    pub const fn as_str(self) -> &'static str {
        match self {
            Readiness::Starting => "starting",
            Readiness::Overloaded => "overloaded",
            Readiness::Ready => "ready",
            Readiness::Stopping => "stopping",
        }
    }
}

/// Whether an endpoint accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It accepts them.
    Work,
    /// It is ejected for a while because several requests in a row failed.
    PassedOver,
    /// It accepts none while its data centre is cordoned.
    Cordoned,
    /// It requested a backoff of this instance.
    BackedOff,
    /// Its record was removed around an outage of the store; it is used only if there is no other.
    Lapsed,
    /// Its record is gone, and it accepts no requests until the record is written again.
    Absent,
    /// It accepts no more requests.
    Nothing,
}

/// The state of an instance.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The instance's name.
    pub instance: String,
    /// The incarnation of the instance, in hexadecimal digits.
    pub incarnation: String,
    /// Whether it accepts callers.
    pub readiness: Readiness,
    /// The version of the catalogue in force, `None` before the first.
    pub catalogue_version: Option<u64>,
    /// The state of its store connection.
    pub store: StoreStatus,
    /// Connections of callers.
    pub connections: usize,
    /// Generations that are being forwarded.
    pub generations: usize,
    /// All endpoints, by name.
    pub endpoints: Vec<EndpointStatus>,
    /// Other live instances, by address.
    pub peers: Vec<PeerStatus>,
    /// The services whose engines are placed by a home, by name.
    #[serde(default)]
    pub homes: Vec<HomeStatus>,
    /// Cordoned data centres, by name.
    #[serde(default)]
    pub cordons: Vec<CordonStatus>,
    /// Services of which this instance reaches no endpoint, so that peers serve its callers.
    #[serde(default)]
    pub partitioned: Vec<String>,
    /// Requests that are being served for peers that reach no endpoint.
    #[serde(default)]
    pub served_for_peers: usize,
    /// Requests that crashed endpoints, those with the most crashes first.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
    /// The totals of what was sent to peers since the start, by purpose.
    #[serde(default)]
    pub sent: Vec<SentStatus>,
}

/// A request that crashed endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// The request's fingerprint, which is the same for all its attempts, as in log lines.
    pub request: String,
    /// Whether it is the fingerprint of a part that prompts share, instead of that of a request.
    #[serde(default)]
    pub is_prompt_part: bool,
    /// How many endpoints it is known to have crashed.
    pub ended: usize,
    /// Whether it is refused.
    pub refused: bool,
    /// Milliseconds since the last crash.
    pub ended_ms_ago: u32,
}

/// A data centre that the operator cordoned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CordonStatus {
    /// The data centre.
    pub data_centre: String,
    /// The store's revision of the cordon.
    pub revision: u64,
    /// The epoch of that revision.
    #[serde(default)]
    pub epoch: u64,
    /// Milliseconds since this instance learned of it.
    pub heard_ms_ago: u64,
    /// The number of its endpoints.
    pub endpoints: usize,
}

/// The totals of what an instance sent to its peers for one purpose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentStatus {
    /// The purpose.
    pub purpose: String,
    /// Datagrams, and responses over connections.
    pub messages: u64,
    /// Their payload bytes, without transport headers.
    pub bytes: u64,
}

/// The instances that place the requests of a service, from this instance's point of view. The home
/// is chosen by rendezvous hashing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The service.
    pub service: String,
    /// Its home.
    pub home: Option<SocketAddrV4>,
    /// The next in rank, which is asked if the home does not answer.
    pub next: Option<SocketAddrV4>,
    /// Whether the home is skipped because it did not answer recently.
    pub passed_over: bool,
    /// Requests that wait for a decision of this instance; nonzero at one instance only.
    pub waiting_here: usize,
    /// KV cache tokens per second that become available, if this instance decides and has observed
    /// it for long enough.
    #[serde(default)]
    pub freed_per_second: Option<u64>,
    /// Places that this instance promised to callers that it rejected by forecast.
    #[serde(default)]
    pub promised: usize,
    /// The parts of workspaces in what this instance recently granted.
    #[serde(default)]
    pub shares: Vec<ShareStatus>,
}

/// The part of a workspace in what a home recently granted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShareStatus {
    /// The workspace's name; `-` for requests without one.
    pub workspace: String,
    /// Its part in percent.
    pub percent: u32,
}

/// What an instance knows of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The revision up to which all records are known.
    pub revision: u64,
    /// The epoch of that revision; 0 if the store states none.
    #[serde(default)]
    pub epoch: u64,
    /// Milliseconds since the store last answered this instance, `None` if it never did.
    pub answered_ms_ago: Option<u64>,
    /// Whether this instance watches the store for all others.
    pub watches: bool,
    /// Whether records may be missing after an outage and come back.
    pub unsettled: bool,
}

/// The state of an endpoint as this instance knows it, with the usage by all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The published name.
    pub name: String,
    /// The service.
    pub service: String,
    /// The address.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it accepts new requests.
    pub takes: Availability,
    /// Whether the last request that this instance sent to it failed.
    pub failing: bool,
    /// Requests that run there.
    pub running: u16,
    /// KV tokens that these requests use or are expected to use.
    pub tokens: u32,
    /// KV tokens that copies use.
    pub copied: u32,
    /// Prompt tokens that are not prefilled yet.
    pub unread: u32,
    /// The rate limit that it reported, in requests a second from all instances together.
    #[serde(default)]
    pub limit: Option<f64>,
    /// Milliseconds until the backoff ends that it requested of this instance.
    #[serde(default)]
    pub backoff_ms: Option<u64>,
}

/// What an instance knows of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The address for peers.
    pub address: SocketAddrV4,
    /// Milliseconds since its last datagram, `None` if it is only known through others.
    pub heard_ms_ago: Option<u64>,
    /// The store's revision that it has.
    pub revision: u64,
    /// The epoch of that revision.
    #[serde(default)]
    pub epoch: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

impl GatewayStatus {
    /// Returns the current state of the instance.
    pub fn of<W: Wire>(cx: &Cx<W>, instance: &str) -> Self {
        let now = cx.now();
        let state = cx.state();
        let mut endpoints: Vec<EndpointStatus> = state
            .endpoints
            .iter()
            .map(|endpoint| endpoint_status(&state, now, endpoint))
            .collect();
        endpoints.sort_by(|one, other| one.name.cmp(&other.name));
        let peers = state.members.live();
        GatewayStatus {
            instance: instance.to_owned(),
            incarnation: format!("{:016x}", state.incarnation().0),
            readiness: readiness(&state),
            catalogue_version: state.catalogue().map(|it| it.version()),
            store: StoreStatus {
                revision: state.replica.revision().number,
                epoch: state.replica.revision().epoch.0,
                answered_ms_ago: state.reader.last_answer().map(|at| millis(now.since(at))),
                watches: state.watches(now),
                unsettled: state.may_miss_records(now),
            },
            connections: cx.open_count(OpenKind::Connection),
            generations: cx.open_count(OpenKind::Generation),
            endpoints,
            peers: peers
                .map(|(address, peer)| peer_status(now, address, peer))
                .collect(),
            homes: home_status(&state, now),
            cordons: cordon_status(&state, now),
            partitioned: state
                .reachability
                .partitioned()
                .map(str::to_owned)
                .collect(),
            served_for_peers: cx.open_count(OpenKind::Proxied),
            suspects: suspect_status(&state, now),
            sent: sent_status(cx),
        }
    }
}

fn readiness(state: &Gateway) -> Readiness {
    if state.is_stopping() {
        Readiness::Stopping
    } else if state.is_ready() {
        Readiness::Ready
    } else if state.is_withdrawn() {
        Readiness::Overloaded
    } else {
        Readiness::Starting
    }
}

fn sent_status<W: Wire>(cx: &Cx<W>) -> Vec<SentStatus> {
    let sent = cx.sent().into_iter();
    sent.map(|(purpose, sent)| SentStatus {
        purpose: purpose.to_owned(),
        messages: sent.messages,
        bytes: sent.bytes,
    })
    .collect()
}

fn cordon_status(state: &Gateway, now: Time) -> Vec<CordonStatus> {
    let closed = state.endpoints.cordons().closed();
    closed
        .map(|(data_centre, revision, since)| CordonStatus {
            data_centre: data_centre.to_owned(),
            revision: revision.number,
            epoch: revision.epoch.0,
            heard_ms_ago: millis(now.since(since)),
            endpoints: state.endpoints.in_data_centre(data_centre).count(),
        })
        .collect()
}

fn suspect_status(state: &Gateway, now: Time) -> Vec<SuspectStatus> {
    let worst = state.suspects.ledger.worst(now).into_iter();
    let worst = worst.filter(|it| !it.crashed.is_empty());
    worst
        .map(|it| SuspectStatus {
            request: it.fingerprint.to_string(),
            is_prompt_part: it.fingerprint.is_prompt_part(),
            ended: state.crash_count(it.fingerprint),
            refused: state.is_refused(now, it.fingerprint),
            ended_ms_ago: it.age_ms,
        })
        .collect()
}

fn home_status(state: &Gateway, now: Time) -> Vec<HomeStatus> {
    let services = state.catalogue().into_iter().flat_map(|it| it.services());
    let with_engines = services.filter(|it| it.engine.is_some());
    let mut homes: Vec<HomeStatus> = with_engines
        .map(|it| {
            let service = service_hash(&it.name);
            let [home, next] = state.homes(service);
            HomeStatus {
                service: it.name.clone(),
                home,
                next,
                passed_over: state.acting_home(now, service) != home,
                waiting_here: state.queued_at_home(service),
                freed_per_second: freed_per_second(state, service),
                promised: state.home(service).map_or(0, |it| it.forecast().promised()),
                shares: share_status(state, service),
            }
        })
        .collect();
    homes.sort_by(|one, other| one.service.cmp(&other.service));
    homes
}

fn freed_per_second(state: &Gateway, service: u64) -> Option<u64> {
    let forecast = state.home(service)?.forecast();
    forecast.is_reliable().then(|| forecast.rate() as u64)
}

fn share_status(state: &Gateway, service: u64) -> Vec<ShareStatus> {
    let parts = state.home(service).into_iter();
    let parts = parts.flat_map(|it| it.workspace_parts());
    let name = |hash: u32| {
        let mut all = state.catalogue().into_iter().flat_map(|it| it.workspaces());
        let known = all.find(|it| workspace_hash(&it.name) == hash);
        known.map_or_else(|| "-".to_owned(), |it| it.name.clone())
    };
    parts
        .map(|(workspace, part)| ShareStatus {
            workspace: name(workspace),
            percent: (part * 100.0).round() as u32,
        })
        .collect()
}

fn endpoint_status(state: &Gateway, now: Time, endpoint: &Endpoint) -> EndpointStatus {
    let used = state.used(endpoint.key);
    let record = &endpoint.record;
    let backoff_ends = state.backoffs.ends(now, endpoint.key);
    let backoff_ms = backoff_ends.map(|it| millis(it.since(now)));
    let takes = match endpoint.state {
        EndpointState::Leaving { .. } | EndpointState::Unreadable => Availability::Nothing,
        EndpointState::Absent { .. } => Availability::Absent,
        _ if state.endpoints.is_cordoned(endpoint.key) => Availability::Cordoned,
        _ if backoff_ms.is_some() => Availability::BackedOff,
        EndpointState::Lapsed { .. } => Availability::Lapsed,
        EndpointState::Serving if endpoint.is_ejected(now) => Availability::PassedOver,
        EndpointState::Serving => Availability::Work,
    };
    EndpointStatus {
        name: record.name.clone(),
        service: record.service.clone(),
        address: record.address,
        data_centre: record.data_centre.clone(),
        takes,
        failing: endpoint.is_failing(),
        running: used.running,
        tokens: used.tokens,
        copied: used.copy_tokens,
        unread: used.pending_prefill,
        limit: state.limits.of(endpoint.key),
        backoff_ms,
    }
}

fn peer_status(now: Time, address: SocketAddrV4, peer: &Member) -> PeerStatus {
    PeerStatus {
        address,
        heard_ms_ago: peer.last_datagram.map(|at| millis(now.since(at))),
        revision: peer.replica.revision.number,
        epoch: peer.replica.revision.epoch.0,
        stopping: peer.is_stopping(),
    }
}
