//! The sockets around HTTP entries.
//!
//! # The story
//!
//! The decisions live in [`oriolemux_core::gateway`]; this crate gives them
//! callers, endpoints, peers and a store. [`front`] takes callers' requests and
//! judges them by the catalogue in force. [`call`] forwards a call and returns
//! its answer whole. [`stream`] finds a place for a generation, in its turn where room is
//! short, [`placement`] waits for what the home of its engines decides, and [`relay`] passes its events on, and carries it to another engine when its
//! own leaves; [`attempts`] says where a request was and what that leaves open, and
//! [`mod@probe`] whether an endpoint ended together with a connection to it. A request that ended
//! endpoints waits for its [`run_lease`], or is refused.
//! [`page`] answers the balancer, operators who ask for the [`status`] and whoever
//! collects [metrics](mod@meters). [`gossip`] tells peers what they need, [`store`] keeps
//! up with what is published, [`catch_up`] asks peers for what was missed, and [`run`]
//! starts all of it and ends it in order.
//!
//! Names and formats of the platform are behind the traits of [`ports`]; the
//! `platform` crate implements them.

pub mod attempts;
pub mod call;
pub mod catch_up;
pub mod cx;
pub mod event_log;
pub mod front;
pub mod gossip;
pub mod job;
pub mod link;
pub mod meters;
pub mod page;
pub mod placement;
pub mod ports;
pub mod probe;
pub mod relay;
pub mod response;
pub mod run;
pub mod run_lease;
pub mod sse;
pub mod status;
pub mod store;
pub mod stream;

pub use cx::{Clock, Cx, GatewayLimits};
pub use page::OperatorsPage;
pub use run::{BoundAddresses, BoundListeners, MetricsPage, ReloadedSettings, RunConfig, RunError};
pub use status::GatewayStatus;
