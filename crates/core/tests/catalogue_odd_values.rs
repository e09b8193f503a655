//! Odd values in the catalogue: nesting must not overflow a stack, and a rejection names the place.

use oriolemux_core::catalogue::parse_index;

/// The stack of a thread of the runtime.
const STACK: usize = 2 * 1024 * 1024;

/// Nesting that overflows the stack of a recursive reader.
const DEEP: usize = 60_000;

fn documents() -> Vec<(&'static str, String)> {
    let keys = vec!["a"; DEEP].join(".");
    vec![
        (
            "arrays",
            format!("a={}{}", "[".repeat(DEEP), "]".repeat(DEEP)),
        ),
        ("unclosed arrays", format!("a={}", "[".repeat(DEEP))),
        (
            "inline tables",
            format!("a={}{}", "{a=".repeat(DEEP), "}".repeat(DEEP)),
        ),
        ("a dotted key", format!("{keys}=1")),
        ("a table header", format!("[{keys}]\n")),
        ("a header of an array of tables", format!("[[{keys}]]\n")),
        ("a dotted key in an inline table", format!("a={{{keys}=1}}")),
    ]
}

/// A process must not end by a stack overflow in the catalogue's reader.
#[test]
fn a_deeply_nested_catalogue_is_rejected_with_a_place() {
    let test = || {
        for (what, text) in documents() {
            eprintln!("{what}");
            let findings = parse_index(text.as_bytes()).unwrap_err().to_string();
            assert!(findings.contains(":1:"), "{what}: {findings}");
        }
    };
    let thread = std::thread::Builder::new().stack_size(STACK);
    thread.spawn(test).unwrap().join().unwrap();
}
