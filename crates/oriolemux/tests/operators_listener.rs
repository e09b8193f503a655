//! The operators' listener and the commands that query it.

use oriolemux::operators::{OperatorPort, OperatorQuery, OperatorServer, bind};
use oriolemux::settings::Secret;
use oriolemux::status::{Explanation, NodeStatus, Readiness};
use oriolemux_core::explain::Line;
use rstest::rstest;
use std::net::SocketAddr;
use std::process::{Command, Output};
use tokio::sync::{mpsc, watch};

const KEY: &str = "an operators' key";
const KNOWN: &str = "r-0000000000000001-0000000000000002-3";
const UNKNOWN: &str = "r-0000000000000001-0000000000000002-4";

/// A listener in front of a node task that replies with fixed values.
struct Fixture {
    address: SocketAddr,
    readiness: watch::Sender<Readiness>,
}

async fn serve() -> Fixture {
    let (readiness, readiness_rx) = watch::channel(Readiness::Starting);
    let (port, queries) = OperatorPort::new(readiness_rx);
    tokio::spawn(answer(queries, readiness.clone()));
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = OperatorServer::new(listener, port, Secret::new(KEY));
    tokio::spawn(async move { server.run(std::future::pending()).await });
    Fixture { address, readiness }
}

async fn answer(mut queries: mpsc::Receiver<OperatorQuery>, readiness: watch::Sender<Readiness>) {
    while let Some(query) = queries.recv().await {
        match query {
            OperatorQuery::Ping(reply) => drop(reply.send(())),
            OperatorQuery::Status(reply) => drop(reply.send(NodeStatus {
                instance: "chaguanas-1".to_owned(),
                readiness: *readiness.borrow(),
                ..NodeStatus::default()
            })),
            OperatorQuery::Explain(id, reply) => drop(reply.send(explain(&id.to_string()))),
            OperatorQuery::Drain(reply) => {
                readiness.send_replace(Readiness::Stopping);
                let _ = reply.send(());
            }
        }
    }
}

fn explain(id: &str) -> Option<Explanation> {
    let step = Line {
        at_ms: 12,
        step: "granted".to_owned(),
        detail: "endpoint arima-2 had the most room".to_owned(),
    };
    (id == KNOWN).then(|| Explanation {
        request: id.to_owned(),
        steps: vec![step],
    })
}

/// Runs a command against the listener with `key`.
async fn oriolemux(fixture: &Fixture, key: &str, args: &[&str]) -> Output {
    let dir = tempfile::tempdir().expect("a directory");
    let key_file = dir.path().join("operators.key");
    std::fs::write(&key_file, format!("{key}\n")).expect("key written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_oriolemux"));
    command
        .args(args)
        .args(["--address", &fixture.address.to_string(), "--key-file"])
        .arg(&key_file);
    let ran = tokio::task::spawn_blocking(move || command.output()).await;
    ran.expect("joined").expect("the binary runs")
}

async fn get(fixture: &Fixture, path: &str, key: Option<&str>) -> (u16, String) {
    let url = format!("http://{}{path}", fixture.address);
    let mut req = reqwest::Client::new().get(url);
    if let Some(key) = key {
        req = req.bearer_auth(key);
    }
    let answer = req.send().await.expect("an answer");
    (answer.status().as_u16(), answer.text().await.expect("text"))
}

#[rstest]
#[case::health("/healthz", None, 200)]
#[case::not_ready_yet("/readyz", None, 503)]
#[case::status_without_key("/status", None, 401)]
#[case::status_with_wrong_key("/status", Some("an operators' kex"), 401)]
#[case::status_with_part_of_key("/status", Some("an operators'"), 401)]
#[case::status("/status", Some(KEY), 200)]
#[case::metrics_without_key("/metrics", None, 401)]
#[case::metrics("/metrics", Some(KEY), 200)]
#[case::malformed_request_id("/explain/r-1", Some(KEY), 400)]
#[case::drain_is_not_read("/drain", Some(KEY), 405)]
#[case::nothing_there("/nothing", Some(KEY), 404)]
#[tokio::test]
async fn path_responds(#[case] path: &str, #[case] key: Option<&str>, #[case] expected: u16) {
    let fixture = serve().await;

    let (status, body) = get(&fixture, path, key).await;

    assert_eq!(status, expected, "{body}");
}

#[tokio::test]
async fn readiness_follows_the_node_without_a_query() {
    let fixture = serve().await;

    fixture.readiness.send_replace(Readiness::Ready);
    let ready = get(&fixture, "/readyz", None).await;
    fixture.readiness.send_replace(Readiness::Stopping);
    let stopping = get(&fixture, "/readyz", None).await;

    assert_eq!(ready, (200, "ready\n".to_owned()));
    assert_eq!(stopping, (503, "stopping\n".to_owned()));
}

#[tokio::test]
async fn health_fails_when_the_node_task_has_ended() {
    // Guards against an instance whose node task has ended and that still receives requests from
    // the load balancer: the task ends while the listener continues, so the listener alone must
    // not report health.
    let (_, readiness) = watch::channel(Readiness::Ready);
    let (port, queries) = OperatorPort::new(readiness);
    drop(queries);
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = OperatorServer::new(listener, port, Secret::new(KEY));
    tokio::spawn(async move { server.run(std::future::pending()).await });
    let (readiness, _) = watch::channel(Readiness::Ready);

    let (status, _) = get(&Fixture { address, readiness }, "/healthz", None).await;

    assert_eq!(status, 503);
}

#[rstest]
#[case::status(KEY, &["status"], 0, "chaguanas-1 in")]
#[case::status_json(KEY, &["--json", "status"], 0, "\"readiness\":\"starting\"")]
#[case::explain(KEY, &["explain", KNOWN], 0, "granted            endpoint arima-2 had")]
#[case::explain_unknown(KEY, &["explain", UNKNOWN], 8, "")]
#[case::explain_malformed(KEY, &["explain", "r-1"], 2, "")]
#[case::drain(KEY, &["drain"], 0, "the instance stops")]
#[case::wrong_key("another key of ours", &["status"], 7, "")]
#[tokio::test]
async fn command_queries_the_listener(
    #[case] key: &str,
    #[case] args: &[&str],
    #[case] code: i32,
    #[case] expected: &str,
) {
    let fixture = serve().await;

    let output = oriolemux(&fixture, key, args).await;

    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(code), "{output:?}");
    assert!(text.contains(expected), "{expected:?} not in {text:?}");
}

#[tokio::test]
async fn drain_withdraws_readiness() {
    let fixture = serve().await;
    fixture.readiness.send_replace(Readiness::Ready);

    let output = oriolemux(&fixture, KEY, &["drain"]).await;

    assert_eq!(output.status.code(), Some(0));
    assert_eq!(get(&fixture, "/readyz", None).await.0, 503);
}

#[tokio::test]
async fn unreachable_listener_has_an_exit_code() {
    let listener = bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (readiness, _) = watch::channel(Readiness::Starting);

    let output = oriolemux(&Fixture { address, readiness }, KEY, &["status"]).await;

    assert_eq!(output.status.code(), Some(6));
}
