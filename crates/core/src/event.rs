//! What a node is told and what it asks for.
//!
//! The shell turns sockets and timers into [`Event`]s and carries out
//! [`Action`]s in the order given. Neither holds a socket, a future or a lock,
//! so a test can write them down and compare them.

use crate::ids::{AttemptId, EndpointKey, InstanceKey, RequestId};
use crate::outcome::{Ran, Verdict};
use crate::peer::{PeerEnvelope, PeerMessage};
use crate::reason::Reason;
use crate::time::Time;
use core::time::Duration;

pub use crate::value::{
    AttemptMode, DeliveryMode, EndpointTarget, LoadReport, LoadedModel, OrderKind, OrderResult,
    PeerId, PeerTarget, RequestArrival, ValueName, Work,
};

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
    /// ([`crate::checkpoint::is_checkpoint`]).
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
    /// The connection ended before the answer did, and nobody is at the endpoint's address any
    /// more. That the attempt failed is reported after this.
    EndpointExited,
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

/// What a node is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller asks for something.
    Request(Box<RequestArrival>),
    /// The caller of a request went away.
    CallerGone(RequestId),
    /// A caller draws a ticket; answered with [`Action::Ticket`].
    RequestTicket {
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
    OrderAnswered {
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
