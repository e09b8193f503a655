//! What a node is told and what it asks for.
//!
//! The shell turns sockets and timers into [`Event`]s and carries out
//! [`Action`]s in the order given. Neither holds a socket, a future or a lock,
//! so a test can write them down and compare them.

use crate::ids::{AttemptId, EndpointKey, Incarnation, InstanceKey, RequestId};
use crate::outcome::{Ran, Verdict};
use crate::peer::{PeerEnvelope, PeerMessage};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;

/// Which process a peer message came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PeerId {
    /// The instance, by its published name.
    pub instance: InstanceKey,
    /// Its life, as authenticated when the connection was made.
    pub incarnation: Incarnation,
}

/// What a caller asked for, after the shell has read and bounded it.
#[derive(Clone, Debug)]
pub struct RequestArrival {
    /// The request's name, drawn by the shell.
    pub id: RequestId,
    /// SHA-256 of the caller's bearer key.
    pub key_digest: [u8; 32],
    /// The entry's name, as the caller wrote it.
    pub entry: String,
    /// What is to be done.
    pub work: Work,
    /// The caller's idempotency key, if it sent one.
    pub idempotency_key: Option<String>,
    /// The ticket that the caller drew earlier, if it sent one.
    pub ticket: Option<RequestId>,
    /// A stable hash of the body, to tell a repeat from a reuse of a key.
    pub body_hash: u64,
    /// How long the caller is willing to wait, if it said so.
    pub patience: Option<Duration>,
}

impl RequestArrival {
    /// Returns whether the request carries a ticket or key, so that an earlier
    /// request under the same name may have run.
    pub const fn has_name(&self) -> bool {
        self.ticket.is_some() || self.idempotency_key.is_some()
    }
}

/// The work of a request.
#[derive(Clone, Debug)]
pub enum Work {
    /// A generation by a model.
    Completion {
        /// Tokens of the prompt, declared by the caller or estimated by the shell.
        prompt_tokens: u32,
        /// The most tokens that the caller wants, if it said so.
        max_tokens: Option<u32>,
        /// Whether the caller wants tokens as they come.
        stream: bool,
        /// Stable hashes of the prompt's leading blocks, longest prefix last.
        prefix: Vec<u64>,
    },
    /// A call of a plain service.
    Call,
}

/// How an attempt is to be run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptMode {
    /// Nothing was delivered; start a generation.
    Fresh,
    /// Start a generation elsewhere and compare it with the first `delivered`
    /// tokens before going on (`docs/design/delivery.md`).
    Replay {
        /// How many tokens the caller already holds.
        delivered: u32,
    },
}

/// Where an endpoint is reached and how it is spoken to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointTarget {
    /// The endpoint's key.
    pub key: EndpointKey,
    /// Its published name.
    pub name: String,
    /// Its address and port, by number.
    pub address: std::net::SocketAddr,
}

/// How an answer reaches its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DeliveryMode {
    /// Tokens are sent on as they come.
    Stream,
    /// Nothing is sent on until the generation is complete.
    Whole,
}

/// An order to run one attempt now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt; its number is new for every order.
    pub attempt: AttemptId,
    /// Where to run it.
    pub endpoint: EndpointTarget,
    /// The model to ask for; empty for a plain service.
    pub model: String,
    /// The adapter to ask for, if any.
    pub adapter: Option<String>,
    /// The engine's priority; 0 is the most urgent.
    pub priority: u8,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// How the answer is delivered.
    pub delivery: DeliveryMode,
    /// Whether the work may be run more than once.
    pub idempotent: bool,
    /// Fresh or replay.
    pub mode: AttemptMode,
    /// The attempt must not be sent after this point. The shell reads its clock
    /// right before the send, because a process may have been paused since the
    /// decision.
    pub send_before: Time,
    /// Silence from the endpoint longer than this counts as a stall.
    pub stall_limit: Duration,
}

/// What became of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The endpoint sent the first token or answer byte.
    FirstToken,
    /// So many tokens have been received; reported at each checkpoint
    /// ([`crate::cell::is_checkpoint`]).
    Progress {
        /// Tokens received from the endpoint in this attempt.
        tokens: u32,
    },
    /// The whole answer was received and handed to the caller.
    Complete {
        /// Tokens of the answer.
        tokens: u32,
        /// Tokens of the prompt as the engine counted them, if it said so.
        prompt_tokens: Option<u32>,
    },
    /// The attempt is over without a whole answer; the node decides what follows.
    Failed {
        /// Why.
        reason: Reason,
        /// What is known about whether the work ran.
        ran: Ran,
        /// Tokens that the caller holds from this request in all.
        delivered: u32,
        /// When the endpoint asked to come back, if it said so.
        retry_after: Option<Duration>,
    },
}

/// How full an endpoint said it was, with a lag.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// Age of the figures when they were sent, in milliseconds.
    pub lag_ms: u32,
    /// Generations (or calls) that run.
    pub running: u32,
    /// Generations (or calls) that wait inside the endpoint.
    pub waiting: u32,
    /// Tokens of KV memory in all; 0 for a plain service.
    pub kv_tokens_total: u64,
    /// Tokens of KV memory in use by running generations.
    pub kv_tokens_used: u64,
    /// The most generations that run at once.
    pub max_running: u32,
    /// Preemptions since the endpoint started.
    pub preemptions: u64,
    /// Models that are loaded, with version and adapters.
    pub models: Vec<LoadedModel>,
    /// The endpoint says that it is leaving.
    pub leaving: bool,
    /// The highest fencing number that the endpoint has seen.
    pub fencing: u64,
}

