//! When requests arrive, from where, and for whom.

use super::lengths;
use super::{Call, EntrySpec, HOUR, Mix, Request, SURGE_DECAY, Workload, hour_turn};
use core::time::Duration;
use oriolemux_core::ids::stable_hash;
use oriolemux_core::time::Time;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp, Poisson};

/// Width of the time of a plain service's call; of the logarithm.
const CALL_SIGMA: f64 = 0.5;

/// Draws what arrives in `turns` hours. The same arguments give the same workload.
pub fn generate(mix: Mix, seed: u64, turns: u32) -> Workload {
    let end = hour_turn(turns.saturating_sub(1)) + HOUR;
    let mut requests = Vec::new();
    for (entry, spec) in mix.entries().iter().enumerate() {
        draw_requests(mix, entry, spec, seed, (turns, end), &mut requests);
    }
    requests.sort_by_key(|req| (req.at, req.entry));
    for (id, req) in requests.iter_mut().enumerate() {
        req.id = id as u64;
    }
    Workload {
        requests,
        calls: draw_calls(mix, seed, (turns, end)),
        end,
    }
}

fn draw_requests(
    mix: Mix,
    entry: usize,
    spec: &EntrySpec,
    seed: u64,
    (turns, end): (u32, Time),
    out: &mut Vec<Request>,
) {
    let mut rng = rng(mix, spec.name, seed);
    let places = places(mix);
    for at in arrival_times(&mut rng, spec.base_rate, spec.surge, turns, end) {
        let (data_centre, workspace) = places.sample(&mut rng);
        let owner = &mix.workspaces()[workspace];
        out.push(Request {
            id: 0,
            at,
            data_centre,
            workspace,
            entry,
            prompt_tokens: lengths::prompt(&mut rng, spec),
            prefix: shared_prefix(spec, owner.name),
            max_tokens: spec.max_tokens,
            output_tokens: lengths::output(&mut rng, mix.lengths, spec, owner, at),
        });
    }
}

fn draw_calls(mix: Mix, seed: u64, (turns, end): (u32, Time)) -> Vec<Call> {
    let spec = mix.service();
    let mut rng = rng(mix, spec.name, seed);
    let places = places(mix);
    let median = spec.median_time.as_secs_f64();
    arrival_times(&mut rng, spec.base_rate, spec.surge, turns, end)
        .into_iter()
        .map(|at| {
            let (data_centre, workspace) = places.sample(&mut rng);
            Call {
                at,
                data_centre,
                workspace,
                time: Duration::from_secs_f64(lengths::log_normal(&mut rng, median, CALL_SIGMA)),
            }
        })
        .collect()
}

/// Draws a Poisson process of `base_rate` a second and about `surge` arrivals
/// after each hour turn, dying away with [`SURGE_DECAY`].
fn arrival_times(rng: &mut StdRng, base_rate: f64, surge: f64, turns: u32, end: Time) -> Vec<Time> {
    let gap = Exp::new(base_rate).expect("rates are positive");
    let decay = Exp::new(1.0 / SURGE_DECAY.as_secs_f64()).expect("the decay is positive");
    let count = Poisson::new(surge).expect("surges are positive");
    let mut times = Vec::new();
    let mut at = Time::ZERO;
    loop {
        at += Duration::from_secs_f64(gap.sample(rng));
        if at >= end {
            break;
        }
        times.push(at);
    }
    for turn in 0..turns {
        for _ in 0..count.sample(rng) as u64 {
            times.push(hour_turn(turn) + Duration::from_secs_f64(decay.sample(rng)));
        }
    }
    times.sort();
    times
}

/// Draws a data centre and a workspace.
struct Places {
    data_centres: WeightedIndex<f64>,
    workspaces: WeightedIndex<f64>,
}

impl Places {
    fn sample(&self, rng: &mut StdRng) -> (usize, usize) {
        (self.data_centres.sample(rng), self.workspaces.sample(rng))
    }
}

fn places(mix: Mix) -> Places {
    let data_centres = mix.data_centres().iter().map(|dc| dc.share);
    let workspaces = mix.workspaces().iter().map(|ws| ws.share);
    Places {
        data_centres: WeightedIndex::new(data_centres).expect("shares are positive"),
        workspaces: WeightedIndex::new(workspaces).expect("shares are positive"),
    }
}

/// Returns the hashes of the blocks that all prompts of the entry share within
/// the workspace; each stands for everything before it as well.
fn shared_prefix(entry: &EntrySpec, workspace: &str) -> Vec<u64> {
    let block = |n: u32| {
        stable_hash(&[
            entry.name.as_bytes(),
            workspace.as_bytes(),
            &n.to_le_bytes(),
        ])
    };
    (0..entry.shared_blocks).map(block).collect()
}

/// Each stream of draws has its own generator, so that one entry's constants
/// do not change the arrivals of another.
fn rng(mix: Mix, stream: &str, seed: u64) -> StdRng {
    let names = [
        mix.user.as_str().as_bytes(),
        mix.lengths.as_str().as_bytes(),
        stream.as_bytes(),
        &seed.to_le_bytes(),
    ];
    StdRng::seed_from_u64(stable_hash(&names))
}
