//! Computes the next change that brings an endpoint closer to its goal.

use super::goals::{EndpointGoal, ModelGoal};
use crate::value::{LoadedModel, OrderKind};

/// Returns the next change for an endpoint that holds `loaded`, or `None` if it matches its goal.
///
/// Missing models are loaded first. An unwanted model is unloaded only when its successor is loaded
/// and `is_used` returns false for it, so that a version change neither leaves a gap nor interrupts
/// a request.
pub fn next_change(
    goal: &EndpointGoal,
    loaded: &[LoadedModel],
    is_used: impl Fn(&LoadedModel) -> bool,
) -> Option<OrderKind> {
    let missing = goal.models.iter().find_map(|it| missing_part(it, loaded));
    missing.or_else(|| {
        let managed = loaded.iter().filter(|it| goal.managed.contains(&it.name));
        let unused = managed.filter(|it| !is_used(it));
        unused
            .filter_map(|it| unwanted_part(&goal.models, it))
            .next()
    })
}

/// Returns whether a change loads weights from the weight store.
pub(super) const fn loads_weights(kind: &OrderKind) -> bool {
    matches!(kind, OrderKind::Load { .. })
}

fn missing_part(goal: &ModelGoal, loaded: &[LoadedModel]) -> Option<OrderKind> {
    let load = |adapter: Option<&String>| OrderKind::Load {
        model: goal.name.clone(),
        version: goal.version.clone(),
        adapter: adapter.cloned(),
    };
    let held = loaded.iter().find(|it| is_version_of(goal, it));
    let Some(held) = held else {
        return Some(load(None));
    };
    let missing = goal.adapters.iter().find(|it| !held.adapters.contains(it));
    missing.map(|it| load(Some(it)))
}

fn unwanted_part(goal: &[ModelGoal], held: &LoadedModel) -> Option<OrderKind> {
    let unload = |adapter: Option<&String>| OrderKind::Unload {
        model: held.name.clone(),
        version: held.version.clone(),
        adapter: adapter.cloned(),
    };
    let Some(goal) = goal.iter().find(|it| is_version_of(it, held)) else {
        return Some(unload(None));
    };
    let unwanted = held.adapters.iter().find(|it| !goal.adapters.contains(it));
    unwanted.map(|it| unload(Some(it)))
}

fn is_version_of(goal: &ModelGoal, held: &LoadedModel) -> bool {
    held.name == goal.name && held.version == goal.version
}
