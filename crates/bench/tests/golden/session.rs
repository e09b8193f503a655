//! Writes a session down and compares it with its file.

use super::recorder::{Exchange, body};
use std::fmt::Write;
use std::path::Path;

/// Set to write the files anew instead of comparing.
const RENEW: &str = "ORIOLEMUX_RENEW";

/// Header lines that differ from run to run and mean nothing here.
const DROPPED_HEADERS: [&str; 4] = ["host:", "date:", "transfer-encoding:", "content-length:"];

/// Compares a session with `golden/NAME.txt`.
pub fn check(name: &str, sent: &str, received: &str, exchanges: &[Exchange]) {
    let text = write(sent, received, exchanges);
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("tests/golden/{name}.txt"));
    if std::env::var_os(RENEW).is_some() {
        std::fs::write(&path, &text).unwrap();
    }
    let expected = std::fs::read_to_string(&path).unwrap_or_default();
    assert_eq!(
        text,
        expected,
        "{} differs; renew it with {RENEW}=1",
        path.display()
    );
}

fn write(sent: &str, received: &str, exchanges: &[Exchange]) -> String {
    let mut text = String::new();
    section(&mut text, "the caller sends", sent);
    for exchange in exchanges {
        section(&mut text, "the endpoint receives", &exchange.request);
        section(&mut text, "the endpoint sends", &exchange.answer);
    }
    section(&mut text, "the caller receives", received);
    text
}

fn section(text: &mut String, title: &str, message: &str) {
    writeln!(text, "=== {title}\n{}", normal(message)).unwrap();
}

/// Removes what differs from run to run.
fn normal(message: &str) -> String {
    let (head, body) = message.split_once("\r\n\r\n").unwrap_or((message, ""));
    let mut lines: Vec<&str> = head.lines().collect();
    lines.retain(|line| !DROPPED_HEADERS.iter().any(|name| line.starts_with(name)));
    let body: String = body
        .split_inclusive("\n\n")
        .filter(|event| !event.starts_with(':'))
        .collect();
    name_ids(&format!("{}\n\n{body}", lines.join("\n")))
}

/// Replaces every request id by `REQUEST`; the number of an attempt stays.
fn name_ids(text: &str) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(at) = rest.find("r-") {
        out += &rest[..at];
        rest = &rest[at..];
        let len = id_len(rest);
        if len == 0 {
            out += "r-";
            rest = &rest[2..];
        } else {
            out += "REQUEST";
            rest = &rest[len..];
        }
    }
    out + rest
}

/// Returns the length of the request id at the start of `text`; 0 if there is none.
fn id_len(text: &str) -> usize {
    const FIXED: usize = "r-0123456789abcdef-0123456789abcdef-".len();
    let is_id_byte = |byte: &u8| byte.is_ascii_hexdigit() || *byte == b'-';
    let fixed = text.as_bytes().get(2..FIXED);
    if !fixed.is_some_and(|bytes| bytes.iter().all(is_id_byte)) {
        return 0;
    }
    let seq = text.as_bytes()[FIXED..].iter();
    FIXED + seq.take_while(|byte| byte.is_ascii_hexdigit()).count()
}

/// Returns an answer as it was read, without chunked framing.
pub fn without_framing(answer: &[u8]) -> String {
    let text = String::from_utf8_lossy(answer);
    let (head, _) = text.split_once("\r\n\r\n").expect("an answer");
    let head = format!("{head}\r\n\r\n");
    let (body, _) = body(&head, &answer[head.len()..]);
    head + &String::from_utf8_lossy(&body)
}

/// Cuts a stream after its first event: how many follow before a caller that
/// leaves is noticed depends on the clock.
pub fn until_first_event(message: &str) -> String {
    let (head, body) = message.split_once("\r\n\r\n").expect("an answer");
    let first = body
        .split_inclusive("\n\n")
        .find(|event| !event.starts_with(':'));
    format!("{head}\r\n\r\n{}", first.unwrap_or_default())
}
