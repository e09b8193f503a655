//! A real process of `oriolemux gateway` that does not run for some time while the world goes on.

use super::process::{Process, Reader, Settings};
use core::time::Duration;
use http::StatusCode;
use nix::sys::signal::Signal;
use oriolemux_platform_standin::{Caller, Deployment, Service, readiness, until};
use rstest::rstest;
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
