//! Real processes of `oriolemux gateway` in front of the platform's stand-in, in the fleet shapes of
//! both users.

#[path = "gateway_support/paused.rs"]
mod paused;
#[path = "gateway_support/process.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod process;

use core::time::Duration;
use http::StatusCode;
use nix::sys::signal::Signal;
use oriolemux_gateway::GatewayStatus;
use oriolemux_gateway::status::Readiness;
use oriolemux_platform_standin::{
    Caller, Deployment, Engine, EngineFault, Engines, Service, readiness, until,
};
use process::{Limits, Process, Reader, Settings, stale_seed};
use rstest::rstest;
use std::process::Command;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpSocket;

/// A scaled-down fleet of one user: engines, plain services, instances in data centres.
struct Shape {
    engines: usize,
    services: usize,
    data_centres: [&'static str; 3],
}

const SAVANNAH_THREADS: Shape = Shape {
    engines: 4,
    services: 3,
    data_centres: ["chaguanas", "arima", "san-juan"],
};

const QAFSA_LYRICWORKS: Shape = Shape {
    engines: 3,
    services: 3,
    data_centres: ["tunis-lac", "tunis-charguia", "tunis-ariana"],
};

struct Fleet {
    deployment: Deployment,
    engines: Engines,
    all: Vec<Engine>,
    _services: Vec<Service>,
    processes: Vec<Process>,
    _dir: tempfile::TempDir,
}

/// Number of events of a generation of these engines.
const EVENTS: u64 = 60;

fn full_generation(attempt: &str) -> String {
    (1..=EVENTS)
        .map(|event| Engines::event(attempt, event))
        .collect()
}

async fn fleet(shape: &Shape) -> Fleet {
    let deployment = Deployment::start().await;
    let engines = Engines::new(EVENTS, Duration::from_millis(40));
    let mut all = Vec::new();
    for number in 0..shape.engines {
        let engine = engines.start(&format!("e-{number}")).await;
        deployment.add_engine(&engine, "ready");
        all.push(engine);
    }
    let mut services = Vec::new();
    for number in 0..shape.services {
        let service = Service::start(&format!("s-{number}")).await;
        deployment.add_service(&service, "ready");
        services.push(service);
    }
    let dir = tempfile::tempdir().expect("a directory");
    let mut processes = Vec::new();
    for data_centre in shape.data_centres {
        let settings = Settings {
            name: &format!("edge-{data_centre}"),
            data_centre,
            store: deployment.store.address(),
            seeds: vec![stale_seed()],
            limits: Limits::default(),
        };
        processes.push(Process::start(dir.path(), &settings, Reader::Follows));
    }
    for process in &processes {
        until(|| async { readiness(process.readiness).await == StatusCode::OK }).await;
    }
    Fleet {
        deployment,
        engines,
        all,
        _services: services,
        processes,
        _dir: dir,
    }
}

/// Every kind of request is served through real processes, while an engine leaves,
/// an instance is killed and another one is stopped as planned.
#[rstest]
#[case::savannah_threads(&SAVANNAH_THREADS)]
#[case::qafsa_lyricworks(&QAFSA_LYRICWORKS)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn fleet_serves_while_engines_and_instances_leave(#[case] shape: &'static Shape) {
    let mut fleet = fleet(shape).await;
    let fronts: Vec<_> = fleet
        .processes
        .iter()
        .map(|process| process.front)
        .collect();
    let generations: Vec<_> = (0..4)
        .map(|number| {
            let front = fronts[number % 2];
            let call = Caller::generation(&format!("g{number}"));
            tokio::spawn(call.send_at(front))
        })
        .collect();
    until(|| async { fleet.engines.running() == 4 }).await;

    fleet.deployment.add_engine(&fleet.all[0], "draining");
    fleet.processes[2].signal(Signal::SIGKILL);
    fleet.processes[1].signal(Signal::SIGTERM);
    for number in 0..6 {
        let once = Caller::new(&format!("o{number}"), "/once/1")
            .send_at(fronts[0])
            .await;
        let read = Caller::new(&format!("r{number}"), "/read/1")
            .send_at(fronts[0])
            .await;
        assert_eq!((once.status, read.status), (StatusCode::OK, StatusCode::OK));
    }

    for (number, generation) in generations.into_iter().enumerate() {
        let reply = generation.await.expect("no panic");
        assert!(reply.complete);
        assert_eq!(reply.body, full_generation(&format!("g{number}")));
    }
    assert_eq!(fleet.engines.late_events(), 0);
    assert!(
        fleet.processes[1].wait().success(),
        "the planned stop ends with 0"
    );
}

