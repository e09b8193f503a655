//! The settings of one instance, read from a TOML file and checked.
//!
//! `docs/SETTINGS.md` describes every setting. It is generated from the tables in
//! `settings/table.rs` and `settings/gateway.rs`, which also generate the types, the defaults,
//! the ranges and the reader, so that they cannot diverge.
//!
//! Reading continues after an error: all findings are reported together, with line and column.
//! The file never contains secrets; it names the files that hold them.

mod docs;
mod gateway;
mod reader;
mod relations;
mod rows;
mod secret;
mod spec;
mod table;
mod value;

pub use docs::render as render_docs;
pub use gateway::{GatewaySettings, InstanceSettings, RepeatsSettings};
pub use secret::{Secret, SecretFile, Secrets};
pub use spec::Description;
pub use table::{
    CallersSettings, ClaimsSettings, EndpointsSettings, LimitsSettings, LogsSettings,
    OperatorsSettings, PeersSettings, PlatformSettings, SectionDescription, Settings, StopSettings,
    SupervisorSettings,
};
pub use value::{LogFormat, LogLevel, LogOutput, Millis, Number, Seconds};

use oriolemux_core::findings::{Findings, Place, Problem};
use reader::SectionReader;
use std::path::Path;
use toml_edit::Table;

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// The files that hold secrets are not opened; [`Secrets::read`] does that.
    ///
    /// # Errors
    ///
    /// Returns every finding with its line and column.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Findings> {
        load(path.as_ref(), Self::parse)
    }

    /// Checks the text of the settings file named `file`.
    ///
    /// Relative paths in the text are resolved against the directory of `file`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        parse(file, text, Self::read, relations::check)
    }
}

impl GatewaySettings {
    /// Reads and checks the settings file at `path`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its line and column.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, Findings> {
        load(path.as_ref(), Self::parse)
    }

    /// Returns whether `text` holds the settings of an instance for HTTP entries, which alone
    /// have a table `store`. Returns `false` for invalid TOML; the reader then reports where the
    /// syntax error is.
    pub fn is_gateway_settings(text: &str) -> bool {
        let document = toml_edit::Document::parse(text);
        document.is_ok_and(|document| document.contains_key("store"))
    }

    /// Checks the text of the settings file named `file`.
    ///
    /// # Errors
    ///
    /// Returns every finding with its line and column.
    pub fn parse(file: &str, text: &str) -> Result<Self, Findings> {
        parse(file, text, Self::read, relations::check_gateway)
    }
}

fn load<T>(path: &Path, parse: fn(&str, &str) -> Result<T, Findings>) -> Result<T, Findings> {
    let file = path.display().to_string();
    match std::fs::read_to_string(path) {
        Ok(text) => parse(&file, &text),
        Err(error) => {
            let message = error.to_string();
            let mut findings = Findings::new(file);
            findings.push(Place::START, Problem::Unreadable { message });
            Err(findings)
        }
    }
}

fn parse<T>(
    file: &str,
    text: &str,
    read: fn(&mut SectionReader<'_>) -> Option<T>,
    check: fn(&T, &Table, &str, &mut Findings),
) -> Result<T, Findings> {
    let mut findings = Findings::new(file);
    let document = match toml_edit::Document::parse(text) {
        Ok(document) => document,
        Err(error) => {
            let message = error.message().to_owned();
            findings.push_span(text, error.span(), Problem::Syntax { message });
            return Err(findings);
        }
    };
    let base = Path::new(file).parent().unwrap_or(Path::new(""));
    let mut root = SectionReader::root(document.as_table(), text, base, &mut findings);
    let Some(settings) = read(&mut root) else {
        findings.sort();
        return Err(findings);
    };
    check(&settings, document.as_table(), text, &mut findings);
    findings.into_result(settings)
}
