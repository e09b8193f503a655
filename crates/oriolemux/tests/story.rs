//! Requests of real runs, explained from their log lines: each file `stories/NAME.log`
//! begins with the attempt, and `NAME.txt` beside it holds what is to be said of it.

use oriolemux::story::{Cause, LogLine, Story};
use std::path::PathBuf;

/// Set to write the expected texts instead of comparing them.
const RENEW: &str = "ORIOLEMUX_RENEW";

fn stories() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/stories")
}

fn story_of(log: &str) -> Story {
    let attempt = log
        .lines()
        .next()
        .and_then(|line| line.strip_prefix("attempt "));
    let lines: Vec<LogLine> = log
        .lines()
        .filter_map(|line| LogLine::read("log", line))
        .collect();
    Story::of(attempt.expect("an attempt"), &lines).expect("lines that name it")
}

#[test]
fn stories_are_told_as_expected() {
    let mut told = 0;
    for entry in std::fs::read_dir(stories()).expect("the stories") {
        let path = entry.expect("an entry").path();
        if path.extension().is_none_or(|it| it != "log") {
            continue;
        }
        let log = std::fs::read_to_string(&path).expect("a log");
        let story = story_of(&log).to_string();
        let expected = path.with_extension("txt");
        if std::env::var_os(RENEW).is_some() {
            std::fs::write(&expected, &story).expect("written");
        }
        let expected_text = std::fs::read_to_string(&expected).expect("what is expected");
        assert_eq!(story, expected_text, "{}", expected.display());
        told += 1;
    }
    assert!(told > 0, "no stories");
}

/// The last line alone would say that it was not run, and not why.
#[test]
fn a_request_that_is_refused_for_what_it_did_is_told_so() {
    let texts = [
        r#"{"event":832,"time":"2026-03-29T00:52:10.000Z","message":"suspect_refused","attempt":"a","request":"c5","ended":3}"#,
        r#"{"event":806,"time":"2026-03-29T00:52:10.000Z","message":"generation_refused","attempt":"a","reason":"ends_endpoints","ms":1}"#,
    ];
    let lines = texts.iter().filter_map(|text| LogLine::read("log", text));
    let lines: Vec<LogLine> = lines.collect();

    let story = Story::of("a", &lines).expect("a story");

    let expected = Cause::EndsEndpoints {
        request: "c5".to_owned(),
        ended: 3,
    };
    assert_eq!(story.cause, expected);
}

/// Lines that a process cut off, that are no JSON, or that are of no numbered event are
/// passed over; they end nothing.
#[test]
fn lines_that_are_none_are_passed_over() {
    let whole = r#"{"event":802,"time":"2026-03-29T00:52:10.000Z","message":"refused_at_front","attempt":"a","reason":"no_entry"}"#;
    let texts = [
        "",
        "{",
        "plain text",
        &whole[..60],
        r#"{"message":"x"}"#,
        whole,
    ];

    let lines: Vec<LogLine> = texts
        .iter()
        .filter_map(|text| LogLine::read("log", text))
        .collect();

    assert_eq!(lines.len(), 1);
    let story = Story::of("a", &lines).expect("a story");
    assert_eq!(story.cause, Cause::RefusedAtFront("no_entry".to_owned()));
    assert_eq!(Story::of("b", &lines), None);
}
