//! Golden tests: compares the findings of each file in `tests/catalogue` with its expected
//! findings.

use oriolemux_core::catalogue::check::{CheckFile, FileKind, check_files};
use oriolemux_core::catalogue::{Digest, Problem as CatalogueProblem};
use oriolemux_core::findings::{Finding, Place, Problem};
use rstest::rstest;
use std::fs;
use std::path::{Path, PathBuf};

/// Environment variable that rewrites the expected files; review the difference afterwards.
const RENEW: &str = "ORIOLEMUX_RENEW";

fn golden(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/catalogue")
        .join(name)
}

fn findings_of(files: &[CheckFile<'_>]) -> String {
    let checked = check_files(files);
    checked
        .iter()
        .map(|findings| format!("{findings}\n"))
        .collect()
}

#[rstest]
#[case("five-mistakes")]
#[case("types")]
#[case("references")]
#[case("syntax")]
#[case("catalogue-shard-0")]
fn findings_are_as_expected(#[case] name: &str) {
    let file = format!("{name}.toml");
    let expected = golden(&format!("{name}.expected"));
    let bytes = fs::read(golden(&file)).unwrap();

    let found = findings_of(&[CheckFile {
        name: &file,
        bytes: &bytes,
    }]);

    if std::env::var_os(RENEW).is_some() {
        fs::write(&expected, &found).unwrap();
    }
    assert_eq!(found, fs::read_to_string(&expected).unwrap());
}

#[test]
fn five_mistakes_are_five_findings_with_five_places() {
    let bytes = fs::read(golden("five-mistakes.toml")).unwrap();

    let checked = check_files(&[CheckFile {
        name: "five-mistakes.toml",
        bytes: &bytes,
    }]);

    let places: Vec<Place> = checked[0].iter().map(|finding| finding.place).collect();
    assert_eq!(checked[0].len(), 5);
    assert!(places.is_sorted());
    assert!(places.iter().all(|place| place.line > 1));
}

fn index_listing(shard: &[u8]) -> String {
    format!(
        "revision = 1\nshards = [\"{}\"]\n[[class]]\nname = \"c\"\nurgency = 1\nidempotent = true\n\
         wait_target_ms = 1\nlongest_wait_ms = 1\ndelivery = \"whole\"\n[[service]]\nname = \"s\"\n\
         [[entry]]\nname = \"stock\"\nowner = \"o\"\nclass = \"c\"\nservice = \"s\"\n\
         limits = {{ concurrent = 1, queue = 1 }}\n",
        Digest::of(shard)
    )
}

fn shard_using(entry: &str) -> String {
    format!(
        "[[workspace]]\nname = \"w\"\nkey_sha256 = [\"{}\"]\nentries = [\"{entry}\"]\n\
         limits = {{ concurrent = 1, tokens_per_minute = 1 }}\n",
        Digest::of(b"key")
    )
}

fn file<'a>(name: &'a str, text: &'a str) -> CheckFile<'a> {
    let bytes = text.as_bytes();
    CheckFile { name, bytes }
}

fn check_pair(index: &str, shard: &str) -> Vec<Finding> {
    let files = [
        file("catalogue-index.toml", index),
        file("catalogue-shard-0.toml", shard),
    ];
    let checked = check_files(&files);
    checked
        .iter()
        .flat_map(|findings| findings.iter().cloned())
        .collect()
}

#[test]
fn matching_index_and_shard_have_no_findings() {
    let shard = shard_using("stock");

    assert_eq!(check_pair(&index_listing(shard.as_bytes()), &shard), []);
}

#[test]
fn shard_missing_from_the_index_is_a_finding() {
    let shard = shard_using("stock");

    let found = check_pair(&index_listing(b"an older shard"), &shard);

    let expected = CatalogueProblem::DigestMismatch {
        shard: 0,
        found: Digest::of(shard.as_bytes()).to_string(),
    };
    assert_eq!(found.len(), 1);
    assert_eq!(found[0].problem, Problem::Catalogue(expected));
}

#[test]
fn unknown_entry_is_a_finding_with_a_suggestion() {
    let shard = shard_using("stok");

    let found = check_pair(&index_listing(shard.as_bytes()), &shard);

    let expected = Problem::UnknownName {
        what: "entry",
        name: "stok".to_owned(),
        nearest: Some("stock".to_owned()),
    };
    let place = Place {
        line: 4,
        column: 12,
    };
    assert_eq!(
        found,
        [Finding {
            place,
            problem: expected
        }]
    );
}

fn shard_with(key: &str, concurrent: u32) -> String {
    format!(
        "[[workspace]]\nname = \"w\"\nkey_sha256 = [\"{}\"]\nentries = [\"stock\"]\n\
         limits = {{ concurrent = {concurrent}, tokens_per_minute = 1 }}\n",
        Digest::of(key.as_bytes())
    )
}

#[rstest]
#[case::equal(1, 1, 0)]
#[case::different(1, 2, 1)]
fn workspace_must_have_the_same_rights_in_all_shards(
    #[case] first: u32,
    #[case] second: u32,
    #[case] expected: usize,
) {
    let (first, second) = (shard_with("old", first), shard_with("new", second));

    let checked = check_files(&[
        file("catalogue-shard-0.toml", &first),
        file("catalogue-shard-1.toml", &second),
    ]);

    let findings: Vec<String> = checked.iter().map(ToString::to_string).collect();
    assert_eq!(findings.len(), expected, "{findings:?}");
    assert!(
        findings
            .iter()
            .all(|it| it.contains("catalogue-shard-1.toml:2:8: workspace `w`"))
    );
}

#[rstest]
#[case("a.toml", "[[workspace]]\n", Some(FileKind::Shard))]
#[case("a.toml", "revision = 1\n", Some(FileKind::Index))]
#[case("catalogue-index.toml", "revision = \n", Some(FileKind::Index))]
#[case("catalogue-shard-9.toml", "[[work", Some(FileKind::Shard))]
#[case("settings.toml", "[listen]\n", None)]
fn kind_of_file_follows_content_then_name(
    #[case] name: &str,
    #[case] text: &str,
    #[case] expected: Option<FileKind>,
) {
    let bytes = text.as_bytes();

    assert_eq!(FileKind::of(CheckFile { name, bytes }), expected);
}
