//! The `Retry-After` of refused callers, and how they fare when they return.

use core::time::Duration;
use oriolemux_gateway::response::{Reason, retry_after, retry_after_backoff};
use rstest::rstest;

const PLAN: Duration = Duration::from_secs(39);

/// Guards against a `Retry-After` beyond the caller's timeout, and against callers that wait for
/// seconds although another instance could serve them at once.
#[rstest]
#[case::no_room(Reason::EndpointsFull, PLAN, 8_000)]
#[case::cordoned(Reason::Cordoned, PLAN, 8_000)]
#[case::stopping(Reason::Stopping, PLAN, 1_000)]
#[case::starting(Reason::NoCatalogue, PLAN, 1_000)]
#[case::short_timeout(Reason::EndpointsFull, Duration::from_millis(1_200), 300)]
#[case::timeout_nearly_over(Reason::EndpointsFull, Duration::from_millis(80), 20)]
fn retry_after_depends_on_reason_and_remaining_time(
    #[case] reason: Reason,
    #[case] remaining: Duration,
    #[case] millis: u128,
) {
    assert_eq!(retry_after(reason, remaining).as_millis(), millis);
}

/// Engines with a fixed throughput, and a burst of callers.
struct Burst {
    served_per_second: u64,
    usual_per_second: u64,
    burst_per_second: u64,
    burst: core::ops::Range<u64>,
    /// How long a caller is queued before it is refused.
    queue_timeout_ms: u64,
}

impl Burst {
    /// Simulates the burst in steps of 1 ms. Returns how many refused callers were served when they
    /// returned, which they do once, and how many were refused in all.
    fn simulate(&self, pause: impl Fn(Duration) -> Duration) -> (usize, usize) {
        let mut waiting: Vec<(u64, bool)> = Vec::new();
        let mut returns: Vec<u64> = Vec::new();
        let (mut refused, mut served_later) = (0, 0);
        for now in 0..30_000_u64 {
            let rate = match self.burst.contains(&(now / 1_000)) {
                true => self.burst_per_second,
                false => self.usual_per_second,
            };
            if (now * rate) % 1_000 < rate {
                waiting.push((now, true));
            }
            let back = returns.iter().filter(|&&at| at == now).count();
            waiting.extend((0..back).map(|_| (now, false)));
            let is_free = (now * self.served_per_second) % 1_000 < self.served_per_second;
            // The latest callers are served first: they can still meet their deadline.
            if let Some((_, is_first)) = is_free.then(|| waiting.pop()).flatten() {
                served_later += usize::from(!is_first);
            }
            waiting.retain(|&(since, is_first)| {
                let gives_up = now - since >= self.queue_timeout_ms;
                if gives_up && is_first {
                    refused += 1;
                    let remaining = PLAN - Duration::from_millis(self.queue_timeout_ms);
                    let pause = pause(remaining).as_millis();
                    returns.push(now + u64::try_from(pause).expect("small"));
                }
                !gives_up
            });
        }
        (served_later, refused)
    }
}

/// Guards against callers that return during the burst in which they were refused: they have no
/// further retry, and take the room of others.
#[test]
fn callers_refused_in_a_burst_return_after_it() {
    let burst = Burst {
        served_per_second: 20,
        usual_per_second: 12,
        burst_per_second: 40,
        burst: 5..9,
        queue_timeout_ms: 1_800,
    };

    let (served, refused) =
        burst.simulate(|remaining| retry_after(Reason::EndpointsFull, remaining));
    let (served_soon, refused_soon) = burst.simulate(|_| Duration::from_secs(1));

    assert!(refused > 40, "{refused}");
    assert!(served * 3 >= refused * 2, "{served} of {refused}");
    assert!(
        served_soon * refused < served * refused_soon,
        "{served} of {refused}, and with a fixed second {served_soon} of {refused_soon}"
    );
}

/// Guards against callers that are told a time before any endpoint may be asked, or that all return
/// at the same moment.
#[rstest]
#[case(300, 0.0, 300)]
#[case(300, 0.5, 337)]
#[case(3_000, 0.999, 3_749)]
#[case(120_000, 0.5, 121_000)]
fn callers_return_after_the_end_of_the_first_backoff(
    #[case] wait_ms: u64,
    #[case] draw: f64,
    #[case] expected_ms: u128,
) {
    let delay = retry_after_backoff(Duration::from_millis(wait_ms), draw);

    assert_eq!(delay.as_millis(), expected_ms);
}
