//! Counters, gauges and histograms of the gateway.
//!
//! The tables below are the only place that defines them; `docs/EVENTS.md` lists them.
//! Without a recorder they have no effect and next to no cost.

use crate::cx::{Cx, OpenKind};
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::EndpointState;

/// The counter of numbered events of the whole product, by event name.
const EVENTS: &str = "oriolemux_events_total";

/// Defines an enum of metrics from a table of names and descriptions.
#[macro_export]
macro_rules! meters {
    ($(#[$enum_doc:meta])* $Enum:ident { $($(#[doc = $doc:literal])* $name:ident = $text:literal;)* }) => {
        $(#[$enum_doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $Enum { $($(#[doc = $doc])* $name,)* }

        impl $Enum {
            /// All metrics of the table.
            pub const ALL: &'static [$Enum] = &[$($Enum::$name,)*];

            /// Returns the published name.
            pub const fn name(self) -> &'static str {
                match self { $($Enum::$name => $text,)* }
            }

            /// Returns the description, line by line.
            pub const fn doc(self) -> &'static [&'static str] {
                match self { $($Enum::$name => &[$($doc),*],)* }
            }
        }
    };
}

meters! {
    /// A counter with the label `reason`.
    ByReason {
        /// Requests that the gateway answered itself.
        Refused = "oriolemux_gateway_refusals_total";
        /// Attempts of calls, by how they ended.
        Attempts = "oriolemux_gateway_attempts_total";
        /// Calls that were sent once more, by how the attempt before ended.
        Repeats = "oriolemux_gateway_repeats_total";
        /// Orders to stop a generation at an engine that it leaves, by how they were answered.
        RunStops = "oriolemux_gateway_run_stops_total";
        /// Generations that left an engine at which they may have run on, by what showed that the run
        /// there has ended: `ended` by the engine's word, `unreached` if the engine was not reached, so
        /// that the order is repeated beside the resumed generation, and `not_stopped` if it did not
        /// stop the run, so that the generation does not resume. What became of repeated orders is
        /// counted as `ended_later` or `never_shown`. `caller_left`: the caller disconnected meanwhile.
        RunEnds = "oriolemux_gateway_run_ends_total";
        /// Generations that were to go on at another engine: from a copy `ahead`, from a
        /// `standing` one, read `anew`, or `failed`; or to go `back` to the engine that stopped them.
        Relocations = "oriolemux_gateway_relocations_total";
        /// Generations, by how they ended.
        Generations = "oriolemux_gateway_generations_total";
        /// Questions to peers about what the store published, by how they ended.
        PeerAnswers = "oriolemux_gateway_peer_answers_total";
        /// Bytes sent to peers, by their purpose.
        PeerBytes = "oriolemux_gateway_peer_bytes_total";
        /// Datagrams, and answers over connections, sent to peers, by their purpose.
        PeerMessages = "oriolemux_gateway_peer_messages_total";
        /// Datagrams of peers that were dropped, by what is wrong with them.
        DatagramsDropped = "oriolemux_gateway_datagrams_dropped_total";
        /// Places at engines and for copies, by who decided: the `home`, or this instance `alone`.
        Places = "oriolemux_gateway_places_total";
        /// Pre-copies of generations whose engine leaves: `requested`, `waited` for room, `placed`,
        /// `refused` by the engine, `not_needed`, or why the request was withdrawn.
        PreCopies = "oriolemux_gateway_pre_copies_total";
        /// Requests for which endpoints were left out that would have been considered otherwise: for
        /// a `backoff` that they requested, or as `brittle` if they tolerated no more rejections and
        /// there was no other.
        Avoided = "oriolemux_gateway_endpoints_avoided_total";
        /// Connections to endpoints that could not be opened: `timeout`, `refused`, `failed`,
        /// `partitioned` where no endpoint of the service was reached meanwhile, or `nobody` where
        /// an endpoint ended together with a connection.
        Unreachable = "oriolemux_gateway_endpoints_unreachable_total";
        /// Requests that were offered to a peer because no endpoint is reached: `answered`,
        /// `not_served`, `lost`, `timeout`, or why the peer did not accept them.
        Proxied = "oriolemux_gateway_proxied_total";
        /// Requests that were withheld right before their first byte, because the endpoint that was
        /// chosen for them no longer takes them: `leaving`, `cordoned`, `backoff`, `unknown`, `limit`.
        Withheld = "oriolemux_gateway_sends_withheld_total";
        /// Timeouts from which nothing was concluded, because this instance itself was late: of a
        /// `connect`, a `call`, or a `home` that was asked for a placement.
        IgnoredTimeouts = "oriolemux_gateway_timeouts_ignored_total";
        /// Connections of callers that were closed before anything was read from them, because this
        /// instance was in `overload` or at its connection `limit`.
        Shed = "oriolemux_gateway_connections_shed_total";
        /// Connections that were closed because others needed their descriptors or memory, by listener:
        /// of `callers`, of the `readiness` check, of `operators` or of `peers`.
        ConnectionsEvicted = "oriolemux_gateway_connections_evicted_total";
        /// Request bodies that were given up for want of memory: `no_room`, or `evicted` in the middle,
        /// because another body made progress.
        BodiesGivenUp = "oriolemux_gateway_bodies_given_up_total";
        /// Responses that were not fully written when the connection of their caller ended, by how it
        /// ended: `caller_left`, `timed_out`, or by this instance.
        UnwrittenResponses = "oriolemux_gateway_unwritten_responses_total";
        /// Requests that this instance, as a home, rejected by forecast: no room `after_deadline`, or
        /// none for a first event in time (`after_target`).
        HomeRejections = "oriolemux_gateway_home_rejections_total";
        /// The same, by the priority of the request.
        HomeRejectionPriorities = "oriolemux_gateway_home_rejection_priorities_total";
    }
}

