//! What the process may use, from the settings and from the system.

use oriolemux::resources::{Resources, parse_memory};
use rstest::rstest;

#[test]
fn settings_go_before_the_system() {
    let resources = Resources::new(88, 3_075);

    assert_eq!(resources.memory, 88_000_000);
    assert_eq!(resources.descriptors, 3_075);
}

#[test]
fn the_system_is_asked_where_the_settings_name_nothing() {
    let resources = Resources::new(0, 0);

    assert!(resources.memory > 0);
    assert!(resources.descriptors > 0);
}

/// Guards against bounds that are computed from a total that was misread.
#[rstest]
#[case::of_a_system(
    "MemFree: 1 kB\nMemTotal:       112640 kB\nSwap: 2 kB\n",
    Some(115_343_360)
)]
#[case::without_a_total("MemFree: 1 kB\n", None)]
#[case::without_a_unit("MemTotal: 112640\n", None)]
#[case::no_number("MemTotal: many kB\n", None)]
#[case::too_large("MemTotal: 18446744073709551615 kB\n", None)]
#[case::empty("", None)]
fn the_total_of_the_system_is_read(#[case] text: &str, #[case] total: Option<u64>) {
    assert_eq!(parse_memory(text), total);
}
