//! All decisions about HTTP entries of one instance, behind one type.

use super::budget::{BudgetConfig, SharedBudget};
use super::bulletin::{self, BULLETIN_VERSION, Bulletin, MAX_NAMED, Peer, PeerTable, TELL_LEAVING};
use super::catalogue::{Catalogue, CatalogueFinding, CatalogueSource};
use super::catch_up::{CatchUp, NotTold};
use super::choose::{self, CopyKind, Demand, NoPlace, World};
use super::endpoints::{Endpoint, EndpointRecord, EndpointTable};
use super::lengths::LengthTable;
use super::queue::{MAX_WAITING, TELL_WAITING, Waiter, WaitingTable, service_hash};
use super::reader::{READER_FRESH, READERS, Step, StoreReader};
use super::replica::Replica;
use super::usage::{ToldLoad, UsageTable};
use crate::ids::{EndpointKey, Incarnation, stable_hash};
use crate::time::Time;
use core::time::Duration;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::net::SocketAddrV4;
use std::sync::Arc;

/// Changes within this time go into one bulletin.
pub const BULLETIN_DELAY: Duration = Duration::from_millis(2);

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

/// What changed by time alone.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ticked {
    /// Endpoints that began to leave.
    pub leaving: Vec<EndpointKey>,
    /// Peers that fell silent.
    pub silent: Vec<SocketAddrV4>,
}

/// What a bulletin brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Endpoints that began to leave.
    pub leaving: Vec<EndpointKey>,
    /// Whether the sender was not there before in this life.
    pub is_new: bool,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    /// The endpoint.
    pub key: EndpointKey,
    /// Its published name, which the endpoint checks.
    pub name: String,
    /// Where it is reached.
    pub address: SocketAddrV4,
}

impl Place {
    fn of(endpoint: &Endpoint) -> Self {
        Place {
            key: endpoint.key,
            name: endpoint.record.name.clone(),
            address: endpoint.record.address,
        }
    }
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
    /// All peers.
    pub peers: PeerTable,
    /// Requests that wait here for room at an engine.
    pub queue: WaitingTable,
    /// Repeats that may be spent.
    pub budget: SharedBudget,
    catalogue: Option<Arc<Catalogue>>,
    /// Output tokens of generations, by entry.
    pub lengths: LengthTable,
    stopping: bool,
    catch_up: CatchUp,
}

impl Gateway {
    /// Returns an instance that knows nothing but its seeds.
    pub fn new(now: Time, cfg: GatewayConfig) -> Self {
        let mut peers = PeerTable::default();
        for &seed in cfg.seeds.iter().filter(|&&seed| seed != cfg.address) {
            peers.learn(now, seed);
        }
        Gateway {
            rng: SmallRng::seed_from_u64(cfg.incarnation.0),
            replica: Replica::default(),
            reader: StoreReader::new(),
            endpoints: EndpointTable::default(),
            usage: UsageTable::default(),
            peers,
            queue: WaitingTable::default(),
            budget: SharedBudget::new(cfg.budget),
            catalogue: None,
            lengths: LengthTable::default(),
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
        self.endpoints.publish(now, record)
    }

    /// Takes in that an endpoint's entry vanished; returns the endpoint if it began to
    /// leave.
    pub fn endpoint_vanished(&mut self, now: Time, name: &str) -> Option<EndpointKey> {
        let unsettled = self.is_unsettled(now);
        self.endpoints.vanish(now, name, unsettled)
    }

    /// Returns whether entries may be missing from the store and come back.
    ///
    /// An instance that does not watch calls the store rarely, and hears of an outage
    /// from those that do. Without asking them it would take entries that lapsed for
    /// gone, for good, and tell so: after an outage no endpoint would be left.
    pub fn is_unsettled(&self, now: Time) -> bool {
        self.reader.is_unsettled(now) || self.peers.live(now).any(|(_, peer)| peer.unsettled)
    }

    /// Puts settings in force that may change while an instance runs.
    pub fn reload(&mut self, now: Time, seeds: Vec<SocketAddrV4>, budget: BudgetConfig) {
        for &seed in seeds.iter().filter(|&&seed| seed != self.cfg.address) {
            self.peers.learn(now, seed);
        }
        self.cfg.seeds = seeds;
        self.budget.set_bound(budget);
    }

    /// Does what is due by time alone, and returns what changed.
    pub fn tick(&mut self, now: Time) -> Ticked {
        let silent = self.peers.take_silent(now);
        self.peers.forget_silent(now, &self.cfg.seeds);
        let unsettled = self.is_unsettled(now);
        Ticked {
            leaving: self.endpoints.tick(now, unsettled),
            silent,
        }
    }

    /// Returns this life of the instance.
    pub fn incarnation(&self) -> Incarnation {
        self.cfg.incarnation
    }

    /// Returns whether callers can be served.
    pub fn is_ready(&self) -> bool {
        self.catalogue.is_some() && !self.stopping
    }

    /// Begins the planned stop.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns whether the planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns how many instances take callers, this one included.
    pub fn instances(&self, now: Time) -> usize {
        1 + self.peers.live(now).count()
    }

    /// Draws a number that is uniform below one.
    pub fn draw(&mut self) -> f64 {
        self.rng.random()
    }

    /// Draws a number that tells requests apart.
    pub fn draw_id(&mut self) -> u64 {
        self.rng.random()
    }

    /// Chooses the endpoint for a request.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn place(&mut self, now: Time, demand: &Demand<'_>) -> Result<Place, NoPlace> {
        let mut rng = self.draws();
        let key = choose::choose(self.world(now), demand, || rng.random())?;
        let endpoint = self.endpoints.get(key).ok_or(NoPlace::NoEndpoint)?;
        Ok(Place::of(endpoint))
    }

