//! Odd entries in the published list: one entry that cannot be read must neither hide the others
//! nor count as the removal of what it describes.

use oriolemux_core::event::{Action, Event, ValueName};
use oriolemux_core::ids::{EndpointKey, Incarnation};
use oriolemux_core::time::Time;
use oriolemux_core::{Node, NodeConfig};
use rstest::rstest;
use std::time::Duration;

/// Nesting that overflows the stack of a recursive reader.
const DEEP: usize = 60_000;

/// A reader that recurses into an entry overflows this stack at a tenth of [`DEEP`].
const SMALL_STACK: usize = 256 * 1024;

/// Length of a string that fills most of a value.
const HUGE: usize = 900_000;

/// Maximum number of lines about the entries of one list.
const MAX_LINES: usize = 16;

/// Maximum number of bytes of a reason in a line.
const MAX_REASON: usize = 400;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Instance,
    Endpoint,
}

/// A node that reads the published list `instances`.
struct Reader {
    node: Node,
    now: Time,
    /// The revision of the next list.
    revision: u64,
}

impl Reader {
    fn new() -> Self {
        let cfg = NodeConfig::new("i1", Incarnation(1), "dc", 7);
        let mut node = Node::new(cfg);
        node.start(Time::ZERO, &mut Vec::new());
        let now = Time::from_secs(2);
        node.handle(now, Event::Wake, &mut Vec::new());
        let revision = 1;
        Reader {
            node,
            now,
            revision,
        }
    }

    /// Delivers the bytes of a list and returns the notes about it as text.
    fn bytes(&mut self, bytes: Vec<u8>) -> Vec<String> {
        self.now += Duration::from_secs(1);
        let mut actions = Vec::new();
        let event = Event::Value {
            name: ValueName::Instances,
            revision: 1,
            bytes,
        };
        self.node.handle(self.now, event, &mut actions);
        let notes = actions.into_iter().filter_map(|it| match it {
            Action::Note(note) => Some(format!("{note:?}")),
            _ => None,
        });
        notes.collect()
    }

    /// Delivers the next revision with these entries.
    fn list(&mut self, entries: &Entries) -> Vec<String> {
        let bytes = entries.list(self.revision);
        self.revision += 1;
        self.bytes(bytes)
    }

    fn knows(&self, endpoint: &str) -> bool {
        self.node.endpoint_name(EndpointKey::of(endpoint)).is_some()
    }

    fn other_instances(&self) -> Vec<String> {
        let links = self.node.snapshot().links;
        links.into_iter().map(|(name, _)| name).collect()
    }
}

/// The entries of a list as bytes of JSON.
#[derive(Clone)]
struct Entries {
    instances: Vec<Vec<u8>>,
    endpoints: Vec<Vec<u8>>,
}

impl Entries {
    /// Returns five instances and five endpoints.
    fn sound() -> Self {
        let names = 1..=5;
        Entries {
            instances: names.clone().map(|n| instance(&format!("i{n}"))).collect(),
            endpoints: names.map(|n| endpoint(&format!("e{n}"))).collect(),
        }
    }

    fn of(&mut self, kind: Kind) -> &mut Vec<Vec<u8>> {
        match kind {
            Kind::Instance => &mut self.instances,
            Kind::Endpoint => &mut self.endpoints,
        }
    }

    /// Returns these entries with the third one of `kind` replaced.
    fn with(&self, kind: Kind, odd: &[u8]) -> Self {
        let mut entries = self.clone();
        entries.of(kind)[2] = odd.to_vec();
        entries
    }

    fn list(&self, revision: u64) -> Vec<u8> {
        let mut out = format!("{{\"revision\":{revision},\"instances\":[").into_bytes();
        out.extend(self.instances.join(&b','));
        out.extend(b"],\"endpoints\":[");
        out.extend(self.endpoints.join(&b','));
        out.extend(b"]}");
        out
    }
}

