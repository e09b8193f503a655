//! The fast and the slow parser of engine events agree, however the bytes are chunked.

use oriolemux::relay::events::{EngineEvent, EventReader, FinishReason, Garbage, Usage};
use proptest::prelude::*;
use rstest::rstest;
use std::borrow::Cow;

const ATTEMPT: &str = "r-0000000000000001-0000000000000002-1.1";

/// Reads `bytes` in chunks that end at `cuts`.
fn read(
    reader: &mut EventReader,
    bytes: &[u8],
    cuts: &[usize],
) -> Result<Vec<EngineEvent<'static>>, Garbage> {
    let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % (bytes.len() + 1)).collect();
    cuts.push(bytes.len());
    cuts.sort_unstable();
    let mut events = Vec::new();
    let mut start = 0;
    for cut in cuts {
        reader.push(&bytes[start..cut]);
        start = cut;
        while let Some(event) = reader.next_event()? {
            events.push(owned(event));
        }
    }
    Ok(events)
}

fn owned(event: EngineEvent<'_>) -> EngineEvent<'static> {
    match event {
        EngineEvent::Token {
            attempt,
            index,
            text,
        } => EngineEvent::Token {
            attempt: Cow::Owned(attempt.into_owned()),
            index,
            text: Cow::Owned(text.into_owned()),
        },
        EngineEvent::End {
            attempt,
            index,
            finish,
            usage,
        } => EngineEvent::End {
            attempt: Cow::Owned(attempt.into_owned()),
            index,
            finish,
            usage,
        },
        EngineEvent::Failed => EngineEvent::Failed,
        EngineEvent::Ignored => EngineEvent::Ignored,
    }
}

/// A reader for this attempt, which tries the fast parser first, and one for another attempt,
/// which always uses the slow parser.
fn readers() -> [EventReader; 2] {
    [EventReader::new(ATTEMPT), EventReader::new("another")]
}

fn token_event(index: u32, text: &str) -> String {
    let text = serde_json::to_string(text).unwrap();
    format!(
        "id: {ATTEMPT}:{index}\ndata: {{\"id\":\"{ATTEMPT}\",\"index\":{index},\"text\":{text}}}\n\n"
    )
}

/// Text with quotes, escapes, control characters and multi-byte characters.
fn any_text() -> impl Strategy<Value = String> {
    proptest::string::string_regex("([a-z \"\\\\\n\r\t\u{1}/{}]|é|ش|🧵|\u{2028}){0,12}").unwrap()
}

proptest! {
    #[test]
    fn fast_and_slow_parsers_agree_for_any_chunking(
        texts in proptest::collection::vec(any_text(), 0..8),
        cuts in proptest::collection::vec(0usize..4_096, 0..12),
    ) {
        let mut bytes = String::new();
        for (index, text) in (0..).zip(&texts) {
            bytes += &token_event(index, text);
        }
        let [mut fast, mut slow] = readers();

        let fast = read(&mut fast, bytes.as_bytes(), &cuts).unwrap();
        let slow = read(&mut slow, bytes.as_bytes(), &[]).unwrap();

        prop_assert_eq!(&fast, &slow);
        prop_assert_eq!(fast.len(), texts.len());
        for (event, text) in fast.iter().zip(&texts) {
            let EngineEvent::Token { text: raw, .. } = event else {
                panic!("a token");
            };
            let json = format!("\"{}\"", std::str::from_utf8(raw).unwrap());
            prop_assert_eq!(&serde_json::from_str::<String>(&json).unwrap(), text);
        }
    }

    /// With one byte changed anywhere, the fast parser accepts nothing that the slow parser
    /// rejects, and reads nothing differently.
    #[test]
    fn fast_and_slow_parsers_agree_on_corrupted_bytes(
        text in any_text(),
        at in 0usize..4_096,
        byte in any::<u8>(),
    ) {
        let mut bytes = token_event(3, &text).into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        let [mut fast, mut slow] = readers();

        let fast = read(&mut fast, &bytes, &[]);
        let slow = read(&mut slow, &bytes, &[]);

        prop_assert_eq!(fast, slow);
    }

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let [mut fast, mut slow] = readers();

        let _ = read(&mut fast, &bytes, &[]);
        let _ = read(&mut slow, &bytes, &[]);
    }
}

#[rstest]
#[case::keep_alive(": still here\n\n", EngineEvent::Ignored)]
#[case::done("data: [DONE]\n\n", EngineEvent::Ignored)]
#[case::carriage_returns("data: [DONE]\r\n\r\n", EngineEvent::Ignored)]
#[case::failed("data: {\"error\":{}}\n\n", EngineEvent::Failed)]
#[case::spaced("data:{ \"id\": \"a\", \"index\": 1, \"text\": \"x\\u0041\" }\n\n", EngineEvent::Token {
    attempt: Cow::Borrowed("a"), index: 1, text: Cow::Borrowed(b"xA"),
})]
#[case::end("data: {\"id\":\"a\",\"index\":1,\"finish_reason\":\"length\",\"usage\":{\"prompt_tokens\":2,\"completion_tokens\":1}}\n\n", EngineEvent::End {
    attempt: Cow::Borrowed("a"), index: 1, finish: FinishReason::Length,
    usage: Some(Usage { prompt_tokens: 2, completion_tokens: 1 }),
})]
fn reads_what_the_standards_allow(#[case] bytes: &str, #[case] expected: EngineEvent<'static>) {
    let [mut reader, _] = readers();

    let events = read(&mut reader, bytes.as_bytes(), &[]).unwrap();

    assert_eq!(events, [expected]);
}

#[test]
fn clear_drops_a_partial_event() {
    let [mut reader, _] = readers();
    let event = token_event(0, "one");

    reader.push(&event.as_bytes()[..event.len() / 2]);
    reader.clear();
    let events = read(&mut reader, event.as_bytes(), &[]).unwrap();

    assert_eq!(events.len(), 1);
}
