//! Checks that the targets of links in pages, and the pages that doc comments name, exist.

use std::path::{Path, PathBuf};

/// The paths of pages and sources, relative to the root of the repository.
const ROOTS: &[&str] = &["README.md", "DEVELOPERS.md", "docs", "examples", "crates"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns all files at or below `path` that have the extension.
fn files_below(path: &Path, extension: &str) -> Vec<PathBuf> {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("a directory");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        return paths
            .flat_map(|path| files_below(&path, extension))
            .collect();
    }
    let is_wanted = path.extension().is_some_and(|it| it == extension);
    is_wanted.then(|| path.to_owned()).into_iter().collect()
}

fn files(extension: &str) -> impl Iterator<Item = PathBuf> {
    let roots = ROOTS.iter().map(|name| root().join(name));
    roots.flat_map(move |path| files_below(&path, extension))
}

/// Returns the pages that a text names by their path from the root.
fn named_pages(text: &str) -> impl Iterator<Item = &str> {
    let is_path = |c: char| c.is_ascii_alphanumeric() || "/_-.".contains(c);
    let words = text.split(move |c: char| !is_path(c));
    words.filter(|word| word.starts_with("docs/") && word.ends_with(".md"))
}

/// Returns the targets of the links of a page, without anchors and without URLs.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    let links = text.split("](").skip(1);
    links
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn link_targets_exist() {
    let mut broken = Vec::new();

    for page in files("md") {
        let text = std::fs::read_to_string(&page).expect("a page");
        let dir = page.parent().expect("a directory");
        for target in link_targets(&text) {
            if !dir.join(target).exists() {
                broken.push(format!("{}: {target}", page.display()));
            }
        }
    }

    assert!(broken.is_empty(), "{broken:#?}");
}

#[test]
fn named_pages_exist() {
    let mut missing = Vec::new();

    for file in files("rs").chain(files("md")) {
        let text = std::fs::read_to_string(&file).expect("a file");
        for page in named_pages(&text) {
            if !root().join(page).exists() {
                missing.push(format!("{}: {page}", file.display()));
            }
        }
    }

    assert!(missing.is_empty(), "{missing:#?}");
}
