//! One line of a log, as [`crate::logs`] writes it.

use serde::Serialize;
use std::collections::BTreeMap;
use std::time::SystemTime;

/// Keys that every line has, and that are no fields of its event.
const COMMON: [&str; 5] = ["event", "level", "message", "target", "time"];

/// Fields that name an endpoint.
const ENDPOINTS: [&str; 4] = ["endpoint", "from", "to", "source"];

/// One line of a numbered event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct LogLine {
    /// Where it was found: the name of a file, or the words before the line that a
    /// collector of logs put there.
    pub source: String,
    /// When it was written.
    #[serde(serialize_with = "as_text")]
    pub time: SystemTime,
    /// The number of its event.
    pub event: u32,
    /// The name of its event.
    pub name: String,
    /// Its fields, by name.
    pub fields: BTreeMap<String, String>,
}

fn as_text<S: serde::Serializer>(time: &SystemTime, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_rfc3339_millis(*time))
}

impl LogLine {
    /// Reads a line; nothing if it is none of a numbered event. Collectors of logs put
    /// times and names of machines before a line; its last such word is its source.
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
                .map(|(key, value)| (key, as_word(value)))
                .collect(),
        })
    }

    /// Returns a field.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns a field that is a number; 0 if there is none.
    pub fn number(&self, name: &str) -> u64 {
        let field = self.field(name);
        field.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the endpoints that the line names.
    pub fn endpoints(&self) -> impl Iterator<Item = &str> {
        ENDPOINTS.iter().filter_map(|key| self.field(key))
    }
}

fn as_word(value: serde_json::Value) -> String {
    match value {
        serde_json::Value::String(text) => text,
        other => other.to_string(),
    }
}
