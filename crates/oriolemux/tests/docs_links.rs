//! Links of pages lead to pages and files that exist.

use std::path::{Path, PathBuf};

/// Where pages stand, from the root of the repository.
const ROOTS: &[&str] = &["README.md", "DEVELOPERS.md", "docs", "examples"];

/// Returns all pages at or below `path`.
fn pages_below(path: &Path) -> Vec<PathBuf> {
    if path.is_dir() {
        let entries = std::fs::read_dir(path).expect("a directory");
        let paths = entries.map(|entry| entry.expect("an entry").path());
        return paths.flat_map(|path| pages_below(&path)).collect();
    }
    let is_page = path.extension().is_some_and(|it| it == "md");
    is_page.then(|| path.to_owned()).into_iter().collect()
}

/// Returns the targets of the links of a page, without anchors and without links elsewhere.
fn link_targets(text: &str) -> impl Iterator<Item = &str> {
    let links = text.split("](").skip(1);
    links
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target.split('#').next().unwrap_or_default())
        .filter(|target| !target.is_empty() && !target.contains("://"))
}

#[test]
fn links_of_pages_lead_somewhere() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let pages = ROOTS.iter().flat_map(|name| pages_below(&root.join(name)));
    let mut broken = Vec::new();

    for page in pages {
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
