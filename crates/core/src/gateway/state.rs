//! All decisions about HTTP entries of one instance, behind one type.

mod peers;
mod places;
mod repeats;
mod suspects;

pub use peers::{DatagramOutcome, DropReason, GOSSIP_DELAY, TICK};

use super::ask::AskTable;
use super::beacons::Beacons;
use super::budget::{BudgetConfig, SharedBudget};
use super::catalogue::{Catalogue, CatalogueFinding, CatalogueSource};
use super::catch_up::CatchUp;
use super::cold::RateShares;
use super::cordons::{Cordon, CordonEffect};
use super::endpoints::{EndpointRecord, EndpointTable};
use super::fleet_size::FleetSize;
use super::gossip::{Body, Outbox};
use super::home::Home;
use super::lengths::LengthTable;
use super::members::Members;
use super::rate_limits::{LimitChange, RateLimits, ToldLimit};
use super::reader::StoreReader;
use super::replica::Replica;
use super::suspects::Suspects;
use super::usage::{ToldLoad, UsageTable};
use crate::ids::{EndpointKey, Incarnation};
use crate::time::Time;
use places::Reported;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::sync::Arc;

/// How an instance takes part.
#[derive(Clone, Debug)]
pub struct GatewayConfig {
    /// This life.
    pub incarnation: Incarnation,
    /// The data centre of this instance.
    pub data_centre: String,
    /// Where this instance answers peers.
    pub address: SocketAddrV4,
    /// Tells deployments apart that share a network.
    pub deployment: u64,
    /// Addresses at which peers may answer, to begin with.
    pub seeds: Vec<SocketAddrV4>,
    /// The fleet's bound of repeats.
    pub budget: BudgetConfig,
}

/// What is due by time alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TickOutcome {
    /// Endpoints that began to leave.
    pub leaving: Vec<EndpointKey>,
    /// Instances that count as gone now.
    pub silent: Vec<SocketAddrV4>,
    /// Whether a request that waits for a place or its turn may have a decision.
    pub decided: bool,
    /// Whether there is news of suspects.
    pub suspects_changed: bool,
    /// What is to be sent.
    pub send: Vec<(SocketAddrV4, Body)>,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its published name, which the endpoint checks.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
}

/// All decisions about HTTP entries of one instance.
pub struct Gateway {
    cfg: GatewayConfig,
    rng: SmallRng,
    /// What the store published.
    pub replica: Replica,
    /// When to call the store.
    pub reader: StoreReader,
    /// All endpoints.
    pub endpoints: EndpointTable,
    /// What runs where.
    pub usage: UsageTable,
    /// All other instances.
    pub members: Members,
    /// What those say that watch the store.
    beacons: Beacons,
    beacons_sent: u64,
    last_beacon: Option<Time>,
    /// News that is still told.
    outbox: Outbox,
    /// Whether peers are to hear soon that this instance knows more of the store.
    announce_soon: bool,
    /// What is known as the home of a service's engines, by the hash of its name.
    homes: BTreeMap<u64, Home>,
    /// Places that this instance asks for.
    placements: AskTable,
    placement_changes: u64,
    reported: BTreeMap<u64, Reported>,
    reports_sent: u64,
    /// How many instances there are, lost ones included.
    fleet: FleetSize,
    /// What may be sent to endpoints that bear a bounded rate.
    shares: RateShares,
    /// Rates that endpoints named for themselves.
    pub limits: RateLimits,
    /// Requests that end endpoints.
    pub suspects: Suspects,
    /// Repeats that may be spent.
    pub budget: SharedBudget,
    catalogue: Option<Arc<Catalogue>>,
    /// Output tokens of generations, by entry.
    pub lengths: LengthTable,
    /// Whether the cordons that the store has were read once.
    knows_cordons: bool,
    started: Time,
    stopping: bool,
    catch_up: CatchUp,
}

