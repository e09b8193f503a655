//! The network side of HTTP entries.
//!
//! # Overview
//!
//! [`oriolemux_core::gateway`] makes the decisions; this crate connects them to callers,
//! endpoints, peers and a store.
//!
//! - [`front`] accepts callers' requests and matches them against the catalogue in force.
//! - [`call`] forwards a call and returns the buffered response; [`buffered`] bounds what is read.
//! - [`stream`] finds a place for a generation and queues it while no engine has room.
//! - [`stream_room`] bounds what is read of streams whose callers read slowly.
//! - [`placement`] waits for the decision of the home of the generation's service.
//! - [`relay`] forwards the events of a generation, and relocates it when its engine leaves.
//! - [`attempts`] records which endpoints a request was sent to and which attempts remain.
//! - [`sent_mark`] tells whether an attempt may have reached an endpoint, and prevents it from being sent.
//! - [`awaited_head`] waits for the head of a response, and reads it even if its request is given up;
//!   [`observe`] applies what it says about the endpoint.
//! - [`bodies`] keeps the bodies of requests within their joint bound.
//! - [`connections`] bounds the connections of a listener.
//! - [`connect`] notices connection attempts that are given up.
//! - [`mod@probe`] checks whether an endpoint crashed when a connection to it broke.
//! - [`link`] connects to endpoints and refuses responses whose heads are [invalid](link::head).
//! - [`signature`] keeps successes that their endpoints did not sign from callers.
//! - [`run_lease`] delays or refuses requests that crashed endpoints.
//! - [`proxy`] serves requests through a peer while no endpoint is reached.
//! - [`own_delay`] measures whether this process is late.
//! - [`page`] serves the balancer, operators who query the [`status`], and collectors of
//!   [metrics](mod@meters).
//! - [`gossip`] exchanges datagrams with peers.
//! - [`store`] follows the store, and [`catch_up`] fetches missed changes from peers.
//! - [`run`] starts all tasks and stops them in order; [`stop_plan`] says what may still begin then.
//!
//! The traits of [`ports`] hide the platform's names and formats; the `platform` crate
//! implements them.

pub mod attempts;
pub mod awaited_head;
pub mod bodies;
pub mod buffered;
pub mod call;
pub mod catch_up;
pub mod connect;
pub mod connections;
pub mod cx;
pub mod event_log;
pub mod front;
pub mod gossip;
pub mod job;
pub mod link;
pub mod meters;
pub mod observe;
pub mod own_delay;
pub mod page;
pub mod placement;
pub mod ports;
pub mod probe;
pub mod proxy;
pub mod relay;
pub mod response;
pub mod run;
pub mod run_lease;
pub mod sent_mark;
pub mod signature;
pub mod sse;
pub mod status;
pub mod stop_plan;
pub mod store;
pub mod stream;
pub mod stream_room;

pub use cx::{Clock, Cx, GatewayLimits};
pub use page::OperatorsPage;
pub use run::{BoundAddresses, BoundListeners, MetricsPage, ReloadedSettings, RunConfig, RunError};
pub use status::GatewayStatus;
