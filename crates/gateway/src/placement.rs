//! Placement requests for engines, sent to the home of their service.
//!
//! The home is the instance that decides for a service, chosen by rendezvous hashing. The core
//! chooses whom to ask and interprets the decision ([`core::gateway::placement`]); this module makes
//! a request wait for it.
//!
//! [`core::gateway::placement`]: oriolemux_core::gateway::placement

use crate::cx::Cx;
use crate::job::Job;
use crate::log_event;
use crate::meters::ByReason;
use crate::ports::Wire;
use core::sync::atomic::{AtomicBool, Ordering};
use core::time::Duration;
use oriolemux_core::gateway::Gateway;
use oriolemux_core::gateway::placement::PlacementStatus;
use oriolemux_core::gateway::request::{
    PlacementDecision, PlacementError, PlacementKind, PlacementRequest,
};
use oriolemux_core::gateway::state::Placement;
use oriolemux_core::ids::EndpointKey;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Instant;

/// The interval at which a waiting request polls in addition to notifications. It must notice
/// soon that no home answers.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The poll interval once a home has queued the request.
const QUEUED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Keeps a placement request open until dropped.
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

/// The parameters of a placement request.
#[derive(Clone, Copy, Debug)]
pub struct PlacementParams<'a> {
    /// The kind of placement.
    pub kind: PlacementKind,
    /// The KV tokens that the request is expected to need.
    pub tokens: u32,
    /// Endpoints that must not be chosen.
    pub exclude: &'a [EndpointKey],
}

/// The state of an open placement request.
#[derive(Debug)]
pub enum PlacementProgress<T> {
    /// There is a place.
    Granted(Placement, T),
    /// There is none yet.
    Waiting {
        /// The time after which to check again, if there is no decision before.
        check_after: Duration,
        /// Whether a home has queued the request.
        is_queued: bool,
    },
}

/// An open placement request, which is withdrawn when dropped.
pub struct OpenPlacement<W: Wire> {
    guard: PlacementGuard<W>,
    service: u64,
    kind: PlacementKind,
    tokens: u32,
    exclude: Vec<EndpointKey>,
    deadline: Instant,
    /// Whether it was logged that the request waits because the share of this instance is used up.
    is_share_logged: AtomicBool,
}

/// Why there is no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlacementFailure {
    /// No endpoint could be chosen.
    Unplaced(PlacementError),
    /// A home expects no room in time, but after this delay.
    Rejected {
        /// The time until there is room.
        retry_after: Duration,
    },
}

impl From<PlacementError> for PlacementFailure {
    fn from(why: PlacementError) -> Self {
        PlacementFailure::Unplaced(why)
    }
}

/// Requests a place until there is one or `deadline` passes, and passes it to `on_granted` under
/// the lock that closes the placement request: the home sees either the request or its usage.
///
/// # Errors
///
/// Returns why there is no place.
pub async fn request_placement<W: Wire, T>(
    job: &Job<W>,
    params: PlacementParams<'_>,
    deadline: Instant,
    on_granted: impl Fn(&mut Gateway, &Placement) -> T,
) -> Result<(Placement, T), PlacementFailure> {
    let open = OpenPlacement::new(job, params, deadline);
    loop {
        let mut decided = core::pin::pin!(job.cx.decided.notified());
        decided.as_mut().enable();
        match open.check(job, &on_granted)? {
            PlacementProgress::Granted(place, granted) => return Ok((place, granted)),
            PlacementProgress::Waiting { check_after, .. } => {
                // Nothing notifies when a deadline passes, so the wait is bounded.
                let _ = tokio::time::timeout(check_after, decided).await;
            }
        }
    }
}

impl<W: Wire> OpenPlacement<W> {
    /// Requests a place, until `deadline`.
    pub fn new(job: &Job<W>, params: PlacementParams<'_>, deadline: Instant) -> Self {
        let cx = &job.cx;
        let waiter = job.queued_request(params.tokens);
        let (id, service) = (waiter.id, waiter.service);
        let request = PlacementRequest {
            queued: waiter,
            kind: params.kind,
            exclude: params.exclude.to_vec(),
        };
        cx.state().request_placement(cx.now(), request);
        cx.gossip_due.notify_one();
        OpenPlacement {
            guard: PlacementGuard {
                cx: Arc::clone(cx),
                id,
            },
            service,
            kind: params.kind,
            tokens: params.tokens,
            exclude: params.exclude.to_vec(),
            deadline,
            is_share_logged: AtomicBool::new(false),
        }
    }

