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
//! | [`endpoints`] | which endpoints exist, which of them leave, which are not trusted |
//! | [`lengths`] | how long a generation will still be |
//! | [`usage`] | what runs at each endpoint, own and told by peers |
//! | [`queue`] | in which order requests that wait get room |
//! | [`choose`] | the endpoint for a request, and the one that holds its standing copy |
//! | [`relocation`] | when a generation leaves its engine, and which events its caller gets |
//! | [`budget`] | how many repeats this instance may spend |
//! | [`bulletin`] | what instances tell each other |
//! | [`reader`] | when to read and watch the store |
//! | [`catch_up`] | how an instance that missed something gets it |
//! | [`state`] | all of the above behind one type |

pub mod budget;
pub mod bulletin;
pub mod catalogue;
pub mod catch_up;
pub mod choose;
pub mod endpoints;
pub mod lengths;
pub mod queue;
pub mod reader;
pub mod relocation;
pub mod replica;
pub mod state;
pub mod usage;

pub use bulletin::Bulletin;
pub use catalogue::{Catalogue, CatalogueSource, EntryId, HttpEntry, Repeat, ServiceId};
pub use choose::Demand;
pub use endpoints::{Endpoint, EndpointRecord, EndpointState};
pub use replica::{Applied, Mark, Record, Replica};
pub use state::{Gateway, GatewayConfig};
