//! The table failure × promise, and the line of JSON behind it.

use super::Case;
use super::case::{CaseError, CaseOutcome};
use crate::checker::{CallerRecord, Promise, Violation};
use serde_json::{Map, Value};
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
}

impl Report {
    /// Prints the head of the table.
    pub fn print_head(&self) {
        let promises: Vec<&str> = Promise::ALL.iter().map(|p| p.count_name()).collect();
        println!(
            "{:NAME_WIDTH$} requests whole not_run unknown partial broken | {} | seconds",
            "failure",
            promises.join(" ")
        );
    }

    /// Adds and prints one case.
    pub fn add(&mut self, index: usize, case: &Case, outcome: Result<CaseOutcome, CaseError>) {
        let name = format!("{:>3} {}", index + 1, case.name());
        match outcome {
            Ok(outcome) => self.add_outcome(&name, &outcome),
            Err(error) => {
                println!("{name:NAME_WIDTH$} could not be run: {error}");
                self.failed_to_run.push(name);
            }
        }
    }

    fn add_outcome(&mut self, name: &str, outcome: &CaseOutcome) {
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
        if let Some(files) = &outcome.files {
            println!("      files are in {}", files.display());
        }
    }

    /// Prints the line of JSON; the exit code says whether every promise held.
    pub fn finish(&self) -> ExitCode {
        for name in &self.failed_to_run {
            println!("not run: {name}");
        }
        let mut line = Map::new();
        line.insert("cases".to_owned(), Value::from(self.cases));
        line.insert("requests".to_owned(), Value::from(self.requests));
        for promise in Promise::ALL {
            let count = self.counts.get(&promise).copied().unwrap_or_default();
            line.insert(promise.count_name().to_owned(), Value::from(count));
        }
        println!("{}", Value::from(line));
        let clean = self.counts.values().all(|count| *count == 0) && self.failed_to_run.is_empty();
        match clean {
            true => ExitCode::SUCCESS,
            false => ExitCode::FAILURE,
        }
    }
}

fn count(violations: &[Violation], promise: Promise) -> usize {
    let of_promise = violations.iter().filter(|found| found.promise == promise);
    of_promise.count()
}

/// Returns how the requests of a case ended, in the columns of the table.
fn endings(callers: &[CallerRecord]) -> String {
    let outcome = |name: &str| {
        let told = callers
            .iter()
            .filter(|c| c.received.outcome() == Some(name));
        told.count()
    };
    let whole = callers.iter().filter(|c| c.received.is_complete()).count();
    let (not_run, unknown, partial) = (outcome("not_run"), outcome("unknown"), outcome("partial"));
    let broken = callers.len() - whole - not_run - unknown - partial;
    format!(
        "{:>8} {whole:>5} {not_run:>7} {unknown:>7} {partial:>7} {broken:>6}",
        callers.len()
    )
}
