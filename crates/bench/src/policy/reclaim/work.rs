//! What callers ask for: long generations and short ones, in the users' proportions.

use core::time::Duration;
use oriolemux_core::time::Time;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};

/// One kind of generation. The figures are those of the users' tables.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    /// Its entry's name, under which lengths are learnt.
    pub(super) entry: &'static str,
    /// Whether it is one of those that the experiment is about.
    pub(super) is_long: bool,
    /// Arrivals in a second.
    rate: f64,
    /// Tokens of the prompt: mean and width of the logarithm.
    prompt: (f64, f64),
    /// Tokens of the output: mean and width of the logarithm.
    output: (f64, f64),
    /// The most tokens of the output.
    pub(super) cap: u32,
    /// Its first event is wanted within this time.
    pub(super) target: Duration,
}

pub(super) const KINDS: [Kind; 2] = [
    Kind {
        entry: "long",
        is_long: true,
        rate: 4.4,
        prompt: (3_000.0, 0.35),
        output: (932.0, 0.84),
        cap: 2_204,
        target: Duration::from_millis(1_800),
    },
    Kind {
        entry: "short",
        is_long: false,
        rate: 6.2,
        prompt: (2_200.0, 0.6),
        output: (13.0, 0.89),
        cap: 44,
        target: Duration::from_millis(1_500),
    },
];

/// The longest pause between events that is wanted.
pub(super) const GAP_TARGET: Duration = Duration::from_millis(180);

/// Prompts are cut at this length.
const LONGEST_PROMPT: u32 = 6_000;

/// Width of the logarithm of a hint's error: right in the middle and wide.
const HINT_SIGMA: f64 = 1.2;

/// One generation that is asked for.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ask {
    pub(super) at: Time,
    pub(super) kind: &'static Kind,
    pub(super) prompt: u32,
    pub(super) output: u32,
    pub(super) hint: u32,
}

/// Draws all arrivals of `seconds`, in order.
pub(super) fn generate(seed: u64, seconds: u32) -> Vec<Ask> {
    let mut rng = StdRng::seed_from_u64(seed);
    let end = f64::from(seconds);
    let mut asks = Vec::new();
    for kind in &KINDS {
        let between = Exp::new(kind.rate).expect("a positive rate");
        let mut at = between.sample(&mut rng);
        while at < end {
            let prompt = log_normal(&mut rng, kind.prompt) as u32;
            let output = (log_normal(&mut rng, kind.output) as u32).clamp(1, kind.cap);
            let error = log_normal_of(&mut rng, 0.0, HINT_SIGMA);
            let hint = (f64::from(output) * error) as u32;
            asks.push(Ask {
                at: Time::from_micros((at * 1e6) as u64),
                kind,
                prompt: prompt.clamp(1, LONGEST_PROMPT),
                output,
                hint: hint.clamp(1, kind.cap),
            });
            at += between.sample(&mut rng);
        }
    }
    asks.sort_by_key(|ask| ask.at);
    asks
}

/// Draws from the log-normal distribution with this mean and width of the logarithm.
fn log_normal(rng: &mut impl Rng, (mean, sigma): (f64, f64)) -> f64 {
    log_normal_of(rng, mean.ln() - sigma * sigma / 2.0, sigma)
}

fn log_normal_of(rng: &mut impl Rng, mu: f64, sigma: f64) -> f64 {
    let distribution = LogNormal::new(mu, sigma).expect("a finite width");
    distribution.sample(rng)
}
