//! What the heads of responses say about the endpoints that sent them.

use crate::cx::Cx;
use crate::log_event;
use crate::meters::millis;
use crate::ports::{Announced, Announcements, ResponseHead, Wire};
use crate::store::Source;
use core::time::Duration;
use oriolemux_core::gateway::rate_limits::ResponseLimit;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::time::Time;

/// The request that a response belongs to, and the endpoint that sent it.
#[derive(Clone, Copy, Debug)]
pub struct ResponseOrigin<'a> {
    /// The caller's attempt id for logs.
    pub attempt: &'a str,
    /// The name of the entry.
    pub entry: &'a str,
    /// The endpoint.
    pub place: &'a Placement,
}

impl<W: Wire> Cx<W> {
    /// Applies what the head of a response to a request sent at `sent` says about the endpoint.
    pub fn observe_response_head(
        &self,
        origin: &ResponseOrigin<'_>,
        head: &ResponseHead,
        sent: Time,
    ) {
        if head.wrong_attempt {
            // What an endpoint says about itself holds whichever request the response belongs to.
            return self.observe_announcements(origin, &head.announced);
        }
        let place = origin.place;
        let now = self.now();
        let mut state = self.state();
        let brittle = match head.brittle {
            Announced::Value(tolerated) if !head.wrong_endpoint => {
                state.observe_brittle(now, place.key, tolerated)
            }
            _ => None,
        };
        if let Some(load) = head.load {
            state.observe_load(now, place.key, load);
        }
        let held_for = match head.rejected {
            true => state.on_rejected(now, place.key),
            false => None,
        };
        if !head.not_run {
            state.on_accepted(now, place.key);
        }
        if let Some(cold_for) = head.cold_for {
            state.endpoints.observe_cold(now, place.key, cold_for);
        }
        let limit = match head.wrong_endpoint {
            true => None,
            false => state.observe_limit(now, place.key, sent, head.limit),
        };
        drop(state);
        if let Some(change) = brittle {
            self.announce_brittle(&change, Source::Endpoint);
        }
        if head.brittle == Announced::Unreadable {
            log_event!(BrittleUnreadable, endpoint = place.name.as_str());
        }
        if let Some(time) = held_for {
            self.gossip_due.notify_one();
            log_held(origin.attempt, origin.entry, &place.name, time, false);
        }
        if head.limit == ResponseLimit::Unreadable {
            log_event!(LimitUnreadable, endpoint = place.name.as_str());
        }
        if let Some(change) = limit {
            self.announce_limit(&change, Source::Endpoint);
        }
        match head.wrong_endpoint {
            // Another process responded, which speaks for itself only.
            true => self.record_replaced(place),
            false => self.observe_announcements(origin, &head.announced),
        }
    }

    /// Applies what an endpoint announces about itself in a response.
    ///
    /// An endpoint that leaves may be unable to say so in the store, which may be unavailable. The
    /// announcement is then the only notice that instances get.
    fn observe_announcements(&self, origin: &ResponseOrigin<'_>, announced: &Announcements) {
        let place = origin.place;
        let endpoint = place.name.as_str();
        match announced.leaving {
            Announced::Value(true) => {
                let now = self.now();
                let is_new = self.state().endpoints.mark_leaving(now, place.key);
                log_event!(
                    LeavingAnnounced,
                    attempt = origin.attempt,
                    endpoint = endpoint,
                    was_known = !is_new
                );
                if is_new {
                    self.announce_leaving(&[place.key]);
                }
            }
            Announced::Unreadable => log_unreadable(endpoint, "leaving"),
            Announced::Value(false) | Announced::Absent => {}
        }
        match announced.backoff {
            Announced::Value(delay) => {
                let now = self.now();
                self.state().request_backoff(now, place.key, delay);
                self.gossip_due.notify_one();
                log_event!(
                    BackoffRequested,
                    attempt = origin.attempt,
                    endpoint = endpoint,
                    ms = millis(delay)
                );
            }
            Announced::Unreadable => log_unreadable(endpoint, "backoff"),
            Announced::Absent => {}
        }
    }

    /// Marks an endpoint as leaving because another process answers at its address.
    fn record_replaced(&self, place: &Placement) {
        let now = self.now();
        if self.state().endpoints.mark_leaving(now, place.key) {
            self.announce_leaving(&[place.key]);
        }
    }
}

/// Logs that a request was held back from an endpoint that tolerates few rejections, or `-` for all
/// endpoints.
pub fn log_held(attempt: &str, entry: &str, endpoint: &str, time: Duration, is_placed: bool) {
    log_event!(
        BrittleHeld,
        attempt = attempt,
        entry = entry,
        endpoint = endpoint,
        ms = millis(time),
        placed = is_placed
    );
}

fn log_unreadable(endpoint: &str, what: &str) {
    log_event!(AnnouncementUnreadable, endpoint = endpoint, what = what);
}
