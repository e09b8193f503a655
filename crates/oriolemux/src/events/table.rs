//! The table of numbered events.

use crate::metrics;
use log::Level;

macro_rules! events {
    ($($(#[doc = $doc:literal])* $name:ident = $number:literal, $text:literal, $level:ident;)*) => {
        /// One kind of event. Numbers and names are stable; the number of a removed event is not
        /// reused.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum LogEvent { $($(#[doc = $doc])* $name,)* }

        impl LogEvent {
            /// Every event, in the order of the numbers.
            pub const ALL: &'static [LogEvent] = &[$(LogEvent::$name,)*];

            /// Returns the number, which log lines carry as `event`.
            pub const fn number(self) -> u32 {
                match self { $(LogEvent::$name => $number,)* }
            }

            /// Returns the name, which is the message of the log line and the label of the counter.
            pub const fn name(self) -> &'static str {
                match self { $(LogEvent::$name => $text,)* }
            }

            /// Returns the level at which it is logged.
            pub const fn level(self) -> Level {
                match self { $(LogEvent::$name => Level::$level,)* }
            }

            /// Returns the lines of its description for the catalogue of events.
            pub const fn doc(self) -> &'static [&'static str] {
                match self { $(LogEvent::$name => &[$($doc),*],)* }
            }
        }
    };
}

impl LogEvent {
    /// Counts the event in `oriolemux_events_total`.
    pub(super) fn count(self) {
        metrics::count_event(self.name());
    }
}

events! {
    /// The process starts; the line names its version and incarnation.
    Started = 101, "started", Info;
    /// A listener accepts connections.
    Listening = 102, "listening", Info;
    /// The process could not start; the line says why.
    StartFailed = 103, "start_failed", Error;
    /// A planned stop begins: readiness is withdrawn, running streams are finished.
    StopRequested = 104, "stop_requested", Info;
    /// The planned stop is complete; no request was interrupted.
    StopFinished = 105, "stop_finished", Info;
    /// A second signal ended the process immediately; running streams were interrupted.
    StoppedNow = 106, "stopped_now", Warn;
    /// A part of the process failed and is restarted by its supervisor.
    PartRestarted = 107, "part_restarted", Error;
    /// A part failed more often than its supervisor allows; the process ends.
    PartGivenUp = 108, "part_given_up", Error;
    /// The process was paused; pending decisions are checked again before they are carried out.
    Paused = 109, "paused", Warn;
    /// The settings were read and have no findings; the line names their file.
    SettingsRead = 110, "settings_read", Info;
    /// Settings that were read again have findings; the settings in force stay.
    SettingsRejected = 111, "settings_rejected", Warn;
    /// SIGTERM arrived while an instance for HTTP entries was stopping as planned. It changed nothing: the
    /// stop ends by itself.
    StopRepeated = 112, "stop_repeated", Info;

    /// A request was refused because of what the caller sent.
    InputRefused = 201, "request_refused_input", Debug;
    /// A request was refused by a limit or for lack of capacity.
    LimitRefused = 202, "request_refused_limit", Debug;
    /// A request was refused after a component or connection failed; it did not run.
    FailureRefused = 203, "request_refused_failure", Debug;
    /// An attempt ended early and the request is retried.
    RequestRetried = 204, "request_retried", Debug;
    /// A request failed after it may have run; its caller received the known outcome.
    RequestFailed = 205, "request_failed", Info;
    /// A message arrived late, twice or out of order, and was dropped.
    AnswerDiscarded = 206, "answer_discarded", Debug;
    /// A response arrived that belongs to another attempt; it was dropped and its connection is
    /// not reused. No caller received it, but an endpoint or proxy mixes up its responses.
    AnswerCrossed = 207, "answer_crossed", Warn;
    /// The head of a response of an endpoint or of the platform's service is invalid; the line says what
    /// is wrong. Nothing of the response is used, and work that it answers may have run.
    ResponseInvalid = 208, "response_head_invalid", Warn;

    /// An endpoint is leaving and receives no new requests.
    EndpointLeaving = 301, "endpoint_leaving", Info;
    /// An endpoint stalls or fails, and receives no new requests except probes.
    EndpointEjected = 302, "endpoint_ejected", Warn;
    /// An ejected endpoint passed a probe and receives requests again, slowly at first.
    EndpointReadmitted = 303, "endpoint_readmitted", Info;
    /// An order was sent to an endpoint.
    EndpointOrdered = 304, "endpoint_ordered", Info;
    /// An order is held back until no other instance can still be sending orders.
    OrderHeld = 305, "order_held", Info;

    /// An instance is dead or leaving; its keys move to the home that is next in rank.
    InstanceGone = 401, "instance_gone", Info;
    /// The published list dropped so much of the fleet at once that it is quarantined.
    ListDoubted = 402, "list_doubted", Warn;
    /// A newer list of instances and endpoints is in force.
    ListAccepted = 403, "list_accepted", Info;
    /// The list in force was not confirmed for a long time; serving continues with it, but
    /// operations that need a fresh list stop.
    ListStale = 404, "list_stale", Warn;
    /// An entry of the published list cannot be read; the others are used. What it described gets
    /// no new work until the entry can be read again. The line names its place and the reason.
    ListEntryUnreadable = 405, "list_entry_unreadable", Warn;
    /// The published list cannot be read as a whole; the line says why. The list in force stays.
    ListUnreadable = 406, "list_unreadable", Warn;

    /// A newer catalogue is in force.
    CatalogueAccepted = 501, "catalogue_accepted", Info;
    /// A catalogue has findings and was rejected completely; the previous one stays in force.
    CatalogueRejected = 502, "catalogue_rejected", Error;
    /// A catalogue older than the one in force arrived and was ignored.
    CatalogueStale = 503, "catalogue_stale", Warn;
    /// The platform's service does not answer; serving continues with the last known state.
    PlatformDown = 504, "platform_down", Warn;
    /// The platform's service answers again.
    PlatformUp = 505, "platform_up", Info;
    /// A catalogue waits for shards that are not published; the previous one stays in force.
    CatalogueWaiting = 506, "catalogue_waiting", Warn;

    /// A link to another instance is up.
    PeerUp = 601, "peer_up", Debug;
    /// A link to another instance broke; if it is needed, it is reconnected with backoff.
    PeerDown = 602, "peer_down", Info;
    /// A connection between instances was refused; the line says why, for example because
    /// the other side does not hold the secret.
    PeerRefused = 603, "peer_refused", Warn;

    /// A request on the operators' port carried no key or a wrong one.
    OperatorRefused = 701, "operator_refused", Warn;
}
