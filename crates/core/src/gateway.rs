//! Decisions for HTTP entries, whose requests are forwarded unchanged.
//!
//! The entry of a request is found by its host and the longest matching path prefix. Its requests
//! are sent to an endpoint of a service, and the response is returned unchanged. Engines and plain
//! services are handled alike, except for how an endpoint is chosen and what may be retried. See
//! `docs/design/platform.md` for the design.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`catalogue`] | entries, services, workspaces and limits of callers; finds the entry of a request |
//! | [`revision`] | revisions of the store, and the history that they belong to |
//! | [`replica`] | the published records, merged by revision from reads and peers |
//! | [`cordons`] | data centres that the operator closed to new work |
//! | [`cold`] | rate limits of endpoints, in particular of cold ones |
//! | [`body_memory`] | whose request bodies are kept, where all together are bounded |
//! | [`connection_bounds`] | how many connections are held, and which yield |
//! | [`response_memory`] | whether there is room for a buffered response |
//! | [`stream_memory`] | whether more of a stream is read |
//! | [`rate_limits`] | rate limits that endpoints report for themselves |
//! | [`backoff`] | endpoints that want no requests from this instance for a while |
//! | [`endpoints`] | which endpoints exist, which are leaving, which are ejected |
//! | [`lengths`] | the remaining length of a generation |
//! | [`usage`] | usage of each endpoint by this instance, and by others as far as known |
//! | [`pace`] | how fast engines are, and how long their gaps become |
//! | [`request`] | requests for room at engines, and what homes decide about them: types only |
//! | [`engines`] | what a home needs to know of a service |
//! | [`placement`] | placement requests to the home of a service, and the fallback without a home |
//! | [`home`] | the state of a home, and how it assigns the room of its engines |
//! | [`headroom`] | capacity that is kept free for urgent requests |
//! | [`shares`] | the shares of workspaces in what a home grants |
//! | [`forecast`] | when queued requests will get room |
//! | [`queue`] | the order in which queued requests get room |
//! | `shortlist` | which engines a home looks at |
//! | [`choose`] | the endpoint for a request, and the engine for a standby copy |
//! | [`relocation`] | when a generation leaves its engine, and which events its caller gets |
//! | [`run_end`] | whether the run of a generation has ended at an engine that it leaves |
//! | [`stop_conduct`] | whether engines carry out orders to stop runs, and how a generation leaves them |
//! | [`reachability`] | whether this instance reaches the endpoints of a service |
//! | [`proxies`] | the peers through which a partitioned instance serves its callers |
//! | [`own_delay`] | whether this instance itself is late, and which new connections it sheds |
//! | [`budget`] | how many retries this instance may spend |
//! | [`suspects`] | requests that crash the endpoints that run them |
//! | [`members`] | which instances exist |
//! | [`fleet_size`] | the number of instances, including recently lost ones |
//! | [`gossip`] | the messages between instances and their dissemination |
//! | [`beacons`] | beacons of the instances that watch the store, and who watches |
//! | [`reader`] | when to read and watch the store |
//! | [`catch_up`] | how an instance gets updates that it missed |
//! | [`withdrawal`] | whether an overloaded instance withdraws its readiness |
//! | [`state`] | all of the above behind one type |

pub mod backoff;
pub mod beacons;
pub mod body_memory;
pub mod brittle;
pub mod budget;
pub mod catalogue;
pub mod catch_up;
pub mod choose;
pub mod cold;
pub mod connection_bounds;
pub mod cordons;
pub mod endpoints;
pub mod engines;
pub mod fallback;
pub mod fleet_size;
pub mod forecast;
pub mod gossip;
pub mod headroom;
pub mod holds;
pub mod home;
pub mod lengths;
pub mod members;
pub mod no_room;
pub mod own_delay;
pub mod pace;
pub mod placement;
pub mod proxies;
pub mod queue;
pub mod rate_limits;
pub mod reachability;
pub mod reader;
pub mod relocation;
pub mod replica;
pub mod request;
pub mod response_memory;
pub mod revision;
pub mod run_end;
pub mod shares;
mod shortlist;
pub mod state;
pub mod stop_conduct;
pub mod stream_memory;
pub mod suspects;
pub mod usage;
pub mod withdrawal;

pub use catalogue::{Catalogue, CatalogueSource, EntryId, HttpEntry, RequestKind, ServiceId};
pub use cordons::{Cordon, CordonEffect};
pub use endpoints::{Endpoint, EndpointRecord, EndpointState};
pub use gossip::{Body, Datagram};
pub use replica::{Applied, ContentHash, Record, Replica};
pub use request::Demand;
pub use revision::{Epoch, Revision};
pub use state::{Gateway, GatewayConfig};
