//! Renders `docs/EVENTS.md` from the tables of events, reasons and metrics.

use super::LogEvent;
use crate::metrics::{Counter, Gauge, Histogram, ReasonCounter};
use oriolemux_core::reason::Reason;
use oriolemux_gateway::event_log::GatewayEvent;
use oriolemux_gateway::meters::{self, ByReason};

const HEAD: &str = "# Events, reasons and metrics

This page is generated from `crates/oriolemux/src/events/table.rs`,
`crates/core/src/reason.rs` and `crates/oriolemux/src/metrics.rs`; to renew
it, run the tests of `events_docs` with `ORIOLEMUX_RENEW=1`.
[OPERATIONS.md](OPERATIONS.md) says what to do about each failure.

## Events

Each log line of a numbered event has the number as `event` and the name as its
message. Each is counted in `oriolemux_events_total` with the name as label
`event`, whatever the level of the log. At most 100 lines a
second are logged for each event, so that a surge of one event does not hide
the others; the counters count all.

| number | name | level | meaning |
| --- | --- | --- | --- |
";

const GATEWAY: &str = "
## Events of instances for HTTP entries

They are defined in `crates/gateway/src/event_log.rs`. The table gives the most lines
a second that are logged for each event; a separate line reports in `left_out` how
many were suppressed. The field `attempt` is the caller's own name of its attempt, so
that a failed request can be found by the name that its caller knows.

| number | name | level | lines a second | meaning |
| --- | --- | --- | --- | --- |
";

const REASONS: &str = "
## Reasons

The same name is the `reason` of an error sent to a caller, the label `reason`
of the counters and the field `reason` of log lines. Status is what a caller
sees, unless part of the response was sent before.

| reason | group | status | meaning |
| --- | --- | --- | --- |
";

const METRICS: &str = "
## Metrics

`GET /metrics` on the operators' listener returns them in the Prometheus text
format. Counters by reason list every reason from the start, at zero.

| metric | kind | meaning |
| --- | --- | --- |
";

/// Returns the text of `docs/EVENTS.md`.
pub fn render() -> String {
    let mut page = String::from(HEAD);
    for event in LogEvent::ALL {
        let level = event.level().as_str().to_lowercase();
        let doc = one_line(event.doc());
        page += &format!(
            "| {} | `{}` | {level} | {doc} |\n",
            event.number(),
            event.name()
        );
    }
    page += GATEWAY;
    for event in GatewayEvent::ALL {
        let level = event.level().as_str().to_lowercase();
        let doc = one_line(event.doc());
        let (number, name, limit) = (event.number(), event.name(), event.limit());
        page += &format!("| {number} | `{name}` | {level} | {limit} | {doc} |\n");
    }
    page += REASONS;
    for reason in Reason::ALL {
        let group = reason.group().as_str();
        let doc = one_line(reason.doc());
        let status = reason.http_status();
        page += &format!("| `{reason}` | {group} | {status} | {doc} |\n");
    }
    page += METRICS;
    for (name, kind, doc) in metrics() {
        page += &format!("| `{name}` | {kind} | {doc} |\n");
    }
    page
}

fn metrics() -> impl Iterator<Item = (&'static str, &'static str, String)> {
    let by_reason = ReasonCounter::ALL
        .iter()
        .map(|m| (m.name(), "counter by `reason`", one_line(m.doc())));
    let counters = Counter::ALL
        .iter()
        .map(|m| (m.name(), "counter", one_line(m.doc())));
    let gauges = Gauge::ALL
        .iter()
        .map(|m| (m.name(), "gauge", one_line(m.doc())));
    let histograms = Histogram::ALL
        .iter()
        .map(|m| (m.name(), "histogram", one_line(m.doc())));
    let gateway = ByReason::ALL
        .iter()
        .map(|m| (m.name(), "counter by `reason`", one_line(m.doc())))
        .chain(
            meters::Gauge::ALL
                .iter()
                .map(|m| (m.name(), "gauge", one_line(m.doc()))),
        )
        .chain(
            meters::Histogram::ALL
                .iter()
                .map(|m| (m.name(), "histogram", one_line(m.doc()))),
        );
    by_reason
        .chain(counters)
        .chain(gauges)
        .chain(histograms)
        .chain(gateway)
}

fn one_line(lines: &[&str]) -> String {
    let lines: Vec<&str> = lines.iter().map(|line| line.trim()).collect();
    lines.join(" ")
}
