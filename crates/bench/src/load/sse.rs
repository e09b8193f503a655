//! An incremental parser of event streams.

/// One event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's type; empty for the default one.
    pub event: String,
    /// The event's id; empty if it has none.
    pub id: String,
    /// The data lines, joined.
    pub data: String,
}

/// Turns bytes, however they were cut, into events.
#[derive(Debug, Default)]
pub struct Parser {
    buf: Vec<u8>,
    event: Event,
}

impl Parser {
    /// Takes the next bytes in.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buf.extend_from_slice(bytes);
    }

    /// Returns the next whole event, if there is one.
    pub fn next_event(&mut self) -> Option<Event> {
        while let Some(end) = self.buf.iter().position(|&byte| byte == b'\n') {
            let line: Vec<u8> = self.buf.drain(..=end).collect();
            let line = String::from_utf8_lossy(&line);
            let line = line.trim_end_matches(['\r', '\n']);
            if line.is_empty() {
                let event = std::mem::take(&mut self.event);
                if event != Event::default() {
                    return Some(event);
                }
            } else {
                self.field(line);
            }
        }
        None
    }

    fn field(&mut self, line: &str) {
        let (name, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match name {
            "event" => value.clone_into(&mut self.event.event),
            "id" => value.clone_into(&mut self.event.id),
            "data" => {
                if !self.event.data.is_empty() {
                    self.event.data.push('\n');
                }
                self.event.data.push_str(value);
            }
            // Comments and unknown fields mean nothing.
            _ => {}
        }
    }
}
