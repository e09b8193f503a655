//! Policy parameters of a cell.
//!
//! `docs/design/admission.md` names the parameter sweep behind each default.

use core::time::Duration;

/// Policy parameters of a cell. The defaults suit engines under sustained load.
#[derive(Clone, Debug, PartialEq)]
pub struct CellConfig {
    /// Initial accepted probability, from 0 to 1, that a generation runs out of memory. Preemptions
    /// and completions then adjust it for each class.
    pub risk_start: f64,
    /// Share of an endpoint's memory that is reserved for urgent requests.
    pub urgent_share: f64,
    /// Highest urgency value that counts as urgent; 0 is the most urgent.
    pub urgent_urgency: u8,
    /// Share of its wait target after which room is held for a waiting request.
    pub hold_share: f64,
    /// KV tokens assumed for an endpoint that has not reported its load yet.
    pub unreported_kv_tokens: u64,
    /// Concurrent requests assumed for an endpoint that has not reported its load yet.
    pub unreported_slots: u32,
    /// Maximum number of queued requests in one cell.
    pub max_queued: usize,
    /// Interval at which an endpoint's memory forecast is recomputed.
    pub refresh_interval: Duration,
}

impl Default for CellConfig {
    fn default() -> Self {
        CellConfig {
            risk_start: 0.01,
            urgent_share: 0.06,
            urgent_urgency: 0,
            hold_share: 1.0,
            unreported_kv_tokens: 16_384,
            unreported_slots: 4,
            max_queued: 10_000,
            refresh_interval: Duration::from_millis(250),
        }
    }
}

impl CellConfig {
    /// Returns a builder that starts from the defaults.
    pub fn builder() -> CellConfigBuilder {
        CellConfigBuilder {
            cfg: CellConfig::default(),
        }
    }
}

/// Builds a [`CellConfig`].
#[derive(Clone, Debug)]
pub struct CellConfigBuilder {
    cfg: CellConfig,
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $ty:ty;)*) => {
        impl CellConfigBuilder {
            $($(#[$doc])* pub fn $name(mut self, value: $ty) -> Self {
                self.cfg.$name = value;
                self
            })*

            /// Returns the configuration.
            pub fn build(self) -> CellConfig {
                self.cfg
            }
        }
    };
}

setters! {
    /// Sets [`CellConfig::risk_start`].
    risk_start: f64;
    /// Sets [`CellConfig::urgent_share`].
    urgent_share: f64;
    /// Sets [`CellConfig::urgent_urgency`].
    urgent_urgency: u8;
    /// Sets [`CellConfig::hold_share`].
    hold_share: f64;
    /// Sets [`CellConfig::unreported_kv_tokens`].
    unreported_kv_tokens: u64;
    /// Sets [`CellConfig::unreported_slots`].
    unreported_slots: u32;
    /// Sets [`CellConfig::max_queued`].
    max_queued: usize;
    /// Sets [`CellConfig::refresh_interval`].
    refresh_interval: Duration;
}
