//! Requests that go through a peer, because this instance reaches no endpoint of their service.
//!
//! The peer is the *proxy* of the request. It handles the request as if the caller had connected to
//! it, but never passes it on to another peer. An exchange is one HTTP/2 stream in two steps. First
//! the request is offered, and the peer accepts or declines; nothing of the request has been sent
//! until then, so another peer can be asked if there is no answer. Then the request is sent, and
//! the response streams back.
//!
//! The instance that accepted the caller keeps the connection to it. After it has sent the request
//! to a proxy, the request may have run.
//!
//! | module | responsibility |
//! | --- | --- |
//! | [`message`] | the messages of an exchange and their framing |
//! | [`links`] | connections to peers, which are reused |
//! | [`client`] | passes a request to a proxy |
//! | [`server`] | serves requests as a proxy |
//! | [`probe`] | notices that a partition has begun or ended |
//!
//! See `docs/design/partitions.md`.

pub mod client;
pub mod links;
pub mod message;
pub mod probe;
pub mod server;