/// Guards against streams that are cut because a service manager repeats its SIGTERM.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_repeated_sigterm_cuts_off_nothing() {
    let mut fleet = fleet(&SAVANNAH_THREADS).await;
    let call = Caller::generation("g1").send_at(fleet.processes[0].front);
    let generation = tokio::spawn(call);
    until(|| async { fleet.engines.running() == 1 }).await;

    fleet.processes[0].signal(Signal::SIGTERM);
    until(|| async { !fleet.processes[0].lines_of("stop_requested").is_empty() }).await;
    fleet.processes[0].signal(Signal::SIGTERM);

    let reply = generation.await.expect("no panic");
    assert!(reply.complete);
    assert_eq!(reply.body, full_generation("g1"));
    assert!(fleet.processes[0].wait().success());
    assert_eq!(fleet.processes[0].lines_of("stop_repeated").len(), 1);
}

/// Guards against instances that cannot be ended at once by a person who waits for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn sigint_during_a_planned_stop_ends_the_process_at_once() {
    let mut fleet = fleet(&SAVANNAH_THREADS).await;
    let call = Caller::generation("g1").send_at(fleet.processes[0].front);
    let generation = tokio::spawn(call);
    until(|| async { fleet.engines.running() == 1 }).await;
    fleet.processes[0].signal(Signal::SIGTERM);
    until(|| async { !fleet.processes[0].lines_of("stop_requested").is_empty() }).await;

    fleet.processes[0].signal(Signal::SIGINT);

    assert_eq!(fleet.processes[0].wait().code(), Some(5));
    assert!(!generation.await.expect("no panic").complete);
}

/// Guards against callers of other instances that wait, and against a revoked key that works again.
/// An instance is frozen with a running generation; its peers continue to serve, a new catalogue
/// revokes a key, and the instance continues. No other caller may wait for it, its generation must
/// continue without a second start, and it must use the newer catalogue permanently.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_instance_blocks_no_caller_and_continues_when_it_wakes() {
    let fleet = fleet(&SAVANNAH_THREADS).await;
    let (frozen, other) = (&fleet.processes[0], &fleet.processes[1]);
    let running = tokio::spawn(Caller::generation("g0").send_at(frozen.front));
    until(|| async { fleet.engines.running() == 1 }).await;

    frozen.signal(Signal::SIGSTOP);
    let reply = Caller::generation("g1").send_at(other.front).await;
    assert_eq!(reply.body, full_generation("g1"));
    let read = Caller::new("r1", "/read/1").send_at(other.front).await;
    assert_eq!(read.status, StatusCode::OK);
    fleet.deployment.publish(&["key-2"], &[]);
    let refuses = async |process: &Process| {
        let reply = Caller::new("k1", "/once/1").send_at(process.front).await;
        reply.status == StatusCode::UNAUTHORIZED
    };
    until(|| refuses(other)).await;
    frozen.signal(Signal::SIGCONT);
    until(|| refuses(frozen)).await;

    assert!(refuses(frozen).await, "the older catalogue is back");
    let reply = running.await.expect("no panic");
    assert!(reply.complete);
    assert_eq!(reply.body, full_generation("g0"));
    let starts = fleet.engines.starts();
    assert_eq!(starts.iter().filter(|(_, name, _)| name == "g0").count(), 1);
}

/// Guards against failed requests that cannot be explained later: the log line of the attempt must
/// name the reason.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_request_is_found_by_its_attempt() {
    let fleet = fleet(&QAFSA_LYRICWORKS).await;
    let process = &fleet.processes[0];

    let reply = Caller::new("attempt-77", "/nowhere/1")
        .send_at(process.front)
        .await;

    assert_eq!(reply.status, StatusCode::NOT_FOUND);
    until(|| async { !process.lines_of("refused_at_front").is_empty() }).await;
    let line = &process.lines_of("refused_at_front")[0];
    assert_eq!(line["attempt"], "attempt-77");
    assert_eq!(line["reason"], "no_entry");
    assert_eq!(line["event"], 802);
}

/// Guards against a settings file that makes a later restart fail unnoticed: the file becomes
/// invalid and SIGHUP is sent. The findings must be logged at once, and the process must continue to
/// serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn settings_with_findings_leave_the_process_unchanged() {
    let fleet = fleet(&QAFSA_LYRICWORKS).await;
    let process = &fleet.processes[0];

    process.overwrite_settings("name = 7\n");
    process.signal(Signal::SIGHUP);

    let rejections = || process.lines_of("settings_rejected");
    until(|| async { !rejections().is_empty() }).await;
    let findings = rejections()[0]["findings"]
        .as_str()
        .unwrap_or("")
        .to_owned();
    assert!(findings.contains("data_centre"), "{findings}");
    let reply = Caller::new("a1", "/once/1").send_at(process.front).await;
    assert_eq!(reply.status, StatusCode::OK);
}