impl Gateway {
    /// Returns an instance that knows nothing but its seeds.
    pub fn new(now: Time, cfg: GatewayConfig) -> Self {
        let members = Members::new(now, cfg.address, cfg.incarnation, &cfg.seeds);
        let mut fleet = FleetSize::default();
        fleet.tick(now, core::iter::empty(), members.has_reached_most_seeds());
        let mut budget = SharedBudget::new(now, cfg.budget);
        budget.set_known(now, fleet.settled());
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
            placements: AskTable::default(),
            placement_changes: 0,
            reported: BTreeMap::new(),
            reports_sent: 0,
            fleet,
            shares: RateShares::new(now),
            limits: RateLimits::default(),
            suspects: Suspects::new(now),
            budget,
            catalogue: None,
            lengths: LengthTable::default(),
            knows_cordons: false,
            started: now,
            stopping: false,
            catch_up: CatchUp::default(),
            cfg,
        }
    }

    /// Returns the catalogue in force. A request keeps the one that it was judged by.
    pub fn catalogue(&self) -> Option<&Arc<Catalogue>> {
        self.catalogue.as_ref()
    }

    /// Puts a catalogue in force if it is without findings and newer.
    ///
    /// Returns whether it is now in force.
    ///
    /// # Errors
    ///
    /// Returns every finding; the catalogue in force stays.
    pub fn publish_catalogue(
        &mut self,
        source: CatalogueSource,
    ) -> Result<bool, Vec<CatalogueFinding>> {
        let in_force = self.catalogue.as_ref().map_or(0, |it| it.version());
        if self.catalogue.is_some() && source.version <= in_force {
            return Ok(false);
        }
        self.catalogue = Some(Arc::new(Catalogue::compile(source)?));
        Ok(true)
    }

    /// Takes in what was published about an endpoint; returns the endpoints that began to
    /// leave.
    pub fn publish_endpoint(&mut self, now: Time, record: EndpointRecord) -> Vec<EndpointKey> {
        let name = record.name.clone();
        let before = self.endpoints.newest(&name);
        let began = self.endpoints.publish(now, record);
        if self.endpoints.newest(&name) != before {
            // Another life is there now, so that the one before ended.
            self.on_endpoints_lost(now, before.as_slice());
        }
        began
    }

    /// Takes in that an endpoint's entry vanished; returns the endpoint if it began to
    /// leave.
    pub fn endpoint_vanished(&mut self, now: Time, name: &str) -> Option<EndpointKey> {
        let may_miss_records = self.may_miss_records(now);
        let newest = self.endpoints.newest(name);
        let gone = self.endpoints.vanish(now, name, may_miss_records);
        if !may_miss_records {
            self.on_endpoints_lost(now, newest.as_slice());
        }
        gone
    }

    /// Returns whether entries may be missing from the store and come back.
    ///
    /// An instance that does not watch calls the store rarely, and hears of an outage
    /// from those that do. Without asking them it would take entries that lapsed for
    /// gone, for good, and tell so: after an outage no endpoint would be left.
    pub fn may_miss_records(&self, now: Time) -> bool {
        self.reader.may_miss_records(now) || self.beacons.any_may_miss_records(now)
    }

    /// Puts settings in force that may change while an instance runs.
    pub fn reload(&mut self, now: Time, seeds: Vec<SocketAddrV4>, budget: BudgetConfig) {
        self.members.set_seeds(now, &seeds);
        self.cfg.seeds = seeds;
        self.budget.set_bound(budget);
    }

    /// Returns this life of the instance.
    pub fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Returns what tells this deployment apart.
    pub fn deployment(&self) -> u64 {
        self.cfg.deployment
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.servable().is_some() && !self.stopping
    }

    /// Notes that all cordons which the store published were read.
    pub fn cordons_read(&mut self) {
        self.knows_cordons = true;
    }

    /// Returns the catalogue in force once it is known which data centres are closed. Endpoints
    /// may still be read: those that are known can be used.
    ///
    /// What goes wrong otherwise: an instance that has read the first page sends callers to a data
    /// centre that the operator closed before it began.
    pub fn servable(&self) -> Option<&Arc<Catalogue>> {
        let knows_cordons = self.knows_cordons || self.replica.is_complete();
        self.catalogue.as_ref().filter(|_| knows_cordons)
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

    /// Returns how many instances take callers, this one included.
    pub fn instances(&self) -> usize {
        1 + self.members.live().count()
    }

    /// Draws a number that is uniform below one.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Draws a number that tells requests apart.
    pub fn draw_id(&mut self) -> u64 {
        self.rng.random()
    }

    /// Returns since when an endpoint is known to leave.
    pub fn leaving_since(&self, key: EndpointKey) -> Option<Time> {
        self.endpoints.get(key)?.leaving_since()
    }

    /// Returns whether new work may be sent to an endpoint.
    pub fn is_usable(&self, key: EndpointKey) -> bool {
        self.endpoints.is_usable(key)
    }

    /// Takes in what the store says about a data centre; returns what that is to this instance.
    /// Peers are told of it soon.
    pub fn publish_cordon(&mut self, now: Time, cordon: Cordon) -> CordonEffect {
        let effect = self.endpoints.hear_cordon(now, &cordon);
        if effect != CordonEffect::Outdated {
            let instances = self.instances();
            self.outbox.add_cordon(cordon, instances);
        }
        effect
    }

    /// Takes in what an answer to a request sent at `sent` says about its endpoint's limit;
    /// returns what that changed.
    pub fn observe_limit(
        &mut self,
        now: Time,
        key: EndpointKey,
        sent: Time,
        limit: ToldLimit,
    ) -> Option<LimitChange> {
        let change = self.limits.hear_answer(now, key, sent, limit)?;
        let instances = self.instances();
        self.outbox.add_limit(key, instances);
        Some(change)
    }

    /// Notes a load that an endpoint told.
    pub fn observe_load(&mut self, now: Time, key: EndpointKey, load: ToldLoad) {
        self.usage.told(now, key, load);
    }
}
