//! Formats a log record as a line.

use crate::events::NUMBER_KEY;
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use std::fmt::Write;
use std::time::SystemTime;

/// Returns a line of text: time, level, number of the event, message, fields.
pub fn format_human(time: SystemTime, record: &Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(time);
    let mut line = format!("{time} {:<5} ", record.level());
    let number = record.key_values().get(Key::from(NUMBER_KEY));
    let _ = match &number {
        Some(number) => write!(line, "[{number}] {}", record.args()),
        None => write!(line, "{}: {}", record.target(), record.args()),
    };
    // Neither formatter nor visitor fails: both write to memory.
    let _ = record.key_values().visit(&mut HumanFields(&mut line));
    line
}

struct HumanFields<'a>(&'a mut String);

impl<'kvs> VisitSource<'kvs> for HumanFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        if key.as_str() == NUMBER_KEY {
            return Ok(());
        }
        let value = value.to_string();
        // Text from outside may contain newlines and quotes. It is escaped, so that it cannot forge
        // another field or line.
        let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=';
        let _ = match !value.is_empty() && value.chars().all(is_plain) {
            true => write!(self.0, " {key}={value}"),
            false => write!(self.0, " {key}={value:?}"),
        };
        Ok(())
    }
}

/// Returns one JSON object: `time`, `level`, `message`, `target` and the fields.
pub fn format_json(time: SystemTime, record: &Record<'_>) -> String {
    let mut object = serde_json::Map::new();
    let time = humantime::format_rfc3339_millis(time).to_string();
    object.insert("time".to_owned(), time.into());
    let level = record.level().as_str().to_lowercase();
    object.insert("level".to_owned(), level.into());
    object.insert("message".to_owned(), record.args().to_string().into());
    object.insert("target".to_owned(), record.target().into());
    let _ = record.key_values().visit(&mut JsonFields(&mut object));
    serde_json::Value::Object(object).to_string()
}

struct JsonFields<'a>(&'a mut serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let json = match (value.to_u64(), value.to_bool()) {
            (Some(number), _) => number.into(),
            (None, Some(truth)) => truth.into(),
            (None, None) => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}
