//! Polls of load and cache events, and orders to endpoints.

#[path = "relay_support/endpoint.rs"]
mod endpoint;

use endpoint::{FakeEndpoint, ScriptedResponse, Then, full_response};
use oriolemux::callers::port::{Clock, NodeInput, NodePort, RequestIds};
use oriolemux::endpoints::polls::POLLS_PER_CACHE;
use oriolemux::endpoints::{HttpProtocol, HttpSettings, Polls};
use oriolemux_core::event::{EndpointTarget, OrderKind, OrderResult};
use oriolemux_core::{EndpointKey, Event, Incarnation, InstanceKey, Time};
use rstest::rstest;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;

const LOAD: &str = r#"{"lag_ms":40,"running":3,"waiting":1,"kv_tokens_total":1000,
    "kv_tokens_used":400,"max_running":8,"preemptions":2,
    "models":[{"name":"wren-7b","version":"3","adapters":["islands"]}],
    "leaving":false,"fencing":9}"#;

struct Fixture {
    polls: Polls<HttpProtocol>,
    port: NodePort,
    inputs: mpsc::Receiver<NodeInput>,
}

fn fixture() -> Fixture {
    fixture_with_timeout(Duration::from_millis(300))
}

fn fixture_with_timeout(control_timeout: Duration) -> Fixture {
    let clock = Clock::start();
    let settings = HttpSettings {
        control_timeout,
        connect_timeout: control_timeout,
    };
    let protocol = HttpProtocol::new(clock, settings).unwrap();
    let ids = RequestIds::new(InstanceKey(1), Incarnation(2));
    let (port, inputs) = NodePort::new(ids, clock);
    Fixture {
        polls: Polls::new(protocol),
        port,
        inputs,
    }
}

impl Fixture {
    fn events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Ok(NodeInput::Event(event)) = self.inputs.try_recv() {
            events.push(event);
        }
        events
    }

    async fn poll(&mut self, endpoint: &FakeEndpoint) -> Vec<Event> {
        self.polls
            .poll(&target(endpoint), &self.port)
            .await
            .unwrap();
        self.events()
    }
}

fn target(endpoint: &FakeEndpoint) -> EndpointTarget {
    EndpointTarget {
        key: EndpointKey::of("worker-1"),
        name: "worker-1".to_owned(),
        address: endpoint.address,
    }
}

fn json(body: &str) -> ScriptedResponse {
    full_response("200 OK", "content-type: application/json\r\n", body)
}

fn cache(next: u64, gap: bool, stored: &str) -> ScriptedResponse {
    json(&format!(
        r#"{{"next":{next},"gap":{gap},"stored":[{stored}],"evicted":[]}}"#
    ))
}

/// Returns the responses of an endpoint from one request for cache events to the next.
fn two_cache_responses(first: ScriptedResponse, second: ScriptedResponse) -> Vec<ScriptedResponse> {
    let mut script = vec![json(LOAD), first];
    script.extend((0..POLLS_PER_CACHE).map(|_| json(LOAD)));
    script.push(second);
    script
}

#[tokio::test]
async fn reports_load_and_cache_events() {
    let endpoint = FakeEndpoint::start(vec![json(LOAD), cache(7, false, "1,2")]).await;

    let events = fixture().poll(&endpoint).await;

    let [Event::Load { report, .. }, Event::Cache { gap, stored, .. }] = &events[..] else {
        panic!("load and cache events, not {events:?}");
    };
    assert_eq!((report.running, report.fencing), (3, 9));
    assert_eq!(report.models[0].adapters, ["islands"]);
    assert_eq!((gap, &stored[..]), (&false, &[1, 2][..]));
}

#[tokio::test]
async fn requests_cache_events_after_the_last_batch() {
    let script = two_cache_responses(cache(7, false, "1"), cache(7, false, ""));
    let mut endpoint = FakeEndpoint::start(script).await;
    let mut fixture = fixture();

    for _ in 0..POLLS_PER_CACHE {
        fixture.poll(&endpoint).await;
    }
    let events = fixture.poll(&endpoint).await;

    assert!(matches!(events[..], [Event::Load { .. }]), "{events:?}");
    let mut requested = Vec::new();
    for _ in 0..POLLS_PER_CACHE + 3 {
        let request = endpoint.request().await;
        requested.push(request.lines().next().unwrap().to_owned());
    }
    assert_eq!(requested[1], "GET /v1/cache-events?after=0 HTTP/1.1");
    assert!(
        requested[2..requested.len() - 1]
            .iter()
            .all(|it| it.starts_with("GET /v1/load "))
    );
    assert_eq!(
        requested[requested.len() - 1],
        "GET /v1/cache-events?after=7 HTTP/1.1"
    );
}

/// Guards against requests that are routed to an endpoint for a prefix that it no longer holds:
/// the endpoint restarts with an empty cache and numbers its events from 0 again, which must count
/// as a gap.
#[tokio::test]
async fn lower_sequence_number_is_a_gap() {
    let script = two_cache_responses(cache(70, false, "1"), cache(2, false, "5"));
    let endpoint = FakeEndpoint::start(script).await;
    let mut fixture = fixture();

    for _ in 0..POLLS_PER_CACHE {
        fixture.poll(&endpoint).await;
    }
    let events = fixture.poll(&endpoint).await;

    let [_, Event::Cache { gap, .. }] = &events[..] else {
        panic!("cache events, not {events:?}");
    };
    assert!(*gap);
}

