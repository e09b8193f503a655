//! Numbered events of the gateway, and the lines that tell them.
//!
//! Every decision that touches a request or changes what the instance believes is
//! one line with a number, the request's attempt id where there is one, and the
//! inputs that decided it. The numbers stand in `docs/EVENTS.md`.
//!
//! Lines are bounded: of one event so many a second as its row says, so that a flood
//! of one kind does not drown the rest. Rows of failed requests allow the most. What
//! was left out is counted and told with the next line of the same event.

use log::Level;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The log target of all numbered events, of the whole product.
pub const TARGET: &str = "oriolemux::events";

/// Lines a second of an event that happens to requests that go well.
const USUAL: u32 = 200;

/// Lines a second of an event that whoever sends datagrams can cause.
const FEW: u32 = 5;

/// Lines a second of an event that says why a request failed. An instance that
/// fails more is explained by the first of them.
const FAILURES: u32 = 1_000;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $text:literal, $level:ident, $limit:expr;)*) => {
        /// One kind of event. Numbers and names are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum GatewayEvent { $($(#[doc = $doc])* $name,)* }

        impl GatewayEvent {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [GatewayEvent] = &[$(GatewayEvent::$name,)*];

            /// Returns the number, which log lines carry as `event`.
            pub const fn number(self) -> u32 {
                match self { $(GatewayEvent::$name => $number,)* }
            }

            /// Returns the name, which is the message of the log line.
            pub const fn name(self) -> &'static str {
                match self { $(GatewayEvent::$name => $text,)* }
            }

            /// Returns the level at which it is logged.
            pub const fn level(self) -> Level {
                match self { $(GatewayEvent::$name => Level::$level,)* }
            }

            /// Returns how many lines a second are logged of it.
            pub const fn limit(self) -> u32 {
                match self { $(GatewayEvent::$name => $limit,)* }
            }

            /// Returns what it means, line by line.
            pub const fn doc(self) -> &'static [&'static str] {
                match self { $(GatewayEvent::$name => &[$($doc),*],)* }
            }
        }
    };
}

events! {
    /// A listener of the gateway accepts connections.
    Listening = 800, "gateway_listening", Info, USUAL;
    /// An endpoint takes nothing new, for good: it said so, its entry vanished, or a peer knew.
    EndpointLeaving = 801, "endpoint_departs", Info, USUAL;
    /// A request was refused before an endpoint was looked for; the line names the reason.
    RefusedAtFront = 802, "refused_at_front", Info, FAILURES;
    /// An attempt of a call ended; the line says how, and whether it is repeated.
    CallAttempt = 803, "call_attempt", Info, USUAL;
    /// An endpoint failed several times in a row and is passed over for a while.
    EndpointEjected = 804, "endpoint_passed_over", Info, USUAL;
    /// A call failed; the line names the reason and the last endpoint.
    CallFailed = 805, "call_failed", Info, FAILURES;
    /// A generation was refused and did not run.
    GenerationRefused = 806, "generation_refused", Info, FAILURES;
    /// A generation left its engine and goes on from the copy made at the notice.
    ResumedFromPreCopy = 807, "generation_goes_on_from_ahead", Info, USUAL;
    /// A generation goes on where its standing copy is kept.
    ResumedFromStandby = 808, "generation_goes_on_from_copy", Info, USUAL;
    /// The engine that was to go on with a generation did not; the line says why.
    ResumeFailed = 809, "generation_cannot_go_on", Info, FAILURES;
    /// A generation ended; the line says how, how late, and through how many engines.
    GenerationEnded = 810, "generation_ended", Info, FAILURES;
    /// The store answers again.
    StoreRegained = 811, "store_regained", Info, USUAL;
    /// The store does not answer this instance; serving goes on with what is known.
    StoreLost = 812, "store_lost", Warn, USUAL;
    /// A peer told what it knows of the store.
    DeltaReceived = 813, "told_by_peer", Info, USUAL;
    /// A record of the store cannot be read. A catalogue in force stays; an entry of an
    /// endpoint names none to use until it is written again.
    RecordUnreadable = 814, "record_unreadable", Warn, USUAL;
    /// A catalogue is in force.
    CatalogueInForce = 815, "catalogue_in_force", Info, USUAL;
    /// A catalogue arrived that is not newer than the one in force; it was ignored.
    CatalogueOlder = 816, "catalogue_older", Info, USUAL;
    /// A catalogue has a finding; the one in force stays.
    CatalogueRejected = 817, "catalogue_refused", Warn, USUAL;
    /// The grace of a planned stop was over before the last request was answered.
    StoppedWithRequests = 818, "stopped_with_requests", Warn, USUAL;
    /// A copy of a generation's memory was made, or was not, while its engine leaves.
    PreCopyEnded = 819, "generation_copied_ahead", Info, USUAL;
    /// An endpoint was chosen; the line shows what was known of it.
    Placed = 820, "placed", Info, USUAL;
    /// A peer was heard for the first time in its present life, or again after it was gone.
    PeerJoined = 821, "peer_heard", Info, USUAL;
    /// A peer answered neither this instance nor others, and counts as gone.
    PeerGone = 822, "peer_silent", Info, USUAL;
    /// No engine has room for a copy of a generation; the line says for which kind of copy.
    NoRoomForCopy = 823, "no_room_for_copy", Info, USUAL;
    /// A generation that may run again waited inside its engine and is sent to another one.
    Reassigned = 824, "generation_taken_back", Info, USUAL;
    /// A resumable generation goes on at an engine that reads prompt and events anew.
    Recomputed = 825, "generation_goes_on_anew", Info, USUAL;
    /// A peer was told what the store published; the line says how much, to how many at
    /// once, and how it ended. A small answer that was read to its end has no line.
    DeltaSent = 826, "told_peer", Info, USUAL;
    /// A peer that knows more of the store did not tell it; the line says why.
    DeltaFetchFailed = 827, "not_told_by_peer", Info, USUAL;
    /// A datagram was dropped: it cannot be read, or is of another version or deployment.
    DatagramDropped = 828, "datagram_dropped", Info, FEW;
    /// No home answered a request for a place in time, and this instance decided alone.
    PlacedWithoutHome = 829, "placed_alone", Info, USUAL;
    /// The connection to an endpoint ended before its answer did. The line names the request by
    /// what makes two attempts the same one, and says whether the endpoint ended too.
    ConnectionBroken = 830, "run_broke", Info, FAILURES;
    /// A request ended an endpoint that began it; the line says how many it is known to have
    /// ended.
    EndpointCrashed = 831, "endpoint_ended_by_request", Warn, USUAL;
    /// A request is refused because it ended too many endpoints.
    SuspectRefused = 832, "suspect_refused", Warn, USUAL;
    /// The operator closed a data centre to new work: what runs there goes on, nothing new is
    /// sent. The line has the store's revision and how many endpoints are there.
    DataCentreCordoned = 833, "data_centre_cordoned", Info, USUAL;
    /// The operator's cordon of a data centre was lifted, or was never there.
    CordonLifted = 834, "cordon_lifted", Info, USUAL;
    /// A request is sent to one endpoint more, at the expense of the fleet's budget. The line says
    /// why, how many instances are heard and known, since when this one runs, and what is left.
    RetryGranted = 835, "repeat_spent", Info, USUAL;
    /// A request is not sent to one endpoint more, because the budget has nothing left for it.
    RetryDenied = 836, "repeat_denied", Info, FAILURES;
    /// An endpoint names how many requests a second it takes from all instances, or names another
    /// rate; 0 is none.
    LimitReported = 837, "endpoint_limit_named", Info, USUAL;
    /// An endpoint names no limit any more.
    LimitLifted = 838, "endpoint_limit_ended", Info, USUAL;
    /// The limit that an endpoint names cannot be read; what it said before holds.
    LimitUnreadable = 839, "endpoint_limit_unreadable", Warn, FEW;
}

