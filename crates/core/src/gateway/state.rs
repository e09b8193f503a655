//! [`Gateway`]: all decisions about HTTP entries of one instance.

mod brittle;
mod partitions;
mod peers;
mod places;
mod prompt_parts;
mod retries;
mod store;
mod suspects;

pub use partitions::UnreachableOutcome;
pub use peers::{DatagramOutcome, DropReason, GOSSIP_DELAY, TICK};
pub use places::{HomeDecisions, SendKind, WithheldReason};

use super::backoff::Backoffs;
use super::beacons::Beacons;
use super::brittle::BrittleEndpoints;
use super::budget::{BudgetConfig, SharedRetryBudget};
use super::catalogue::{Catalogue, CatalogueFinding, CatalogueSource};
use super::catch_up::CatchUp;
use super::cold::RateShares;
use super::cordons::{Cordon, CordonEffect};
use super::endpoints::{Endpoint, EndpointRecord, EndpointTable, RESUME_AT_LEAVING, Removal};
use super::fallback::FallbackShares;
use super::fleet_size::FleetSize;
use super::gossip::{Body, Outbox};
use super::home::{Home, HomeEjection, HomeRejection};
use super::lengths::LengthTable;
use super::members::{CapacityClass, Members};
use super::no_room::NoRoom;
use super::own_delay::OwnDelay;
use super::pace::{PaceModel, PaceSamples, RiskChange};
use super::placement::PlacementTable;
use super::proxies::Proxies;
use super::rate_limits::{LimitChange, RateLimits, ResponseLimit};
use super::reachability::Reachability;
use super::reader::{MissingRecords, SETTLE_TIME, StoreReader};
use super::replica::{Record, Replica};
use super::stop_conduct::StopConduct;
use super::suspects::Suspects;
use super::usage::{ReportedLoad, UsageTable};
use super::withdrawal::Withdrawal;
use crate::ids::{EndpointKey, Incarnation};
use crate::time::Time;
use core::time::Duration;
use places::Reported;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Configuration of an instance.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// The incarnation of this process.
    pub incarnation: Incarnation,
    /// The data centre of this instance.
    pub data_centre: String,
    /// Address at which this instance receives datagrams of peers.
    pub address: SocketAddrV4,
    /// Distinguishes deployments that share a network.
    pub deployment: u64,
    /// Addresses at which peers may be found at start.
    pub seeds: Vec<SocketAddrV4>,
    /// Retry budget of the fleet.
    pub budget: BudgetConfig,
    /// The capacity of this instance.
    pub capacity: CapacityClass,
    /// Whether this instance, as a home, rejects requests that would get room too late.
    pub reject_by_forecast: bool,
    /// Whether this instance closes a share of new connections unread while it is late.
    pub sheds_connections: bool,
}

/// Result of [`Gateway::tick`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TickOutcome {
    /// Endpoints whose record is gone, and that get no new work from now on.
    pub absent: Vec<EndpointKey>,
    /// Endpoints whose record is back, and that get new work again.
    pub returned: Vec<EndpointKey>,
    /// Endpoints whose backoff has ended.
    pub backoffs_ended: Vec<EndpointKey>,
    /// Engines that this instance, as a home, now skips for all instances.
    pub home_ejections: Vec<HomeEjection>,
    /// Requests that this instance, as a home, rejected by forecast.
    pub home_rejections: Vec<HomeRejection>,
    /// Differences between predicted and observed times at which requests got room.
    pub forecast_errors: Vec<Duration>,
    /// Engines whose risk class changed, as this instance found as a home.
    pub risk_changes: Vec<RiskChange>,
    /// Instances that are now considered gone.
    pub silent: Vec<SocketAddrV4>,
    /// Whether a request that waits for a placement or a run lease may have a decision.
    pub decided: bool,
    /// Whether crash records have changed.
    pub suspects_changed: bool,
    /// Messages to send.
    pub send: Vec<(SocketAddrV4, Body)>,
}

/// An endpoint that was chosen for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its name in the store, which the endpoint checks.
    pub name: String,
    /// The address of the endpoint.
    pub address: SocketAddrV4,
}

