//! Decisions for HTTP entries: requests that are passed on as they came.
//!
//! An HTTP entry is found by host and longest path prefix. Its requests go to an
//! endpoint of a service, whose answer is returned unchanged. Engines and plain
//! services are served alike; what differs is how a place is chosen and what may
//! be repeated. `docs/design/platform.md` weighs the design.
//!
//! | module | its job |
//! | --- | --- |
//! | [`catalogue`] | entries, services, workspaces and bounds of callers; finds the entry of a request |
//! | [`replica`] | what the store published, merged by revision from reads and peers |
//! | [`cordons`] | data centres that the operator closed to new work |
//! | [`cold`] | endpoints that bear few requests a second, because they are cold |
//! | [`rate_limits`] | rates that endpoints named for themselves |
//! | [`endpoints`] | which endpoints exist, which of them leave, which are not trusted |
//! | [`lengths`] | how long a generation will still be |
//! | [`usage`] | what this instance runs at each endpoint, and what others run as far as is known |
//! | [`placement`] | what an instance asks of the home of a service's engines, and does without one |
//! | [`home`] | what a home knows, and how it gives away the room of its engines |
//! | [`queue`] | in which order requests that wait get room |
//! | [`choose`] | the endpoint for a request, and the one that holds its standing copy |
//! | [`relocation`] | when a generation leaves its engine, and which events its caller gets |
//! | [`budget`] | how many repeats this instance may spend |
//! | [`suspects`] | requests that end the endpoints that begin them |
//! | [`members`] | which instances there are |
//! | [`fleet_size`] | how many there are, those included that were lost lately |
//! | [`gossip`] | what instances send each other, and how news reaches all |
//! | [`beacons`] | what those say that watch the store, and who watches |
//! | [`reader`] | when to read and watch the store |
//! | [`catch_up`] | how an instance that missed something gets it |
//! | [`state`] | all of the above behind one type |

pub mod beacons;
pub mod budget;
pub mod catalogue;
pub mod catch_up;
pub mod choose;
pub mod cold;
pub mod cordons;
pub mod endpoints;
pub mod fleet_size;
pub mod gossip;
pub mod home;
pub mod lengths;
pub mod members;
pub mod placement;
pub mod queue;
pub mod rate_limits;
pub mod reader;
pub mod relocation;
pub mod replica;
pub mod state;
pub mod suspects;
pub mod usage;

pub use catalogue::{Catalogue, CatalogueSource, EntryId, HttpEntry, RequestKind, ServiceId};
pub use choose::Demand;
pub use cordons::{Cordon, CordonEffect};
pub use endpoints::{Endpoint, EndpointRecord, EndpointState};
pub use gossip::{Body, Datagram};
pub use replica::{Applied, ContentHash, Record, Replica};
pub use state::{Gateway, GatewayConfig};