    /// Chooses the engine for a request that may have to wait, if it is its turn.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn place_in_turn(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        waiter: &Waiter,
    ) -> Result<Place, NoPlace> {
        let (queue, peers) = (&self.queue, &self.peers);
        let others_wait = queue.any_waits(now, peers, waiter.service, Some(waiter.id));
        if demand.engine.is_none() || !others_wait {
            return self.place(now, demand);
        }
        let key = queue.turn(self.world(now), demand, waiter)?;
        let endpoint = self.endpoints.get(key).ok_or(NoPlace::NoEndpoint)?;
        Ok(Place::of(endpoint))
    }

    /// Chooses an engine for a request that has one already, where nobody waits.
    ///
    /// # Errors
    ///
    /// Returns why there is none.
    pub fn place_aside(&mut self, now: Time, demand: &Demand<'_>) -> Result<Place, NoPlace> {
        let service = service_hash(demand.service);
        match self.queue.any_waits(now, &self.peers, service, None) {
            true => Err(NoPlace::Full),
            false => self.place(now, demand),
        }
    }

    /// Chooses where a copy of a generation at `source` is kept.
    pub fn copy_place(
        &mut self,
        now: Time,
        demand: &Demand<'_>,
        source: EndpointKey,
        kind: CopyKind,
    ) -> Option<Place> {
        let mut rng = self.draws();
        let world = self.world(now);
        let source = world.endpoints.get(source)?;
        let key = choose::choose_copy(world, demand, source, kind, || rng.random())?;
        self.endpoints.get(key).map(Place::of)
    }

    /// Returns a source of draws of its own, so that a choice draws while it looks at tables.
    fn draws(&mut self) -> SmallRng {
        SmallRng::seed_from_u64(self.rng.random())
    }

    /// Returns the tables that a choice looks at.
    fn world(&self, now: Time) -> World<'_> {
        World {
            now,
            endpoints: &self.endpoints,
            usage: &self.usage,
            peers: &self.peers,
            data_centre: &self.cfg.data_centre,
        }
    }

    /// Returns since when an endpoint is known to leave.
    pub fn leaving_since(&self, key: EndpointKey) -> Option<Time> {
        self.endpoints.get(key)?.leaving_since()
    }

    /// Returns whether no prompt waits at an engine, as far as is known. A generation
    /// that goes on there would wait behind it.
    pub fn is_quiet(&self, now: Time, key: EndpointKey) -> bool {
        self.usage.of(now, key, &self.peers).unread == 0
    }

    /// Returns whether an endpoint is there and takes work.
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.endpoints.get(key).is_some_and(Endpoint::takes_work)
    }

    /// Notes a load that an endpoint told.
    pub fn told(&mut self, now: Time, key: EndpointKey, load: ToldLoad) {
        self.usage.told(now, key, load);
    }

    /// Returns the time between two bulletins without a change. Those who watch the
    /// store tell often, since others rely on them, and so do those where requests wait.
    pub fn bulletin_interval(&self, now: Time) -> Duration {
        if !self.queue.is_empty() {
            return TELL_WAITING;
        }
        match self.watches(now) {
            true => bulletin::SHORTEST_INTERVAL,
            false => bulletin::interval(self.peers.len()),
        }
    }

    /// Returns what peers are to be told.
    pub fn bulletin(&mut self, now: Time) -> Bulletin {
        let interval_ms = self.bulletin_interval(now).as_millis();
        let live: Vec<SocketAddrV4> = self.peers.live(now).map(|(address, _)| address).collect();
        let named = live.choose_multiple(&mut self.rng, MAX_NAMED);
        Bulletin {
            version: BULLETIN_VERSION,
            deployment: self.cfg.deployment,
            incarnation: self.cfg.incarnation,
            address: self.cfg.address,
            revision: self.replica.revision(),
            digest: self.replica.digest(),
            store_age_ms: self.store_age_ms(now),
            unsettled: self.reader.is_unsettled(now),
            stopping: self.stopping,
            interval_ms: u32::try_from(interval_ms).unwrap_or(u32::MAX),
            peers: named.copied().collect(),
            leaving: self.endpoints.leaving(now, TELL_LEAVING).collect(),
            failing: self.endpoints.failing().collect(),
            used: self.usage.own().collect(),
            waiting: self
                .queue
                .own()
                .take(MAX_WAITING)
                .map(|it| it.to_tell(now))
                .collect(),
        }
    }

    fn store_age_ms(&self, now: Time) -> u32 {
        let age = self.reader.heard().map(|heard| now.since(heard));
        age.map_or(u32::MAX, |age| {
            u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
        })
    }

    /// Returns whether this instance watches the store for all: it ranks among the
    /// first, or those that do so hear nothing from the store.
    pub fn watches(&self, now: Time) -> bool {
        let takes_part = |peer: &Peer| !peer.stopping;
        let own = reader_rank(self.cfg.address);
        let peers = self.peers.live(now).filter(|(_, peer)| takes_part(peer));
        let ahead = peers
            .filter(|(address, _)| reader_rank(*address) < own)
            .count();
        if ahead < READERS && !self.stopping {
            return true;
        }
        let fresh = |peer: &Peer| {
            let heard = peer.store_heard;
            heard.is_some_and(|heard| now.since(heard) < READER_FRESH)
        };
        !self
            .peers
            .live(now)
            .any(|(_, peer)| takes_part(peer) && fresh(peer))
    }

    /// Returns what to do about the store now.
    pub fn next_step(&self, now: Time) -> Step {
        let reads = self.watches(now) || self.catch_up.reads_itself(now);
        self.reader.next(now, reads)
    }

    /// Takes in what a peer told.
    pub fn hear(&mut self, now: Time, bulletin: &Bulletin) -> Heard {
        let foreign = bulletin.version != BULLETIN_VERSION
            || bulletin.deployment != self.cfg.deployment
            || bulletin.address == self.cfg.address;
        if foreign {
            return Heard::default();
        }
        let is_new = self.peers.hear(now, bulletin);
        self.note_behind(now);
        let leaving = bulletin.leaving.iter().copied();
        Heard {
            leaving: leaving
                .filter(|&key| self.endpoints.leave(now, key))
                .collect(),
            is_new,
        }
    }

    /// Returns a peer that knows more of the store than this instance and may be asked
    /// now, drawn among those that know most.
    pub fn better_informed(&mut self, now: Time) -> Option<SocketAddrV4> {
        let watches = self.watches(now);
        let replica = &self.replica;
        let able = self
            .catch_up
            .may_be_asked(now, &self.peers, replica, watches);
        able.choose(&mut self.rng).copied()
    }

    /// Notes whether a peer knows more of the store than this instance.
    pub fn note_behind(&mut self, now: Time) {
        let replica = &self.replica;
        let mut live = self.peers.live(now);
        let behind = live.any(|(_, peer)| peer.knows_more_than(replica));
        self.catch_up.note(now, behind);
    }

    /// Returns whether a peer knows more of the store than this instance.
    pub fn is_behind(&self) -> bool {
        self.catch_up.is_behind()
    }

    /// Notes that a peer did not tell what it knows.
    pub fn not_told(&mut self, now: Time, peer: SocketAddrV4, why: NotTold) {
        let draw = self.rng.random();
        self.catch_up.not_told(now, peer, why, draw);
    }
}

/// Returns the rank of an instance among readers; the lowest reads first. A hash, so
/// that the load does not follow the order of addresses.
fn reader_rank(address: SocketAddrV4) -> (u64, SocketAddrV4) {
    let bytes = address.to_string();
    (stable_hash(&[b"reader", bytes.as_bytes()]), address)
}
