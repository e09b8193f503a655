//! Real processes of `oriolemux gateway` before many callers that stay outside the limits.
//!
//! The tests run one after the other, because each measures a process, and nothing else is in this
//! file.

#[path = "gateway_support/crowd.rs"]
mod crowd;
#[path = "gateway_support/passing_peer.rs"]
mod passing_peer;
#[path = "gateway_support/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use crowd::{Crowd, Shape, call_head, long_endpoint, unread};
use http::StatusCode;
use oriolemux_platform_standin::{Behaviour, Caller, Deployment, Service, readiness, until};
use passing_peer::pass_on;
use process::{Limits, Process, Reader, Settings};
use rstest::rstest;
use serde_json::json;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;

const KIB: usize = 1_024;
const MIB: usize = 1_024 * KIB;

/// The memory of the smallest instance, in MB.
const MEMORY_MB: u32 = 88;
/// The same in bytes.
const MEMORY: usize = 88_000_000;

/// The most bytes of a body that the catalogue allows.
const MAX_BODY: usize = MIB;

/// Callers that send bodies at once: more bytes than the memory.
const CALLERS: usize = 100;

/// The descriptors that a process may have open, where they are few.
const DESCRIPTORS: u32 = 256;
/// Callers that connect at once: more than these descriptors.
const CONNECTIONS: usize = 300;

/// The connections of callers that a process accepts, where they are few.
const FEW_CONNECTIONS: usize = 64;

/// Timeouts of entries and of heads, longer than a test.
const LONG_MS: u64 = 120_000;

/// How many bytes a response has that its caller does not read: more than sockets hold.
const LONG_RESPONSE: usize = 12 * MIB;

/// Held by the test that measures.
static MEASURING: Mutex<()> = Mutex::const_new(());

struct One {
    deployment: Deployment,
    service: Service,
    process: Process,
    _dir: tempfile::TempDir,
}

impl One {
    /// Starts an instance before one endpoint of the plain service.
    async fn start(limits: Limits, max_body: usize) -> One {
        let deployment = Deployment::start().await;
        deployment.publish_changed(|config| {
            config["limits"]["max-body-bytes"] = json!(max_body);
            config["limits"]["header-timeout-ms"] = json!(LONG_MS);
            config["limits"]["idle-timeout-ms"] = json!(LONG_MS);
            let entries = config["routes"].as_array_mut().expect("a list of entries");
            for entry in entries.iter_mut() {
                entry["timeout-ms"] = json!(LONG_MS);
            }
            let mut files = entries[entries.len() - 1].clone();
            files["name"] = json!("files");
            files["path-prefix"] = json!("/files/");
            files["service"] = json!("files");
            entries.push(files);
            config["services"][1]["max-conns"] = json!(10 * CONNECTIONS);
            let services = config["services"]
                .as_array_mut()
                .expect("a list of services");
            services.push(json!({ "name": "files", "health-path": "/healthz",
                "max-conns": 10 * CONNECTIONS }));
        });
        let service = Service::start("s-1").await;
        deployment.add_service(&service, "ready");
        let dir = tempfile::tempdir().expect("a directory");
        let settings = Settings {
            name: "edge-1",
            data_centre: "north",
            store: deployment.store.address(),
            seeds: Vec::new(),
            limits,
        };
        let process = Process::start(dir.path(), &settings, Reader::Follows);
        until(|| async { readiness(process.readiness).await == StatusCode::OK }).await;
        let one = One {
            deployment,
            service,
            process,
            _dir: dir,
        };
        until(|| one.is_served()).await;
        one
    }

    fn front(&self) -> SocketAddr {
        self.process.front
    }

    fn address(&self, listener: Listener) -> SocketAddr {
        match listener {
            Listener::Front => self.process.front,
            Listener::Readiness => self.process.readiness,
            Listener::Operators => self.process.operators,
            Listener::Peers => self.process.peers,
        }
    }

