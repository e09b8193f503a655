//! Tests that `docs/SETTINGS.md` matches the tables of settings.

use oriolemux::settings::render_docs;
use std::path::PathBuf;

/// Set to write the page instead of comparing it.
const RENEW: &str = "ORIOLEMUX_RENEW";

#[test]
fn page_equals_the_table() {
    let page = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let expected = render_docs();
    if std::env::var_os(RENEW).is_some() {
        std::fs::write(&page, &expected).expect("page written");
    }

    let actual = std::fs::read_to_string(&page).expect("docs/SETTINGS.md");

    assert!(
        actual == expected,
        "docs/SETTINGS.md differs from the table; renew it with {RENEW}=1"
    );
}
