//! `oriolemux check` and `serve --check` report every finding with its position.

use oriolemux_core::catalogue::Digest;
use rstest::rstest;
use std::path::Path;
use std::process::{Command, Output};

const INDEX: &str = r#"revision = 7
shards = ["SHARD_DIGEST"]

[[class]]
name = "verdicts"
urgency = 0
idempotent = true
wait_target_ms = 500
longest_wait_ms = 5000
delivery = "stream"

[[model]]
name = "lyric-large"
version = "3"

[[entry]]
name = "licence-verdict"
owner = "clearance desk"
class = "verdicts"
model = "lyric-large"
limits = { concurrent = 64, tokens_per_minute = 90000, queue = 256, prompt_tokens = 8000, output_tokens = 64 }
"#;

const SHARD: &str = r#"[[workspace]]
name = "tunis-broadcaster"
key_sha256 = ["9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"]
entries = ["licence-verdict"]
limits = { concurrent = 32, tokens_per_minute = 60000 }
"#;

const SETTINGS: &str = r#"name = "lac-1"
data_centre = "tunis-lac"

[callers]
listen = "127.0.0.1:8080"

[peers]
listen = "127.0.0.1:8081"
secret_file = "peers.secret"

[operators]
listen = "127.0.0.1:8082"
key_file = "operators.key"

[platform]
addresses = ["127.0.0.1:9000"]
"#;

/// Runs the binary in `dir`.
fn oriolemux(dir: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_oriolemux"))
        .args(args)
        .current_dir(dir)
        .output()
        .expect("the binary runs")
}

/// A directory with a valid catalogue and valid settings.
fn fixture() -> tempfile::TempDir {
    let dir = tempfile::tempdir().expect("a directory");
    write_shard(dir.path(), SHARD);
    write(dir.path(), "settings.toml", SETTINGS);
    dir
}

/// Writes a shard and the index that lists it.
fn write_shard(dir: &Path, shard: &str) {
    let digest = Digest::of(shard.as_bytes()).to_string();
    write(dir, "shard-0.toml", shard);
    write(dir, "index.toml", &INDEX.replace("SHARD_DIGEST", &digest));
}

fn write(dir: &Path, name: &str, text: &str) {
    std::fs::write(dir.join(name), text).expect("file written");
}

fn stdout(output: &Output) -> &str {
    std::str::from_utf8(&output.stdout).expect("UTF-8")
}

#[test]
fn files_without_mistakes_pass() {
    let dir = fixture();

    let output = oriolemux(
        dir.path(),
        &["check", "settings.toml", "index.toml", "shard-0.toml"],
    );

    assert_eq!(stdout(&output), "3 files checked, no findings\n");
    assert_eq!(output.status.code(), Some(0));
}

#[test]
fn five_mistakes_in_an_index_are_five_findings() {
    let dir = fixture();
    let index = INDEX
        .replace("shards = [\"SHARD_DIGEST\"]", "shards = [\"12\"]")
        .replace("urgency = 0", "urgency = 0\nurgencey = 0")
        .replace("\"stream\"", "\"streamed\"")
        .replace("class = \"verdicts\"", "class = \"verdict\"")
        .replace("concurrent = 64", "concurrent = \"64\"");
    write(dir.path(), "index.toml", &index);

    let output = oriolemux(dir.path(), &["check", "index.toml"]);

    let places: Vec<&str> = stdout(&output)
        .lines()
        .filter_map(|line| line.split_once(": ").map(|(place, _)| place))
        .collect();
    assert_eq!(
        places,
        [
            "index.toml:2:11",
            "index.toml:7:1",
            "index.toml:11:12",
            "index.toml:20:9",
            "index.toml:22:25"
        ],
        "{}",
        stdout(&output)
    );
    assert_eq!(output.status.code(), Some(1));
}

#[rstest]
#[case::entry_that_the_index_lacks(
    "[\"licence-verdict\"]",
    "[\"licence-verdicts\"]",
    "shard-0.toml:4:12: unknown entry `licence-verdicts`; did you mean `licence-verdict`?"
)]
#[case::unknown_key(
    "limits",
    "limit",
    "shard-0.toml:5:1: unknown key `workspace.limit`; did you mean `limits`?"
)]
fn mistake_in_a_shard_is_found(#[case] right: &str, #[case] wrong: &str, #[case] expected: &str) {
    let dir = fixture();
    write_shard(dir.path(), &SHARD.replace(right, wrong));

    let output = oriolemux(dir.path(), &["check", "shard-0.toml", "index.toml"]);

    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn shard_that_the_index_does_not_list_is_found() {
    let dir = fixture();
    write(dir.path(), "shard-0.toml", &SHARD.replace("32", "33"));

    let output = oriolemux(dir.path(), &["check", "shard-0.toml", "index.toml"]);

    let expected = "which is not the one that the index lists";
    assert!(stdout(&output).contains(expected), "{}", stdout(&output));
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn json_report_has_each_place() {
    let dir = fixture();
    write(
        dir.path(),
        "settings.toml",
        &SETTINGS.replace("name =", "nam ="),
    );

    let output = oriolemux(
        dir.path(),
        &["check", "--json", "settings.toml", "absent.toml"],
    );

    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["files"], 2);
    assert_eq!(report["count"], 3);
    assert_eq!(report["findings"][0]["file"], "absent.toml");
    let message = "unknown key `nam`; did you mean `name`?";
    assert_eq!(report["findings"][1]["message"], message);
    assert_eq!(report["findings"][2]["message"], "missing key `name`");
    assert_eq!(report["findings"][2]["line"], 1);
    assert_eq!(output.status.code(), Some(1));
}

#[test]
fn serve_check_reads_secrets_too_and_does_not_serve() {
    let dir = fixture();
    let args = ["serve", "--settings", "settings.toml", "--check"];

    let without = oriolemux(dir.path(), &args);
    write(dir.path(), "peers.secret", "0123456789abcdef");
    write(dir.path(), "operators.key", "0123456789abcdef");
    let with = oriolemux(dir.path(), &args);

    let expected = "settings.toml:9:15: `peers.secret_file` names peers.secret, which";
    assert!(stdout(&without).contains(expected), "{}", stdout(&without));
    assert!(stdout(&without).contains("1 file checked, 2 findings"));
    assert_eq!(without.status.code(), Some(1));
    assert_eq!(stdout(&with), "1 file checked, no findings\n");
    assert_eq!(with.status.code(), Some(0));
}

#[rstest]
#[case::no_command(&[], 2)]
#[case::unknown_command(&["sreve"], 2)]
#[case::help(&["--help"], 0)]
#[case::version(&["version"], 0)]
fn command_line_has_exit_codes(#[case] args: &[&str], #[case] expected: i32) {
    let output = oriolemux(Path::new("."), args);

    assert_eq!(output.status.code(), Some(expected));
}
