//! Counters, gauges and histograms, exported in the Prometheus text format.
//!
//! The tables here define this crate's metrics; `docs/EVENTS.md` lists them. Nothing is
//! exported until [`install`] has been called.

mod request;

pub use request::RequestMeter;

use crate::events::LogEvent;
use ::metrics::Unit;
use metrics_prometheus::Recorder;
use oriolemux_core::reason::{Reason, ReasonGroup};
use oriolemux_gateway::meters;
use prometheus::{HistogramOpts, Registry, TextEncoder};
use std::sync::OnceLock;

/// Counts log events by name.
const EVENTS: &str = "oriolemux_events_total";
const EVENTS_DOC: &str = "Numbered events, by name; see the table of events.";

/// Upper bounds of the histogram buckets, in seconds. They include the latency targets of 32 ms
/// between tokens and 0.98 s to the first token.
const SECONDS_BUCKETS: &[f64] = &[
    0.002, 0.004, 0.008, 0.016, 0.032, 0.064, 0.125, 0.25, 0.5, 0.98, 2.0, 4.0, 8.0, 16.0, 32.0,
    64.0, 128.0,
];

meters! {
    /// A counter with the label `reason`.
    ReasonCounter {
        /// Requests refused before they ran.
        Refusals = "oriolemux_refusals_total";
        /// Attempts that ended early and were followed by another.
        Retries = "oriolemux_retries_total";
        /// Streams that broke and were asked for again at the same endpoint.
        Resumes = "oriolemux_resumes_total";
        /// Requests that failed after they may have run.
        Failures = "oriolemux_failures_total";
        /// Answers and parts of answers that were dropped because they did not belong.
        Discards = "oriolemux_discards_total";
    }
}

meters! {
    /// A counter without labels.
    Counter {
        /// Requests that arrived on the callers' listener.
        Requests = "oriolemux_requests_total";
        /// Requests whose whole answer was delivered.
        Completed = "oriolemux_completed_total";
        /// Tokens sent on to callers, added when the request ends.
        TokensDelivered = "oriolemux_tokens_delivered_total";
        /// Connections closed at once because the listener was full.
        ConnectionsRefused = "oriolemux_connections_refused_total";
        /// Bytes sent to other instances.
        PeerBytesSent = "oriolemux_peer_bytes_sent_total";
        /// Bytes received from other instances.
        PeerBytesReceived = "oriolemux_peer_bytes_received_total";
        /// Frames dropped because a link's queue was full.
        PeerFramesDropped = "oriolemux_peer_frames_dropped_total";
        /// Connections on the peers' port that were not taken as links.
        PeerConnectionsRefused = "oriolemux_peer_connections_refused_total";
        /// Calls of the platform's service; a waiting watch counts as one.
        PlatformCalls = "oriolemux_platform_calls_total";
        /// Log lines dropped because there were more than 100 of one event in a second, or
        /// because standard error did not take them.
        LogLinesDropped = "oriolemux_log_lines_dropped_total";
    }
}

meters! {
    /// A gauge without labels.
    Gauge {
        /// Requests that wait for a grant at this instance's cells.
        Queued = "oriolemux_queued_requests";
        /// Requests accepted here and not finished.
        Running = "oriolemux_running_requests";
        /// Open connections of callers.
        Connections = "oriolemux_caller_connections";
        /// Links to other instances that are up.
        Links = "oriolemux_peer_links";
        /// The catalogue revision in force; 0 before the first.
        CatalogueRevision = "oriolemux_catalogue_revision";
        /// The revision of the list of instances in force; 0 before the first.
        ListRevision = "oriolemux_list_revision";
        /// Seconds since the list of instances was last confirmed.
        ListAge = "oriolemux_list_age_seconds";
        /// Entries of the platform's last list that could not be read.
        ListEntriesUnreadable = "oriolemux_list_entries_unreadable";
        /// 1 while the balancer may send requests here, else 0.
        Ready = "oriolemux_ready";
    }
}

meters! {
    /// A histogram of seconds.
    Histogram {
        /// From the arrival of a request to its first token.
        FirstToken = "oriolemux_first_token_seconds";
        /// The longest silence between two tokens of an answer, once an answer.
        LongestGap = "oriolemux_longest_token_gap_seconds";
        /// From the arrival of a request to its grant.
        Wait = "oriolemux_wait_seconds";
    }
}

impl ReasonCounter {
    /// Increments the series of `reason` by one.
    pub fn add(self, reason: Reason) {
        ::metrics::counter!(self.name(), "reason" => reason.as_str()).increment(1);
    }