    /// Sends an ordinary request over a connection of its own and returns whether it is served. An
    /// instance that is late closes some connections unread.
    async fn is_served(&self) -> bool {
        let body = "an ordinary request";
        let framing = format!("connection: close\r\ncontent-length: {}", body.len());
        let request = call_head("/once/1", &framing) + body;
        let mut response = Vec::new();
        let exchange = async {
            let mut stream = TcpStream::connect(self.front()).await?;
            stream.write_all(request.as_bytes()).await?;
            stream.read_to_end(&mut response).await
        };
        exchange.await.is_ok() && response.starts_with(b"HTTP/1.1 200 ")
    }

    /// Adds an endpoint whose responses are long, and waits until requests reach it.
    async fn add_long_endpoint(&self) {
        let address = long_endpoint(LONG_RESPONSE).await;
        self.deployment.add_at("files-1", "files", address);
        let is_served = || async {
            let reply = Caller::new("file", "/files/1").send_at(self.front()).await;
            reply.status == StatusCode::OK
        };
        until(is_served).await;
    }

    /// Checks that the process lives within `memory` bytes and answers an ordinary request.
    async fn is_sound(&mut self, memory: usize) {
        assert!(self.process.is_alive(), "the process has ended");
        let peak = self.process.peak_memory();
        assert!(peak <= memory, "{peak} bytes of {memory}");
        until(|| self.is_served()).await;
        assert!(self.process.is_alive(), "the process has ended");
        let peak = self.process.peak_memory();
        assert!(peak <= memory, "{peak} bytes of {memory}");
    }
}

const SMALLEST: Limits = Limits {
    memory_mb: Some(MEMORY_MB),
    max_descriptors: None,
    max_connections: None,
    write_timeout_ms: None,
};

/// Guards against a process that ends for want of memory: many bodies of legal size stop just short of
/// their end, and their connections stay open.
#[rstest]
#[case::at_once(Shape::announced(MAX_BODY, MAX_BODY))]
#[case::in_pieces(Shape::announced(MAX_BODY, 1_000))]
#[case::in_large_chunks(Shape::chunked(MAX_BODY, 64 * KIB))]
#[case::in_chunks_of_seven_bytes(Shape::chunked(MAX_BODY / 4, 7))]
#[case::in_chunks_of_one_byte(Shape::chunked(MAX_BODY / 20, 1))]
#[case::in_padded_chunks(Shape::padded(512, 1_024))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_their_end_fit_into_memory(#[case] shape: Shape) {
    a_crowd_fits_into_memory(&shape.without_end()).await;
}

/// Lets a crowd send `shape` and checks the instance while the connections are open.
async fn a_crowd_fits_into_memory(shape: &Shape) {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;

    let crowd = Crowd::send(one.front(), CALLERS, shape).await;
    crowd.is_read(one.front()).await;

    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against a process that ends for want of memory: many bodies are far over the limit.
#[rstest]
#[case::announced(Shape::announced(1 << 40, 64 * KIB).cut_after(8 * MIB))]
#[case::just_sent(Shape::chunked(8 * MIB, 64 * KIB))]
#[case::just_sent_in_small_chunks(Shape::chunked(MIB + 256 * KIB, 64))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_over_the_limit_fit_into_memory(#[case] shape: Shape) {
    a_crowd_fits_into_memory(&shape.without_end()).await;
}

/// Guards against a process that ends for want of memory: whole bodies of legal size are kept while
/// their requests run.
#[rstest]
#[case::with_a_length(Shape::announced(MAX_BODY, MAX_BODY))]
#[case::in_chunks(Shape::chunked(MAX_BODY, 16 * KIB))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_bodies_of_requests_that_run_fit_into_memory(#[case] shape: Shape) {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;
    one.service.behave(&[Behaviour::Hang; CALLERS]);

    let crowd = Crowd::send(one.front(), CALLERS, &shape).await;
    crowd.is_read(one.front()).await;
    one.service.behave_as_usual();

    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against a single request inside the limits that is refused in calm, also where its body is
/// a large part of the memory.
#[rstest]
#[case::usual(MAX_BODY)]
#[case::of_a_large_limit(24 * MIB)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_single_body_of_the_largest_size_is_served(#[case] bytes: usize) {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, bytes).await;
    let body = vec![b'x'; bytes];

    for attempt in ["whole-1", "whole-2"] {
        let reply = Caller::new(attempt, "/once/1").body(&body);
        assert_eq!(reply.send_at(one.front()).await.status, StatusCode::OK);
    }

    let received = one.service.received();
    assert!(received.iter().filter(|it| it.body == body).count() == 2);
    one.is_sound(MEMORY).await;
}

