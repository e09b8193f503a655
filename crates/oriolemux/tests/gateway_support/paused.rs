//! A real process of `oriolemux gateway` that does not run for some time while the world goes on.

use super::process::{Limits, Process, Reader, Settings};
use core::time::Duration;
use http::StatusCode;
use nix::sys::signal::{Signal, kill};
use oriolemux_platform_standin::{Caller, Deployment, Service, readiness, until};
use rstest::rstest;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// How long an endpoint runs a request.
const RUN_TIME: Duration = Duration::from_millis(100);

/// How long a process is paused: longer than [`RUN_TIME`] and the callers' timeouts.
const PAUSE: Duration = Duration::from_millis(500);

/// How often a scenario whose outcome may depend on the order of events is repeated.
const ROUNDS: usize = 6;

/// Requests that are sent to find out whether an endpoint is still used.
const CALLS: usize = 12;

/// What the caller of the request that is paused does meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallerAction {
    /// It waits for its response, whose deadline passes.
    Waits,
    /// It closes its connection.
    Leaves,
}

struct OneInstance {
    deployment: Deployment,
    process: Process,
    _dir: tempfile::TempDir,
}

impl OneInstance {
    async fn start() -> OneInstance {
        let deployment = Deployment::start().await;
        let dir = tempfile::tempdir().expect("a directory");
        let settings = Settings {
            name: "edge-1",
            data_centre: "north",
            store: deployment.store.address(),
            seeds: Vec::new(),
            limits: Limits::default(),
        };
        let process = Process::start(dir.path(), &settings, Reader::Follows);
        until(|| async { readiness(process.readiness).await == StatusCode::OK }).await;
        OneInstance {
            deployment,
            process,
            _dir: dir,
        }
    }

    /// Starts and publishes an endpoint, and waits until requests reach it.
    async fn add_endpoint(&self, name: &str) -> Service {
        let service = Service::start(name).await;
        service.limit_capacity(24, RUN_TIME);
        self.deployment.add_service(&service, "ready");
        until(|| async {
            self.call("first").await;
            !service.received().is_empty()
        })
        .await;
        service
    }

    async fn call(&self, attempt: &str) -> StatusCode {
        let call = Caller::new(attempt, "/once/1");
        call.send_at(self.process.front).await.status
    }
}

/// Guards against requests to an endpoint whose announcement that it leaves arrived while the process
/// did not run, in a response that nobody waits for any longer.
#[rstest]
#[case::its_deadline_passes(CallerAction::Waits)]
#[case::its_caller_leaves(CallerAction::Leaves)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_announcement_that_arrives_during_a_pause_is_read(#[case] caller: CallerAction) {
    let one = OneInstance::start().await;
    for round in 0..ROUNDS {
        let leaving = one.add_endpoint(&format!("leaving-{round}")).await;
        leaving.announce_leaving();
        let front = one.process.front;
        let request = Caller::new("paused", "/once/1").timeout(RUN_TIME * 3);
        let response = tokio::spawn(request.send_at(front));
        let is_paused = || leaving.received().iter().any(|it| it.attempt == "paused");
        until(|| async { is_paused() }).await;

        one.process.signal(Signal::SIGSTOP);
        if caller == CallerAction::Leaves {
            response.abort();
        }
        sleep(PAUSE).await;
        one.process.signal(Signal::SIGCONT);
        let before = leaving.received().len();
        let next = one.add_endpoint(&format!("next-{round}")).await;
        for _ in 0..CALLS {
            one.call("after").await;
        }

        let late = leaving.received().len() - before;
        assert_eq!(late, 0, "requests to it in round {round}");
        one.deployment.remove(next.name());
        until(|| async { one.call("none").await == StatusCode::SERVICE_UNAVAILABLE }).await;
    }
}

/// How long a slowed process is stopped and continued in turn: it gets a tenth of the time.
const STOPPED: Duration = Duration::from_millis(90);
const CONTINUED: Duration = Duration::from_millis(10);

/// Stops and continues a process in turn until it is dropped.
struct Slowed {
    ends: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl Slowed {
    fn begin(process: &Process) -> Slowed {
        let ends = Arc::new(AtomicBool::new(false));
        let (pid, until) = (process.pid(), Arc::clone(&ends));
        let thread = std::thread::spawn(move || {
            while !until.load(Ordering::Relaxed) {
                kill(pid, Signal::SIGSTOP).expect("the process is there");
                std::thread::sleep(STOPPED);
                kill(pid, Signal::SIGCONT).expect("the process is there");
                std::thread::sleep(CONTINUED);
            }
        });
        Slowed {
            ends,
            thread: Some(thread),
        }
    }
}

impl Drop for Slowed {
    fn drop(&mut self) {
        self.ends.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            thread.join().expect("no panic");
        }
    }
}

/// Sends a call over a connection of its own; returns the head and body, empty if the connection was
/// closed without a response.
async fn raw_call(front: SocketAddr) -> String {
    let mut stream = TcpStream::connect(front).await.expect("a connection");
    let call = "GET /read/1 HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
                x-attempt-id: a1\r\nx-deadline-ms: 15000\r\nconnection: close\r\n\r\n";
    let mut response = String::new();
    if stream.write_all(call.as_bytes()).await.is_ok() {
        // A connection that is closed unread is reset.
        let _ = stream.read_to_string(&mut response).await;
    }
    response
}

/// Guards against an instance that is late and reads more than it serves, and that takes its own
/// delay for the failure of endpoints.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slowed_instance_sheds_connections_unread_and_blames_nobody() {
    let one = OneInstance::start().await;
    let _services = (one.add_endpoint("s-1").await, one.add_endpoint("s-2").await);
    let lines = |event| one.process.lines_of(event).len();

    let slowed = Slowed::begin(&one.process);
    until(|| async { lines("shedding_begins") > 0 }).await;
    until(|| async {
        let response = raw_call(one.process.front).await;
        assert!(
            response.is_empty() || response.starts_with("HTTP/1.1 200"),
            "{response}"
        );
        response.is_empty()
    })
    .await;
    drop(slowed);
    until(|| async { lines("shedding_ends") > 0 }).await;

    for _ in 0..CALLS {
        let response = raw_call(one.process.front).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    assert_eq!(lines("endpoint_passed_over"), 0);
    assert_eq!(lines("service_partitioned"), 0);
}
