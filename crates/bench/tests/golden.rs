//! Whole sessions through real processes, held equal to the files in `golden/`:
//! what the caller sends and receives, what the endpoint receives and sends.
//!
//! Ids, lengths and chunked framing are left out; everything else is compared
//! byte for byte. `ORIOLEMUX_RENEW=1` writes the files anew.

#[path = "golden/recorder.rs"]
mod recorder;
#[path = "golden/session.rs"]
mod session;

use oriolemux_bench::fleet::catalogue::{PLAN, SCHOOL_KEY, VERDICT};
use oriolemux_bench::fleet::{Fleet, Plan};
use oriolemux_bench::standins::engine::fault::{Fault, FaultRule};
use recorder::Recorder;
use rstest::rstest;
use std::path::Path;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const PATIENCE: Duration = Duration::from_secs(30);

/// One instance and one engine, with a recorder between them.
struct World {
    fleet: Fleet,
    recorder: Recorder,
}

async fn world(step_ms: u32) -> World {
    let program = Path::new(env!("CARGO_BIN_EXE_oriolemux-bench"));
    let plan = Plan::default()
        .proxied()
        .with_engine_args(&format!("--step-ms {step_ms}"));
    let mut fleet = Fleet::start(plan, program).await.expect("starts");
    let recorder = Recorder::start(fleet.endpoints[0].address).await;
    fleet.views[0].to_endpoints[0].retarget(recorder.address);
    fleet.views[0].to_endpoints[0].cut();
    fleet.all_ready().await.expect("serves");
    World { fleet, recorder }
}

fn request(entry: &str, prompt: &str, stream: bool) -> String {
    let body = format!(r#"{{"model":"{entry}","prompt":"{prompt}","stream":{stream}}}"#);
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: oriolemux\r\n\
         authorization: Bearer {SCHOOL_KEY}\r\ncontent-type: application/json\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

impl World {
    async fn send(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.fleet.instances[0].callers)
            .await
            .unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }

    async fn exchange(&self, request: &str) -> String {
        let mut stream = self.send(request).await;
        let mut answer = Vec::new();
        let read = timeout(PATIENCE, stream.read_to_end(&mut answer)).await;
        read.expect("the answer ends").unwrap();
        session::without_framing(&answer)
    }
}

#[rstest]
#[case::short("short", VERDICT, "Is the verse cleared? #len=3", true)]
#[case::long("long", PLAN, "A tailoring plan #len=70", true)]
#[case::whole("whole", PLAN, "A tailoring plan #len=5", false)]
#[tokio::test(flavor = "multi_thread")]
async fn answered(
    #[case] name: &str,
    #[case] entry: &str,
    #[case] prompt: &str,
    #[case] stream: bool,
) {
    let world = world(2).await;

    let request = request(entry, prompt, stream);
    let answer = world.exchange(&request).await;

    let exchanges = world.recorder.wait_for(|all| all.len() == 1).await;
    session::check(name, &request, &answer, &exchanges);
}

#[tokio::test(flavor = "multi_thread")]
async fn refused() {
    let world = world(2).await;

    let request = request("no-such-entry", "Is the verse cleared?", true);
    let answer = world.exchange(&request).await;

    session::check("refused", &request, &answer, &world.recorder.exchanges());
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled() {
    let world = world(50).await;

    let request = request(PLAN, "A tailoring plan #len=900", true);
    let mut caller = world.send(&request).await;
    let mut answer = Vec::new();
    while !answer.windows(3).any(|bytes| bytes == b"}\n\n") {
        let read = timeout(PATIENCE, caller.read_buf(&mut answer)).await;
        assert!(read.expect("a token comes").unwrap() > 0);
    }
    drop(caller);

    let is_cancelled = |all: &[recorder::Exchange]| all.len() == 2 && !all[1].answer.is_empty();
    let mut exchanges = world.recorder.wait_for(is_cancelled).await;
    exchanges[0].answer = session::until_first_event(&exchanges[0].answer);
    let answer = session::until_first_event(&session::without_framing(&answer));
    session::check("cancelled", &request, &answer, &exchanges);
}

#[tokio::test(flavor = "multi_thread")]
async fn resumed() {
    let world = world(50).await;
    let rule = FaultRule {
        fault: Fault::Cut,
        times: 1,
        after: 4,
        prompt_contains: String::new(),
    };
    let engine = world.fleet.endpoints[0].address;
    world.fleet.admin.engine_fault(engine, &rule).await.unwrap();

    let request = request(PLAN, "A tailoring plan #len=9", true);
    let answer = world.exchange(&request).await;

    let exchanges = world.recorder.wait_for(|all| all.len() == 2).await;
    session::check("resumed", &request, &answer, &exchanges);
}
