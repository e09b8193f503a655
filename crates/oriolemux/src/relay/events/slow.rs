//! Parses server-sent events and JSON by their standards.

use super::{EngineEvent, FinishReason, Garbage, Usage};
use serde::Deserialize;
use serde::de::IgnoredAny;
use std::borrow::Cow;

/// The data of an event that is JSON.
#[derive(Deserialize)]
struct EventData<'a> {
    #[serde(borrow, default)]
    id: Option<Cow<'a, str>>,
    index: Option<u32>,
    #[serde(borrow, default)]
    text: Option<Cow<'a, str>>,
    finish_reason: Option<FinishReason>,
    usage: Option<Usage>,
    error: Option<IgnoredAny>,
}

/// The fields of a server-sent event that are used.
#[derive(Default)]
struct Fields<'a> {
    id: Option<&'a str>,
    data: Option<Cow<'a, str>>,
}

/// Reads the event at the start of `bytes` and returns it with its length; `None` if it is
/// incomplete.
pub(super) fn read(bytes: &[u8]) -> Result<Option<(EngineEvent<'static>, usize)>, Garbage> {
    let Some(len) = event_len(bytes) else {
        return Ok(None);
    };
    let text = std::str::from_utf8(&bytes[..len]).map_err(|_| Garbage)?;
    let fields = read_fields(text)?;
    let event = match &fields.data {
        None => EngineEvent::Ignored,
        Some(data) if data == "[DONE]" => EngineEvent::Ignored,
        Some(data) => read_data(data, fields.id)?,
    };
    Ok(Some((event, len)))
}

/// Returns the length of the first event, including its empty line.
fn event_len(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (at, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..at];
        if line.is_empty() || line == b"\r" {
            return Some(at + 1);
        }
        line_start = at + 1;
    }
    None
}

fn read_fields(text: &str) -> Result<Fields<'_>, Garbage> {
    let mut fields = Fields::default();
    for line in text.lines() {
        if line.is_empty() || line.starts_with(':') {
            continue;
        }
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "id" => fields.id = Some(value),
            "data" => append_data(&mut fields.data, value),
            "event" | "retry" => {}
            // The standard requires unknown fields to be ignored. But an engine that sends them
            // uses another protocol, and guessing would lose tokens silently.
            _ => return Err(Garbage),
        }
    }
    Ok(fields)
}

fn append_data<'a>(data: &mut Option<Cow<'a, str>>, line: &'a str) {
    match data {
        None => *data = Some(Cow::Borrowed(line)),
        Some(data) => {
            let data = data.to_mut();
            data.push('\n');
            data.push_str(line);
        }
    }
}

fn read_data(data: &str, id_field: Option<&str>) -> Result<EngineEvent<'static>, Garbage> {
    let data: EventData<'_> = serde_json::from_str(data).map_err(|_| Garbage)?;
    if data.error.is_some() {
        return Ok(EngineEvent::Failed);
    }
    let attempt = data.id.ok_or(Garbage)?;
    let index = data.index.ok_or(Garbage)?;
    if id_field.is_some_and(|id| !names_token(id, &attempt, index)) {
        return Err(Garbage);
    }
    let attempt = Cow::Owned(attempt.into_owned());
    match (data.text, data.finish_reason) {
        (Some(text), None) => Ok(EngineEvent::Token {
            attempt,
            index,
            text: Cow::Owned(escape(&text)),
        }),
        (None, Some(finish)) => Ok(EngineEvent::End {
            attempt,
            index,
            finish,
            usage: data.usage,
        }),
        _ => Err(Garbage),
    }
}

/// Returns whether the event's id field is `ATTEMPT:INDEX`, as in its data.
fn names_token(id: &str, attempt: &str, index: u32) -> bool {
    id.rsplit_once(':')
        .is_some_and(|(id, number)| id == attempt && number.parse() == Ok(index))
}

/// Returns `text` as the content of a JSON string, escaped.
fn escape(text: &str) -> Vec<u8> {
    let mut json = serde_json::to_vec(text).expect("a string serialises");
    json.pop();
    json.remove(0);
    json
}