meters! {
    /// A gauge.
    Gauge {
        /// 1 while callers are taken, else 0.
        Ready = "oriolemux_gateway_ready";
        /// The version of the catalogue in force; 0 before the first.
        CatalogueVersion = "oriolemux_gateway_catalogue_version";
        /// The store's revision up to which everything is known.
        StoreRevision = "oriolemux_gateway_store_revision";
        /// The epoch of that revision, which rises when the store comes back from an older copy.
        StoreEpoch = "oriolemux_gateway_store_epoch";
        /// Seconds since the store last answered this instance, if it ever did.
        StoreAge = "oriolemux_gateway_store_age";
        /// Endpoints that take work.
        EndpointsServing = "oriolemux_gateway_endpoints_serving";
        /// Endpoints whose entry vanished around an outage of the store.
        EndpointsLapsed = "oriolemux_gateway_endpoints_lapsed";
        /// Endpoints whose entry is gone although they did not say that they leave.
        EndpointsAbsent = "oriolemux_gateway_endpoints_absent";
        /// Endpoints that leave.
        EndpointsLeaving = "oriolemux_gateway_endpoints_leaving";
        /// Endpoints that requested a backoff of this instance.
        EndpointsBackedOff = "oriolemux_gateway_endpoints_backed_off";
        /// Data centres that the operator closed to new work.
        DataCentresCordoned = "oriolemux_gateway_data_centres_cordoned";
        /// Services of which no endpoint is reached.
        ServicesPartitioned = "oriolemux_gateway_services_partitioned";
        /// Requests that are being served for peers.
        ServedForPeers = "oriolemux_gateway_served_for_peers";
        /// Other instances that take part.
        Peers = "oriolemux_gateway_peers";
        /// Connections of callers.
        Connections = "oriolemux_gateway_connections";
        /// Bytes that the bodies of callers' requests take.
        BodyBytes = "oriolemux_gateway_body_bytes";
        /// Bytes that responses take that are read to their end before their callers get them, except
        /// for small ones.
        ResponseBytes = "oriolemux_gateway_response_bytes";
        /// Bytes of events that are not written to their callers, beyond those that each stream may always
        /// have.
        StreamBytes = "oriolemux_gateway_stream_bytes";
        /// Generations that are passed on.
        Running = "oriolemux_gateway_generations_running";
        /// Seconds by which this instance itself lately delayed what it does: timers that fire late.
        TimerDelay = "oriolemux_gateway_timer_delay";
        /// Seconds by which the fastest of the last connections to endpoints was slower than usual.
        ConnectDelay = "oriolemux_gateway_connect_delay";
        /// The share of callers' new connections that is admitted; 1 unless this instance is late.
        AdmittedShare = "oriolemux_gateway_admitted_share";
        /// Log lines that were above an event's bound, since the start.
        LinesLeftOut = "oriolemux_gateway_log_lines_left_out";
    }
}

