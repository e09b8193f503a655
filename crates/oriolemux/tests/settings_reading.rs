//! Tests that settings are read completely and every mistake is reported with its line and column.

use oriolemux::settings::{
    GatewaySettings, LogFormat, LogLevel, Millis, Number, Secret, Secrets, Settings,
};
use rstest::rstest;

/// Settings that contain only the required keys.
const MINIMAL: &str = r#"
name = "chaguanas-1"
data_centre = "chaguanas"

[callers]
listen = "127.0.0.1:8080"

[peers]
listen = "127.0.0.1:8081"
secret_file = "peers.secret"

[operators]
listen = "127.0.0.1:8082"
key_file = "operators.key"

[platform]
addresses = ["127.0.0.1:9000", "127.0.0.1:9001"]
"#;

/// Returns the findings of `text` as lines without the file's name.
fn findings_of(text: &str) -> Vec<String> {
    match Settings::parse("settings.toml", text) {
        Ok(_) => Vec::new(),
        Err(findings) => findings
            .iter()
            .map(|finding| format!("{}: {}", finding.place, finding.problem))
            .collect(),
    }
}

/// What the platform writes in place of each field of `deploy/gateway.toml`.
const PLATFORM_FIELDS: &[(&str, &str)] = &[
    ("{{node-name}}", "edge-1"),
    ("{{zone}}", "north"),
    ("{{limits.cpu-share}}", "0.12"),
    ("{{limits.memory-mb}}", "88"),
    ("{{limits.max-fds}}", "4100"),
    ("{{listen.frontend}}", "10.0.0.7:8080"),
    ("{{listen.readiness}}", "10.0.0.7:8081"),
    ("{{ip}}", "10.0.0.7"),
    ("{{internal-ports.0}}", "7200"),
    (
        "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}",
        "\"10.0.0.8:7200\",\"10.0.0.9:7200\"",
    ),
    ("{{platform.address}}", "10.0.1.1:7000"),
    ("{{bounds.retry-budget-ratio}}", "0.1"),
    ("{{bounds.budget-slack}}", "10"),
    ("{{bounds.budget-window-s}}", "10"),
    ("{{bounds.grace-s}}", "30"),
];

/// Guards against a template from which the platform generates settings that an instance refuses.
#[test]
fn the_template_of_an_instance_is_valid() {
    let template =
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/gateway.toml");
    let template = std::fs::read_to_string(template).expect("the template");
    let fill = |text: String, (field, value): &(&str, &str)| text.replace(field, value);
    let text = PLATFORM_FIELDS.iter().fold(template, fill);
    assert!(!text.contains("{{"), "a field has no value: {text}");

    let settings = GatewaySettings::parse("gateway.toml", &text).expect("no findings");

    assert_eq!(settings.instance.cpu_share, Number(0.12));
    assert_eq!(settings.instance.memory_mb, 88);
    assert_eq!(settings.instance.max_descriptors, 4_100);
}

#[test]
fn required_keys_alone_use_defaults() {
    let settings = Settings::parse("dir/settings.toml", MINIMAL).expect("no findings");

    assert_eq!(settings.name, "chaguanas-1");
    assert_eq!(settings.platform.addresses.len(), 2);
    assert_eq!(settings.callers.max_connections, 4096);
    assert_eq!(settings.endpoints.connect_timeout_ms, Millis(1_000));
    assert_eq!(settings.logs.format, LogFormat::Human);
    assert_eq!(settings.logs.level, LogLevel::Info);
    assert_eq!(
        settings.peers.secret_file.path(),
        std::path::Path::new("dir/peers.secret")
    );
}

#[test]
fn five_mistakes_are_five_findings_with_places() {
    let text = r#"name = "chaguanas-1"
data_center = "chaguanas"

[callers]
listen = "localhost:8080"
max_connections = 0

[peers]
listen = "127.0.0.1:8081"
secret = "do not tell"
secret_file = "peers.secret"

[operators]
listen = "127.0.0.1:8082"
key_file = "operators.key"

[platform]
addresses = ["127.0.0.1:9000"]
"#;

    let findings = findings_of(text);

    assert_eq!(
        findings,
        [
            "1:1: missing key `data_centre`",
            "2:1: unknown key `data_center`; did you mean `data_centre`?",
            "5:10: `callers.listen` must be an IP address and a port, such as 10.0.0.7:8080; \
             names are not resolved",
            "6:19: `callers.max_connections` must be between 1 and 1000000",
            "10:1: `peers.secret` must not stand in the settings; write it to a file and name \
             that in `secret_file`",
        ]
    );
}