/// Guards against memory that is counted as held after its callers have left: nobody would be served
/// from then on.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_body_is_served_after_a_crowd_has_left() {
    let _alone = MEASURING.lock().await;
    let one = One::start(SMALLEST, MAX_BODY).await;
    let shape = Shape::announced(MAX_BODY, MAX_BODY);
    let crowd = Crowd::send(one.front(), CALLERS, &shape.without_end()).await;
    crowd.is_read(one.front()).await;

    drop(crowd);

    let body = vec![b'x'; MAX_BODY];
    let served = || async {
        let call = Caller::new("large", "/once/1").body(&body);
        call.send_at(one.front()).await.status == StatusCode::OK
    };
    until(served).await;
    assert!(served().await);
}

/// Guards against a process that ends for want of memory: callers do not read long responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_nobody_reads_fit_into_memory() {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;
    one.add_long_endpoint().await;
    let request = Shape::raw(call_head("/files/1", "x-nothing: 0").into_bytes());

    let crowd = Crowd::send(one.front(), CALLERS, &request).await;
    crowd.has_begun().await;

    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against responses that are kept for as long as their callers like: each has a request, a
/// connection and memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_does_not_read_its_response_is_given_up() {
    let _alone = MEASURING.lock().await;
    let limits = Limits {
        write_timeout_ms: Some(200),
        ..SMALLEST
    };
    let mut one = One::start(limits, MAX_BODY).await;
    one.add_long_endpoint().await;
    let request = Shape::raw(call_head("/files/1", "x-nothing: 0").into_bytes());

    let crowd = Crowd::send(one.front(), 1, &request).await;

    let given_up = || {
        let cuts = one.process.lines_of("response_cut");
        cuts.iter().any(|it| it["how"] == "not_read")
    };
    until(|| async { given_up() }).await;
    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against bounds that hold one by one and exceed the memory together.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn crowds_of_all_kinds_at_once_fit_into_memory() {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;
    one.add_long_endpoint().await;
    one.service.behave(&[Behaviour::Hang; 3 * CALLERS]);
    let stalled = Shape::announced(MAX_BODY, 64 * KIB).without_end();
    let small_chunks = Shape::chunked(MAX_BODY / 20, 1).without_end();
    let whole = Shape::chunked(MAX_BODY / 4, 16 * KIB);
    let unread = Shape::raw(call_head("/files/1", "x-nothing: 0").into_bytes());
    let idle = Shape::raw(Vec::new());

    let mut crowds = Vec::new();
    for shape in [&whole, &unread, &stalled, &small_chunks, &idle] {
        crowds.push(Crowd::send(one.front(), CALLERS, shape).await);
    }
    for crowd in &crowds {
        crowd.is_read(one.front()).await;
    }
    one.service.behave_as_usual();

    one.is_sound(MEMORY).await;
    drop(crowds);
}

/// What callers do that occupy all connections.
#[derive(Clone, Copy, Debug)]
enum Occupation {
    /// They send nothing.
    Silent,
    /// They send a head without its end.
    Head,
    /// They send a body without its end.
    Body,
    /// They got their response and keep the connection.
    KeepAlive,
}