/// All decisions about HTTP entries of one instance.
///
/// It does no input or output and reads no clock: callers pass the time and send the messages that
/// it returns.
pub struct Gateway {
    cfg: GatewayConfig,
    rng: SmallRng,
    /// The store's records, as far as this instance knows them.
    pub replica: Replica,
    /// When to call the store.
    pub reader: StoreReader,
    /// All endpoints.
    pub endpoints: EndpointTable,
    /// Usage of endpoints.
    pub usage: UsageTable,
    /// All other instances.
    pub members: Members,
    /// The last beacons of the instances that watch the store.
    beacons: Beacons,
    beacons_sent: u64,
    last_beacon: Option<Time>,
    /// Gossip that is still to be sent.
    outbox: Outbox,
    /// Whether peers should be notified soon that this instance knows a later revision of the
    /// store.
    announce_soon: bool,
    /// What is known as the home of a service's engines, by the hash of the service's name.
    homes: BTreeMap<u64, Home>,
    /// Services about which this instance received a report since it last decided as their home.
    undecided: BTreeSet<u64>,
    /// Open placement requests of this instance.
    placements: PlacementTable,
    placement_changes: u64,
    /// Pre-copies that homes granted at engines with a rate limit, and when.
    granted_resumes: Vec<(EndpointKey, Time)>,
    /// Engines that recently refused a copy of this instance for lack of room.
    no_room: NoRoom,
    /// What engines did with orders of this instance to stop runs.
    pub stop_conduct: StopConduct,
    /// What this instance took of engines without a home.
    fallback: FallbackShares,
    /// The pace of engines, by the hash of the service's name, as reported to this instance as a home.
    pace: BTreeMap<u64, PaceModel>,
    /// The gaps between events that this instance has not reported yet.
    pace_samples: PaceSamples,
    reported: BTreeMap<u64, Reported>,
    reports_sent: u64,
    /// Number of instances, recently lost ones included.
    fleet: FleetSize,
    /// This instance's share of the rate limits of endpoints.
    shares: RateShares,
    /// Rate limits that endpoints set for themselves.
    pub limits: RateLimits,
    /// Endpoints that terminate if they have to reject too many requests.
    pub brittle: BrittleEndpoints,
    /// Backoffs that endpoints requested of this instance.
    pub backoffs: Backoffs,
    /// Whether this instance is late, and which connections of callers it sheds.
    pub own_delay: OwnDelay,
    withdrawal: Withdrawal,
    /// Whether the endpoints of each service are reached.
    pub reachability: Reachability,
    /// Peers that serve requests for this instance while it is partitioned.
    pub proxies: Proxies,
    /// Requests that may crash endpoints.
    pub suspects: Suspects,
    /// Retry budget that is shared by the fleet.
    pub budget: SharedRetryBudget,
    catalogue: Option<Arc<Catalogue>>,
    /// Observed output lengths of generations, by entry.
    pub lengths: LengthTable,
    /// The record of the catalogue in force, if the replica holds another one: an older one of the
    /// copy from which the store came back, or one that cannot be used.
    retained_catalogue: Option<Record>,
    /// The key of the catalogue's record.
    catalogue_key: Option<String>,
    /// Records of absent endpoints that may be of an older copy of the store, by name.
    returning: BTreeMap<String, EndpointRecord>,
    /// Whether a later catalogue of a peer is awaited before the first request.
    awaits_catalogue: bool,
    /// Whether the store's cordons have been read once.
    knows_cordons: bool,
    started: Time,
    stopping: bool,
    catch_up: CatchUp,
}

