//! `oriolemux check`, and how findings are printed.

use super::{CheckArgs, ExitStatus, Output};
use crate::settings::Settings;
use oriolemux_core::findings::Findings;
use serde::Serialize;
use std::path::Path;

pub(super) fn run(args: &CheckArgs, output: Output) -> ExitStatus {
    let findings: Vec<Findings> = args
        .files
        .iter()
        .filter_map(|file| check_file(file).err())
        .collect();
    report(&findings, args.files.len(), output)
}

fn check_file(file: &Path) -> Result<(), Findings> {
    Settings::load(file).map(|_| ())
}

#[derive(Serialize)]
struct Report<'a> {
    files: usize,
    findings: usize,
    by_file: &'a [Findings],
}

/// Prints the findings of the files that have any.
pub(super) fn report(by_file: &[Findings], files: usize, output: Output) -> ExitStatus {
    let findings = by_file.iter().map(Findings::len).sum();
    match output {
        Output::Json => print_json(&Report {
            files,
            findings,
            by_file,
        }),
        Output::Human => {
            for findings in by_file {
                println!("{findings}");
            }
            println!("{files} file(s) checked, {findings} finding(s)");
        }
    }
    match findings {
        0 => ExitStatus::Done,
        _ => ExitStatus::Findings,
    }
}

fn print_json(value: &impl Serialize) {
    match serde_json::to_string(value) {
        Ok(text) => println!("{text}"),
        Err(error) => eprintln!("oriolemux: cannot print JSON: {error}"),
    }
}
