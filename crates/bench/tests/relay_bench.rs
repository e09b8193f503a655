//! The measurement of the relay runs, loses no token, and ends with its figures.

use rstest::rstest;
use serde_json::Value;
use std::process::Command;

const SMALL: &str = "relay --streams 2 --requests 10 --tokens 500 \
                     --paced-streams 2 --paced-tokens 5 --engines 2";

#[rstest]
#[case::whole_instance("")]
#[case::relay_alone("--bare")]
fn ends_with_one_json_object(#[case] option: &str) {
    let args = SMALL.split_whitespace().chain(option.split_whitespace());

    let output = Command::new(env!("CARGO_BIN_EXE_oriolemux-bench"))
        .args(args)
        .output()
        .unwrap();

    let stdout = String::from_utf8(output.stdout).unwrap();
    let stderr = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{stderr}");
    let last = stdout.lines().last().expect("figures");
    let figures: Value = serde_json::from_str(last).expect("one JSON object");
    for key in [
        "tokens_per_core_second",
        "added_inter_token_us_p50",
        "added_inter_token_us_p99",
    ] {
        assert!(!figures[key].is_null(), "{key} in {last}");
    }
}
