//! `oriolemux explain --logs`: explains a request of a gateway from its log lines.

use super::{ExitStatus, ExplainArgs, Output, print_error, print_json, print_line};
use crate::story::{LogLine, Story};
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::path::Path;

/// Why a request could not be explained.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
enum ExplainError {
    /// cannot read {file}: {source}
    File {
        /// The file.
        file: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// no line names attempt {attempt}, of {lines} lines of numbered events
    Unknown {
        /// The attempt.
        attempt: String,
        /// Lines that were read.
        lines: usize,
    },
}

pub(super) fn run(args: &ExplainArgs, output: Output) -> ExitStatus {
    let story = match explain(args) {
        Ok(story) => story,
        Err(error) => {
            print_error(&error);
            return match error {
                ExplainError::File { .. } => ExitStatus::Findings,
                ExplainError::Unknown { .. } => ExitStatus::NotFound,
            };
        }
    };
    match output {
        Output::Json => print_json(&story),
        Output::Human => print_line(story.to_string().trim_end()),
    }
    ExitStatus::Done
}

fn explain(args: &ExplainArgs) -> Result<Story, ExplainError> {
    let mut lines = Vec::new();
    for file in &args.logs {
        read(file, &mut lines).map_err(|source| ExplainError::File {
            file: file.display().to_string(),
            source,
        })?;
    }
    Story::of(&args.request, &lines).ok_or_else(|| ExplainError::Unknown {
        attempt: args.request.clone(),
        lines: lines.len(),
    })
}

/// Reads the lines of numbered events; other lines and invalid text are skipped.
fn read(file: &Path, lines: &mut Vec<LogLine>) -> io::Result<()> {
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    match file.to_str() {
        Some("-") => read_lines(io::stdin().lock(), "", lines),
        _ => read_lines(BufReader::new(File::open(file)?), &name, lines),
    }
}

fn read_lines(from: impl BufRead, source: &str, lines: &mut Vec<LogLine>) -> io::Result<()> {
    for line in from.split(b'\n') {
        let line = line?;
        lines.extend(LogLine::read(source, &String::from_utf8_lossy(&line)));
    }
    Ok(())
}
