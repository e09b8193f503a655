//! What callers got against what engines generated, byte for byte.

use super::evidence::{CallerRecord, Work};
use super::runs::{Run, Runs};
use super::{Promise, Violations};
use crate::load::{CallerEnding, Received};
use crate::standins::service;
use crate::standins::text;

/// Checks the text that one caller got.
pub fn check(caller: &CallerRecord, others: &[CallerRecord], runs: &Runs, found: &mut Violations) {
    let received = &caller.received;
    if !received.ids_match {
        let detail = format!("{}: a chunk carried another request's id", received.prompt);
        found.push(Promise::OwnAnswer, detail);
    }
    match caller.work {
        Work::Completion => check_generation(caller, others, runs, found),
        Work::Call => check_answer(received, runs, found),
    }
}

fn check_answer(received: &Received, runs: &Runs, found: &mut Violations) {
    if received.text.is_empty() && !received.is_complete() {
        return;
    }
    let own = received.text == service::answer(&received.prompt);
    if !own {
        let detail = format!("{} was answered {:?}", received.prompt, received.text);
        found.push(Promise::OwnAnswer, detail);
    } else if runs.of_prompt(&received.prompt).is_empty() {
        let detail = format!("{} was answered but never ran", received.prompt);
        found.push(Promise::Tokens, detail);
    }
}

fn check_generation(
    caller: &CallerRecord,
    others: &[CallerRecord],
    runs: &Runs,
    found: &mut Violations,
) {
    let received = &caller.received;
    if received.text.is_empty() && !received.is_complete() {
        check_counts(caller, others, found);
        return;
    }
    let own = runs.of_prompt(&received.prompt);
    let fits = |run: &&Run| match received.is_complete() {
        true => received.text == text::prefix(run.seed, run.length),
        false => is_prefix(received, run),
    };
    if !own.iter().any(|run| fits(&run)) {
        report_misfit(received, runs, found);
    }
    if !received.indexes_in_order {
        let detail = format!("{}: token indexes out of order", received.prompt);
        found.push(Promise::Tokens, detail);
    }
    check_counts(caller, others, found);
}

fn is_prefix(received: &Received, run: &Run) -> bool {
    received.tokens <= run.length && received.text == text::prefix(run.seed, received.tokens)
}

fn is_held_by_first(caller: &CallerRecord, tokens: u32, others: &[CallerRecord]) -> bool {
    let same = |other: &&CallerRecord| {
        caller.key.is_some() && other.key == caller.key && !std::ptr::eq(*other, caller)
    };
    let mut firsts = others.iter().filter(same);
    firsts.any(|first| first.received.tokens == tokens)
}

/// Tells a foreign text from a broken one.
fn report_misfit(received: &Received, runs: &Runs, found: &mut Violations) {
    let mut others = runs.of_others(&received.prompt);
    let foreign = others.find(|(_, run)| !received.text.is_empty() && is_prefix(received, run));
    match foreign {
        Some((other, run)) => {
            let detail = format!(
                "{} got the text of {other} ({})",
                received.prompt, run.attempt
            );
            found.push(Promise::OwnAnswer, detail);
        }
        None => {
            let detail = format!(
                "{}: {} tokens (complete: {}) fit none of its {} generations",
                received.prompt,
                received.tokens,
                received.is_complete(),
                runs.of_prompt(&received.prompt).len(),
            );
            found.push(Promise::Tokens, detail);
        }
    }
}

/// What the caller was told about its tokens must be what it holds. A repeat
/// under a key is told what became of the first submission: it holds nothing
/// itself, and the count must be what that one holds.
fn check_counts(caller: &CallerRecord, others: &[CallerRecord], found: &mut Violations) {
    let received = &caller.received;
    let wrong = match &received.ending {
        CallerEnding::Error {
            outcome,
            delivered,
            reason,
            ..
        } if outcome == "partial" => {
            let own = *delivered == received.tokens;
            let repeat = reason == "already_ran" && received.text.is_empty();
            !(own || repeat && is_held_by_first(caller, *delivered, others))
        }
        CallerEnding::Error { .. } => received.tokens > 0,
        CallerEnding::Complete {
            tokens: Some(tokens),
            ..
        } if !caller.whole => *tokens != received.tokens,
        _ => false,
    };
    if wrong {
        let detail = format!(
            "{}: holds {} tokens but was told {:?}",
            received.prompt, received.tokens, received.ending
        );
        found.push(Promise::Tokens, detail);
    }
    if caller.whole && !received.is_complete() && !received.text.is_empty() {
        let detail = format!("{}: part of an answer that must be whole", received.prompt);
        found.push(Promise::Tokens, detail);
    }
}
