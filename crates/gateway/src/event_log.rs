//! Numbered events of the gateway and their log lines.
//!
//! Every decision that affects a request or changes the state of the instance is one line with a
//! number, the request's attempt id if there is one, and the inputs of the decision.
//! `docs/EVENTS.md` lists the numbers.
//!
//! Lines are rate limited for each event, so that a flood of one kind does not hide the others. The
//! limits of failed requests are the highest. Dropped lines are counted, and their number is logged
//! before the next line of the same event.

use log::Level;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

/// The log target of all numbered events of the product.
pub const TARGET: &str = "oriolemux::events";

/// Lines a second of an event of successful requests.
const USUAL: u32 = 200;

/// Lines a second of an event that anybody who sends datagrams can cause.
const FEW: u32 = 5;

/// Lines a second of an event that explains a failed request. If more requests fail, the first of
/// these lines explain the failure.
const FAILURES: u32 = 1_000;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $text:literal, $level:ident, $limit:expr;)*) => {
        /// One kind of event. Numbers and names are stable.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum GatewayEvent { $($(#[doc = $doc])* $name,)* }

        impl GatewayEvent {
            /// All events in the order of their numbers.
            pub const ALL: &'static [GatewayEvent] = &[$(GatewayEvent::$name,)*];

            /// Returns the number, which log lines carry as `event`.
            pub const fn number(self) -> u32 {
                match self { $(GatewayEvent::$name => $number,)* }
            }

            /// Returns the name, which is the message of the log line.
            pub const fn name(self) -> &'static str {
                match self { $(GatewayEvent::$name => $text,)* }
            }

            /// Returns the log level.
            pub const fn level(self) -> Level {
                match self { $(GatewayEvent::$name => Level::$level,)* }
            }

            /// Returns the maximum number of lines a second.
            pub const fn limit(self) -> u32 {
                match self { $(GatewayEvent::$name => $limit,)* }
            }

            /// Returns the description, line by line.
            pub const fn doc(self) -> &'static [&'static str] {
                match self { $(GatewayEvent::$name => &[$($doc),*],)* }
            }
        }
    };
}

