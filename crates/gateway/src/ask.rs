//! Places at engines, asked of the home of their service.
//!
//! The core decides whom to ask and what an answer means ([`core::gateway::ask`]); here a
//! request waits for it.
//!
//! [`core::gateway::ask`]: oriolemux_core::gateway::ask

use crate::cx::Cx;
use crate::job::Job;
use crate::meters::ByReason;
use crate::note;
use crate::ports::Wire;
use core::time::Duration;
use oriolemux_core::gateway::Gateway;
use oriolemux_core::gateway::ask::{Decision, PlacementRequest, Verdict, Want};
use oriolemux_core::gateway::choose::NoPlace;
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::sync::Arc;
use std::time::Instant;

/// How often a request that waits for a place looks again without being told to. It must see
/// soon that no home answers.
const LOOK_AGAIN: Duration = Duration::from_millis(5);

/// The same once a home has said that it waits.
const LOOK_WAITING: Duration = Duration::from_millis(50);

/// A placement request that a home knows of until it is dropped.
struct Open<W: Wire> {
    cx: Arc<Cx<W>>,
    id: u64,
}

impl<W: Wire> Drop for Open<W> {
    fn drop(&mut self) {
        self.cx.state().withdraw_placement(self.id);
        self.cx.dirty.notify_one();
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub struct PlaceRequest<'a> {
    /// What it wants.
    pub want: Want,
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
pub async fn ask<W: Wire, T>(
    job: &Job<W>,
    asked: PlaceRequest<'_>,
    until: Instant,
    take: impl Fn(&mut Gateway, &Placement) -> T,
) -> Result<(Placement, T), NoPlace> {
    let cx = &job.cx;
    let waiter = job.waiter(asked.tokens);
    let (id, service) = (waiter.id, waiter.service);
    let request = PlacementRequest {
        waiter,
        want: asked.want,
        exclude: asked.exclude.to_vec(),
    };
    cx.state().request_placement(cx.now(), request);
    cx.dirty.notify_one();
    let _open = Open {
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
            return Err(NoPlace::Cordoned);
        }
        let now = cx.now();
        let is_over = Instant::now() >= until;
        let mut look = LOOK_AGAIN;
        let why = {
            let mut state = cx.state();
            match state.verdict(now, id) {
                Verdict::Decided(Decision::Granted(key)) => {
                    if let Some(place) = state.place_at(key) {
                        let taken = take(&mut state, &place);
                        state.withdraw_placement(id);
                        ByReason::Places.add("home");
                        return Ok((place, taken));
                    }
                    // It began to leave while the answer was under way.
                    state.retry_placement(now, id);
                    NoPlace::NoEndpoint
                }
                Verdict::Decided(Decision::Denied(why)) => return Err(why),
                Verdict::Decided(Decision::Waits(why)) => {
                    look = LOOK_WAITING;
                    why
                }
                Verdict::Asked => NoPlace::Full,
                Verdict::Unanswered => {
                    state.on_home_timeout(now, service, id);
                    let demand = job.demand(asked.tokens, asked.exclude);
                    match state.place_without_home(now, &demand, asked.want) {
                        Ok(place) => {
                            let taken = take(&mut state, &place);
                            state.withdraw_placement(id);
                            drop(state);
                            note_alone(job, &place);
                            return Ok((place, taken));
                        }
                        Err(why) if asked.want != Want::Place => return Err(why),
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

fn note_alone<W: Wire>(job: &Job<W>, place: &Placement) {
    ByReason::Places.add("alone");
    note!(
        PlacedAlone,
        attempt = job.name(),
        endpoint = place.name.as_str(),
        ms = job.arrived.elapsed().as_millis() as u64
    );
}
