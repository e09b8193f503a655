//! The layers listed in the documentation of the crate are those of the sources.

use std::collections::BTreeMap;
use std::fs;
use std::path::{Path, PathBuf};

fn sources() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("src")
}

/// The layer of each module according to the ordered list in `lib.rs`: the names in backticks
/// before the colon of each item.
fn layers() -> BTreeMap<String, u32> {
    let root = fs::read_to_string(sources().join("lib.rs")).expect("the crate's root");
    let mut layers = BTreeMap::new();
    for line in root.lines() {
        let item = line
            .strip_prefix("//! ")
            .and_then(|line| line.split_once(". "));
        let Some((number, rest)) = item else { continue };
        let Ok(layer) = number.parse() else { continue };
        let names = rest.split(':').next().unwrap_or_default();
        for name in names.split('`').skip(1).step_by(2) {
            let duplicate = layers.insert(name.to_owned(), layer);
            assert_eq!(duplicate, None, "`{name}` is listed in two layers");
        }
    }
    layers
}

/// Finds all Rust files, with the top-level module to which each belongs.
fn files(dir: &Path, files_found: &mut Vec<(String, PathBuf)>) {
    for entry in fs::read_dir(dir).expect("a directory") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            files(&path, files_found);
        } else {
            let inside = path.strip_prefix(sources()).expect("inside the sources");
            let first = inside.iter().next().expect("a name").to_string_lossy();
            let module = first.trim_end_matches(".rs").to_owned();
            files_found.push((module, path));
        }
    }
}

/// Returns the top-level modules that a line of code names; comments may name any.
fn named(line: &str) -> impl Iterator<Item = &str> {
    let code = match line.trim_start().starts_with("//") {
        true => "",
        false => line,
    };
    code.split("crate::").skip(1).map(|rest| {
        let end = rest.find(|letter: char| !letter.is_alphanumeric() && letter != '_');
        &rest[..end.unwrap_or(rest.len())]
    })
}

#[test]
fn a_module_depends_only_on_lower_layers() {
    let layers = layers();
    let mut sources_found = Vec::new();
    files(&sources(), &mut sources_found);
    let mut findings = Vec::new();

    for (module, path) in &sources_found {
        if module == "lib" {
            continue;
        }
        let Some(own) = layers.get(module) else {
            findings.push(format!("`{module}` is listed in no layer"));
            continue;
        };
        let text = fs::read_to_string(path).expect("a source");
        for (number, line) in text.lines().enumerate() {
            for other in named(line).filter(|other| other != module) {
                // A name that the crate root re-exports has no layer of its own and hides its
                // module.
                if layers.get(other).is_none_or(|layer| layer >= own) {
                    let place = format!("{}:{}", path.display(), number + 1);
                    findings.push(format!("{place}: `{module}` depends on `{other}`"));
                }
            }
        }
    }

    assert_eq!(findings, Vec::<String>::new());
    assert_eq!(
        layers.len(),
        sources_found
            .iter()
            .map(|(module, _)| module)
            .filter(|module| *module != "lib")
            .collect::<std::collections::BTreeSet<_>>()
            .len(),
        "a layer names a module that does not exist"
    );
}