events! {
    /// A listener of the gateway accepts connections.
    Listening = 800, "gateway_listening", Info, USUAL;
    /// An endpoint accepts no new requests any more: it reported so, its record was removed, or a
    /// peer reported it.
    EndpointLeaving = 801, "endpoint_departs", Info, USUAL;
    /// A request was refused before an endpoint was searched for; the line names the reason.
    RefusedAtFront = 802, "refused_at_front", Info, FAILURES;
    /// An attempt of a call ended; the line says how, and whether the call is retried.
    CallAttempt = 803, "call_attempt", Info, USUAL;
    /// An endpoint is ejected for a while because several requests in a row failed.
    EndpointEjected = 804, "endpoint_passed_over", Info, USUAL;
    /// A call failed; the line names the reason and the last endpoint.
    CallFailed = 805, "call_failed", Info, FAILURES;
    /// A generation was refused and did not run.
    GenerationRefused = 806, "generation_refused", Info, FAILURES;
    /// A generation left its engine and resumes from the pre-copy that was made after the notice.
    ResumedFromPreCopy = 807, "generation_goes_on_from_ahead", Info, USUAL;
    /// A generation resumes where its standby copy is kept.
    ResumedFromStandby = 808, "generation_goes_on_from_copy", Info, USUAL;
    /// The engine that was to resume a generation did not; the line says why.
    ResumeFailed = 809, "generation_cannot_go_on", Info, FAILURES;
    /// A generation ended; the line says how, how late, and how often it was relocated.
    GenerationEnded = 810, "generation_ended", Info, FAILURES;
    /// The store is available again.
    StoreRegained = 811, "store_regained", Info, USUAL;
    /// The store is unavailable to this instance; serving continues with the known records.
    StoreLost = 812, "store_lost", Warn, USUAL;
    /// A peer sent its records of the store.
    DeltaReceived = 813, "told_by_peer", Info, USUAL;
    /// A record of the store cannot be parsed. A catalogue in force stays in force; an endpoint is
    /// not used until its record is written again.
    RecordUnreadable = 814, "record_unreadable", Warn, USUAL;
    /// A new catalogue is in force.
    CatalogueInForce = 815, "catalogue_in_force", Info, USUAL;
    /// A catalogue was ignored because it is not newer than the one in force.
    CatalogueOlder = 816, "catalogue_older", Info, USUAL;
    /// A catalogue was rejected for a finding; the one in force stays.
    CatalogueRejected = 817, "catalogue_refused", Warn, USUAL;
    /// The grace period of a planned stop ended before the last request.
    StoppedWithRequests = 818, "stopped_with_requests", Warn, USUAL;
    /// A pre-copy of a generation whose engine leaves has ended; the line says how.
    PreCopyEnded = 819, "generation_copied_ahead", Info, USUAL;
    /// An endpoint was chosen; the line shows its known usage.
    Placed = 820, "placed", Info, USUAL;
    /// A peer sent its first datagram in this incarnation, or the first since it was gone.
    PeerJoined = 821, "peer_heard", Info, USUAL;
    /// A peer answered neither this instance nor others, and counts as gone.
    PeerGone = 822, "peer_silent", Info, USUAL;
    /// No engine has room for a copy of a generation; the line says for which kind of copy.
    NoRoomForCopy = 823, "no_room_for_copy", Info, USUAL;
    /// A retryable generation was queued inside its engine and is sent to another one.
    Reassigned = 824, "generation_taken_back", Info, USUAL;
    /// A resumable generation resumes at an engine that recomputes the prompt and the events.
    Recomputed = 825, "generation_goes_on_anew", Info, USUAL;
    /// Records of the store were sent to a peer; the line says how many bytes, how many transfers
    /// ran at once, and how it ended. Small deltas that were sent completely are not logged.
    DeltaSent = 826, "told_peer", Info, USUAL;
    /// Fetching records of the store from a peer that has more failed; the line says why.
    DeltaFetchFailed = 827, "not_told_by_peer", Info, USUAL;
    /// A datagram was dropped: it cannot be decoded, or is of another version or deployment.
    DatagramDropped = 828, "datagram_dropped", Info, FEW;
    /// No home answered a placement request in time, and this instance decided without a home.
    PlacedWithoutHome = 829, "placed_alone", Info, USUAL;
    /// The connection to an endpoint ended before its response did. The line names the request's
    /// fingerprint, which is the same for all its attempts, and says whether the endpoint crashed.
    ConnectionBroken = 830, "run_broke", Info, FAILURES;
    /// A request crashed an endpoint that had begun it; the line says how many endpoints it is
    /// known to have crashed.
    EndpointCrashed = 831, "endpoint_ended_by_request", Warn, USUAL;
    /// A request is refused because it crashed too many endpoints.
    SuspectRefused = 832, "suspect_refused", Warn, USUAL;
    /// The operator cordoned a data centre: running requests continue, and no new ones are sent.
    /// The line has the store's revision and the number of endpoints there.
    DataCentreCordoned = 833, "data_centre_cordoned", Info, USUAL;
    /// The operator's cordon of a data centre was lifted, or never existed.
    CordonLifted = 834, "cordon_lifted", Info, USUAL;
    /// A request is sent to one more endpoint, which spends the fleet's retry budget. The line says
    /// why, how many instances are live and known, the uptime of this one, and what remains.
    RetryGranted = 835, "repeat_spent", Info, USUAL;
    /// A request is not sent to one more endpoint, because the retry budget is exhausted.
    RetryDenied = 836, "repeat_denied", Info, FAILURES;
    /// An endpoint reported a new rate limit: requests a second from all instances together; 0
    /// means none.
    LimitReported = 837, "endpoint_limit_named", Info, USUAL;
    /// An endpoint reports no rate limit any more.
    LimitLifted = 838, "endpoint_limit_ended", Info, USUAL;
    /// The rate limit that an endpoint reported cannot be parsed; the previous one stays in force.
    LimitUnreadable = 839, "endpoint_limit_unreadable", Warn, FEW;
    /// A response of an endpoint announced that the endpoint is leaving; the line names the attempt
    /// and says whether this instance knew it already.
    LeavingAnnounced = 840, "endpoint_leaving_announced", Info, USUAL;
    /// An endpoint refused a request and wants no new ones from this instance for `ms`.
    BackoffRequested = 841, "endpoint_backoff_requested", Info, USUAL;
    /// What an endpoint announced about itself cannot be parsed and has no effect; the line says
    /// whether it is `leaving` or `backoff`.
    AnnouncementUnreadable = 842, "endpoint_announcement_unreadable", Warn, FEW;
    /// The backoff that an endpoint requested has ended; it gets requests again.
    BackoffEnded = 843, "endpoint_backoff_ended", Info, USUAL;
    /// The store no longer has the history after the known revision, and everything is read.
    HistoryGone = 844, "store_history_gone", Info, USUAL;
    /// The store came back from an older copy. The line has the epochs of both histories, the call
    /// whose answer stated the new one, and the last revision that was known of the old one.
    EpochChanged = 845, "store_epoch_changed", Warn, USUAL;
    /// An answer of the store is of an earlier epoch.
    AnswerOutdated = 846, "store_answer_outdated", Warn, FEW;
    /// An answer of the store states no epoch although earlier ones did, or one that cannot be
    /// parsed; the known epoch is assumed.
    EpochUnstated = 847, "store_epoch_unstated", Warn, FEW;
    /// The store was read in full. The line has its revision, and how many records it holds and how
    /// many of them are older than the known ones.
    StoreRead = 848, "store_read", Info, USUAL;
    /// No connection to an endpoint could be opened; the line says whether the attempt timed out,
    /// was refused or failed otherwise, or nobody listened after a connection had broken.
    EndpointUnreachable = 849, "endpoint_unreachable", Info, USUAL;
    /// As the home of a service, this instance skips an engine for all instances, because several
    /// instances could not use it; the line says how many did and for how long it is skipped.
    EjectedByHome = 850, "endpoint_passed_over_by_home", Info, USUAL;
    /// This instance reaches no endpoint of a service; its requests go through peers. The line names
    /// the endpoint that could not be reached last.
    ServicePartitioned = 851, "service_partitioned", Warn, USUAL;
    /// An endpoint of a service that this instance was partitioned from is reached again.
    ServiceReached = 852, "service_reached", Info, USUAL;
    /// A request went through a peer; the line says how that ended and the status of the response.
    Proxied = 853, "proxied", Info, FAILURES;
    /// A peer did not accept a request; the line says why. Nothing of the request was sent.
    ProxyDeclined = 854, "proxy_declined", Info, USUAL;
    /// A request of a peer that reaches no endpoint ended here; the line says how, and how many
    /// others are being served.
    ServedForPeer = 855, "served_for_peer", Info, USUAL;
    /// As the home of a service, this instance predicts stalls of an engine differently than before.
    /// The line has the inputs, and how many engines changed and are risky; at most one line for each
    /// service every 3 s.
    EngineRiskChanged = 856, "engine_risk_changed", Info, FEW;
    /// No engine has room for the pre-copy of a generation whose engine leaves, and its home queues
    /// the request. The line has the KV cache tokens that it needs, how long its engine has been
    /// leaving, and how long the generation is expected to continue.
    PreCopyWaits = 860, "pre_copy_waits", Info, USUAL;
    /// The request for a pre-copy is withdrawn. The line says why, how long it waited, and how long
    /// the engine has been leaving.
    PreCopyWithdrawn = 861, "pre_copy_withdrawn", Info, FAILURES;
    /// A generation whose engine leaves gets no pre-copy yet, because it is expected to end before
    /// it would be relocated. The line has the tokens and the time that are expected.
    PreCopyNotNeeded = 862, "pre_copy_not_needed", Info, USUAL;
    /// An engine refused a pre-copy for lack of room although a place there was granted. This
    /// generation does not try it again, and homes place no copy there for 300 ms. The line shows
    /// the usage of the engine as known here.
    PreCopyRefused = 863, "pre_copy_refused", Info, USUAL;
    /// As the home of a service, this instance rejected a queued request because it would get room
    /// at an engine too late. The line names the instance that has the request and the request's id
    /// there, and has the inputs: the predicted wait, the tokens that are needed until then, and the
    /// tokens per second that become available.
    RejectedByForecast = 864, "rejected_by_forecast", Info, USUAL;
    /// The home of a service rejected a request of this instance by forecast; the line has the id by
    /// which the home's line names it, and the time at which the home expects room.
    PlacementRejected = 865, "placement_rejected", Info, FAILURES;
    /// No home answered a placement request in time, and this instance has used up its share of the
    /// room that may be taken without a home. A request waits until a home answers; a copy is
    /// requested again. The line has the tokens and how many live instances share the room.
    FallbackShareUsedUp = 870, "fallback_share_used_up", Info, FEW;
    /// A connection attempt to an endpoint has had no answer for 0.4 s; the line says whether a
    /// partition from the endpoint's service begins.
    ConnectHangs = 873, "connect_hangs", Info, USUAL;
    /// An endpoint stated how many rejections a second for lack of capacity it tolerates from all
    /// instances together; it terminates if there are more.
    BrittleStated = 874, "endpoint_brittle", Info, USUAL;
    /// How many rejections an endpoint tolerates cannot be parsed, or is negative or huge; it has no
    /// effect.
    BrittleUnreadable = 875, "endpoint_brittle_unreadable", Warn, FEW;
    /// A request was held back from endpoints that are likely to be full and tolerate no more
    /// rejections now; the line says for how long, and whether it found a place then. For an engine
    /// it names the endpoint, to which nothing is sent for that time.
    BrittleHeld = 876, "held_from_brittle", Info, USUAL;
    /// A request was withheld right before its first byte, because the endpoint that was chosen for
    /// it no longer takes it; the line says why, how long the endpoint has been leaving, and whether
    /// a generation was to resume from a copy there.
    SendWithheld = 877, "send_withheld", Info, FAILURES;
    /// A generation resumes from a copy at an engine that is leaving; the line says how long the
    /// engine has been leaving.
    ResumesAtLeaving = 878, "resumes_at_leaving", Info, FAILURES;
    /// A request that crashed an endpoint has this part in its prompt, which other prompts may
    /// share; one line for each part. The line has the part's fingerprint and the name that the
    /// caller gives it, how many endpoints crashed under prompts with it, and whether it is a suspect
    /// because of this crash. A part under which a request recently succeeded is not.
    PartOfCrash = 880, "prompt_part_of_crash", Info, FAILURES;
    /// A request succeeded with a part of a prompt that was suspected, which clears the part.
    PartCleared = 881, "prompt_part_cleared", Info, FAILURES;
    /// A request is refused because of a part of its prompt, under which so many endpoints crashed.
    PartRefused = 882, "prompt_part_refused", Warn, FAILURES;
    /// A request with a suspect part in its prompt is sent under the lease of that part, so that no
    /// other one runs beside it.
    PartTried = 883, "prompt_part_tried", Info, FAILURES;
    /// The response to a request that was given up had arrived: what its head says about the endpoint
    /// is applied, and the rest is dropped.
    LateHeadRead = 884, "late_head_read", Info, USUAL;
    /// The own delay of this instance is high, and it sheds new connections: by how much its timers
    /// fire late, and by how much all connections to endpoints open more slowly than usual.
    SheddingBegins = 885, "shedding_begins", Warn, USUAL;
    /// This instance admits all new connections again.
    SheddingEnds = 886, "shedding_ends", Info, USUAL;
    /// The record of an endpoint was removed while the store may lack records, so that the endpoint is
    /// used for as long as its record may return; the line says whether this instance concludes that
    /// from its own calls, and which watcher states it, if any.
    RemovalHeldBack = 887, "removal_held_back", Info, USUAL;
    /// The record of an endpoint is gone although the endpoint did not say that it leaves. It gets no
    /// new work until its record is written again.
    EndpointAbsent = 888, "endpoint_absent", Info, USUAL;
    /// The record of an absent endpoint is back, and the endpoint gets new work again.
    EndpointReturned = 889, "endpoint_returned", Info, USUAL;
    /// A generation left an engine at which it may have run on, and the engine was ordered to stop it
    /// before it resumes at another one: how the last order was answered, how long that took, why the
    /// generation left, and the outcome. `not_running` says that the engine had dropped it, `done` and
    /// `no_room` that it stopped it now. The outcome is `ended`, `unreached` if the generation resumes
    /// and the order is repeated, or `not_stopped` if it does not resume.
    RunStopped = 890, "run_stopped", Info, FAILURES;
    /// The order to stop a generation was repeated because the engine was not reached when the
    /// generation resumed elsewhere, or because a caller left that may return: whether the engine
    /// showed that the run has ended before the request's deadline, and its last answer.
    RunStopFollowedUp = 891, "run_stop_followed_up", Info, FAILURES;
    /// A generation resumes at the engine that stopped it, from the KV cache that it kept, because no
    /// other engine resumed it.
    ResumedAtSource = 892, "resumed_at_source", Info, FAILURES;
    /// The connection of a caller ended before its response was written, and this instance did not end
    /// it: `caller_left`, or `timed_out` if the network delivers nothing. The line says whether the
    /// head of the response was ready, for how long its body was sent, and how long the request took.
    ResponseAbandoned = 893, "response_abandoned", Info, FAILURES;
    /// This instance ended the connection of a caller before its response was written: `body_failed`
    /// if the response was aborted so that it does not look complete, `slow_head`, `stop_deadline`,
    /// `not_read` if the caller accepted no data for too long, `evicted` if the connection yielded to others, `dropped` if the process ends at once, and `failed` or `closed` by the HTTP server. The fields
    /// are those of the event before.
    ResponseCut = 894, "response_cut", Warn, FAILURES;
    /// An engine that did not resume a generation from its copy is asked again: how often it was asked
    /// until now, this time included, and for how long the caller tolerates the pause.
    ResumeRepeated = 895, "resume_repeated", Info, FAILURES;
    /// A generation waits for the retry budget before it resumes at another engine: its engine has ended
    /// it, or is silent and may still produce events.
    RetryAwaited = 896, "retry_awaited", Info, FAILURES;
    /// An engine that leaves did not carry out the first order to stop a generation. The generation stays
    /// with it, and the order is repeated until it is carried out or the stream ends.
    StopNotCarriedOut = 897, "stop_not_carried_out", Info, FAILURES;
    /// An item in an answer of the store does not parse as one: its key, `-` if that cannot be read
    /// either, what is wrong with it, and how many such items the answer holds. All others are used. A
    /// record with such a key counts as one that cannot be parsed; a full read with a key that cannot be
    /// read removes no record that it lacks.
    StoreItemUnreadable = 900, "store_item_unreadable", Warn, FEW;
    /// The store answers this instance with responses that are not of the agreed form; serving continues
    /// with the known records, and the store is read again after a pause.
    StoreAnswerUnreadable = 901, "store_answer_unreadable", Warn, USUAL;
    /// A success bore no signature of its endpoint. The caller does not get it; it gets 502, unless the
    /// request may run again. The endpoint is `-` if it is not known: the request went through a peer, or
    /// it is a generation, for which the event of its start names the engine.
    ResponseUnsigned = 905, "response_unsigned", Warn, FAILURES;
    /// A bug ended the relay of a generation, which has no event of its end: its caller got 502, or its
    /// stream was aborted. The process goes on.
    RelayFailed = 906, "relay_failed", Error, FAILURES;
    /// The head of an endpoint's response is invalid: what is wrong with it. Nothing of the response is
    /// used; the request may have run, and its caller gets 502, unless it may run again.
    ResponseInvalid = 907, "response_invalid", Warn, FAILURES;
}

/// The lines of one event in the current second.
#[derive(Debug)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

/// Limits the log lines of each event.
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

/// Returns whether a line of `event` may be logged, and if so how many were dropped since the
/// last one.
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

/// Returns how many lines were dropped since the start.
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