/// Guards against an instance whose requests all stall at once: the reader of its log stops reading,
/// the pipe fills, and a line is written by the thread that serves. Log lines may be lost then, but
/// no requests.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_log_blocks_no_request() {
    let deployment = Deployment::start().await;
    let service = Service::start("s-1").await;
    deployment.add_service(&service, "ready");
    let dir = tempfile::tempdir().expect("a directory");
    let settings = Settings {
        name: "edge-1",
        data_centre: "arima",
        store: deployment.store.address(),
        seeds: Vec::new(),
        limits: Limits::default(),
    };
    let process = Process::start(dir.path(), &settings, Reader::Stops);
    until(|| async { readiness(process.readiness).await == StatusCode::OK }).await;

    // Two lines of some 300 bytes a request, against a pipe of 64 KiB.
    for number in 0..600 {
        let reply = Caller::new(&format!("a{number}"), "/once/1")
            .send_at(process.front)
            .await;
        assert_eq!(reply.status, StatusCode::OK, "request {number}");
    }
}

/// How often a test polls the status for an expected value; only a failing test polls so often.
const MAX_STATUS_POLLS: usize = 200;

/// The operators' commands against a running instance.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn operators_see_the_state_of_an_instance_and_stop_it() {
    let mut fleet = fleet(&QAFSA_LYRICWORKS).await;
    let process = &mut fleet.processes[0];

    // It probes its peers soon after its start.
    let mut json = process.command(&["status", "--json"]);
    for _ in 0..MAX_STATUS_POLLS {
        let status: GatewayStatus = serde_json::from_slice(&json.stdout).expect("JSON");
        if status.sent.iter().any(|it| it.purpose == "probes") {
            break;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        json = process.command(&["status", "--json"]);
    }
    let shown = process.command(&["status"]);
    let drained = process.command(&["drain"]);

    let shown = String::from_utf8_lossy(&shown.stdout);
    assert!(shown.starts_with("edge-tunis-lac: ready"), "{shown}");
    assert!(shown.contains("e-0 of"), "{shown}");
    let status: GatewayStatus = serde_json::from_slice(&json.stdout).expect("JSON");
    assert_eq!(status.readiness, Readiness::Ready);
    assert_eq!(status.endpoints.len(), 6);
    assert_eq!(status.homes.len(), 1, "one service has engines");
    assert!(shown.contains("home       "), "{shown}");
    assert!(
        status
            .sent
            .iter()
            .any(|it| it.purpose == "probes" && it.bytes > 0)
    );
    assert!(drained.status.success(), "{drained:?}");
    assert!(process.wait().success(), "the planned stop ends with 0");
}

/// Guards against an instance that any host can stop: its listener for metrics is readable from the
/// whole network, so it must accept the planned stop only from the local machine.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn planned_stop_is_accepted_from_the_local_machine_only() {
    let fleet = fleet(&QAFSA_LYRICWORKS).await;
    let process = &fleet.processes[0];
    let socket = TcpSocket::new_v4().expect("a socket");
    let elsewhere = "127.0.0.2:0".parse().expect("an address");
    socket.bind(elsewhere).expect("bound");
    let mut stream = socket
        .connect(process.operators)
        .await
        .expect("a connection");

    stream
        .write_all(b"POST /drain HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
        .await
        .expect("sent");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("a response");

    assert!(response.starts_with("HTTP/1.1 403"), "{response}");
    assert_eq!(readiness(process.readiness).await, StatusCode::OK);
}

/// A failed request is explained from the log lines of its instance alone.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn failed_request_is_explained_from_the_log() {
    let fleet = fleet(&QAFSA_LYRICWORKS).await;
    let process = &fleet.processes[0];
    for engine in &fleet.all {
        fleet.engines.fault(engine, EngineFault::NoRoom);
        fleet.engines.fault(engine, EngineFault::CutAfter(3));
    }
    let reply = Caller::generation("g1").send_at(process.front).await;
    assert!(!reply.complete);
    until(|| async { !process.lines_of("generation_ended").is_empty() }).await;
    let log = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(log.path(), process.log()).expect("written");

    let explain = |attempt: &str| {
        Command::new(env!("CARGO_BIN_EXE_oriolemux"))
            .args(["explain", attempt, "--logs"])
            .arg(log.path())
            .output()
            .expect("the command runs")
    };
    let (known, unknown) = (explain("g1"), explain("g2"));
    let queried = process.command(&["explain", "g1"]);

    let story = String::from_utf8_lossy(&known.stdout);
    assert!(story.contains("placed [820]"), "{story}");
    assert!(story.contains("\ncause: its engine e-"), "{story}");
    assert_eq!(unknown.status.code(), Some(8), "{unknown:?}");
    let hint = String::from_utf8_lossy(&queried.stderr);
    assert!(hint.contains("--logs"), "{hint}");
}