impl Gateway {
    /// Returns an instance that knows nothing but its seeds.
    pub fn new(now: Time, cfg: GatewayConfig) -> Self {
        let members = Members::new(now, cfg.address, cfg.incarnation, &cfg.seeds, cfg.capacity);
        let mut fleet = FleetSize::default();
        fleet.tick(now, core::iter::empty(), members.has_reached_most_seeds());
        let mut budget = SharedRetryBudget::new(now, cfg.budget);
        budget.set_fleet_size(now, fleet.settled());
        Gateway {
            rng: SmallRng::seed_from_u64(cfg.incarnation.0),
            replica: Replica::default(),
            reader: StoreReader::new(),
            endpoints: EndpointTable::default(),
            usage: UsageTable::default(),
            members,
            beacons: Beacons::default(),
            beacons_sent: 0,
            last_beacon: None,
            outbox: Outbox::default(),
            announce_soon: false,
            homes: BTreeMap::new(),
            undecided: BTreeSet::new(),
            placements: PlacementTable::default(),
            placement_changes: 0,
            granted_resumes: Vec::new(),
            no_room: NoRoom::default(),
            stop_conduct: StopConduct::default(),
            fallback: FallbackShares::default(),
            pace: BTreeMap::new(),
            pace_samples: PaceSamples::default(),
            reported: BTreeMap::new(),
            reports_sent: 0,
            fleet,
            shares: RateShares::new(now),
            limits: RateLimits::default(),
            brittle: BrittleEndpoints::default(),
            backoffs: Backoffs::default(),
            own_delay: OwnDelay::default(),
            withdrawal: Withdrawal::default(),
            reachability: Reachability::default(),
            proxies: Proxies::default(),
            suspects: Suspects::new(now),
            budget,
            catalogue: None,
            lengths: LengthTable::default(),
            retained_catalogue: None,
            catalogue_key: None,
            returning: BTreeMap::new(),
            awaits_catalogue: true,
            knows_cordons: false,
            started: now,
            stopping: false,
            catch_up: CatchUp::default(),
            cfg,
        }
    }

    /// Returns whether a new connection of a caller may be read.
    pub fn admit_connection(&mut self) -> bool {
        !self.cfg.sheds_connections || self.own_delay.admit_connection()
    }

    /// Returns the catalogue in force. A request keeps the catalogue under which it was accepted.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Puts a catalogue in force if it has no findings and is newer.
    ///
    /// Returns whether it is now in force.
    ///
    /// # Errors
    ///
    /// Returns all findings; the previous catalogue stays in force.
    pub fn publish_catalogue(
        &mut self,
        source: CatalogueSource,
    ) -> Result<bool, Vec<CatalogueFinding>> {
        let in_force = self.catalogue.as_ref().map_or(0, |it| it.version());
        if self.catalogue.is_some() && source.version <= in_force {
            return Ok(false);
        }
        self.catalogue = Some(Arc::new(Catalogue::compile(source)?));
        self.update_lacks_catalogue();
        Ok(true)
    }

    /// Applies an endpoint's record from the store; returns the endpoints that have begun to leave.
    pub fn publish_endpoint(&mut self, now: Time, record: EndpointRecord) -> Vec<EndpointKey> {
        let name = record.name.clone();
        let before = self.endpoints.newest(&name);
        if self.may_be_of_copy(now, &record) {
            self.returning.insert(name, record);
            return Vec::new();
        }
        self.returning.remove(&name);
        let began = self.endpoints.apply_record(now, record);
        if self.endpoints.newest(&name) != before {
            // A new incarnation is registered, so the previous one has ended.
            self.on_endpoints_lost(now, before.as_slice());
        }
        began
    }

    /// Returns whether a record of an endpoint that was gone may be one of the older copy from which
    /// the store came back, so that the endpoint is not used by it: its removal was acknowledged and
    /// will be written again.
    fn may_be_of_copy(&self, now: Time, record: &EndpointRecord) -> bool {
        let endpoint = self.endpoints.get(record.key());
        let absent = endpoint.filter(|it| it.is_absent() && !record.leaving);
        let since = absent.and_then(Endpoint::leaving_since);
        let began = self.reader.epoch_began(now);
        since.is_some_and(|since| began.is_some_and(|began| since <= began))
    }

    /// Applies the records that might have been of an older copy and stand although the writers had
    /// time to write again.
    ///
    /// Returns their endpoints.
    fn apply_returning(&mut self, now: Time) -> Vec<EndpointKey> {
        if self.returning.is_empty() || self.reader.epoch_began(now).is_some() {
            return Vec::new();
        }
        let records = core::mem::take(&mut self.returning).into_values();
        let apply = |record: EndpointRecord| {
            let key = record.key();
            self.publish_endpoint(now, record);
            key
        };
        records.map(apply).collect()
    }

    /// Handles the removal of an endpoint's record; returns the endpoint if it gets no new work from
    /// now on.
    pub fn endpoint_vanished(
        &mut self,
        now: Time,
        name: &str,
        removal: Removal,
    ) -> Option<EndpointKey> {
        self.returning.remove(name);
        let unsettled = match removal {
            Removal::Stated => self.may_miss_records(now),
            Removal::Missing => self.is_unsettled(now),
        };
        let newest = self.endpoints.newest(name);
        let gone = self.endpoints.remove_record(now, name, unsettled);
        if !unsettled {
            self.on_endpoints_lost(now, newest.as_slice());
        }
        gone
    }