/// A model that an endpoint holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub name: String,
    /// Its version.
    pub version: String,
    /// The adapters loaded for it.
    pub adapters: Vec<String>,
}

/// One value of the platform's service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ValueName {
    /// The list of instances and endpoints.
    Instances,
    /// The catalogue's index: revision and a digest per shard.
    CatalogueIndex,
    /// One shard of the catalogue.
    CatalogueShard(u32),
}

impl core::fmt::Display for ValueName {
    /// Writes the name under which the platform publishes the value.
    fn fmt(&self, f: &mut core::fmt::Formatter<'_>) -> core::fmt::Result {
        match self {
            ValueName::Instances => f.write_str("instances"),
            ValueName::CatalogueIndex => f.write_str("catalogue-index"),
            ValueName::CatalogueShard(number) => write!(f, "catalogue-shard-{number}"),
        }
    }
}

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for something.
    Request(Box<RequestArrival>),
    /// The caller of a request went away.
    CallerGone(RequestId),
    /// A caller draws a ticket; answered with [`Action::Ticket`].
    DrawTicket {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// The id drawn for the ticket by the shell.
        ticket: RequestId,
    },
    /// Something became of an attempt.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        update: AttemptUpdate,
    },
    /// A peer's message arrived.
    Peer {
        /// The authenticated sender.
        from: PeerId,
        /// Its messages and the revisions it knows.
        envelope: PeerEnvelope,
    },
    /// A link to a peer is up.
    PeerUp(PeerId),
    /// The link to a peer is gone.
    PeerDown(PeerId),
    /// The link to a peer was closed because it was idle.
    PeerIdle(PeerId),
    /// The platform's service answered a read or a watch.
    Value {
        /// Which value.
        name: ValueName,
        /// The platform's revision of that value.
        revision: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// The platform answered a watch: nothing is newer.
    ValueUnchanged {
        /// Which value.
        name: ValueName,
    },
    /// The platform's service could not be read.
    ValueFailed {
        /// Which value.
        name: ValueName,
    },
    /// An endpoint reported its load.
    Load {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// What it said.
        report: LoadReport,
    },
    /// An endpoint could not be asked for its load.
    LoadFailed {
        /// Which endpoint.
        endpoint: EndpointKey,
    },
    /// Prefix blocks that an endpoint stored or evicted; late and with gaps.
    Cache {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// Whether events were lost since the last batch.
        gap: bool,
        /// Block hashes now held.
        stored: Vec<u64>,
        /// Block hashes no longer held.
        evicted: Vec<u64>,
    },
    /// An endpoint answered an order.
    OrderDone {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// The order's number.
        fencing: u64,
        /// Whether it was carried out, refused as stale, or failed.
        result: OrderResult,
    },
    /// The timer asked for with [`Action::WakeAt`] is due.
    Wake,
    /// Planned stop: finish what runs, take nothing new.
    Stop,
}

/// What became of an order to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResult {
    /// The endpoint carries it out.
    Accepted,
    /// The endpoint has seen a higher fencing number.
    Fenced {
        /// The highest number that the endpoint has seen.
        highest: u64,
    },
    /// The endpoint did not answer or failed.
    Failed,
}

/// An order to an endpoint to change what it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderKind {
    /// Load a model, a version or an adapter.
    Load {
        /// The model's name.
        model: String,
        /// The version.
        version: String,
        /// An adapter of it, if the order is for one.
        adapter: Option<String>,
    },
    /// Unload a model, a version or an adapter.
    Unload {
        /// The model's name.
        model: String,
        /// The version.
        version: String,
        /// An adapter of it, if the order is for one.
        adapter: Option<String>,
    },
    /// Change the endpoint's role.
    Role {
        /// The new role's name.
        role: String,
    },
}

/// What a node asks the shell to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt.
    Dispatch(Box<Dispatch>),
    /// End the attempt that runs for a request at its endpoint and tell the caller nothing more.
    Cancel(RequestId),
    /// Give the caller its final answer.
    Finish {
        /// Which request.
        request: RequestId,
        /// What to say.
        verdict: Verdict,
    },
    /// Answer a caller that draws a ticket.
    Ticket {
        /// The ticket.
        ticket: RequestId,
        /// Whether it is issued, or why not.
        result: Result<(), Reason>,
    },
    /// Send a message to a peer. Lost if there is no link.
    Send {
        /// To whom.
        to: InstanceKey,
        /// What.
        message: PeerMessage,
    },
    /// Keep links to exactly these peers.
    Links(Vec<PeerTarget>),
    /// Read a value once.
    Read(ValueName),
    /// Watch a value for a revision above the one given; answered once.
    Watch {
        /// Which value.
        name: ValueName,
        /// The highest revision already known.
        above: u64,
    },
    /// Ask an endpoint for its load and cache events.
    PollLoad(EndpointTarget),
    /// Give an order to an endpoint.
    Order {
        /// Which endpoint.
        endpoint: EndpointTarget,
        /// The order's fencing number.
        fencing: u64,
        /// What to do.
        kind: OrderKind,
        /// The order must not be sent after this point (see [`Dispatch::send_before`]).
        send_before: Time,
    },
    /// Deliver [`Event::Wake`] at this time; replaces the one asked for before.
    WakeAt(Time),
    /// Count and log something that operators should see.
    Note(crate::note::Note),
    /// Nothing is left to do after [`Event::Stop`]; the process may end.
    Stopped,
}

/// Where a peer is reached.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerTarget {
    /// The peer's key.
    pub key: InstanceKey,
    /// Its published name.
    pub name: String,
    /// Its address and port for peers, by number.
    pub address: std::net::SocketAddr,
}
