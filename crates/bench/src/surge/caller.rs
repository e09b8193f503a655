//! Sends the requests of a mix, through the instances or past them.

use super::catalogue::key_of;
use super::direct;
use super::measure::Timing;
use crate::fleet::Fleet;
use crate::load::{Caller, CompletionCall};
use crate::workload::{EntrySpec, Mix, PREFIX_BLOCK_TOKENS, Request};
use std::net::SocketAddr;

/// Bytes of one token of a prompt, as the stand-in engine counts them.
const BYTES_PER_TOKEN: usize = 4;

/// The callers of a mix.
pub(super) struct Callers {
    mix: Mix,
    /// One for each workspace; empty when callers go straight to engines.
    through: Vec<Caller>,
    straight: reqwest::Client,
    /// Instances or engines, used in turn.
    targets: Vec<SocketAddr>,
}

impl Callers {
    pub fn new(mix: Mix, fleet: &Fleet, through_instances: bool) -> Result<Self, reqwest::Error> {
        let workspaces = mix.workspaces().iter();
        let through: Result<Vec<Caller>, _> = workspaces
            .filter(|_| through_instances)
            .map(|it| Caller::new(&key_of(it.name)))
            .collect();
        let targets = match through_instances {
            true => fleet.instances.iter().map(|it| it.callers).collect(),
            false => fleet.endpoints.iter().map(|it| it.address).collect(),
        };
        Ok(Callers {
            mix,
            through: through?,
            straight: reqwest::Client::builder().no_proxy().build()?,
            targets,
        })
    }

    /// Sends one request and waits for its end.
    pub async fn send(&self, request: &Request) -> Timing {
        let target = self.targets[request.id as usize % self.targets.len()];
        let entry = &self.mix.entries()[request.entry];
        let prompt = prompt_of(entry, request);
        match self.through.get(request.workspace) {
            Some(caller) => {
                let call = CompletionCall {
                    entry: entry.name.to_owned(),
                    prompt,
                    max_tokens: Some(request.max_tokens),
                    stream: true,
                    idempotency_key: None,
                    ticket: None,
                    patience_ms: None,
                    leave_after: None,
                };
                Timing::of(&caller.complete(target, &call).await)
            }
            None => {
                let priority = self.mix.classes()[entry.class].urgency;
                direct::complete(&self.straight, target, request, &prompt, priority).await
            }
        }
    }
}

/// Returns a prompt of the right length whose leading blocks are those of its
/// workspace, and which tells the engine how long its answer is.
fn prompt_of(entry: &EntrySpec, request: &Request) -> String {
    let shared = (entry.shared_blocks * PREFIX_BLOCK_TOKENS) as usize * BYTES_PER_TOKEN;
    let whole = request.prompt_tokens as usize * BYTES_PER_TOKEN;
    let opening = format!("{}-{} ", entry.name, request.workspace);
    let mut prompt: String = opening.chars().cycle().take(shared).collect();
    prompt.push_str(&format!(
        " #len={} no {} ",
        request.output_tokens, request.id
    ));
    while prompt.len() < whole {
        prompt.push_str("word ");
    }
    prompt
}
