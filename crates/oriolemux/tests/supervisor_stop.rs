//! A planned stop ends the parts in order and lets them finish; a second signal does not.

use core::time::Duration;
use oriolemux::supervisor::{Intensity, PartError, StopTokens, Supervisor, SupervisorError};
use std::sync::{Arc, Mutex};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

const INTENSITY: Intensity = Intensity {
    max_restarts: 0,
    window: Duration::from_secs(30),
};

/// The recorded events, in order.
#[derive(Clone, Default)]
struct Journal(Arc<Mutex<Vec<&'static str>>>);

impl Journal {
    fn note(&self, what: &'static str) {
        self.0.lock().expect("not poisoned").push(what);
    }

    fn read(&self) -> Vec<&'static str> {
        self.0.lock().expect("not poisoned").clone()
    }
}

/// A part that needs `work` to finish once it is told to stop.
fn part(
    journal: &Journal,
    told: &'static str,
    ended: &'static str,
    work: Duration,
) -> impl FnMut(
    CancellationToken,
) -> std::pin::Pin<Box<dyn Future<Output = Result<(), PartError>> + Send>>
+ Send
+ 'static {
    let journal = journal.clone();
    move |stop| {
        let journal = journal.clone();
        Box::pin(async move {
            stop.cancelled().await;
            journal.note(told);
            sleep(work).await;
            journal.note(ended);
            Ok(())
        })
    }
}

fn supervisor(journal: &Journal) -> Supervisor {
    let hours = Duration::from_secs(3 * 3600);
    Supervisor::new(INTENSITY)
        .part(
            "node",
            part(journal, "node told", "node ended", Duration::ZERO),
        )
        .part(
            "callers",
            part(journal, "callers told", "callers ended", hours),
        )
}

#[tokio::test(start_paused = true)]
async fn planned_stop_waits_for_streams_in_reverse_order() {
    let journal = Journal::default();
    let stop = StopTokens::new();
    stop.request("operator");
    stop.request("operator");

    let result = supervisor(&journal).run(&stop).await;

    assert_eq!(result, Ok(()));
    let expected = ["callers told", "callers ended", "node told", "node ended"];
    assert_eq!(journal.read(), expected);
}

#[tokio::test(start_paused = true)]
async fn immediate_stop_does_not_wait() {
    let journal = Journal::default();
    let stop = StopTokens::new();
    stop.request("signal");
    let now = stop.now.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs(1)).await;
        now.cancel();
    });
    let begun = Instant::now();

    let result = supervisor(&journal).run(&stop).await;

    assert_eq!(result, Err(SupervisorError::StoppedNow));
    assert_eq!(begun.elapsed(), Duration::from_secs(1));
    assert_eq!(journal.read(), ["callers told"]);
}

#[tokio::test(start_paused = true)]
async fn part_that_fails_while_others_stop_is_a_failure() {
    // Guards against a planned stop that reports success although streams were aborted: the stop
    // begins, the callers' part finishes its streams, and the node fails meanwhile. That failure
    // must not count as the requested end of the node part.
    let journal = Journal::default();
    let hour = Duration::from_secs(3600);
    let supervisor = Supervisor::new(INTENSITY)
        .part("node", |_| async {
            sleep(Duration::from_secs(60)).await;
            Err("a broken invariant".into())
        })
        .part(
            "callers",
            part(&journal, "callers told", "callers ended", hour),
        );
    let stop = StopTokens::new();
    stop.request("signal");

    let result = supervisor.run(&stop).await;

    let expected = SupervisorError::PartGivenUp {
        part: "node",
        error: "a broken invariant".to_owned(),
    };
    assert_eq!(result, Err(expected));
    assert_eq!(journal.read(), ["callers told"]);
}

#[tokio::test(start_paused = true)]
async fn supervisor_without_parts_stops() {
    let stop = StopTokens::new();
    stop.request("signal");

    let result = Supervisor::new(INTENSITY).run(&stop).await;

    assert_eq!(result, Ok(()));
}
