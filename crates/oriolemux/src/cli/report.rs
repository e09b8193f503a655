//! Prints the findings of `check` and `serve --check`.

use super::{ExitStatus, Output, print_json, print_line};
use oriolemux_core::findings::Findings;
use serde::Serialize;

/// The findings in the files that were checked.
#[derive(Debug)]
pub(super) struct Report {
    files: usize,
    by_file: Vec<Findings>,
}

/// The report as JSON.
#[derive(Debug, Serialize)]
struct JsonReport {
    files: usize,
    /// How many findings there are, listed or not.
    count: usize,
    findings: Vec<JsonFinding>,
}

#[derive(Debug, Serialize)]
struct JsonFinding {
    file: String,
    line: u32,
    column: u32,
    message: String,
}

impl Report {
    /// Returns an empty report about `files` files.
    pub(super) fn of_files(files: usize) -> Self {
        Report {
            files,
            by_file: Vec::new(),
        }
    }

    /// Adds the findings of one file.
    pub(super) fn add(&mut self, findings: Findings) {
        self.by_file.push(findings);
    }

    /// Prints the report and returns the exit status for it.
    pub(super) fn print(&self, output: Output) -> ExitStatus {
        match output {
            Output::Json => print_json(&self.to_json()),
            Output::Human => self.print_text(),
        }
        match self.count() {
            0 => ExitStatus::Done,
            _ => ExitStatus::Findings,
        }
    }

    fn count(&self) -> usize {
        self.by_file.iter().map(Findings::len).sum()
    }

    fn print_text(&self) {
        for findings in &self.by_file {
            print_line(findings);
        }
        let files = counted(self.files, "file", "files");
        let findings = match self.count() {
            0 => "no findings".to_owned(),
            count => counted(count, "finding", "findings"),
        };
        print_line(format_args!("{files} checked, {findings}"));
    }

    fn to_json(&self) -> JsonReport {
        let findings = self.by_file.iter().flat_map(|findings| {
            findings.iter().map(|finding| JsonFinding {
                file: findings.file().to_owned(),
                line: finding.place.line,
                column: finding.place.column,
                message: finding.problem.to_string(),
            })
        });
        JsonReport {
            files: self.files,
            count: self.count(),
            findings: findings.collect(),
        }
    }
}

fn counted(count: usize, one: &str, many: &str) -> String {
    match count {
        1 => format!("1 {one}"),
        _ => format!("{count} {many}"),
    }
}

/// Returns the settings for a start. If they have findings, or `only_check` is set, prints the
/// report and returns its exit status as an error.
pub(super) fn to_start<T>(
    loaded: Result<T, Findings>,
    only_check: bool,
    output: Output,
) -> Result<T, ExitStatus> {
    let mut report = Report::of_files(1);
    match loaded {
        Ok(settings) if !only_check => Ok(settings),
        Ok(_) => Err(report.print(output)),
        Err(findings) => {
            report.add(findings);
            Err(report.print(output))
        }
    }
}
