//! Log lines have the documented format, and field values from outside cannot forge a line or a
//! field.

use log::kv::{self, Key, Source, Value, VisitSource};
use log::{Level, Record};
use oriolemux::logs::{format_human, format_json};
use rstest::rstest;
use std::time::{Duration, SystemTime};

/// The fields of a log line, in order.
struct Fields<'a>(&'a [(&'a str, &'a str)]);

impl Source for Fields<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(Key::from("event"), Value::from(204_u32))?;
        self.0.visit(visitor)
    }
}

fn noon() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(43_200_123)
}

fn format_with(format: fn(SystemTime, &Record<'_>) -> String, fields: &[(&str, &str)]) -> String {
    let source = Fields(fields);
    let args = format_args!("request_retried");
    let record = Record::builder()
        .level(Level::Debug)
        .target("oriolemux::events")
        .key_values(&source)
        .args(args)
        .build();
    format(noon(), &record)
}

#[rstest]
#[case::plain(&[("request", "r-1-2-3"), ("reason", "stalled")], "request=r-1-2-3 reason=stalled")]
#[case::forged_line(&[("error", "gone\n1970 ERROR [501] x")], r#"error="gone\n1970 ERROR [501] x""#)]
#[case::forged_field(&[("error", "a reason=b")], r#"error="a reason=b""#)]
#[case::empty(&[("error", "")], r#"error="""#)]
fn line_for_people(#[case] fields: &[(&str, &str)], #[case] expected: &str) {
    let line = format_with(format_human, fields);

    let head = "1970-01-01T12:00:00.123Z DEBUG [204] request_retried";
    assert_eq!(line, format!("{head} {expected}"));
}

#[test]
fn line_for_programs_is_one_json_object() {
    let line = format_with(format_json, &[("reason", "a\n\"b\"")]);

    let expected = serde_json::json!({
        "time": "1970-01-01T12:00:00.123Z",
        "level": "debug",
        "target": "oriolemux::events",
        "message": "request_retried",
        "event": 204,
        "reason": "a\n\"b\"",
    });
    let object: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    assert_eq!(object, expected);
    assert!(!line.contains('\n'));
}
