//! The types that a setting may have.

use super::secret::SecretFile;
use oriolemux_core::findings::{Place, Problem, nearest};
use serde::Serialize;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::time::Duration;
use toml_edit::Item;

/// The position of a value and the rules for reading it.
pub(super) struct ValueContext<'a> {
    /// The full key, for messages.
    pub(super) key: &'a str,
    /// The place of the value.
    pub(super) place: Place,
    /// The directory that relative paths are resolved against.
    pub(super) base: &'a Path,
    /// The least and the greatest number allowed.
    pub(super) range: Option<(i64, i64)>,
}

impl ValueContext<'_> {
    fn wrong_type(&self, expected: &'static str, item: &Item) -> Problem {
        Problem::WrongType {
            key: self.key.to_owned(),
            expected,
            found: item.type_name(),
        }
    }

    fn invalid(&self, why: impl Into<String>) -> Problem {
        Problem::Invalid {
            key: self.key.to_owned(),
            why: why.into(),
        }
    }

    fn integer(&self, item: &Item) -> Result<i64, Problem> {
        let value = item
            .as_integer()
            .ok_or_else(|| self.wrong_type("an integer", item))?;
        let (min, max) = self.range.unwrap_or((0, i64::MAX));
        if (min..=max).contains(&value) {
            return Ok(value);
        }
        Err(Problem::OutOfRange {
            key: self.key.to_owned(),
            min,
            max,
        })
    }

    fn text<'i>(&self, item: &'i Item) -> Result<&'i str, Problem> {
        item.as_str()
            .ok_or_else(|| self.wrong_type("a string", item))
    }

    fn one_of<T: Copy>(&self, item: &Item, names: &[(&'static str, T)]) -> Result<T, Problem> {
        let text = self.text(item)?;
        if let Some((_, value)) = names.iter().find(|(name, _)| *name == text) {
            return Ok(*value);
        }
        let known: Vec<&str> = names.iter().map(|(name, _)| *name).collect();
        let mut why = format!("must be one of {}", known.join(", "));
        if let Some(name) = nearest(text, known) {
            why.push_str(&format!("; did you mean `{name}`?"));
        }
        Err(self.invalid(why))
    }
}

/// A type that a setting may have.
pub(super) trait Value: Sized {
    /// The type in words, for the docs.
    const KIND: &'static str;

    /// Reads the value from TOML.
    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem>;

    /// Formats the value as TOML.
    fn to_toml(&self) -> String;
}

impl Value for u32 {
    const KIND: &'static str = "integer";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let value = cx.integer(item)?;
        u32::try_from(value).map_err(|_| Problem::OutOfRange {
            key: cx.key.to_owned(),
            min: 0,
            max: i64::from(u32::MAX),
        })
    }

    fn to_toml(&self) -> String {
        self.to_string()
    }
}

impl Value for usize {
    const KIND: &'static str = "integer";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let value = cx.integer(item)?;
        usize::try_from(value).map_err(|_| cx.invalid("must not be negative"))
    }

    fn to_toml(&self) -> String {
        self.to_string()
    }
}

/// A duration in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the duration.
    pub const fn duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Millis> for Duration {
    fn from(millis: Millis) -> Duration {
        millis.duration()
    }
}

impl Value for Millis {
    const KIND: &'static str = "integer, milliseconds";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let value = cx.integer(item)?;
        u64::try_from(value)
            .map(Millis)
            .map_err(|_| cx.invalid("must not be negative"))
    }

    fn to_toml(&self) -> String {
        self.0.to_string()
    }
}

impl Value for String {
    const KIND: &'static str = "string";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let text = cx.text(item)?;
        if text.trim().is_empty() {
            return Err(cx.invalid("must not be empty"));
        }
        Ok(text.to_owned())
    }

    fn to_toml(&self) -> String {
        format!("{self:?}")
    }
}

fn parse_address(text: &str, cx: &ValueContext<'_>) -> Result<SocketAddr, Problem> {
    text.parse().map_err(|_| {
        cx.invalid(
            "must be an IP address and a port, such as 10.0.0.7:8080; names are not resolved",
        )
    })
}

impl Value for SocketAddr {
    const KIND: &'static str = "string, IP address and port";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        parse_address(cx.text(item)?, cx)
    }

    fn to_toml(&self) -> String {
        format!("\"{self}\"")
    }
}

impl Value for Vec<SocketAddr> {
    const KIND: &'static str = "array of strings, IP addresses and ports";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        const EXPECTED: &str = "an array of strings";
        let array = item
            .as_array()
            .ok_or_else(|| cx.wrong_type(EXPECTED, item))?;
        if array.is_empty() && cx.range.is_none_or(|(min, _)| min > 0) {
            return Err(cx.invalid("must name at least one address"));
        }
        array
            .iter()
            .map(|value| {
                let text = value.as_str().ok_or_else(|| Problem::WrongType {
                    key: cx.key.to_owned(),
                    expected: EXPECTED,
                    found: value.type_name(),
                })?;
                parse_address(text, cx)
            })
            .collect()
    }

    fn to_toml(&self) -> String {
        let addresses: Vec<String> = self.iter().map(Value::to_toml).collect();
        format!("[{}]", addresses.join(", "))
    }
}