    /// Returns whether records may be missing, or this instance has not been running for long enough
    /// to know.
    pub(super) fn is_unsettled(&self, now: Time) -> bool {
        let knows = self.reader.knows_recent_past(now);
        self.may_miss_records(now)
            || !knows
                && !self
                    .beacons
                    .any_denies_missing_records(now, self.reader.epoch())
    }

    /// Returns whether the store may lack records that will come back after an outage.
    ///
    /// An instance that is not a watcher rarely calls the store and learns of an outage from the
    /// watchers' beacons. Without them it would take endpoints whose records expired for gone. But
    /// a watcher's own trouble with the store is no outage: as long as the store answers another
    /// one, what is missing was removed.
    pub fn may_miss_records(&self, now: Time) -> bool {
        let is_possible = match self.reader.missing_records(now) {
            MissingRecords::No => false,
            MissingRecords::Possible => true,
            MissingRecords::Unknown => {
                let has_just_started = now.since(self.started) < SETTLE_TIME;
                has_just_started || self.states_missing_records(now).is_some()
            }
        };
        is_possible
            && !self
                .beacons
                .any_denies_missing_records(now, self.reader.epoch())
    }

    /// Returns a watcher that states that the store may lack records.
    pub fn states_missing_records(&self, now: Time) -> Option<SocketAddrV4> {
        self.beacons.states_missing_records(now)
    }

    /// Applies settings that may change while an instance runs.
    pub fn reload(&mut self, now: Time, seeds: Vec<SocketAddrV4>, budget: BudgetConfig) {
        self.members.set_seeds(now, &seeds);
        self.cfg.seeds = seeds;
        self.budget.set_bound(budget);
    }

    /// Returns the incarnation of this process.
    pub fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Returns the number that distinguishes this deployment.
    pub fn deployment(&self) -> u64 {
        self.cfg.deployment
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.servable().is_some() && !self.stopping && !self.is_withdrawn()
    }

    /// Returns whether this instance is overloaded and says that it is not ready.
    pub fn is_withdrawn(&self) -> bool {
        self.withdrawal.is_withdrawn()
    }

    /// Records that all cordons in the store have been read.
    pub fn cordons_read(&mut self) {
        self.knows_cordons = true;
    }

    /// Returns the catalogue in force once it is known which data centres are cordoned. The other
    /// endpoints may still be being read: those that are known can be used.
    ///
    /// Without the check, an instance that has read only the first page of records sends requests
    /// to a data centre that the operator cordoned before the instance started. One that started
    /// while the store holds an older copy also waits for the catalogue of its peers, if any of
    /// them has a later one.
    pub fn servable(&self) -> Option<&Arc<Catalogue>> {
        let knows_cordons = self.knows_cordons || self.replica.is_complete();
        let awaits_catalogue = self.awaits_catalogue && self.catch_up.lacks_catalogue();
        let is_servable = knows_cordons && !awaits_catalogue;
        self.catalogue.as_ref().filter(|_| is_servable)
    }

    /// Begins the planned stop.
    pub fn stop(&mut self) {
        self.stopping = true;
        let update = self.members.stop();
        let instances = self.instances();
        self.outbox.add_member(update, instances);
    }

    /// Returns whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns how many instances are live, this one included.
    pub fn instances(&self) -> usize {
        1 + self.members.live().count()
    }