fn instance(name: &str) -> Vec<u8> {
    let addresses = r#""address":"127.0.0.1:7000","peer_address":"127.0.0.1:7001""#;
    format!(r#"{{"name":"{name}",{addresses},"data_centre":"dc","state":"live"}}"#).into_bytes()
}

fn endpoint(name: &str) -> Vec<u8> {
    let rest = r#""data_centre":"dc","kind":"model","serves":["m"],"state":"live""#;
    format!(r#"{{"name":"{name}","address":"127.0.0.1:7002",{rest}}}"#).into_bytes()
}

/// Returns the sound entry of `kind` with `from` replaced by `to`.
fn edited(kind: Kind, from: &str, to: &str) -> Vec<u8> {
    let sound = match kind {
        Kind::Instance => instance("i3"),
        Kind::Endpoint => endpoint("e3"),
    };
    let sound = String::from_utf8(sound).unwrap();
    assert!(sound.contains(from), "{from}");
    sound.replacen(from, to, 1).into_bytes()
}

fn own_port(kind: Kind) -> &'static str {
    match kind {
        Kind::Instance => ":7000",
        Kind::Endpoint => ":7002",
    }
}

/// Returns entries that cannot be read, each with what it is.
fn unreadable(kind: Kind) -> Vec<(&'static str, Vec<u8>)> {
    let port = |to: &str| edited(kind, own_port(kind), to);
    let state = |to: &str| edited(kind, "\"live\"", to);
    let deep = |open: &str, close: &str| format!("{}{}", open.repeat(DEEP), close.repeat(DEEP));
    let name = match kind {
        Kind::Instance => "\"i3\"",
        Kind::Endpoint => "\"e3\"",
    };
    let mut table = vec![
        ("a port of 70,000", port(":70000")),
        ("port 0", port(":0")),
        ("no port", port("")),
        ("null", b"null".to_vec()),
        ("an empty array", b"[]".to_vec()),
        ("an empty object", b"{}".to_vec()),
        ("a string", b"\"e3\"".to_vec()),
        ("a number", b"7".to_vec()),
        ("1e999", b"1e999".to_vec()),
        ("an integer past any type", "9".repeat(400).into_bytes()),
        ("a negative number", b"-1".to_vec()),
        ("nested arrays", deep("[", "]").into_bytes()),
        ("nested objects", {
            let open = "{\"a\":".repeat(DEEP);
            format!("{open}1{}", "}".repeat(DEEP)).into_bytes()
        }),
        ("a nested state", state(&deep("[", "]"))),
        ("a state of 1e999", state("1e999")),
        ("an unknown state", state("\"resting\"")),
        ("no name", edited(kind, "\"name\"", "\"nom\"")),
        ("a name of null", edited(kind, name, "null")),
        (
            "no data centre",
            edited(kind, "\"data_centre\"", "\"centre\""),
        ),
        (
            "a data centre of a wrong type",
            edited(kind, "\"dc\"", "-3"),
        ),
        (
            "a key twice",
            edited(kind, "\"name\"", "\"name\":\"x\",\"name\""),
        ),
        ("a lone surrogate", edited(kind, "\"dc\"", r#""\ud800""#)),
        ("an unknown state of great length", {
            state(&format!("\"{}\"", "x".repeat(HUGE)))
        }),
    ];
    let mut no_text = edited(kind, "\"dc\"", "\"dc?\"");
    let at = no_text.iter().position(|it| *it == b'?').unwrap();
    no_text[at] = 0xff;
    table.push(("no UTF-8", no_text));
    if kind == Kind::Endpoint {
        let serves = |to: &str| edited(kind, "[\"m\"]", to);
        table.push(("serves nested", serves(&deep("[", "]")).clone()));
        table.push(("serves null", serves("null")));
        table.push(("an unknown kind", edited(kind, "\"model\"", "\"oracle\"")));
    }
    table
}

/// Returns entries that are unusual and can be read.
fn readable(kind: Kind) -> Vec<(&'static str, Vec<u8>)> {
    let with = |field: String| edited(kind, "\"state\"", &format!("{field},\"state\""));
    let deep = format!("{}{}", "[".repeat(DEEP), "]".repeat(DEEP));
    vec![
        ("a nested unknown field", with(format!("\"x\":{deep}"))),
        ("an unknown field of 1e999", with("\"x\":1e999".to_owned())),
        (
            "a lone surrogate in an unknown field",
            with(r#""x":"\udc00""#.to_owned()),
        ),
        (
            "a huge unknown field",
            with(format!("\"x\":\"{}\"", "x".repeat(HUGE))),
        ),
        ("an unknown field of null", with("\"x\":null".to_owned())),
    ]
}

/// Runs a test on a stack that a reader which recurses into an entry overflows.
fn on_a_small_stack(test: impl FnOnce() + Send + 'static) {
    let thread = std::thread::Builder::new().stack_size(SMALL_STACK);
    thread.spawn(test).unwrap().join().unwrap();
}

fn about_entries(notes: &[String]) -> Vec<&String> {
    let about = notes.iter().filter(|it| it.contains("ListEntryUnreadable"));
    about.collect()
}

/// Checks that one line names the third entry of `kind` and gives a reason of bounded length.
fn assert_named(what: &str, kind: Kind, notes: &[String]) {
    let lines = about_entries(notes);
    assert_eq!(lines.len(), 1, "{what}: {notes:?}");
    let place = match kind {
        Kind::Instance => "instances[2]",
        Kind::Endpoint => "endpoints[2]",
    };
    assert!(lines[0].contains(place), "{what}: {}", lines[0]);
    assert!(lines[0].len() < MAX_REASON, "{what}: {}", lines[0].len());
    assert!(!notes.iter().any(|it| it == "PlatformDown"), "{what}");
}

/// A new instance had no list at all while one entry could not be read.
#[rstest]
#[case(Kind::Instance)]
#[case(Kind::Endpoint)]
fn a_first_list_is_used_without_the_entry_that_cannot_be_read(#[case] kind: Kind) {
    on_a_small_stack(move || {
        for (what, odd) in unreadable(kind) {
            let mut reader = Reader::new();

            let notes = reader.list(&Entries::sound().with(kind, &odd));

            assert_eq!(reader.node.snapshot().list_revision, 1, "{what}: {notes:?}");
            assert_named(what, kind, &notes);
            for n in [1, 2, 3, 4, 5] {
                let is_odd = kind == Kind::Endpoint && n == 3;
                assert_eq!(reader.knows(&format!("e{n}")), !is_odd, "{what}: e{n}");
            }
            let expected: &[&str] = match kind {
                Kind::Instance => &["i2", "i4", "i5"],
                Kind::Endpoint => &["i2", "i3", "i4", "i5"],
            };
            assert_eq!(reader.other_instances(), expected, "{what}");
        }
    });
}

/// A fleet followed no change of the list for as long as one entry could not be read, and the entry
/// must not count as the removal of what it describes.
#[rstest]
#[case(Kind::Instance)]
#[case(Kind::Endpoint)]
fn a_later_list_is_followed_and_what_cannot_be_read_is_kept_out_of_use(#[case] kind: Kind) {
    on_a_small_stack(move || {
        for (what, odd) in unreadable(kind) {
            let mut reader = Reader::new();
            reader.list(&Entries::sound());
            let live = reader.node.snapshot().live_instances;
            let mut next = Entries::sound().with(kind, &odd);
            next.endpoints.push(endpoint("e6"));

            let notes = reader.list(&next);

            assert_eq!(reader.node.snapshot().list_revision, 2, "{what}: {notes:?}");
            assert_named(what, kind, &notes);
            assert!(reader.knows("e6"), "{what}");
            assert!((1..=5).all(|n| reader.knows(&format!("e{n}"))), "{what}");
            let everyone = ["i2", "i3", "i4", "i5"];
            assert_eq!(reader.other_instances(), everyone, "{what}");
            let gets_no_work = notes.iter().filter(|it| it.contains("EndpointLeaving"));
            let without_work = usize::from(kind == Kind::Endpoint);
            assert_eq!(gets_no_work.count(), without_work, "{what}: {notes:?}");
            let without_home = u32::from(kind == Kind::Instance);
            let homes = reader.node.snapshot().live_instances;
            assert_eq!(homes, live - without_home, "{what}");

            // The same entry in the next list is no change.
            next.endpoints.push(endpoint("e7"));
            let notes = reader.list(&next);
            assert!(about_entries(&notes).is_empty(), "{what}: {notes:?}");
            assert!(reader.knows("e7") && reader.knows("e3"), "{what}");

            // It can be read again.
            let notes = reader.list(&Entries::sound());
            assert!(about_entries(&notes).is_empty(), "{what}: {notes:?}");
            assert_eq!(reader.node.snapshot().live_instances, live, "{what}");

            // It is removed.
            let mut without = Entries::sound();
            without.of(kind).remove(2);
            reader.list(&without);
            assert_eq!(reader.knows("e3"), kind == Kind::Instance, "{what}");
            let knows = reader.other_instances().contains(&"i3".to_owned());
            assert_eq!(knows, kind == Kind::Endpoint, "{what}");
        }
    });
}

/// Entries that can be read are used, however unusual their unknown fields are.
#[rstest]
#[case(Kind::Instance)]
#[case(Kind::Endpoint)]
fn an_unusual_entry_that_can_be_read_is_used(#[case] kind: Kind) {
    on_a_small_stack(move || {
        for (what, odd) in readable(kind) {
            let mut reader = Reader::new();

            let notes = reader.list(&Entries::sound().with(kind, &odd));

            assert_eq!(reader.node.snapshot().list_revision, 1, "{what}: {notes:?}");
            assert!(about_entries(&notes).is_empty(), "{what}: {notes:?}");
            assert!(reader.knows("e3"), "{what}");
            assert_eq!(reader.other_instances().len(), 4, "{what}");
        }
    });
}

/// An unreadable entry with the name of a readable one must not take that one out of use.
#[test]
fn an_unreadable_duplicate_changes_nothing_about_the_readable_entry() {
    let mut reader = Reader::new();
    reader.list(&Entries::sound());
    let mut next = Entries::sound();
    next.endpoints
        .push(edited(Kind::Endpoint, ":7002", ":70000"));

    let notes = reader.list(&next);

    assert_eq!(reader.node.snapshot().list_revision, 2);
    assert_eq!(about_entries(&notes).len(), 1, "{notes:?}");
    assert!(!notes.iter().any(|it| it.contains("EndpointLeaving")));
}

/// While an entry without a readable name stays, at most one missing endpoint may be the one that
/// it describes: else the list would grow with every endpoint that is replaced.
#[test]
fn an_entry_without_a_name_keeps_at_most_one_missing_endpoint() {
    let mut reader = Reader::new();
    let mut entries = Entries::sound();
    entries.endpoints.push(b"null".to_vec());
    reader.list(&entries);

    for revision in 2..=30 {
        entries.endpoints.remove(0);
        let name = format!("e{}", revision + 4);
        entries.endpoints.insert(4, endpoint(&name));
        reader.list(&entries);

        assert_eq!(reader.node.snapshot().list_revision, revision);
        let missing = (1..revision).filter(|n| reader.knows(&format!("e{n}")));
        assert_eq!(missing.count(), 1, "{revision}");
        assert!(reader.knows(&name));
    }
}

/// A writer that makes most entries unreadable must not take most of the fleet out of use.
#[rstest]
#[case(Kind::Instance)]
#[case(Kind::Endpoint)]
fn a_list_of_which_most_cannot_be_read_is_quarantined(#[case] kind: Kind) {
    let mut reader = Reader::new();
    reader.list(&Entries::sound());
    let mut odd = Entries::sound();
    for entry in &mut odd.of(kind)[1..] {
        let text = String::from_utf8(entry.clone()).unwrap();
        *entry = text.replace(own_port(kind), ":70000").into_bytes();
    }

    let notes = reader.list(&odd);

    assert_eq!(reader.node.snapshot().list_revision, 1, "{notes:?}");
    assert!(notes.iter().any(|it| it.contains("ListQuarantined")));
    assert_eq!(about_entries(&notes).len(), 4, "{notes:?}");
    assert_eq!(reader.node.snapshot().live_instances, 5);
}

/// Thousands of odd entries in one list must not flood the log.
#[test]
fn the_lines_about_one_list_are_bounded() {
    let mut reader = Reader::new();
    let mut entries = Entries::sound();
    entries.endpoints.extend(vec![b"0".to_vec(); 400_000]);

    let notes = reader.list(&entries);

    assert_eq!(reader.node.snapshot().list_revision, 1);
    assert_eq!(about_entries(&notes).len(), MAX_LINES);
    assert!(about_entries(&notes)[0].contains("400000"), "{notes:?}");
    assert!(reader.knows("e5"));
}

/// A list whose outer form cannot be read was told as a platform that does not answer, and no line
/// said why.
#[test]
fn a_list_that_is_unreadable_as_a_whole_is_told_as_that() {
    on_a_small_stack(|| {
        let nested = "[".repeat(DEEP);
        let sound = String::from_utf8(Entries::sound().list(1)).unwrap();
        let as_object = r#"{"revision":9,"instances":{},"endpoints":[]}"#;
        let table = [
            ("empty", String::new()),
            ("cut off", sound[..sound.len() / 2].to_owned()),
            ("an array", "[]".to_owned()),
            (
                "no revision",
                r#"{"instances":[],"endpoints":[]}"#.to_owned(),
            ),
            (
                "a revision of 1e999",
                r#"{"revision":1e999,"instances":[]}"#.to_owned(),
            ),
            ("instances are an object", as_object.to_owned()),
            (
                "unclosed nesting",
                format!(r#"{{"revision":9,"endpoints":[{nested}"#),
            ),
            (
                "unclosed nesting of an unknown field",
                format!(r#"{{"x":{nested}"#),
            ),
        ];
        for (what, bytes) in table {
            let mut reader = Reader::new();
            reader.list(&Entries::sound());

            let notes = reader.bytes(bytes.clone().into_bytes());

            let told = |notes: &[String]| {
                let told = notes.iter().filter(|it| it.contains("ListUnreadable"));
                told.count()
            };
            assert_eq!(told(&notes), 1, "{what}: {notes:?}");
            assert!(!notes.iter().any(|it| it == "PlatformDown"), "{what}");
            assert_eq!(reader.node.snapshot().list_revision, 1, "{what}");

            let notes = reader.bytes(bytes.into_bytes());
            assert_eq!(told(&notes), 0, "{what}: {notes:?}");

            let notes = reader.list(&Entries::sound());
            assert_eq!(reader.node.snapshot().list_revision, 2, "{what}");
            assert!(!notes.iter().any(|it| it == "PlatformUp"), "{what}");
        }
    });
}