impl Value for SocketAddrV4 {
    const KIND: &'static str = "string, IPv4 address and port";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let text = cx.text(item)?;
        text.parse()
            .map_err(|_| cx.invalid("must be an IPv4 address and a port, such as 10.0.0.7:8080"))
    }

    fn to_toml(&self) -> String {
        format!("\"{self}\"")
    }
}

impl Value for bool {
    const KIND: &'static str = "boolean";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        item.as_bool()
            .ok_or_else(|| cx.wrong_type("a boolean", item))
    }

    fn to_toml(&self) -> String {
        self.to_string()
    }
}

/// A number that is not negative.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Number(pub f64);

impl Value for Number {
    const KIND: &'static str = "number";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let whole = item.as_integer().map(|value| value as f64);
        let value = item.as_float().or(whole);
        let value = value.ok_or_else(|| cx.wrong_type("a number", item))?;
        if !value.is_finite() || value < 0.0 {
            return Err(cx.invalid("must not be negative"));
        }
        Ok(Number(value))
    }

    fn to_toml(&self) -> String {
        format!("{:?}", self.0)
    }
}

/// A duration in seconds, which may have a fraction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Seconds(pub Duration);

impl Value for Seconds {
    const KIND: &'static str = "number, seconds";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let Number(seconds) = Number::read(item, cx)?;
        Duration::try_from_secs_f64(seconds)
            .map(Seconds)
            .map_err(|_| cx.invalid("is too long"))
    }

    fn to_toml(&self) -> String {
        format!("{:?}", self.0.as_secs_f64())
    }
}

impl Value for SecretFile {
    const KIND: &'static str = "string, path of a file";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        let text = cx.text(item)?;
        if text.is_empty() {
            return Err(cx.invalid("must not be empty"));
        }
        Ok(SecretFile::new(cx.key, cx.base.join(text), cx.place))
    }

    fn to_toml(&self) -> String {
        format!("{:?}", self.path())
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One human-readable line per event.
    Human,
    /// One JSON object per line.
    Json,
}

const LOG_FORMATS: &[(&str, LogFormat)] = &[("human", LogFormat::Human), ("json", LogFormat::Json)];

impl Value for LogFormat {
    const KIND: &'static str = "string, `human` or `json`";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        cx.one_of(item, LOG_FORMATS)
    }

    fn to_toml(&self) -> String {
        name_of(*self, LOG_FORMATS)
    }
}

/// Where log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogOutput {
    /// Standard output.
    Stdout,
    /// Standard error.
    Stderr,
}

const LOG_OUTPUTS: &[(&str, LogOutput)] =
    &[("stdout", LogOutput::Stdout), ("stderr", LogOutput::Stderr)];

impl Value for LogOutput {
    const KIND: &'static str = "string, `stdout` or `stderr`";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        cx.one_of(item, LOG_OUTPUTS)
    }

    fn to_toml(&self) -> String {
        name_of(*self, LOG_OUTPUTS)
    }
}

/// The least severe level that is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Only what needs an operator.
    Error,
    /// What may need one.
    Warn,
    /// What changes rarely: start, stop, catalogue, endpoints.
    Info,
    /// A line for each refusal and retry.
    Debug,
    /// Everything, libraries included.
    Trace,
}

const LOG_LEVELS: &[(&str, LogLevel)] = &[
    ("error", LogLevel::Error),
    ("warn", LogLevel::Warn),
    ("info", LogLevel::Info),
    ("debug", LogLevel::Debug),
    ("trace", LogLevel::Trace),
];

impl LogLevel {
    /// Returns the level as the `log` crate names it.
    pub const fn filter(self) -> log::LevelFilter {
        match self {
            LogLevel::Error => log::LevelFilter::Error,
            LogLevel::Warn => log::LevelFilter::Warn,
            LogLevel::Info => log::LevelFilter::Info,
            LogLevel::Debug => log::LevelFilter::Debug,
            LogLevel::Trace => log::LevelFilter::Trace,
        }
    }
}

impl Value for LogLevel {
    const KIND: &'static str = "string, `error`, `warn`, `info`, `debug` or `trace`";

    fn read(item: &Item, cx: &ValueContext<'_>) -> Result<Self, Problem> {
        cx.one_of(item, LOG_LEVELS)
    }

    fn to_toml(&self) -> String {
        name_of(*self, LOG_LEVELS)
    }
}

fn name_of<T: Copy + PartialEq>(value: T, names: &[(&'static str, T)]) -> String {
    let named = names.iter().find(|(_, other)| *other == value);
    format!("{:?}", named.map_or("", |(name, _)| name))
}