#[rstest]
#[case::syntax("name = \n", "invalid TOML")]
#[case::section_is_a_value("callers = 3", "`callers` must be a table, found integer")]
#[case::unknown_section("[operator]\n", "unknown key `operator`; did you mean `operators`?")]
#[case::no_address(
    "[platform]\naddresses = []",
    "`platform.addresses` must name at least one address"
)]
#[case::one_bad_address(
    "[platform]\naddresses = [\"10.0.0.1\"]",
    "`platform.addresses` must be an IP address and a port"
)]
#[case::address_of_wrong_type(
    "[platform]\naddresses = [1]",
    "`platform.addresses` must be an array of strings, found integer"
)]
#[case::wrong_type(
    "[callers]\nmax_connections = \"many\"",
    "`callers.max_connections` must be an integer, found string"
)]
#[case::negative(
    "[stop]\nnotice_ms = -1",
    "`stop.notice_ms` must be between 0 and 600000"
)]
#[case::level(
    "[logs]\nlevel = \"inf\"",
    "`logs.level` must be one of error, warn, info, debug, trace; did you mean `info`?"
)]
#[case::empty_name("name = \" \"", "`name` must not be empty")]
#[case::missing_section("name = \"a\"", "missing key `operators.key_file`")]
fn mistake_is_found(#[case] text: &str, #[case] expected: &str) {
    let findings = findings_of(text);

    assert!(
        findings.iter().any(|finding| finding.contains(expected)),
        "{expected} not in {findings:#?}"
    );
}

#[test]
fn value_in_place_of_a_section_is_one_finding() {
    let section = "[callers]\nlisten = \"127.0.0.1:8080\"\n";
    let text = format!("callers = 3\n{}", MINIMAL.replace(section, ""));

    let findings = findings_of(&text);

    assert_eq!(findings, ["1:11: `callers` must be a table, found integer"]);
}

#[rstest]
#[case::same_address("127.0.0.1:8080", true)]
#[case::any_address("0.0.0.0:8080", true)]
#[case::other_address("127.0.0.2:8080", false)]
#[case::any_port("127.0.0.1:0", false)]
fn two_listeners_on_one_address_are_found(#[case] peers: &str, #[case] found: bool) {
    let text = MINIMAL.replace("127.0.0.1:8081", peers);

    let findings = findings_of(&text);

    let expected = "9:10: `peers.listen` is the address of `callers.listen`";
    assert_eq!(
        findings.contains(&expected.to_owned()),
        found,
        "{findings:?}"
    );
}

#[rstest]
#[case::silence_at_its_line(
    "silence_timeout_ms = 3999",
    "11:22: `peers.silence_timeout_ms` must be at least 4000 because of `heartbeat_ms`"
)]
#[case::default_silence_at_its_section(
    "heartbeat_ms = 2001",
    "8:1: `peers.silence_timeout_ms` must be at least 4002 because of `heartbeat_ms`"
)]
#[case::reconnect(
    "reconnect_max_ms = 99",
    "11:20: `peers.reconnect_max_ms` must be at least 100 because of `reconnect_min_ms`"
)]
#[case::settle_and_memory(
    "[claims]\nmemory_ms = 120001",
    "11:1: `claims.settle_ms` must be at least 120001 because of `memory_ms`"
)]
#[case::settle_and_sends(
    "[claims]\nsettle_ms = 120000\nvalid_ms = 90000",
    "12:13: `claims.settle_ms` must be at least 120001 because of `valid_ms`"
)]
#[case::valid_and_asking(
    "[claims]\nvalid_ms = 1799",
    "12:12: `claims.valid_ms` must be at least 1800 because of `ask_limit_ms`"
)]
fn settings_that_contradict_each_other_are_found(#[case] line: &str, #[case] expected: &str) {
    let secret = "secret_file = \"peers.secret\"";
    let text = MINIMAL.replace(secret, &format!("{secret}\n{line}"));

    let findings = findings_of(&text);

    assert_eq!(findings, [expected]);
}

#[test]
fn unreadable_file_is_a_finding() {
    let error = Settings::load("/nonexistent/settings.toml").expect_err("no such file");

    assert!(
        error
            .to_string()
            .starts_with("/nonexistent/settings.toml:1:1: cannot read")
    );
}

#[test]
fn secrets_come_from_files_and_are_never_shown() {
    let dir = tempfile::tempdir().expect("a directory");
    let file = dir.path().join("settings.toml");
    std::fs::write(&file, MINIMAL).expect("settings written");
    std::fs::write(dir.path().join("peers.secret"), "0123456789abcdef\n").expect("secret written");
    std::fs::write(dir.path().join("operators.key"), "short").expect("key written");
    let settings = Settings::load(&file).expect("no findings");

    let findings = Secrets::read(&settings).expect_err("the operators' key is too short");

    assert_eq!(findings.len(), 1);
    assert!(
        findings
            .to_string()
            .contains("14:12: `operators.key_file` names")
    );
    std::fs::write(dir.path().join("operators.key"), "fedcba9876543210").expect("key written");
    let secrets = Secrets::read(&settings).expect("both are long enough");
    assert!(secrets.peers.matches(b"0123456789abcdef"));
    assert!(!secrets.operators.matches(b"fedcba987654321"));
    assert_eq!(format!("{:?}", Secret::new("hidden")), "Secret(..)");
}
