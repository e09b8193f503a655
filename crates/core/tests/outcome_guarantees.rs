//! Checks that every test named in `docs/GUARANTEES.md` exists.

use std::fs;
use std::path::{Path, PathBuf};

const CRATES: [&str; 5] = [
    "crates/core",
    "crates/gateway",
    "crates/oriolemux",
    "crates/bench",
    "platform",
];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the `file::test` and `folder::file::test` names in backticks on the page.
fn named_tests(page: &str) -> Vec<(&str, &str)> {
    page.split('`')
        .skip(1)
        .step_by(2)
        .filter_map(|code| code.rsplit_once("::"))
        .filter(|(_, test)| !test.contains(char::is_uppercase))
        .collect()
}

fn exists(file: &str, test: &str) -> bool {
    let file = file.replace("::", "/");
    CRATES.iter().any(|name| {
        let path = root().join(format!("{name}/tests/{file}.rs"));
        fs::read_to_string(path).is_ok_and(|source| source.contains(&format!("fn {test}(")))
    })
}

#[test]
fn every_test_named_on_the_page_exists() {
    let page = fs::read_to_string(root().join("docs/GUARANTEES.md")).unwrap();

    let named = named_tests(&page);

    let missing: Vec<_> = named.iter().filter(|(f, t)| !exists(f, t)).collect();
    assert!(missing.is_empty(), "missing: {missing:?}");
    assert!(named.len() > 20, "the page names only {}", named.len());
}