/// Lines of one event within the present second.
#[derive(Debug)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// What may be logged, for each event.
struct Limiter {
    started: Instant,
    windows: Vec<Mutex<Window>>,
    left_out: AtomicU64,
}

static LIMITER: std::sync::LazyLock<Limiter> = std::sync::LazyLock::new(|| Limiter {
    started: Instant::now(),
    windows: GatewayEvent::ALL
        .iter()
        .map(|_| {
            Mutex::new(Window {
                second: 0,
                lines: 0,
                left_out: 0,
            })
        })
        .collect(),
    left_out: AtomicU64::new(0),
});

/// Returns whether a line of `event` is logged, and if so how many were left out
/// since the last one.
pub fn admit(event: GatewayEvent) -> Option<u64> {
    let limiter = &*LIMITER;
    let second = limiter.started.elapsed().as_secs();
    let window = &limiter.windows[event as usize];
    let mut window = window.lock().unwrap_or_else(PoisonError::into_inner);
    if window.second != second {
        window.second = second;
        window.lines = 0;
    }
    if window.lines >= event.limit() {
        window.left_out += 1;
        limiter.left_out.fetch_add(1, Ordering::Relaxed);
        return None;
    }
    window.lines += 1;
    Some(core::mem::take(&mut window.left_out))
}

/// Returns how many lines were left out since the start.
pub fn lines_left_out() -> u64 {
    LIMITER.left_out.load(Ordering::Relaxed)
}

/// Logs one line of a numbered event.
#[macro_export]
macro_rules! log_event {
    ($event:ident $(, $($fields:tt)*)?) => {{
        let event = $crate::event_log::GatewayEvent::$event;
        $crate::meters::count_event(event.name());
        if let Some(left_out) = $crate::event_log::admit(event) {
            if left_out > 0 {
                log::log!(target: $crate::event_log::TARGET, event.level(),
                    event = event.number(), left_out = left_out; "{}", event.name());
            }
            log::log!(target: $crate::event_log::TARGET, event.level(),
                event = event.number() $(, $($fields)*)?; "{}", event.name());
        }
    }};
}
