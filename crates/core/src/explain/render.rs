//! Renders records as text for operators.

use super::{Record, Step, TimedStep};
use crate::cell::{GrantRecord, NotChosen};
use crate::ids::{CellKey, EndpointKey, InstanceKey};
use crate::reason::{Outcome, Reason};
use crate::value::AttemptMode;
use core::fmt::{self, Display, Write};
use core::time::Duration;
use serde::{Deserialize, Serialize};

/// Published names of items that records contain only as keys.
pub trait Names {
    /// Returns the name of an endpoint, if it is still known.
    fn endpoint(&self, key: EndpointKey) -> Option<&str>;
    /// Returns the name of an instance, if it is still known.
    fn instance(&self, key: InstanceKey) -> Option<&str>;
    /// Returns what a cell serves and in which data centre, if the list in force still has the
    /// cell.
    fn cell(&self, key: CellKey) -> Option<String> {
        let _ = key;
        None
    }
}

/// One step as text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// Time since the request arrived, in milliseconds.
    pub at_ms: u64,
    /// The step's stable name.
    pub step: String,
    /// The decision and the figures behind it.
    pub detail: String,
}

impl Record {
    /// Returns the record as text, one line for each step.
    pub fn lines(&self, names: &impl Names) -> Vec<Line> {
        let mut lines: Vec<Line> = self.steps().iter().map(|it| line(it, names)).collect();
        if self.left_out() > 0 {
            let at = lines.len().saturating_sub(1);
            let at_ms = lines.get(at).map_or(0, |line| line.at_ms);
            let left_out = Line {
                at_ms,
                step: "left_out".to_owned(),
                detail: format!("{} steps were not kept", self.left_out()),
            };
            lines.insert(at, left_out);
        }
        lines
    }
}

fn line(timed: &TimedStep, names: &impl Names) -> Line {
    Line {
        at_ms: u64::try_from(timed.at.as_millis()).unwrap_or(u64::MAX),
        step: timed.step.name().to_owned(),
        detail: detail(&timed.step, names),
    }
}

fn detail(step: &Step, names: &impl Names) -> String {
    match step {
        Step::Accepted {
            entry,
            catalogue_revision,
            prompt_tokens,
            max_tokens,
        } => format!(
            "entry {entry} of catalogue revision {catalogue_revision}, \
             {prompt_tokens} prompt tokens, at most {max_tokens} generated"
        ),
        Step::ClaimGranted => "its ticket or key is its own".to_owned(),
        Step::Admitted => "it holds a place in the limits of its entry and workspace".to_owned(),
        Step::ClaimRefused(refusal) => {
            let verdict = refusal.verdict();
            ended(
                verdict.outcome(),
                Some(verdict.reason()),
                verdict.delivered(),
            )
        }
        Step::GrantRequested { cell, home } => {
            let (cell, home) = (Cell(*cell, names), Instance(*home, names));
            format!("{cell}, home {home}")
        }
        Step::CellRefused {
            cell,
            reason,
            predicted_wait,
            record,
        } => format!(
            "{}: {reason}, predicted wait {}; {}",
            Cell(*cell, names),
            Millis(*predicted_wait),
            Figures(record, names)
        ),
        Step::Granted { endpoint, record } => {
            format!("{}; {}", Endpoint(*endpoint, names), Figures(record, names))
        }
        Step::Dispatched {
            attempt,
            endpoint,
            mode,
        } => dispatched(*attempt, Endpoint(*endpoint, names), *mode),
        Step::FirstToken { attempt } => format!("of attempt {attempt}"),
        Step::AttemptFailed {
            attempt,
            reason,
            proven_not_run,
            delivered,
        } => {
            let ran = match proven_not_run {
                true => "proven not to have run",
                false => "may have run",
            };
            format!("attempt {attempt}: {reason}, {ran}, caller holds {delivered} tokens")
        }
        Step::RetryIn { after, replay } => {
            let how = match replay {
                true => "compared with what the caller holds",
                false => "afresh",
            };
            format!("after {}, {how}", Millis(*after))
        }
        Step::Ended {
            outcome,
            reason,
            delivered,
        } => ended(*outcome, *reason, *delivered),
    }
}

fn dispatched(attempt: u32, endpoint: impl Display, mode: AttemptMode) -> String {
    match mode {
        AttemptMode::Fresh => format!("attempt {attempt} at {endpoint}"),
        AttemptMode::Replay { delivered } => {
            format!("attempt {attempt} at {endpoint}, replaying {delivered} tokens")
        }
    }
}

fn ended(outcome: Outcome, reason: Option<Reason>, delivered: u32) -> String {
    let mut text = outcome.as_str().to_owned();
    if let Some(reason) = reason {
        let _ = write!(text, ", {reason}");
    }
    if delivered > 0 {
        let _ = write!(text, ", caller holds {delivered} tokens");
    }
    text
}

/// Displays an endpoint by its name, or by its key if the name is no longer published.
struct Endpoint<'a, N>(EndpointKey, &'a N);

impl<N: Names> Display for Endpoint<'_, N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.1.endpoint(self.0) {
            Some(name) => f.write_str(name),
            None => self.0.fmt(f),
        }
    }
}

/// Displays an instance by its name, or by its key if the name is no longer published.
struct Instance<'a, N>(InstanceKey, &'a N);

impl<N: Names> Display for Instance<'_, N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.1.instance(self.0) {
            Some(name) => f.write_str(name),
            None => self.0.fmt(f),
        }
    }
}

/// Displays a cell by its description and the key that logs and status show.
struct Cell<'a, N>(CellKey, &'a N);

impl<N: Names> Display for Cell<'_, N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.1.cell(self.0) {
            Some(name) => write!(f, "{name} ({})", self.0),
            None => self.0.fmt(f),
        }
    }
}

struct Millis(Duration);

impl Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0.as_millis())
    }
}

/// Displays the figures behind the decision of a cell, and the endpoints that it did not choose.
struct Figures<'a, N>(&'a GrantRecord, &'a N);

impl<N: Names> Display for Figures<'_, N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let it = self.0;
        write!(
            f,
            "predicted {} tokens (p90 {}), needed {} of {} free, {} prefix blocks held, ",
            it.predicted_tokens, it.predicted_p90, it.needed, it.free, it.prefix_blocks
        )?;
        write!(f, "waited {} ms with {} queued", it.waited_ms, it.queued)?;
        for other in &it.alternatives {
            let endpoint = Endpoint(other.endpoint, self.1);
            let lost = not_chosen_text(other.reason);
            write!(f, "; {endpoint} lost: {lost}, {} free", other.free)?;
        }
        Ok(())
    }
}

fn not_chosen_text(reason: NotChosen) -> &'static str {
    match reason {
        NotChosen::Leaving => "leaving",
        NotChosen::Ejected => "ejected",
        NotChosen::RampingUp => "ramping up",
        NotChosen::NotLoaded => "does not hold the model",
        NotChosen::Excluded => "an attempt failed there",
        NotChosen::NoRoom => "no room",
        NotChosen::Held => "room held for an overdue request",
        NotChosen::Outranked => "another fits better",
    }
}