    /// Returns the KV tokens that were requested.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns whether there is a place now, and passes it to `on_granted` under the lock that
    /// closes the request.
    ///
    /// # Errors
    ///
    /// Returns why there is no place and the request is over.
    pub fn check<T>(
        &self,
        job: &Job<W>,
        on_granted: impl Fn(&mut Gateway, &Placement) -> T,
    ) -> Result<PlacementProgress<T>, PlacementFailure> {
        let (cx, id, service) = (&job.cx, self.guard.id, self.service);
        if cx
            .state()
            .endpoints
            .is_service_cordoned(&job.service().name)
        {
            return Err(PlacementError::Cordoned.into());
        }
        let now = cx.now();
        let waits_until = now + self.deadline.saturating_duration_since(Instant::now());
        let is_backed_off =
            cx.state()
                .is_backed_off_beyond(now, &job.service().name, &self.exclude, waits_until);
        if is_backed_off {
            return Err(PlacementError::BackedOff.into());
        }
        let is_past_deadline = Instant::now() >= self.deadline;
        let mut is_queued = false;
        let why = {
            let mut state = cx.state();
            match state.verdict(now, id) {
                PlacementStatus::Decided(PlacementDecision::Granted(key)) => {
                    if let Some(place) = state.granted_place(now, key) {
                        let granted = on_granted(&mut state, &place);
                        state.withdraw_placement(id);
                        ByReason::Places.add("home");
                        return Ok(PlacementProgress::Granted(place, granted));
                    }
                    // The engine began to leave, or requested a backoff, while the decision was on
                    // its way.
                    state.retry_placement(now, id);
                    PlacementError::NoEndpoint
                }
                PlacementStatus::Decided(PlacementDecision::Denied(why)) => return Err(why.into()),
                PlacementStatus::Decided(PlacementDecision::Rejected { retry_after_ms }) => {
                    let home = state.acting_home(now, service);
                    drop(state);
                    return Err(rejected(job, id, home, retry_after_ms));
                }
                PlacementStatus::Decided(PlacementDecision::Queued(why)) => {
                    is_queued = true;
                    why
                }
                PlacementStatus::Pending => PlacementError::Full,
                PlacementStatus::TimedOut => {
                    state.on_home_timeout(now, service, id);
                    let demand = job.demand(self.tokens, &self.exclude);
                    match state.place_without_home(now, &demand, self.kind) {
                        Ok(place) => {
                            let granted = on_granted(&mut state, &place);
                            state.withdraw_placement(id);
                            drop(state);
                            log_placed_without_home(job, &place);
                            return Ok(PlacementProgress::Granted(place, granted));
                        }
                        Err(why) => {
                            if state.is_beyond_share(now, &demand)
                                && !self.is_share_logged.swap(true, Ordering::Relaxed)
                            {
                                log_share_used_up(job, self.tokens, state.instances());
                            }
                            if !self.kind.is_queued() {
                                return Err(why.into());
                            }
                            why
                        }
                    }
                }
            }
        };
        if is_past_deadline {
            return Err(why.into());
        }
        let check_after = match is_queued {
            true => QUEUED_POLL_INTERVAL,
            false => POLL_INTERVAL,
        };
        Ok(PlacementProgress::Waiting {
            check_after,
            is_queued,
        })
    }
}

fn log_share_used_up<W: Wire>(job: &Job<W>, tokens: u32, instances: usize) {
    log_event!(
        FallbackShareUsedUp,
        attempt = job.name(),
        tokens = tokens,
        instances = instances,
        ms = job.arrived.elapsed().as_millis() as u64
    );
}

/// Logs that a home rejected a request, and returns the failure.
fn rejected<W: Wire>(
    job: &Job<W>,
    id: u64,
    home: Option<SocketAddrV4>,
    retry_after_ms: u32,
) -> PlacementFailure {
    let home = home.map_or_else(|| "-".to_owned(), |it| it.to_string());
    log_event!(
        PlacementRejected,
        attempt = job.name(),
        request = id,
        home = home.as_str(),
        retry_after_ms = retry_after_ms
    );
    PlacementFailure::Rejected {
        retry_after: Duration::from_millis(retry_after_ms.into()),
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
