//! The sockets around HTTP entries.
//!
//! # The story
//!
//! The decisions live in [`oriolemux_core::gateway`]; this crate gives them
//! callers, endpoints, peers and a store. [`front`] takes callers' requests and
//! judges them by the catalogue in force. [`call`] forwards a call and returns
//! its answer whole. [`stream`] finds a place for a generation, in its turn where room is
//! short, [`mod@ask`] waits for what the home of its engines decides, and [`relay`] passes its events on, and carries it to another engine when its
//! own leaves; [`attempts`] says where a request was and what that leaves open, and
//! [`broken`] whether an endpoint ended together with a connection to it. A request that ended
//! endpoints waits for its [`turn`], or is refused.
//! [`page`] answers the balancer, operators who ask for the [`status`] and whoever
//! collects [metrics](mod@meters). [`news`] tells peers what they need, [`store`] keeps
//! up with what is published, [`catch_up`] asks peers for what was missed, and [`run`]
//! starts all of it and ends it in order.
//!
//! Names and formats of the platform are behind the traits of [`ports`]; the
//! `platform` crate implements them.

pub mod answer;
pub mod ask;
pub mod attempts;
pub mod broken;
pub mod call;
pub mod catch_up;
pub mod cx;
pub mod events;
pub mod front;
pub mod job;
pub mod link;
pub mod meters;
pub mod news;
pub mod notes;
pub mod page;
pub mod ports;
pub mod relay;
pub mod run;
pub mod status;
pub mod store;
pub mod stream;
pub mod turn;

pub use cx::{Clock, Cx, GatewayLimits};
pub use page::OperatorsPage;
pub use run::{Bound, BoundAddresses, Page, Reloaded, RunConfig, RunError};
pub use status::GatewayStatus;
