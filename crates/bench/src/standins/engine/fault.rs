//! Faults that an engine can be asked to show.

use serde::{Deserialize, Serialize};

/// A fault and whom it strikes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FaultRule {
    /// What goes wrong.
    pub fault: Fault,
    /// How many attempts it strikes; it is used up after them.
    #[serde(default = "once")]
    pub times: u32,
    /// The token index at which it strikes, for faults inside a stream.
    #[serde(default)]
    pub after: u32,
    /// Strikes only attempts whose prompt holds this text.
    #[serde(default)]
    pub prompt_contains: String,
}

const fn once() -> u32 {
    1
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Refuse because of no room.
    RefuseBusy,
    /// Refuse because of leaving.
    RefuseLeaving,
    /// Answer 500 although the generation runs.
    ServerError,
    /// Send bytes that are no event.
    Garbage,
    /// Send half an event, then cut the connection.
    HalfFrame,
    /// Close the stream in good order without its end mark.
    NoEndMark,
    /// Send a token that carries another attempt's id.
    OtherId,
    /// Send a token twice.
    DuplicateToken,
    /// Send two tokens in the wrong order.
    ReorderedToken,
    /// Send nothing more, but keep the connection.
    Stall,
    /// Cut the connection; the generation goes on and can be resumed.
    Cut,
    /// Cut the connection and forget the generation.
    Lose,
    /// End the whole process.
    Die,
}

impl Fault {
    /// Returns whether the fault is shown in place of a stream.
    pub const fn is_refusal(self) -> bool {
        matches!(
            self,
            Fault::RefuseBusy | Fault::RefuseLeaving | Fault::ServerError
        )
    }
}

/// Takes the first rule that applies to `prompt`, and uses it up by one.
pub fn take(
    rules: &mut Vec<FaultRule>,
    prompt: &str,
    wanted: impl Fn(Fault) -> bool,
) -> Option<FaultRule> {
    let index = rules
        .iter()
        .position(|rule| wanted(rule.fault) && prompt.contains(&rule.prompt_contains))?;
    let rule = rules[index].clone();
    rules[index].times = rules[index].times.saturating_sub(1);
    rules.retain(|rule| rule.times > 0);
    Some(rule)
}
