//! Places at engines, asked of the home of their service.
//!
//! The core decides whom to ask and what an answer means ([`core::gateway::placement`]); here a
//! request waits for it.
//!
//! [`core::gateway::placement`]: oriolemux_core::gateway::placement

use crate::cx::Cx;
use crate::job::Job;
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::Gateway;
use oriolemux_core::gateway::choose::PlacementError;
use oriolemux_core::gateway::placement::{
    PlacementDecision, PlacementKind, PlacementRequest, PlacementStatus,
};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::sync::Arc;
use std::time::Instant;

/// How often a request that waits for a place looks again without being told to. It must see
/// soon that no home answers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The same once a home has said that it waits.
const QUEUED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A placement request that a home knows of until it is dropped.
struct PlacementGuard<W: Wire> {
    cx: Arc<Cx<W>>,
    id: u64,
}

impl<W: Wire> Drop for PlacementGuard<W> {
    fn drop(&mut self) {
        self.cx.state().withdraw_placement(self.id);
        self.cx.gossip_due.notify_one();
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementParams<'a> {
    /// What it wants.
    pub kind: PlacementKind,
    /// Tokens of memory that it is expected to take.
    pub tokens: u32,
    /// Endpoints that are not to be chosen.
    pub exclude: &'a [EndpointKey],
}

/// Asks for a place until there is one or `until`, and gives it to `take` in the same moment
/// in which the placement request ends: the home sees either the request or what became of it.
///
/// # Errors
///
/// Returns why there is no place.
pub async fn request_placement<W: Wire, T>(
    job: &Job<W>,
    asked: PlacementParams<'_>,
    until: Instant,
    take: impl Fn(&mut Gateway, &Placement) -> T,
) -> Result<(Placement, T), PlacementError> {
    let cx = &job.cx;
    let waiter = job.queued_request(asked.tokens);
    let (id, service) = (waiter.id, waiter.service);
    let request = PlacementRequest {
        queued: waiter,
        kind: asked.kind,
        exclude: asked.exclude.to_vec(),
    };
    cx.state().request_placement(cx.now(), request);
    cx.gossip_due.notify_one();
    let _open = PlacementGuard {
        cx: Arc::clone(cx),
        id,
    };
    loop {
        let mut decided = core::pin::pin!(cx.decided.notified());
        decided.as_mut().enable();
        if cx
            .state()
            .endpoints
            .is_service_cordoned(&job.service().name)
        {
            return Err(PlacementError::Cordoned);
        }
        let now = cx.now();
        let is_over = Instant::now() >= until;
        let mut look = POLL_INTERVAL;
        let why = {
            let mut state = cx.state();
            match state.verdict(now, id) {
                PlacementStatus::Decided(PlacementDecision::Granted(key)) => {
                    if let Some(place) = state.place_at(key) {
                        let taken = take(&mut state, &place);
                        state.withdraw_placement(id);
                        ByReason::Places.add("home");
                        return Ok((place, taken));
                    }
                    // It began to leave while the answer was under way.
                    state.retry_placement(now, id);
                    PlacementError::NoEndpoint
                }
                PlacementStatus::Decided(PlacementDecision::Denied(why)) => return Err(why),
                PlacementStatus::Decided(PlacementDecision::Queued(why)) => {
                    look = QUEUED_POLL_INTERVAL;
                    why
                }
                PlacementStatus::Pending => PlacementError::Full,
                PlacementStatus::TimedOut => {
                    state.on_home_timeout(now, service, id);
                    let demand = job.demand(asked.tokens, asked.exclude);
                    match state.place_without_home(now, &demand, asked.kind) {
                        Ok(place) => {
                            let taken = take(&mut state, &place);
                            state.withdraw_placement(id);
                            drop(state);
                            log_placed_without_home(job, &place);
                            return Ok((place, taken));
                        }
                        Err(why) if asked.kind != PlacementKind::Queued => return Err(why),
                        Err(why) => why,
                    }
                }
            }
        };
        if is_over {
            return Err(why);
        }
        // Time that is over is not told by anybody, so the wait is bounded.
        let _ = tokio::time::timeout(look, decided).await;
    }
}

fn log_placed_without_home<W: Wire>(job: &Job<W>, place: &Placement) {
    ByReason::Places.add("alone");
    log_event!(
        PlacedWithoutHome,
        attempt = job.name(),
        endpoint = place.name.as_str(),
        ms = job.arrived.elapsed().as_millis() as u64
    );
}
