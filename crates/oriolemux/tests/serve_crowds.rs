//! A real process of `oriolemux serve` before many callers that stay outside the limits.
//!
//! The tests run one after the other, because each measures a process, and nothing else is in this
//! file.

#[path = "gateway_support/crowd.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod crowd;
#[path = "serve_support/instance.rs"]
mod instance;
#[path = "serve_support/platform.rs"]
#[allow(dead_code, reason = "each test file uses a part of it")]
mod platform;

use crowd::{Crowd, Shape};
use instance::{ANSWER_TIMEOUT, Instance, read_response};
use platform::{Engine, KEY, start_platform};
use rstest::rstest;
use std::io::Write;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// The memory of the smallest instance, in bytes.
const MEMORY: usize = 88_000_000;

/// Bytes of a body, below the limit of 1 MiB.
const BODY: usize = 520_000;

/// Callers that send bodies at once: more bytes than the memory.
const CALLERS: usize = 250;

/// Held by the test that measures.
static MEASURING: Mutex<()> = Mutex::const_new(());

const ORDINARY: &str = r#"{"model":"plans","prompt":"Draft a plan"}"#;

/// Sends an ordinary request and returns its response.
fn ask(instance: &Instance) -> String {
    let mut connection = instance.connect().expect("connected");
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n{ORDINARY}",
        ORDINARY.len()
    );
    connection.write_all(request.as_bytes()).expect("sent");
    read_response(&mut connection).expect("a response")
}

/// Starts a process and waits until it serves.
fn start() -> Instance {
    let (engine, address) = Engine::start();
    engine.hold(false);
    let more = "[limits]\nmemory_mb = 88\n";
    let instance = Instance::start_with(0, start_platform(address), more);
    let began = Instant::now();
    loop {
        let response = ask(&instance);
        if response.starts_with("HTTP/1.1 200") {
            return instance;
        }
        assert!(began.elapsed() < ANSWER_TIMEOUT, "{response}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Guards against a process that ends for want of memory: many bodies of legal size stop just short of
/// their end, and their connections stay open.
#[rstest]
#[case::at_once(Shape::announced(BODY, BODY))]
#[case::in_pieces(Shape::announced(BODY, 1_000))]
#[case::in_chunks(Shape::chunked(BODY, 1_000))]
#[case::in_chunks_of_one_byte(Shape::chunked(BODY / 20, 1))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_that_stop_short_of_their_end_fit_into_memory(#[case] shape: Shape) {
    let _alone = MEASURING.lock().await;
    let mut instance = tokio::task::spawn_blocking(start).await.expect("no panic");
    let start =
        format!("POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {KEY}\r\n");

    let shape = shape.behind(&start).without_end();
    let crowd = Crowd::send(instance.callers, CALLERS, &shape).await;
    crowd.is_read(instance.callers).await;

    let (instance_back, response) = tokio::task::spawn_blocking(move || {
        let response = ask(&instance);
        assert!(instance.child.try_wait().expect("a status").is_none());
        (instance, response)
    })
    .await
    .expect("no panic");
    let peak = instance_back.peak_memory();
    assert!(peak <= MEMORY, "{peak} bytes of {MEMORY}");
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    drop(crowd);
}
