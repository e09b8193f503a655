//! `oriolemux check`: settings and catalogues, checked as an instance would.

use super::report::Report;
use super::{CheckArgs, ExitStatus, Output};
use crate::settings::{GatewaySettings, Settings};
use oriolemux_core::catalogue::check::{CheckFile, FileKind, check_files};
use oriolemux_core::findings::{Findings, Place, Problem};
use std::path::Path;

/// A file that was read.
struct InputFile {
    name: String,
    bytes: Vec<u8>,
}

pub(super) fn run(args: &CheckArgs, output: Output) -> ExitStatus {
    let mut report = Report::of_files(args.files.len());
    let inputs: Vec<InputFile> = args
        .files
        .iter()
        .filter_map(|path| read(path, &mut report))
        .collect();
    let files = inputs.iter().map(|input| CheckFile {
        name: &input.name,
        bytes: &input.bytes,
    });
    let (catalogue, settings): (Vec<_>, Vec<_>) =
        files.partition(|file| FileKind::of(*file).is_some());
    for file in settings {
        if let Err(findings) = check_settings(file) {
            report.add(findings);
        }
    }
    for findings in check_files(&catalogue) {
        report.add(findings);
    }
    report.print(output)
}

fn read(path: &Path, report: &mut Report) -> Option<InputFile> {
    let name = path.display().to_string();
    match std::fs::read(path) {
        Ok(bytes) => Some(InputFile { name, bytes }),
        Err(error) => {
            report.add(unreadable(&name, &error));
            None
        }
    }
}

fn check_settings(file: CheckFile<'_>) -> Result<(), Findings> {
    match std::str::from_utf8(file.bytes) {
        Ok(text) if GatewaySettings::is_gateway_settings(text) => {
            GatewaySettings::parse(file.name, text).map(|_| ())
        }
        Ok(text) => Settings::parse(file.name, text).map(|_| ()),
        Err(error) => Err(unreadable(file.name, &error)),
    }
}

fn unreadable(name: &str, error: &dyn std::error::Error) -> Findings {
    let message = error.to_string();
    let mut findings = Findings::new(name);
    findings.push(Place::START, Problem::Unreadable { message });
    findings
}
