//! All requests to endpoints pass the code that checks whether the endpoint may be used.

use std::fs;
use std::path::{Path, PathBuf};

fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        match path.is_dir() {
            true => sources(&path, found),
            false => found.push(path),
        }
    }
}

/// Returns the files whose code contains `call`; comments are ignored.
fn files_with(call: &str) -> Vec<String> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut files = Vec::new();
    sources(&root, &mut files);
    let mut with: Vec<String> = Vec::new();
    for file in files {
        let text = fs::read_to_string(&file).expect("a source");
        let code = text.lines().filter(|it| !it.trim_start().starts_with("//"));
        if code.into_iter().any(|it| it.contains(call)) {
            let file = file.strip_prefix(&root).expect("inside");
            with.push(file.display().to_string());
        }
    }
    with.sort();
    with
}

/// Guards against a new code path to an endpoint that does not check right before the first byte
/// whether the endpoint leaves or its data centre is cordoned.
#[test]
fn requests_are_sent_in_one_place() {
    assert!(files_with("Link::connect(").is_empty());
    assert_eq!(files_with("Link::connect_by("), ["job.rs", "link.rs"]);
    assert_eq!(files_with("link.send("), ["job.rs"]);
}

/// Guards against copies to an engine that must not be used.
#[test]
fn copies_are_started_in_one_place() {
    assert_eq!(files_with(".copy_generation("), ["relay/pre_copy.rs"]);
    assert_eq!(files_with("copy_to: self"), ["relay/begin.rs"]);
}
