//! The table failure × promise, and the line of JSON behind it.

use super::Case;
use super::case::{CaseError, CaseOutcome};
use crate::checker::{CallerRecord, Evidence, Promise, Violation};
use crate::load::CallerEnding;
use crate::standins::journal::Fact;
use std::collections::BTreeMap;
use std::process::ExitCode;

/// Violations that are printed for each case; the rest are counted.
const SHOWN_VIOLATIONS: usize = 8;
/// Width of a case's name.
const NAME_WIDTH: usize = 52;

/// What all cases showed.
#[derive(Debug, Default)]
pub struct Report {
    cases: usize,
    requests: usize,
    counts: BTreeMap<Promise, usize>,
    failed_to_run: Vec<String>,
    /// Whether the reasons of typed errors are printed as well.
    show_reasons: bool,
}

impl Report {
    /// Creates an empty report.
    pub fn new(show_reasons: bool) -> Self {
        Report {
            show_reasons,
            ..Report::default()
        }
    }

    /// Prints the head of the table.
    pub fn print_head(&self) {
        let promises: Vec<&str> = Promise::ALL.iter().map(|p| p.count_name()).collect();
        println!(
            "{:NAME_WIDTH$} requests whole not_run unknown partial earlier broken | {} | seconds",
            "failure",
            promises.join(" ")
        );
    }

    /// Adds and prints one case.
    pub fn add(&mut self, index: usize, case: &Case, outcome: Result<CaseOutcome, CaseError>) {
        let name = format!("{:>3} {}", index + 1, case.name());
        match outcome {
            Ok(outcome) => self.add_outcome(&name, case, &outcome),
            Err(error) => {
                println!("{name:NAME_WIDTH$} could not be run: {error}");
                self.failed_to_run.push(name);
            }
        }
    }

    /// Returns the line of JSON; its keys are in the order of the table.
    fn json(&self) -> String {
        let counts = Promise::ALL.map(|promise| {
            let count = self.counts.get(&promise).copied().unwrap_or_default();
            format!("\"{}\":{count}", promise.count_name())
        });
        format!(
            "{{\"cases\":{},\"requests\":{},{}}}",
            self.cases,
            self.requests,
            counts.join(",")
        )
    }

    fn add_outcome(&mut self, name: &str, case: &Case, outcome: &CaseOutcome) {
        self.cases += 1;
        self.requests += outcome.evidence.callers.len();
        let cells: Vec<String> = Promise::ALL
            .iter()
            .map(|promise| {
                let count = count(&outcome.violations, *promise);
                *self.counts.entry(*promise).or_default() += count;
                format!("{count:>width$}", width = promise.count_name().len())
            })
            .collect();
        println!(
            "{name:NAME_WIDTH$} {} | {} | {:.1}",
            endings(&outcome.evidence.callers),
            cells.join(" "),
            outcome.lasted.as_secs_f64()
        );
        for violation in outcome.violations.iter().take(SHOWN_VIOLATIONS) {
            println!("      {violation}");
        }
        let struck = struck(&outcome.evidence);
        if struck == 0 && case.faults.iter().any(|fault| fault.is_shown_by_endpoint()) {
            println!("      the failure struck no request");
        }
        if self.show_reasons {
            for (reason, count) in reasons(&outcome.evidence.callers) {
                println!("      {count:>5} x {reason}");
            }
            for line in &outcome.slowest {
                println!("      {line}");
            }
        }
        if let Some(files) = &outcome.files {
            println!("      files are in {}", files.display());
        }
    }

    /// Prints the line of JSON; the exit code says whether every promise held.
    pub fn finish(&self) -> ExitCode {
        for name in &self.failed_to_run {
            println!("not run: {name}");
        }
        println!("{}", self.json());
        let clean = self.counts.values().all(|count| *count == 0) && self.failed_to_run.is_empty();
        match clean {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}

/// Returns how many requests had each typed error, by what they asked for.
fn reasons(callers: &[CallerRecord]) -> BTreeMap<String, usize> {
    let mut reasons = BTreeMap::new();
    for caller in callers {
        let kind = match (caller.idempotent, &caller.key) {
            (true, _) => "repeatable",
            (false, None) => "once, bare",
            (false, Some(_)) => "once, named",
        };
        let text = match &caller.received.ending {
            CallerEnding::Error {
                reason, outcome, ..
            } => format!("{kind} {:?}: {outcome} {reason}", caller.work),
            CallerEnding::Broken { detail, .. } => format!("{kind}: broken, {detail}"),
            CallerEnding::Complete { .. } | CallerEnding::Malformed { .. } => continue,
        };
        *reasons.entry(text).or_default() += 1;
    }
    reasons
}

/// Returns how many attempts stand-ins showed a failure to.
fn struck(evidence: &Evidence) -> usize {
    let entries = evidence.endpoints.iter().flat_map(|it| &it.entries);
    let faults = entries.filter(|entry| matches!(entry.fact, Fact::Fault { .. }));
    faults.count()
}

fn count(violations: &[Violation], promise: Promise) -> usize {
    let of_promise = violations.iter().filter(|found| found.promise == promise);
    of_promise.count()
}

/// Returns how the requests of a case ended, in the columns of the table. A
/// repeat whose answer an earlier submission has counts as `earlier`, one whose
/// caller left or whose instance was killed as `broken`.
fn endings(callers: &[CallerRecord]) -> String {
    let outcome = |name: &str| {
        let told = callers
            .iter()
            .filter(|c| c.received.outcome() == Some(name));
        told.count()
    };
    let whole = callers.iter().filter(|c| c.received.is_complete()).count();
    let (not_run, unknown, partial) = (outcome("not_run"), outcome("unknown"), outcome("partial"));
    let earlier = outcome("complete");
    let broken = callers.len() - whole - not_run - unknown - partial - earlier;
    format!(
        "{:>8} {whole:>5} {not_run:>7} {unknown:>7} {partial:>7} {earlier:>7} {broken:>6}",
        callers.len()
    )
}
