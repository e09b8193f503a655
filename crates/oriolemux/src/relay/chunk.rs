//! Writes the responses of completions.
//!
//! Chunks are appended to one buffer as bytes, because building a JSON value for every token would
//! cost more than all the rest of the relay.

use super::events::{FinishReason, Usage};
use oriolemux_core::RequestId;

/// The end of a caller's stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Writes the chunks of one request.
#[derive(Debug)]
pub struct ChunkWriter {
    /// The JSON of a chunk up to the text.
    head: Vec<u8>,
}

impl ChunkWriter {
    /// Creates the writer of `request`, which named `entry` as its model.
    pub fn new(request: RequestId, entry: &str) -> Self {
        let entry = serde_json::to_string(entry).expect("a string serialises");
        let head = format!(
            "{{\"id\":\"{request}\",\"object\":\"text_completion\",\"model\":{entry},\
             \"choices\":[{{\"index\":0,\"text\":\""
        );
        ChunkWriter {
            head: head.into_bytes(),
        }
    }

    /// Appends the event of a token; `text` is the content of a JSON string, already escaped.
    #[inline]
    pub fn token(&self, out: &mut Vec<u8>, index: u32, text: &[u8]) {
        out.extend_from_slice(b"data: ");
        out.extend_from_slice(&self.head);
        out.extend_from_slice(text);
        out.extend_from_slice(b"\",\"finish_reason\":null}],\"token_index\":");
        write_number(out, index);
        out.extend_from_slice(b"}\n\n");
    }

    /// Appends the last event of a complete response, and the end of the stream.
    pub fn end(&self, out: &mut Vec<u8>, finish: FinishReason, usage: Usage) {
        out.extend_from_slice(b"data: ");
        self.full_response(out, b"", finish, usage);
        out.extend_from_slice(b"\n\n");
        out.extend_from_slice(DONE);
    }

    /// Appends a full response as one JSON object; `text` is the content of a JSON string, already
    /// escaped.
    pub fn full_response(
        &self,
        out: &mut Vec<u8>,
        text: &[u8],
        finish: FinishReason,
        usage: Usage,
    ) {
        out.extend_from_slice(&self.head);
        out.extend_from_slice(text);
        out.extend_from_slice(b"\",\"finish_reason\":\"");
        out.extend_from_slice(finish.as_str().as_bytes());
        out.extend_from_slice(b"\"}],\"usage\":{\"prompt_tokens\":");
        write_number(out, usage.prompt_tokens);
        out.extend_from_slice(b",\"completion_tokens\":");
        write_number(out, usage.completion_tokens);
        out.extend_from_slice(b",\"total_tokens\":");
        write_number(
            out,
            usage.prompt_tokens.saturating_add(usage.completion_tokens),
        );
        out.extend_from_slice(b"}}");
    }
}

/// Appends a number in decimal.
#[inline]
fn write_number(out: &mut Vec<u8>, number: u32) {
    const MAX_DIGITS: usize = 10;
    let mut digits = [0; MAX_DIGITS];
    let mut at = MAX_DIGITS;
    let mut rest = number;
    loop {
        at -= 1;
        digits[at] = b'0' + (rest % 10) as u8;
        rest /= 10;
        if rest == 0 {
            break;
        }
    }
    out.extend_from_slice(&digits[at..]);
}
