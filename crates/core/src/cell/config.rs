//! Constants of a cell's policy.
//!
//! `docs/design/admission.md` names the sweep that each constant came from.

use core::time::Duration;

/// Settings of a cell, with defaults that suit a crowded engine.
#[derive(Clone, Debug, PartialEq)]
pub struct CellConfig {
    /// Chance, from 0 to 1, that a generation may run when memory is short;
    /// preemptions steer it from here.
    pub risk_start: f64,
    /// Share of an endpoint's memory that work of more urgency than others may use alone.
    pub urgent_share: f64,
    /// The least urgent class that counts as urgent.
    pub urgent_urgency: u8,
    /// Share of its wait target that a request waits before room is held for it.
    pub hold_share: f64,
    /// KV tokens assumed at an endpoint that has not reported yet.
    pub unreported_kv_tokens: u64,
    /// Requests at once at an endpoint that has not reported yet.
    pub unreported_slots: u32,
    /// The most requests that one cell queues.
    pub max_queued: usize,
    /// How often an endpoint's memory is forecast anew.
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

            /// Returns the settings.
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