    /// Returns whether the counter may count `reason`. Such a series is exported at zero from
    /// the start, because a rate over a series that appears only with its first count misses
    /// that count.
    fn may_count(self, reason: Reason) -> bool {
        let group = reason.group();
        match self {
            ReasonCounter::Refusals => group != ReasonGroup::Discard,
            ReasonCounter::Retries | ReasonCounter::Resumes | ReasonCounter::Failures => {
                group == ReasonGroup::Failure
            }
            ReasonCounter::Discards => group == ReasonGroup::Discard,
        }
    }
}

impl Counter {
    /// Increments the counter by `n`.
    pub fn add(self, n: u64) {
        self.handle().increment(n);
    }

    /// Returns a handle that counts without a look-up, for events that occur once per token.
    pub fn handle(self) -> ::metrics::Counter {
        ::metrics::counter!(self.name())
    }
}

impl Gauge {
    /// Sets the value.
    pub fn set(self, value: f64) {
        ::metrics::gauge!(self.name()).set(value);
    }
}

impl Histogram {
    /// Records a duration in seconds.
    pub fn record(self, seconds: f64) {
        ::metrics::histogram!(self.name()).record(seconds);
    }
}

/// Counts an event in `oriolemux_events_total`.
pub(crate) fn count_event(name: &'static str) {
    ::metrics::counter!(EVENTS, "event" => name).increment(1);
}

static REGISTRY: OnceLock<Registry> = OnceLock::new();

/// The reason why metrics cannot be collected.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum InstallError {
    /// the histogram `{name}` cannot be registered: {source}
    Histogram {
        /// Its name.
        name: &'static str,
        /// The error of the `prometheus` library.
        source: prometheus::Error,
    },
}

/// Starts to collect metrics in this process and exports every counter at zero.
/// A second call does nothing.
///
/// The recorder must not delay the start of a process. A recorder that calibrates the CPU clock
/// takes up to 0.2 s, during which a restarting instance serves no callers; the delay is visible
/// in the times of the events `started` and `gateway_listening`. This recorder only counts and
/// does not measure time.
///
/// # Errors
///
/// Fails if the recorder cannot be built from the tables above.
pub fn install() -> Result<(), InstallError> {
    if REGISTRY.get().is_some() {
        return Ok(());
    }
    let registry = Registry::new();
    let mut builder = Recorder::builder().with_registry(registry.clone());
    let own = Histogram::ALL.iter().map(|it| it.name());
    let of_gateway = meters::Histogram::ALL.iter().map(|it| it.name());
    for name in own.chain(of_gateway) {
        let options = HistogramOpts::new(name, name).buckets(SECONDS_BUCKETS.to_vec());
        let histogram = prometheus::Histogram::with_opts(options);
        builder = histogram
            .and_then(|histogram| builder.try_with_metric(histogram))
            .map_err(|source| InstallError::Histogram { name, source })?;
    }
    let recorder = builder.build();
    // If another recorder is already installed, it stays in use and `render` returns an empty string.
    if ::metrics::set_global_recorder(recorder).is_ok() {
        let _ = REGISTRY.set(registry);
        describe();
        export_zeros();
    }
    Ok(())
}

/// Returns all metrics in the Prometheus text format; empty before [`install`].
pub fn render() -> String {
    let Some(registry) = REGISTRY.get() else {
        return String::new();
    };
    let rendered = TextEncoder::new().encode_to_string(&registry.gather());
    rendered.unwrap_or_else(|error| {
        log::error!("metrics cannot be rendered: {error}");
        String::new()
    })
}

fn describe() {
    let doc = |lines: &[&str]| lines.concat().trim().to_owned();
    ::metrics::describe_counter!(EVENTS, EVENTS_DOC);
    for m in ReasonCounter::ALL {
        ::metrics::describe_counter!(m.name(), doc(m.doc()));
    }
    for m in Counter::ALL {
        ::metrics::describe_counter!(m.name(), doc(m.doc()));
    }
    for m in Gauge::ALL {
        ::metrics::describe_gauge!(m.name(), doc(m.doc()));
    }
    for m in Histogram::ALL {
        ::metrics::describe_histogram!(m.name(), Unit::Seconds, doc(m.doc()));
    }
}

fn export_zeros() {
    for event in LogEvent::ALL {
        ::metrics::counter!(EVENTS, "event" => event.name()).absolute(0);
    }
    for m in ReasonCounter::ALL {
        for &reason in Reason::ALL.iter().filter(|&&reason| m.may_count(reason)) {
            ::metrics::counter!(m.name(), "reason" => reason.as_str()).absolute(0);
        }
    }
    for m in Counter::ALL {
        m.handle().absolute(0);
    }
    for m in Gauge::ALL {
        m.set(0.0);
    }
}
