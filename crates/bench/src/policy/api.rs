//! What a policy is told and what it answers.

use crate::workload::{ClassSpec, Mix, Request};
use core::time::Duration;
use oriolemux_core::event::LoadReport;
use oriolemux_core::time::Time;

/// Priority given to engines by policies that do not tell requests apart.
pub const SAME_PRIORITY: u8 = 128;

/// Where an engine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EnginePlace {
    /// Index into [`Mix::data_centres`].
    pub data_centre: usize,
}

/// The engines of a mix, in the order in which decisions index them.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// The mix.
    pub mix: Mix,
    /// Every engine.
    pub engines: Vec<EnginePlace>,
}

impl Fleet {
    /// Returns the fleet of `mix`.
    pub fn of(mix: Mix) -> Self {
        let places = mix.data_centres().iter().enumerate();
        let engines = places
            .flat_map(|(data_centre, spec)| vec![EnginePlace { data_centre }; spec.engines])
            .collect();
        Fleet { mix, engines }
    }
}

/// A request as a policy sees it: everything but its true length.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// The request.
    pub id: u64,
    /// When it arrived.
    pub at: Time,
    /// Where it arrived.
    pub data_centre: usize,
    /// For whom.
    pub workspace: usize,
    /// Index into [`Mix::entries`].
    pub entry: usize,
    /// What its class asks for.
    pub class: &'static ClassSpec,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// The most tokens that the caller asks for.
    pub max_tokens: u32,
    /// Hashes of the prompt's shared leading blocks.
    pub prefix: &'a [u64],
}

impl<'a> Ask<'a> {
    /// Returns what a policy may see of `req`.
    pub fn of(mix: Mix, req: &'a Request) -> Self {
        Ask {
            id: req.id,
            at: req.at,
            data_centre: req.data_centre,
            workspace: req.workspace,
            entry: req.entry,
            class: &mix.classes()[mix.entries()[req.entry].class],
            prompt_tokens: req.prompt_tokens,
            max_tokens: req.max_tokens,
            prefix: &req.prefix,
        }
    }

    /// Returns when the request is given up by policies that queue.
    pub fn expires(&self) -> Time {
        self.at + self.class.longest_wait
    }
}

/// What a policy answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request runs at an engine from now on.
    Place {
        /// The request.
        id: u64,
        /// Index into [`Fleet::engines`].
        engine: usize,
        /// The engine's priority; 0 is the most urgent.
        priority: u8,
    },
    /// The request is refused.
    Refuse {
        /// The request.
        id: u64,
    },
}

/// Prefix blocks that an engine stored and evicted, told late and with gaps.
#[derive(Clone, Debug, Default)]
pub struct CacheNews {
    /// Whether events were lost since the last news.
    pub gap: bool,
    /// Block hashes now held.
    pub stored: Vec<u64>,
    /// Block hashes no longer held.
    pub evicted: Vec<u64>,
}

/// A policy of placement. Every method but [`Policy::arrive`], [`Policy::ended`]
/// and [`Policy::poll`] may be left out.
pub trait Policy {
    /// A request arrived.
    fn arrive(&mut self, now: Time, ask: &Ask<'_>);

    /// A request ended with `tokens` tokens.
    fn ended(&mut self, now: Time, id: u64, tokens: u32);

    /// Takes every decision that is due; returns when to be polled next at the latest.
    fn poll(&mut self, now: Time, out: &mut Vec<Decision>) -> Time;

    /// A request has generated `tokens` tokens; told at doubling checkpoints from 64.
    fn progress(&mut self, _now: Time, _id: u64, _tokens: u32) {}

    /// A token was generated; only a policy that knows everything may use this.
    fn token(&mut self, _id: u64) {}

    /// An engine's lagging load report.
    fn report(&mut self, _now: Time, _engine: usize, _report: &LoadReport) {}

    /// An engine's cache events.
    fn cache(&mut self, _now: Time, _engine: usize, _news: &CacheNews) {}
}

/// How often each engine reports its load.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_000);
