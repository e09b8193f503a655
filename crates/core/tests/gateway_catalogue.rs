//! How requests are matched against the catalogue of HTTP entries.

use core::time::Duration;
use oriolemux_core::gateway::catalogue::{
    Catalogue, CatalogueFinding, CatalogueSource, HttpEntry, RequestKind, RequestMatch, Service,
    WeightedService, Workspace,
};
use rstest::rstest;

const KEY: [u8; 32] = [1; 32];

fn entry(name: &str, prefix: &str, service: &str) -> HttpEntry<String> {
    HttpEntry {
        name: name.to_owned(),
        host: "Desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::AtMostOnce,
        timeout: Duration::from_secs(2),
        target: Duration::from_millis(100),
        gap_target: Duration::ZERO,
        priority: 1,
        max_attempts: 1,
        public: false,
        services: vec![WeightedService {
            service: service.to_owned(),
            weight: 1,
        }],
    }
}

fn source(entries: Vec<HttpEntry<String>>) -> CatalogueSource {
    CatalogueSource {
        version: 3,
        entries,
        services: vec![
            Service {
                name: "desk".to_owned(),
                engine: None,
                cold: None,
            },
            Service {
                name: "spare".to_owned(),
                engine: None,
                cold: None,
            },
        ],
        workspaces: Some(vec![Workspace {
            name: "north".to_owned(),
            key_digests: vec![KEY],
            priority: Some(4),
        }]),
        ..CatalogueSource::default()
    }
}

fn compiled(entries: Vec<HttpEntry<String>>) -> Catalogue {
    Catalogue::compile(source(entries)).expect("no findings")
}

#[rstest]
#[case("/a/", Some("short"))]
#[case("/a/x", Some("short"))]
#[case("/a/b", Some("short"))]
#[case("/a/b/", Some("long"))]
#[case("/a/b/c/d", Some("long"))]
#[case("/ab/", None)]
#[case("/", None)]
#[case("", None)]
fn the_longest_prefix_wins(#[case] path: &str, #[case] expected: Option<&str>) {
    let catalogue = compiled(vec![
        entry("short", "/a/", "desk"),
        entry("long", "/a/b/", "desk"),
    ]);

    let matched = catalogue.match_request("desk.example", path, Some(&KEY));

    let name = match matched {
        RequestMatch::Serve { entry, .. } => Some(catalogue.entry(entry).name.as_str()),
        _ => None,
    };
    assert_eq!(name, expected);
}

#[rstest]
#[case("desk.example", true)]
#[case("DESK.example:8740", true)]
#[case("other.example", false)]
fn hosts_are_matched_without_case_or_port(#[case] host: &str, #[case] known: bool) {
    let catalogue = compiled(vec![entry("a", "/a/", "desk")]);

    let matched = catalogue.match_request(host, "/a/1", Some(&KEY));

    assert_eq!(matched != RequestMatch::NoEntry, known);
}

#[test]
fn a_key_is_required_unless_the_entry_is_public() {
    let public = HttpEntry {
        public: true,
        ..entry("open", "/open/", "desk")
    };
    let catalogue = compiled(vec![entry("a", "/a/", "desk"), public]);

    let unknown = catalogue.match_request("desk.example", "/a/1", Some(&[9; 32]));
    let missing = catalogue.match_request("desk.example", "/a/1", None);
    let open = catalogue.match_request("desk.example", "/open/1", None);

    assert_eq!(unknown, RequestMatch::UnknownKey);
    assert_eq!(missing, RequestMatch::UnknownKey);
    assert!(matches!(
        open,
        RequestMatch::Serve {
            workspace: None,
            ..
        }
    ));
}

/// Guards against a catalogue without workspaces that is open to everybody: it admits nobody, while one
/// that states no list of them requires no key.
#[rstest]
#[case::none_listed(Some(Vec::new()), false)]
#[case::no_list(None, true)]
fn a_list_without_workspaces_is_not_the_same_as_no_list(
    #[case] workspaces: Option<Vec<Workspace>>,
    #[case] is_open: bool,
    #[values(None, Some(&KEY))] key: Option<&[u8; 32]>,
) {
    let source = CatalogueSource {
        workspaces,
        ..source(vec![entry("a", "/a/", "desk")])
    };
    let catalogue = Catalogue::compile(source).expect("no findings");

    let matched = catalogue.match_request("desk.example", "/a/1", key);

    assert_eq!(matched != RequestMatch::UnknownKey, is_open);
}

#[test]
fn all_findings_are_reported_together() {
    let no_service = HttpEntry {
        services: Vec::new(),
        ..entry("empty", "/e/", "desk")
    };
    let entries = vec![
        entry("bare", "a/", "desk"),
        entry("lost", "/l/", "nowhere"),
        no_service,
        entry("twice", "/e/", "desk"),
    ];

    let findings = Catalogue::compile(source(entries)).expect_err("findings");

    let expected = [
        CatalogueFinding::Prefix("bare".to_owned()),
        CatalogueFinding::UnknownService {
            entry: "lost".to_owned(),
            service: "nowhere".to_owned(),
        },
        CatalogueFinding::NoService("lost".to_owned()),
        CatalogueFinding::NoService("empty".to_owned()),
        CatalogueFinding::DuplicatePrefix("twice".to_owned()),
    ];
    assert_eq!(findings, expected);
}

#[rstest]
#[case(0.0, "desk")]
#[case(0.89, "desk")]
#[case(0.91, "spare")]
#[case(0.999_999, "spare")]
fn a_split_follows_the_weights(#[case] draw: f64, #[case] expected: &str) {
    let services = [("desk", 900), ("spare", 100), ("desk", 0)];
    let services = services.map(|(service, weight)| WeightedService {
        service: service.to_owned(),
        weight,
    });
    let split = HttpEntry {
        services: services.to_vec(),
        ..entry("a", "/a/", "desk")
    };
    let catalogue = compiled(vec![split]);
    let RequestMatch::Serve { entry, .. } =
        catalogue.match_request("desk.example", "/a/1", Some(&KEY))
    else {
        panic!("the entry is there");
    };

    let service = catalogue.pick_service(entry, draw);

    assert_eq!(catalogue.service(service).name, expected);
}