/// Guards against ordinary callers that are shut out, because others keep all connections.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_ordinary_caller_is_served_beside_callers_that_keep_all_connections(
    #[values(
        Occupation::Silent,
        Occupation::Head,
        Occupation::Body,
        Occupation::KeepAlive
    )]
    how: Occupation,
) {
    let _alone = MEASURING.lock().await;
    let limits = Limits {
        max_connections: Some(FEW_CONNECTIONS as u32),
        ..SMALLEST
    };
    let mut one = One::start(limits, MAX_BODY).await;
    let bytes = match how {
        Occupation::Silent => String::new(),
        Occupation::Head => "POST /once/1 HTTP/1.1\r\nhost: desk.example\r\n".to_owned(),
        Occupation::Body => call_head("/once/1", "content-length: 100") + "x",
        Occupation::KeepAlive => call_head("/once/1", "content-length: 1") + "x",
    };
    let shape = Shape::raw(bytes.into_bytes());

    let crowd = Crowd::send(one.front(), FEW_CONNECTIONS, &shape).await;
    crowd.is_read(one.front()).await;
    if matches!(how, Occupation::KeepAlive) {
        crowd.has_begun().await;
    }

    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// The listeners of an instance.
#[derive(Clone, Copy, Debug)]
enum Listener {
    Front,
    Readiness,
    Operators,
    Peers,
}

/// Guards against a process without descriptors: one that has none left serves nobody, and reads
/// neither the store nor its log.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connections_without_requests_leave_descriptors(
    #[values(
        Listener::Front,
        Listener::Readiness,
        Listener::Operators,
        Listener::Peers
    )]
    listener: Listener,
) {
    let _alone = MEASURING.lock().await;
    let limits = Limits {
        max_descriptors: Some(DESCRIPTORS),
        ..SMALLEST
    };
    let mut one = One::start(limits, MAX_BODY).await;
    let address = one.address(listener);

    let crowd = Crowd::send(address, CONNECTIONS, &Shape::raw(Vec::new())).await;
    crowd.is_accepted(address).await;

    let open = one.process.descriptors();
    assert!(open <= DESCRIPTORS as usize, "{open} descriptors");
    assert_eq!(readiness(one.process.readiness).await, StatusCode::OK);
    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against a process that ends for want of memory: many heads are long and have no end.
#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn heads_without_end_fit_into_memory(
    #[values(
        Listener::Front,
        Listener::Readiness,
        Listener::Operators,
        Listener::Peers
    )]
    listener: Listener,
) {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;
    let address = one.address(listener);
    let mut head = b"GET /status HTTP/1.1\r\nhost: desk.example\r\nx-long: ".to_vec();
    head.resize(400 * KIB, b'x');

    let crowd = Crowd::send(address, CONNECTIONS, &Shape::raw(head)).await;
    crowd.is_read(address).await;

    assert_eq!(readiness(one.process.readiness).await, StatusCode::OK);
    one.is_sound(MEMORY).await;
    drop(crowd);
}

/// Guards against bytes that the system holds for a process, which count as its memory: callers send on
/// behind a request that runs, over connections whose buffers have grown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_behind_requests_that_run_fit_into_memory() {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, MAX_BODY).await;
    let short = call_head("/once/1", "content-length: 1") + "x";
    let long = call_head("/once/1", &format!("content-length: {MAX_BODY}"));
    let long = [long.as_bytes(), &vec![b'x'; MAX_BODY]].concat();
    let mut crowd = Crowd::send(one.front(), CALLERS, &Shape::raw(Vec::new())).await;
    for _ in 0..4 {
        crowd.exchange(&long).await;
    }
    one.service.behave(&[Behaviour::Hang; CALLERS]);

    crowd.fill(short.as_bytes()).await;
    until(|| async { one.service.hanging() == CALLERS }).await;
    crowd.fill(&long.repeat(8)).await;
    one.service.behave_as_usual();

    let unread = unread(one.front());
    one.is_sound(MEMORY - unread.min(MEMORY)).await;
    drop(crowd);
}

/// Requests that peers pass on at once, and the bytes of each body: more than the memory.
const PASSED_ON: usize = 16;
const PASSED_BYTES: usize = 8 * MIB;

/// Guards against a process that ends for want of memory: peers pass on requests with large bodies, and
/// these are kept while the requests run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_that_peers_pass_on_fit_into_memory() {
    let _alone = MEASURING.lock().await;
    let mut one = One::start(SMALLEST, PASSED_BYTES).await;
    one.service.behave(&[Behaviour::Hang; PASSED_ON]);
    let peers = one.process.peers;

    let mut passed = Vec::new();
    for number in 0..PASSED_ON {
        passed.push(pass_on(peers, &format!("passed-{number}"), PASSED_BYTES).await);
    }
    until(|| async { unread(peers) == 0 }).await;
    one.service.behave_as_usual();

    one.is_sound(MEMORY).await;
    drop(passed);
}