meters! {
    /// A histogram of seconds.
    Histogram {
        /// From a generation's arrival to its first event.
        FirstEvent = "oriolemux_gateway_first_event_seconds";
        /// The longest pause between two events of a generation.
        LongestPause = "oriolemux_gateway_longest_pause_seconds";
        /// How long a generation waited here for room at an engine.
        Wait = "oriolemux_gateway_wait_seconds";
        /// The difference between the time at which a home predicted room for a queued request and
        /// the time at which there was room.
        ForecastError = "oriolemux_gateway_forecast_error_seconds";
        /// From a generation's arrival to its end.
        Generation = "oriolemux_gateway_generation_seconds";
        /// From a call's arrival to its answer.
        Call = "oriolemux_gateway_call_seconds";
    }
}

impl ByReason {
    /// Adds one.
    pub fn add(self, reason: &str) {
        self.add_many(reason, 1);
    }

    /// Adds `count`.
    pub fn add_many(self, reason: &str, count: u64) {
        metrics::counter!(self.name(), "reason" => reason.to_owned()).increment(count);
    }
}

impl Histogram {
    /// Records a time.
    pub fn record(self, time: Duration) {
        metrics::histogram!(self.name()).record(time.as_secs_f64());
    }
}

/// Returns whole milliseconds, the unit of times in log lines and the status.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Counts a numbered event.
pub fn count_event(name: &'static str) {
    metrics::counter!(EVENTS, "event" => name).increment(1);
}

/// Updates the gauges to the current state.
pub fn publish_gauges<W: Wire>(cx: &Cx<W>) {
    let now = cx.now();
    let state = cx.state();
    let endpoints = |wanted: fn(&EndpointState) -> bool| {
        let all = state.endpoints.iter();
        all.filter(|endpoint| wanted(&endpoint.state)).count() as f64
    };
    let version = state.catalogue().map_or(0, |catalogue| catalogue.version());
    let age = state.reader.last_answer().map(|at| now.since(at));
    let values = [
        (Gauge::Ready, f64::from(u8::from(state.is_ready()))),
        (Gauge::CatalogueVersion, version as f64),
        (Gauge::StoreRevision, state.replica.revision().number as f64),
        (Gauge::StoreEpoch, state.replica.revision().epoch.0 as f64),
        (Gauge::StoreAge, age.unwrap_or_default().as_secs_f64()),
        (
            Gauge::EndpointsServing,
            endpoints(|it| matches!(it, EndpointState::Serving)),
        ),
        (
            Gauge::EndpointsLapsed,
            endpoints(|it| matches!(it, EndpointState::Lapsed { .. })),
        ),
        (
            Gauge::EndpointsAbsent,
            endpoints(|it| matches!(it, EndpointState::Absent { .. })),
        ),
        (
            Gauge::EndpointsLeaving,
            endpoints(|it| matches!(it, EndpointState::Leaving { .. })),
        ),
        (
            Gauge::EndpointsBackedOff,
            state.backoffs.active(now).count() as f64,
        ),
        (
            Gauge::DataCentresCordoned,
            state.endpoints.cordons().closed().count() as f64,
        ),
        (
            Gauge::ServicesPartitioned,
            state.reachability.partitioned().count() as f64,
        ),
        (
            Gauge::ServedForPeers,
            cx.open_count(OpenKind::Proxied) as f64,
        ),
        (Gauge::Peers, state.members.live().count() as f64),
        (
            Gauge::Connections,
            cx.open_count(OpenKind::Connection) as f64,
        ),
        (Gauge::BodyBytes, cx.bodies.used() as f64),
        (Gauge::ResponseBytes, cx.responses.used() as f64),
        (Gauge::StreamBytes, cx.streams.used() as f64),
        (Gauge::Running, cx.open_count(OpenKind::Generation) as f64),
        (
            Gauge::TimerDelay,
            state.own_delay.timer_delay().as_secs_f64(),
        ),
        (
            Gauge::ConnectDelay,
            state.own_delay.connect_delay(now).as_secs_f64(),
        ),
        (Gauge::AdmittedShare, state.own_delay.admitted_share()),
        (
            Gauge::LinesLeftOut,
            crate::event_log::lines_left_out() as f64,
        ),
    ];
    for (gauge, value) in values {
        metrics::gauge!(gauge.name()).set(value);
    }
}
