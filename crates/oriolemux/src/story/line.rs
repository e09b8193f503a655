//! Parses log lines that [`crate::logs`] writes.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::SystemTime;

/// Keys that every line has and that are not fields of its event.
const COMMON: [&str; 5] = ["event", "level", "message", "target", "time"];

/// Fields that name an endpoint.
const ENDPOINTS: [&str; 4] = ["endpoint", "from", "to", "source"];

/// One log line of a numbered event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Where the line was found: the name of its file, or the last word that a log collector put
    /// before the line.
    pub source: String,
    /// When the line was logged.
    #[serde(serialize_with = "as_text")]
    pub time: SystemTime,
    /// The number of its event.
    pub event: u32,
    /// The name of its event.
    pub name: String,
    /// The fields of its event, by name.
    pub fields: BTreeMap<String, String>,
}

fn as_text<S: serde::Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_rfc3339_millis(*time))
}

impl LogLine {
    /// Parses a line. Returns `None` if it is not the line of a numbered event. Log collectors put
    /// times and host names before a line; the last word before it becomes its source, else `file`.
    pub fn read(file: &str, text: &str) -> Option<Self> {
        let (before, json) = text.split_at(text.find('{')?);
        let mut object: BTreeMap<String, serde_json::Value> =
            serde_json::from_str(json.trim_end()).ok()?;
        let event = u32::try_from(object.get("event")?.as_u64()?).ok()?;
        let time = humantime::parse_rfc3339(object.get("time")?.as_str()?).ok()?;
        let name = object.get("message")?.as_str()?.to_owned();
        object.retain(|key, _| !COMMON.contains(&key.as_str()));
        let source = before.split_whitespace().last().unwrap_or(file).to_owned();
        Some(LogLine {
            source,
            time,
            event,
            name,
            fields: object
                .into_iter()
                .map(|(key, value)| (key, as_text_value(value)))
                .collect(),
        })
    }

    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns a numeric field, or 0 if it is missing or not a number.
    pub fn number(&self, name: &str) -> u64 {
        let field = self.field(name);
        field.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the endpoints that the line names.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        ENDPOINTS.iter().filter_map(|key| self.field(key))
    }
}

fn as_text_value(value: serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    }
}