    /// Returns a random number that is uniform below one.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns a random number that distinguishes requests.
    pub fn draw_id(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns since when an endpoint has been known to leave.
    pub fn leaving_since(&self, key: EndpointKey) -> Option<Time> {
        self.endpoints.get(key)?.leaving_since()
    }

    /// Returns whether new work may be sent to an endpoint.
    pub fn is_usable(&self, key: EndpointKey) -> bool {
        self.endpoints.is_usable(key)
    }

    /// Returns whether this instance may send new work to an endpoint.
    pub fn may_send(&self, now: Time, key: EndpointKey) -> bool {
        self.is_usable(key) && !self.backoffs.is_active(now, key)
    }

    /// Returns whether this instance may ask an engine to resume a generation from a copy, for
    /// which the engine may have begun to leave no longer than [`RESUME_AT_LEAVING`] ago.
    pub fn may_resume_at(&self, now: Time, key: EndpointKey) -> bool {
        self.may_resume_later_at(now, key) && !self.backoffs.is_active(now, key)
    }

    /// Returns whether [`Gateway::may_resume_at`] holds once the engine wants requests again.
    pub fn may_resume_later_at(&self, now: Time, key: EndpointKey) -> bool {
        let Some(engine) = self.endpoints.get(key) else {
            return false;
        };
        let since = engine.leaving_since();
        let left_recently = since.is_none_or(|it| now.since(it) < RESUME_AT_LEAVING);
        left_recently && !self.endpoints.is_cordoned(key)
    }

    /// Applies the backoff that an endpoint requests of this instance.
    pub fn request_backoff(&mut self, now: Time, key: EndpointKey, delay: Duration) {
        self.backoffs.request(now, key, delay);
        // A home must not grant the endpoint to the requests that are queued there.
        self.placement_changes += 1;
    }

    /// Returns whether any endpoint of a service requested a backoff of this instance.
    pub fn avoids_any(&self, now: Time, service: &str) -> bool {
        let mut backed_off = self.backoffs.active(now);
        backed_off.any(|key| {
            let endpoint = self.endpoints.usable(key);
            endpoint.is_some_and(|it| it.record.service == service)
        })
    }

    /// Returns whether it is certain by now that this instance may send a request to no endpoint of
    /// a service before `deadline`, because of backoffs. `tried` are endpoints that the request must
    /// not be sent to again.
    pub fn is_backed_off_beyond(
        &self,
        now: Time,
        service: &str,
        tried: &[EndpointKey],
        deadline: Time,
    ) -> bool {
        let mut usable = self.endpoints.usable_of(service);
        if usable.all(|it| tried.contains(&it.key)) {
            return self.backed_off_until(now, service, &[]).is_some();
        }
        let until = self.backed_off_until(now, service, tried);
        until.is_some_and(|it| it >= deadline)
    }

    /// Returns when the first backoff ends if backoffs are the only reason why a service has no
    /// endpoint outside `exclude` to which this instance may send; `None` otherwise.
    pub fn backed_off_until(
        &self,
        now: Time,
        service: &str,
        exclude: &[EndpointKey],
    ) -> Option<Time> {
        let usable = self.endpoints.usable_of(service).map(|it| it.key);
        let mut first: Option<Time> = None;
        for key in usable.filter(|it| !exclude.contains(it)) {
            let ends = self.backoffs.ends(now, key)?;
            first = Some(first.map_or(ends, |it| it.min(ends)));
        }
        first
    }

    /// Applies the operator's cordon of a data centre, or its end, and queues it as gossip; returns
    /// what it means for this instance.
    ///
    /// A cordon of an earlier epoch of the store stays until the store no longer lacks records and
    /// this replica has reached the new epoch; see [`Gateway::overdue_cordons`].
    pub fn publish_cordon(&mut self, now: Time, cordon: Cordon) -> CordonEffect {
        let may_return =
            self.may_lack_cordons(now) || self.replica.revision().epoch < cordon.revision.epoch;
        if may_return && self.endpoints.cordons().lifts_earlier_epoch(&cordon) {
            return CordonEffect::Outdated;
        }
        let effect = self.endpoints.apply_cordon(now, &cordon);
        if effect != CordonEffect::Outdated {
            let instances = self.instances();
            self.outbox.add_cordon(cordon, instances);
        }
        effect
    }

    /// Applies the rate limit in the response to a request sent at `sent`; returns what changed.
    pub fn observe_limit(
        &mut self,
        now: Time,
        key: EndpointKey,
        sent: Time,
        limit: ResponseLimit,
    ) -> Option<LimitChange> {
        let change = self.limits.observe_limit(now, key, sent, limit)?;
        let instances = self.instances();
        self.outbox.add_limit(key, instances);
        Some(change)
    }

    /// Records the load that an endpoint reported.
    pub fn observe_load(&mut self, now: Time, key: EndpointKey, load: ReportedLoad) {
        self.usage.observe_load(now, key, load);
        let running = self.usage.own(key).running.into();
        self.brittle.on_load(now, key, load, running);
    }
}
