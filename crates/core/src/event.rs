//! The input and output of a node.
//!
//! The shell (the process around the core) turns sockets and timers into [`Event`]s and carries out
//! [`Action`]s in the order given. Neither holds a socket, a future or a lock, so tests can
//! construct and compare them.

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

/// A command to run one attempt now.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt; its number is unique for each dispatch of a request.
    pub attempt: AttemptId,
    /// The endpoint that runs it.
    pub endpoint: EndpointTarget,
    /// The model to request; empty for a plain service.
    pub model: String,
    /// The adapter to request, if any.
    pub adapter: Option<String>,
    /// The engine's priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// How the output is delivered.
    pub delivery: DeliveryMode,
    /// Whether the work may run more than once.
    pub idempotent: bool,
    /// Whether this is a fresh run or a replay.
    pub mode: AttemptMode,
    /// The attempt must not be sent after this time. The shell reads its clock immediately before
    /// the send, because the process may have been paused since the decision.
    pub send_before: Time,
    /// If the endpoint sends nothing for longer than this, the attempt counts as stalled.
    pub stall_limit: Duration,
}

/// Progress or the end of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptUpdate {
    /// The endpoint sent the first token or response byte.
    FirstToken,
    /// A checkpoint was reached; reported at each one ([`crate::checkpoint::is_checkpoint`]).
    Progress {
        /// Tokens received from the endpoint in this attempt so far.
        tokens: u32,
    },
    /// The complete response was received and delivered to the caller.
    Complete {
        /// Tokens of the output.
        tokens: u32,
        /// Tokens of the prompt as the engine counted them, if it reported them.
        prompt_tokens: Option<u32>,
    },
    /// The connection ended before the response did, and nothing accepts connections at the address
    /// of the endpoint any more. [`AttemptUpdate::Failed`] follows.
    EndpointExited,
    /// The attempt ended without a complete response; the node decides whether to retry.
    Failed {
        /// Why.
        reason: Reason,
        /// Whether the work may have run.
        ran: Ran,
        /// Tokens delivered to the caller by all attempts of this request.
        delivered: u32,
        /// The delay before a retry that the endpoint asked for, if any.
        retry_after: Option<Duration>,
    },
}

/// An input of a node.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request arrived from a caller.
    Request(Box<RequestArrival>),
    /// The caller of a request disconnected.
    CallerGone(RequestId),
    /// A caller requests a ticket; answered with [`Action::Ticket`].
    RequestTicket {
        /// SHA-256 of the caller's bearer key.
        key_digest: [u8; 32],
        /// The ID that the shell chose for the ticket.
        ticket: RequestId,
    },
    /// An attempt made progress or ended.
    Attempt {
        /// The attempt.
        attempt: AttemptId,
        /// The update.
        update: AttemptUpdate,
    },
    /// Messages from a peer arrived.
    Peer {
        /// The authenticated sender.
        from: PeerId,
        /// Its messages and the revisions it knows.
        envelope: PeerEnvelope,
    },
    /// A link to a peer is up.
    PeerUp(PeerId),
    /// The link to a peer went down.
    PeerDown(PeerId),
    /// The link to a peer was closed because it was idle.
    PeerIdle(PeerId),
    /// The platform returned a value for a read or a watch.
    Value {
        /// Which value.
        name: ValueName,
        /// The platform's revision of that value.
        revision: u64,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// A watch ended without a newer value.
    ValueUnchanged {
        /// Which value.
        name: ValueName,
    },
    /// A read or watch of the platform failed.
    ValueFailed {
        /// Which value.
        name: ValueName,
    },
    /// An endpoint reported its load.
    Load {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// The report.
        report: LoadReport,
    },
    /// A load poll of an endpoint failed.
    LoadFailed {
        /// Which endpoint.
        endpoint: EndpointKey,
    },
    /// Prefix blocks that an endpoint stored or evicted. Batches arrive late and may be lost.
    Cache {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// Whether events were lost since the previous batch.
        gap: bool,
        /// Hashes of blocks that were stored.
        stored: Vec<u64>,
        /// Hashes of blocks that were evicted.
        evicted: Vec<u64>,
    },
    /// An endpoint answered an order.
    OrderAnswered {
        /// Which endpoint.
        endpoint: EndpointKey,
        /// The fencing number of the order.
        fencing: u64,
        /// Whether it was carried out, refused as stale, or failed.
        result: OrderResult,
    },
    /// The timer set with [`Action::WakeAt`] is due.
    Wake,
    /// A planned stop was requested: finish running requests, accept no new ones.
    Stop,
}

/// An effect that the shell carries out for a node.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an attempt.
    Dispatch(Box<Dispatch>),
    /// Cancel the running attempt of a request at its endpoint, and send nothing more to the
    /// caller.
    Cancel(RequestId),
    /// Send the caller the final verdict.
    Finish {
        /// Which request.
        request: RequestId,
        /// The verdict.
        verdict: Verdict,
    },
    /// Answer a caller that requested a ticket.
    Ticket {
        /// The ticket.
        ticket: RequestId,
        /// Whether it is issued, or why it is refused.
        result: Result<(), Reason>,
    },
    /// Send a message to a peer. It is lost if there is no link.
    Send {
        /// The receiver.
        to: InstanceKey,
        /// The message.
        message: PeerMessage,
    },
    /// Maintain links to exactly these peers.
    Links(Vec<PeerTarget>),
    /// Read a value once.
    Read(ValueName),
    /// Watch a value for a revision higher than the given one; answered once.
    Watch {
        /// Which value.
        name: ValueName,
        /// The highest revision already known.
        above: u64,
    },
    /// Poll an endpoint for its load and cache events.
    PollLoad(EndpointTarget),
    /// Send an order to an endpoint.
    Order {
        /// Which endpoint.
        endpoint: EndpointTarget,
        /// The order's fencing number.
        fencing: u64,
        /// The kind of order.
        kind: OrderKind,
        /// The order must not be sent after this time (see [`Dispatch::send_before`]).
        send_before: Time,
    },
    /// Deliver [`Event::Wake`] at this time; replaces the previous wake time.
    WakeAt(Time),
    /// Count and log an event for operators.
    Note(crate::note::Note),
    /// All work is finished after [`Event::Stop`]; the process may end.
    Stopped,
}
