//! When callers that were refused are asked to come back, and what they get then.

use core::time::Duration;
use oriolemux_gateway::response::{Reason, retry_after};
use rstest::rstest;

const PLAN: Duration = Duration::from_secs(39);

/// Guards against callers that are asked to come back when their time is over, and against those
/// that wait for seconds though another instance could serve them at once.
#[rstest]
#[case::no_room(Reason::EndpointsFull, PLAN, 8_000)]
#[case::closed(Reason::Cordoned, PLAN, 8_000)]
#[case::stops(Reason::Stopping, PLAN, 1_000)]
#[case::begins(Reason::NoCatalogue, PLAN, 1_000)]
#[case::short(Reason::EndpointsFull, Duration::from_millis(1_200), 300)]
#[case::nearly_over(Reason::EndpointsFull, Duration::from_millis(80), 20)]
fn the_time_to_come_back(#[case] reason: Reason, #[case] left: Duration, #[case] millis: u128) {
    assert_eq!(retry_after(reason, left).as_millis(), millis);
}

/// Engines that serve so many generations a second, and a burst of callers.
struct Burst {
    served_a_second: u64,
    usual_a_second: u64,
    burst_a_second: u64,
    burst: core::ops::Range<u64>,
    /// How long a caller waits for room before it is refused.
    patience_ms: u64,
}

impl Burst {
    /// Plays the burst in milliseconds; returns how many of those that were refused got room when
    /// they came back, once, and how many were refused in all.
    fn play(&self, pause: impl Fn(Duration) -> Duration) -> (usize, usize) {
        let mut waiting: Vec<(u64, bool)> = Vec::new();
        let mut returns: Vec<u64> = Vec::new();
        let (mut refused, mut served_later) = (0, 0);
        for now in 0..30_000_u64 {
            let rate = match self.burst.contains(&(now / 1_000)) {
                true => self.burst_a_second,
                false => self.usual_a_second,
            };
            if (now * rate) % 1_000 < rate {
                waiting.push((now, true));
            }
            let back = returns.iter().filter(|&&at| at == now).count();
            waiting.extend((0..back).map(|_| (now, false)));
            let is_free = (now * self.served_a_second) % 1_000 < self.served_a_second;
            // Those that came last go first: they can still be in time.
            if let Some((_, is_first)) = is_free.then(|| waiting.pop()).flatten() {
                served_later += usize::from(!is_first);
            }
            waiting.retain(|&(since, is_first)| {
                let gives_up = now - since >= self.patience_ms;
                if gives_up && is_first {
                    refused += 1;
                    let left = PLAN - Duration::from_millis(self.patience_ms);
                    let pause = pause(left).as_millis();
                    returns.push(now + u64::try_from(pause).expect("small"));
                }
                !gives_up
            });
        }
        (served_later, refused)
    }
}

/// Guards against callers that come back into the burst that they were refused in: they have no
/// further try, and take the room of others.
#[test]
fn callers_of_a_burst_come_back_after_it() {
    let burst = Burst {
        served_a_second: 20,
        usual_a_second: 12,
        burst_a_second: 40,
        burst: 5..9,
        patience_ms: 1_800,
    };

    let (served, refused) = burst.play(|left| retry_after(Reason::EndpointsFull, left));
    let (served_soon, refused_soon) = burst.play(|_| Duration::from_secs(1));

    assert!(refused > 40, "{refused}");
    assert!(served * 3 >= refused * 2, "{served} of {refused}");
    assert!(
        served_soon * refused < served * refused_soon,
        "{served} of {refused}, and after a second {served_soon} of {refused_soon}"
    );
}