#[rstest]
#[case::garbage(json("busy"))]
#[case::status(full_response("500 Internal Server Error", "", LOAD))]
#[case::closed(ScriptedResponse { bytes: Vec::new(), then: Then::Close })]
#[case::silent(ScriptedResponse { bytes: Vec::new(), then: Then::Hang })]
#[case::endless(ScriptedResponse { bytes: [&b"HTTP/1.1 200 OK\r\n\r\n"[..], &[b' '; 2 << 20]].concat(), then: Then::Hang })]
#[tokio::test]
async fn reports_that_the_load_is_unreadable(#[case] response: ScriptedResponse) {
    let endpoint = FakeEndpoint::start(vec![response]).await;

    let events = fixture().poll(&endpoint).await;

    assert!(
        matches!(events[..], [Event::LoadFailed { .. }]),
        "{events:?}"
    );
}

#[rstest]
#[case::accepted(full_response("202 Accepted", "", ""), OrderResult::Accepted)]
#[case::fenced(full_response("409 Conflict", "", r#"{"highest":12}"#), OrderResult::Fenced { highest: 12 })]
#[case::conflict_without_number(full_response("409 Conflict", "", ""), OrderResult::Failed)]
#[case::failed(
    full_response("500 Internal Server Error", "", ""),
    OrderResult::Failed
)]
#[case::lost(ScriptedResponse { bytes: Vec::new(), then: Then::Close }, OrderResult::Failed)]
#[tokio::test]
async fn sends_an_order(#[case] response: ScriptedResponse, #[case] expected: OrderResult) {
    let mut endpoint = FakeEndpoint::start(vec![response]).await;
    let mut fixture = fixture();
    let kind = OrderKind::Load {
        model: "wren-7b".to_owned(),
        version: "3".to_owned(),
        adapter: None,
    };

    let at = target(&endpoint);
    let given = fixture
        .polls
        .order(&at, 11, &kind, Time::NEVER, &fixture.port);
    given.await.unwrap();

    let events = fixture.events();
    let [
        Event::OrderAnswered {
            fencing: 11,
            result,
            ..
        },
    ] = &events[..]
    else {
        panic!("the end of the order, not {events:?}");
    };
    assert_eq!(*result, expected);
    let request = endpoint.request().await;
    let expected = r#"{"fencing":11,"kind":"load","model":"wren-7b","version":"3"}"#;
    assert!(request.ends_with(expected), "{request}");
}

/// Guards against two homes that send orders to one endpoint: the old home decides, is paused,
/// loses its lease and then continues with the send. The deadline must be checked right before the
/// send.
#[tokio::test]
async fn sends_no_order_after_its_deadline() {
    let mut endpoint = FakeEndpoint::start(vec![]).await;
    let mut fixture = fixture();
    let kind = OrderKind::Role {
        role: "decode".to_owned(),
    };

    let at = target(&endpoint);
    let given = fixture
        .polls
        .order(&at, 11, &kind, Time::ZERO, &fixture.port);
    given.await.unwrap();

    let events = fixture.events();
    let [Event::OrderAnswered { result, .. }] = &events[..] else {
        panic!("the end of the order, not {events:?}");
    };
    assert_eq!(*result, OrderResult::Failed);
    assert_eq!(endpoint.try_request(), None);
}

/// Guards against an engine that obeys a controller that has been replaced. The order is in time
/// when the send begins, but the endpoint accepts the connection only seconds later. The deadline
/// must be checked when the order is sent, not before the connection is established.
#[tokio::test]
async fn sends_no_order_on_a_connection_established_too_late() {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = socket.local_addr().unwrap();
    let listener = socket.listen(1).unwrap();
    let fillers: Vec<_> = (0..4)
        .map(|_| tokio::spawn(TcpStream::connect(address)))
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let mut fixture = fixture_with_timeout(Duration::from_secs(10));
    let at = EndpointTarget {
        key: EndpointKey::of("full"),
        name: "full".to_owned(),
        address,
    };
    let kind = OrderKind::Role {
        role: "decode".to_owned(),
    };
    let send_before = fixture.port.clock().now() + Duration::from_millis(300);
    let given = fixture
        .polls
        .order(&at, 11, &kind, send_before, &fixture.port);

    let accepting = async {
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut received = Vec::new();
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_secs(3), listener.accept()).await
        {
            let mut buf = [0; 4096];
            let read = tokio::time::timeout(Duration::from_millis(500), stream.read(&mut buf));
            if let Ok(Ok(n)) = read.await {
                received.extend_from_slice(&buf[..n]);
            }
        }
        String::from_utf8_lossy(&received).into_owned()
    };
    let (given, received) = tokio::join!(given, accepting);

    given.unwrap();
    drop(fillers);
    assert!(!received.contains("fencing"), "{received}");
    let events = fixture.events();
    let [Event::OrderAnswered { result, .. }] = &events[..] else {
        panic!("the end of the order, not {events:?}");
    };
    assert_eq!(*result, OrderResult::Failed);
}
