//! The steps of a random history and their relative frequency.

use super::{KEYS, NODES};
use proptest::prelude::*;

/// One step of a history.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A request at a node: idempotent, or non-idempotent and possibly under a name.
    Plan(usize),
    Order(usize, Option<usize>),
    /// One of the running attempts receives this result.
    Answer(usize, How),
    /// The caller of one of the requests disconnects.
    Leave(usize),
    Kill(usize),
    Restart(usize),
    Stop(usize),
    Partition(usize, usize),
    Isolate(usize),
    Heal,
    Pause(usize),
    Platform(bool),
    Relist(usize),
    PassMillis(u64),
}

/// The result of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum How {
    Complete,
    Lost,
    LostAfterTokens,
    Refused,
    Progress,
}

/// Returns a strategy for sequences of steps.
pub fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node = 0..NODES;
    // The first three names are keys, the rest tickets.
    let name = prop::option::weighted(0.8, 0..KEYS.len() + 2);
    let how = prop_oneof![
        2 => Just(How::Complete),
        2 => Just(How::Lost),
        1 => Just(How::LostAfterTokens),
        2 => Just(How::Refused),
        1 => Just(How::Progress),
    ];
    let step = prop_oneof![
        2 => node.clone().prop_map(Step::Plan),
        8 => (node.clone(), name).prop_map(|(n, name)| Step::Order(n, name)),
        5 => (any::<usize>(), how).prop_map(|(pick, how)| Step::Answer(pick, how)),
        1 => any::<usize>().prop_map(Step::Leave),
        1 => node.clone().prop_map(Step::Kill),
        1 => node.clone().prop_map(Step::Restart),
        1 => node.clone().prop_map(Step::Stop),
        1 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::Partition(a, b)),
        1 => node.clone().prop_map(Step::Isolate),
        1 => Just(Step::Heal),
        1 => node.clone().prop_map(Step::Pause),
        1 => any::<bool>().prop_map(Step::Platform),
        1 => node.prop_map(Step::Relist),
        8 => (1..4_000u64).prop_map(Step::PassMillis),
    ];
    prop::collection::vec(step, 1..60)
}
