//! Checks settings against each other, after each one has been checked by itself.

use super::{GatewaySettings, Millis, Settings};
use core::ops::Range;
use oriolemux_core::findings::{Findings, Problem};
use std::net::SocketAddr;
use toml_edit::{Item, Table};

/// Checks all relations.
pub(super) fn check(settings: &Settings, root: &Table, text: &str, findings: &mut Findings) {
    let mut cx = RelationContext {
        root,
        text,
        findings,
    };
    let listeners = [
        ("callers", settings.callers.listen),
        ("peers", settings.peers.listen),
        ("operators", settings.operators.listen),
    ];
    check_listeners(&listeners, &mut cx);
    check_order(settings, &mut cx);
}

/// Checks the relations of an instance for HTTP entries.
pub(super) fn check_gateway(
    settings: &GatewaySettings,
    root: &Table,
    text: &str,
    findings: &mut Findings,
) {
    let mut cx = RelationContext {
        root,
        text,
        findings,
    };
    let listeners = [
        ("callers", settings.callers.listen),
        ("readiness", settings.readiness.listen),
        ("peers", SocketAddr::V4(settings.peers.listen)),
    ];
    check_listeners(&listeners, &mut cx);
    let notice = settings.stop.notice_ms.duration();
    if notice > settings.stop.grace_secs.0 {
        let why = "must not be longer than `grace_secs`".to_owned();
        cx.push("stop", "notice_ms", why);
    }
}

struct RelationContext<'a> {
    root: &'a Table,
    text: &'a str,
    findings: &'a mut Findings,
}

impl RelationContext<'_> {
    /// Pushes a finding at `section.key`, or at the section if the key has its default.
    fn push(&mut self, section: &str, key: &str, why: String) {
        let section_item = self.root.get(section);
        let item = section_item.and_then(|section| section.get(key));
        let span: Option<Range<usize>> = item.or(section_item).and_then(Item::span);
        let key = format!("{section}.{key}");
        let problem = Problem::Invalid { key, why };
        self.findings.push_span(self.text, span, problem);
    }
}

/// Reports two listeners on one address. Otherwise the second one would fail only when it binds,
/// long after the file was checked.
fn check_listeners(listeners: &[(&str, SocketAddr)], cx: &mut RelationContext<'_>) {
    for (index, &(section, address)) in listeners.iter().enumerate() {
        let mut earlier = listeners[..index].iter();
        if let Some((other, _)) = earlier.find(|&&(_, other)| collide(address, other)) {
            let why = format!("is the address of `{other}.listen`");
            cx.push(section, "listen", why);
        }
    }
}

/// Port 0 requests any free port from the operating system, so two of those never collide.
fn collide(a: SocketAddr, b: SocketAddr) -> bool {
    a.port() != 0
        && a.port() == b.port()
        && (a.ip() == b.ip() || a.ip().is_unspecified() || b.ip().is_unspecified())
}

/// A setting that must not be less than another one of its section.
struct AtLeast {
    section: &'static str,
    key: &'static str,
    value: Millis,
    floor_key: &'static str,
    floor: Millis,
}

/// Reports settings that are less than the minimum that another setting of their section requires.
///
/// If the heartbeat interval were as long as the silence time-out, every quiet link would be closed
/// and reconnected all the time.
fn check_order(settings: &Settings, cx: &mut RelationContext<'_>) {
    let peers = &settings.peers;
    let claims = &settings.claims;
    let latest_send_ms = claims.valid_ms.0.saturating_add(claims.list_fresh_ms.0);
    let rules = [
        AtLeast {
            section: "peers",
            key: "silence_timeout_ms",
            value: peers.silence_timeout_ms,
            floor_key: "heartbeat_ms",
            floor: Millis(peers.heartbeat_ms.0.saturating_mul(2)),
        },
        AtLeast {
            section: "peers",
            key: "reconnect_max_ms",
            value: peers.reconnect_max_ms,
            floor_key: "reconnect_min_ms",
            floor: peers.reconnect_min_ms,
        },
        // Work would run twice if a new home granted a key before the outcomes kept by the old
        // home have expired, or while the holder of an earlier claim may still send.
        AtLeast {
            section: "claims",
            key: "settle_ms",
            value: claims.settle_ms,
            floor_key: "memory_ms",
            floor: claims.memory_ms,
        },
        AtLeast {
            section: "claims",
            key: "settle_ms",
            value: claims.settle_ms,
            floor_key: "valid_ms",
            floor: Millis(latest_send_ms.saturating_add(1)),
        },
        // A claim that has expired by the time it is granted is useless.
        AtLeast {
            section: "claims",
            key: "valid_ms",
            value: claims.valid_ms,
            floor_key: "ask_limit_ms",
            floor: Millis(claims.ask_limit_ms.0.saturating_mul(2)),
        },
    ];
    for rule in rules.iter().filter(|rule| rule.value < rule.floor) {
        let (floor, floor_key) = (rule.floor.0, rule.floor_key);
        let why = format!("must be at least {floor} because of `{floor_key}`");
        cx.push(rule.section, rule.key, why);
    }
}
