//! Tests that the example files of both users are valid and consistent with each other.

use oriolemux::settings::Settings;
use oriolemux_core::catalogue::check::{CheckFile, check_files};
use oriolemux_core::catalogue::parse_index;
use oriolemux_core::membership::{EndpointKind, InstanceList};
use rstest::rstest;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The sizes that the brief gives for a user.
struct User {
    dir: &'static str,
    data_centres: [&'static str; 3],
    model_workers: usize,
    services: usize,
}

const SAVANNAH_THREADS: User = User {
    dir: "savannah-threads",
    data_centres: ["arima", "chaguanas", "san-juan"],
    model_workers: 12,
    services: 3,
};

const QAFSA_LYRICWORKS: User = User {
    dir: "qafsa-lyricworks",
    data_centres: ["tunis-ariana", "tunis-charguia", "tunis-lac"],
    model_workers: 10,
    services: 3,
};

fn dir_of(user: &User) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(user.dir)
}

/// Returns the files of the user whose names start with `prefix`, in the order of names.
fn files_of(user: &User, prefix: &str) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(dir_of(user)).expect("the user's directory");
    let mut files: Vec<PathBuf> = entries
        .map(|entry| entry.expect("an entry").path())
        .filter(|path| file_name(path).starts_with(prefix))
        .collect();
    files.sort();
    files
}

fn file_name(path: &Path) -> &str {
    path.file_name()
        .and_then(|name| name.to_str())
        .expect("a name in UTF-8")
}

fn settings_of(user: &User) -> Vec<Settings> {
    let files = files_of(user, "settings-");
    let loaded = files.iter().map(Settings::load);
    loaded
        .map(|result| result.unwrap_or_else(|findings| panic!("{findings}")))
        .collect()
}

fn list_of(user: &User) -> InstanceList {
    let text = std::fs::read(dir_of(user).join("instances.json")).expect("the list");
    serde_json::from_slice(&text).expect("a list")
}

#[rstest]
#[case::savannah_threads(&SAVANNAH_THREADS)]
#[case::qafsa_lyricworks(&QAFSA_LYRICWORKS)]
fn sizes_are_those_of_the_brief(#[case] user: &User) {
    let list = list_of(user);

    let count = |kind| list.endpoints.iter().filter(|it| it.kind == kind).count();
    let data_centres: BTreeSet<&str> = list
        .instances
        .iter()
        .map(|it| it.data_centre.as_str())
        .collect();
    assert_eq!(settings_of(user).len(), 6);
    assert_eq!(list.instances.len(), 6);
    assert_eq!(count(EndpointKind::Model), user.model_workers);
    assert_eq!(count(EndpointKind::Service), user.services);
    assert_eq!(data_centres, BTreeSet::from(user.data_centres));
}

#[rstest]
#[case::savannah_threads(&SAVANNAH_THREADS)]
#[case::qafsa_lyricworks(&QAFSA_LYRICWORKS)]
fn settings_agree_with_the_list(#[case] user: &User) {
    let list = list_of(user);

    for settings in settings_of(user) {
        let listed = list.instances.iter().find(|it| it.name == settings.name);
        let listed = listed.unwrap_or_else(|| panic!("{} is not listed", settings.name));
        assert_eq!(listed.data_centre, settings.data_centre);
        assert_eq!(listed.address, settings.callers.listen);
        assert_eq!(listed.peer_address, settings.peers.listen);
    }
}

#[rstest]
#[case::savannah_threads(&SAVANNAH_THREADS)]
#[case::qafsa_lyricworks(&QAFSA_LYRICWORKS)]
fn catalogue_has_no_findings_and_names_what_the_list_serves(#[case] user: &User) {
    let files = files_of(user, "catalogue-");
    let read = |path: &PathBuf| std::fs::read(path).expect("a file");
    let contents: Vec<Vec<u8>> = files.iter().map(read).collect();
    let inputs: Vec<CheckFile<'_>> = files
        .iter()
        .zip(&contents)
        .map(|(path, bytes)| CheckFile {
            name: file_name(path),
            bytes,
        })
        .collect();

    let findings = check_files(&inputs);

    assert!(findings.is_empty(), "{findings:#?}");
    let index = parse_index(&contents[0]).expect("the index is the first file");
    let served: BTreeSet<String> = list_of(user)
        .endpoints
        .into_iter()
        .flat_map(|endpoint| endpoint.serves)
        .collect();
    let models = index.models().values().map(|model| model.name.clone());
    let services = index
        .services()
        .values()
        .map(|service| service.name.clone());
    assert_eq!(served, models.chain(services).collect());
}
