//! What an instance believes at the moment, for operators.
//!
//! It is the answer of `/status` on the listener for metrics, and what
//! `oriolemux status` prints. Its fields are stable; new ones may come.

use crate::cx::{Cx, OpenKind};
use crate::meters::millis;
use crate::ports::Wire;
use oriolemux_core::gateway::endpoints::Endpoint;
use oriolemux_core::gateway::members::Member;
use oriolemux_core::gateway::queue::service_hash;
use oriolemux_core::gateway::{EndpointState, Gateway};
use oriolemux_core::time::Time;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Whether the balancer may send callers here.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Readiness {
    /// No: no catalogue, or of a node no list of instances, is in force yet.
    #[default]
    Starting,
    /// Yes.
    Ready,
    /// No: a stop was asked for.
    Stopping,
}

impl Readiness {
    /// Returns the name used in answers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Readiness::Starting => "starting",
            Readiness::Ready => "ready",
            Readiness::Stopping => "stopping",
        }
    }
}

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Availability {
    /// It does.
    Work,
    /// It failed several times in a row and is passed over for a while.
    PassedOver,
    /// Nothing while its data centre is closed to new work.
    Cordoned,
    /// Its entry vanished around an outage of the store; only if there is no other.
    Lapsed,
    /// Nothing, for good.
    Nothing,
}

/// What an instance believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatewayStatus {
    /// The instance's name.
    pub instance: String,
    /// This life of it, in hexadecimal digits.
    pub incarnation: String,
    /// Whether it takes callers.
    pub readiness: Readiness,
    /// The version of the catalogue in force; none before the first.
    pub catalogue_version: Option<u64>,
    /// What it knows of the store.
    pub store: StoreStatus,
    /// Connections of callers.
    pub connections: usize,
    /// Generations that are passed on.
    pub generations: usize,
    /// All endpoints, by name.
    pub endpoints: Vec<EndpointStatus>,
    /// Other instances that take part, by address.
    pub peers: Vec<PeerStatus>,
    /// The services whose engines have a home, by name.
    #[serde(default)]
    pub homes: Vec<HomeStatus>,
    /// Data centres that the operator closed to new work, by name.
    #[serde(default)]
    pub cordons: Vec<CordonStatus>,
    /// Requests that ended endpoints, those first that ended the most.
    #[serde(default)]
    pub suspects: Vec<SuspectStatus>,
    /// What was sent to peers since the start, by purpose.
    #[serde(default)]
    pub sent: Vec<SentStatus>,
}

/// A request that ended endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SuspectStatus {
    /// What makes two attempts the same request, as log lines have it.
    pub request: String,
    /// How many endpoints it is known to have ended.
    pub ended: usize,
    /// Whether it is refused.
    pub refused: bool,
    /// Milliseconds since the last of them.
    pub ended_ms_ago: u32,
}

/// A data centre that the operator closed to new work.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CordonStatus {
    /// The data centre.
    pub data_centre: String,
    /// The store's revision that says so.
    pub revision: u64,
    /// Milliseconds since this instance heard of it.
    pub heard_ms_ago: u64,
    /// Endpoints that are there.
    pub endpoints: usize,
}

/// What an instance sent to its peers for one purpose.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentStatus {
    /// The purpose.
    pub purpose: String,
    /// Datagrams, or answers over a connection.
    pub messages: u64,
    /// Their bytes, without those of the transport.
    pub bytes: u64,
}

/// Who decides about the engines of a service, as this instance believes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HomeStatus {
    /// The service.
    pub service: String,
    /// Its home.
    pub home: Option<SocketAddrV4>,
    /// The next in rank, which is asked where the home does not answer.
    pub next: Option<SocketAddrV4>,
    /// Whether the home did not answer lately and is passed over.
    pub passed_over: bool,
    /// Requests that wait for a decision of this instance; above 0 at one instance.
    pub waiting_here: usize,
}

/// What an instance knows of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StoreStatus {
    /// The revision up to which everything is known.
    pub revision: u64,
    /// Milliseconds since it last answered this instance; none if it never did.
    pub answered_ms_ago: Option<u64>,
    /// Whether this instance watches it for all.
    pub watches: bool,
    /// Whether entries may be missing and come back.
    pub unsettled: bool,
}

/// What an instance believes of an endpoint, with the use of all instances.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// The published name.
    pub name: String,
    /// The service.
    pub service: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
    /// Its data centre.
    pub data_centre: String,
    /// Whether it takes new work.
    pub takes: Availability,
    /// Whether the last that was seen of it here was a failure.
    pub failing: bool,
    /// Requests that run there.
    pub running: u16,
    /// Tokens of memory that they take or are expected to take.
    pub tokens: u32,
    /// Tokens of memory that standing copies take.
    pub copied: u32,
    /// Prompt tokens that wait to be read.
    pub unread: u32,
    /// Requests a second that it says it takes from all instances, if it names a limit.
    #[serde(default)]
    pub limit: Option<f64>,
}

/// What an instance knows of a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Where it answers peers.
    pub address: SocketAddrV4,
    /// Milliseconds since a datagram of its own came; none if only others told of it.
    pub heard_ms_ago: Option<u64>,
    /// The store's revision that it knows.
    pub revision: u64,
    /// Whether it is stopping.
    pub stopping: bool,
}

impl GatewayStatus {
    /// Returns what the instance believes now.
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
                revision: state.replica.revision(),
                answered_ms_ago: state
                    .reader
                    .last_answer()
                    .map(|heard| millis(now.since(heard))),
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
            revision,
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
            ended: it.crashed.len(),
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
            }
        })
        .collect();
    homes.sort_by(|one, other| one.service.cmp(&other.service));
    homes
}

fn endpoint_status(state: &Gateway, now: Time, endpoint: &Endpoint) -> EndpointStatus {
    let used = state.used(endpoint.key);
    let record = &endpoint.record;
    let takes = match endpoint.state {
        EndpointState::Leaving { .. } | EndpointState::Unreadable => Availability::Nothing,
        _ if state.endpoints.is_cordoned(endpoint.key) => Availability::Cordoned,
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
    }
}

fn peer_status(now: Time, address: SocketAddrV4, peer: &Member) -> PeerStatus {
    PeerStatus {
        address,
        heard_ms_ago: peer.last_datagram.map(|heard| millis(now.since(heard))),
        revision: peer.revision,
        stopping: peer.is_stopping(),
    }
}
