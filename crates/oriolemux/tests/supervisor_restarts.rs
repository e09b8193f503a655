//! Parts are restarted within the intensity; otherwise the supervisor ends.

use core::time::Duration;
use oriolemux::supervisor::{Intensity, PartError, StopTokens, Supervisor, SupervisorError};
use rstest::rstest;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use tokio::time::{Instant, sleep};

const INTENSITY: Intensity = Intensity {
    max_restarts: 2,
    window: Duration::from_secs(30),
};

/// Counts the starts of a part.
#[derive(Clone, Default)]
struct Starts(Arc<AtomicU32>);

impl Starts {
    fn add(&self) -> u32 {
        self.0.fetch_add(1, Ordering::Relaxed) + 1
    }

    fn get(&self) -> u32 {
        self.0.load(Ordering::Relaxed)
    }
}

/// How a part of these tests fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    Error,
    Panic,
    EarlyEnd,
}

impl Failure {
    fn happen(self) -> Result<(), PartError> {
        match self {
            Failure::Error => Err("the socket is gone".into()),
            Failure::Panic => panic!("an index out of bounds"),
            Failure::EarlyEnd => Ok(()),
        }
    }
}

/// A part that runs until it is told to stop.
async fn run_until(stop: tokio_util::sync::CancellationToken) -> Result<(), PartError> {
    stop.cancelled().await;
    Ok(())
}

#[rstest]
#[case::error(Failure::Error, "the socket is gone")]
#[case::panic(Failure::Panic, "panicked: an index out of bounds")]
#[case::early_end(Failure::EarlyEnd, "it ended without being told to")]
#[tokio::test(start_paused = true)]
async fn part_that_keeps_failing_is_given_up(#[case] failure: Failure, #[case] error: &str) {
    let starts = Starts::default();
    let counted = starts.clone();
    let supervisor =
        Supervisor::new(INTENSITY)
            .part("steady", run_until)
            .part("failing", move |_| {
                counted.add();
                async move { failure.happen() }
            });

    let result = supervisor.run(&StopTokens::new()).await;

    let expected = SupervisorError::PartGivenUp {
        part: "failing",
        error: error.to_owned(),
    };
    assert_eq!(result, Err(expected));
    assert_eq!(starts.get(), 3, "the first start and two restarts");
}

#[tokio::test(start_paused = true)]
async fn one_failure_restarts_one_part_only() {
    let (failing, steady) = (Starts::default(), Starts::default());
    let (count_failing, count_steady) = (failing.clone(), steady.clone());
    let supervisor = Supervisor::new(INTENSITY)
        .part("failing", move |stop| {
            let is_first = count_failing.add() == 1;
            async move {
                match is_first {
                    true => Err("once".into()),
                    false => run_until(stop).await,
                }
            }
        })
        .part("steady", move |stop| {
            count_steady.add();
            run_until(stop)
        });
    let stop = StopTokens::new();
    let planned = stop.planned.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs(1)).await;
        planned.cancel();
    });

    let result = supervisor.run(&stop).await;

    assert_eq!(result, Ok(()));
    assert_eq!((failing.get(), steady.get()), (2, 1));
}

#[tokio::test(start_paused = true)]
async fn failures_farther_apart_than_the_window_do_not_count() {
    let starts = Starts::default();
    let counted = starts.clone();
    let supervisor = Supervisor::new(INTENSITY).part("failing", move |_| {
        counted.add();
        async {
            sleep(Duration::from_secs(20)).await;
            Err("now and then".into())
        }
    });
    let stop = StopTokens::new();
    let now = stop.now.clone();
    tokio::spawn(async move {
        sleep(Duration::from_secs(600)).await;
        now.cancel();
    });

    let result = supervisor.run(&stop).await;

    assert_eq!(result, Err(SupervisorError::StoppedNow));
    assert!(starts.get() > 25, "{} starts", starts.get());
}

#[tokio::test(start_paused = true)]
async fn supervisor_that_gives_up_fails_as_a_part_of_its_parent() {
    let inner_starts = Starts::default();
    let counted = inner_starts.clone();
    let parent = Supervisor::new(INTENSITY).part("inner", move |stop| {
        let counted = counted.clone();
        let inner = Supervisor::new(INTENSITY).part("failing", move |_| {
            counted.add();
            async { Err("always".into()) }
        });
        async move {
            let tokens = StopTokens {
                planned: stop,
                ..StopTokens::new()
            };
            Ok(inner.run(&tokens).await?)
        }
    });

    let result = parent.run(&StopTokens::new()).await;

    let expected = SupervisorError::PartGivenUp {
        part: "inner",
        error: "the part `failing` was given up: always".to_owned(),
    };
    assert_eq!(result, Err(expected));
    assert_eq!(inner_starts.get(), 9, "three starts of three each");
}

#[tokio::test(start_paused = true)]
async fn restart_is_delayed() {
    let begun = Instant::now();
    let supervisor =
        Supervisor::new(INTENSITY).part("failing", |_| async { Err("at once".into()) });

    let result = supervisor.run(&StopTokens::new()).await;

    assert!(result.is_err());
    assert_eq!(begun.elapsed(), Duration::from_millis(200));
}
