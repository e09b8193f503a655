//! One JSON line for each seed.

use super::SoakConfig;
use super::check::{Evidence, Rule, Violation, check};
use super::record::{Kind, Outcome, Sent, What};
use serde_json::{Map, Value, json};

/// What came of a seed.
#[derive(Clone, Debug)]
pub struct Report {
    line: Value,
    /// The rules that were broken, each time.
    pub violations: Vec<Violation>,
    /// Requests that were served to their end.
    pub served: usize,
}

impl Report {
    /// Checks what was seen and counts it.
    pub fn new(cfg: &SoakConfig, seen: &Evidence) -> Report {
        let violations = check(seen, cfg.patience);
        let broken = |rule: Rule| violations.iter().filter(|it| it.rule() == rule).count();
        let rules = Rule::ALL.map(|rule| (rule.word().to_owned(), json!(broken(rule))));
        let served = seen.requests.iter().filter(|it| is_served(it)).count();
        let line = json!({
            "seed": cfg.seed,
            "instances": cfg.instances,
            "seconds": cfg.time.as_secs(),
            "requests": Value::Object(requests(seen)),
            "probes": seen.probes.len(),
            "faults": Value::Object(faults(seen)),
            "violations": Value::Object(rules.into_iter().collect()),
        });
        Report {
            line,
            violations,
            served,
        }
    }

    /// Returns the line.
    pub fn line(&self) -> String {
        self.line.to_string()
    }
}

fn is_served(sent: &Sent) -> bool {
    matches!(&sent.outcome, Outcome::Answer(answer) if answer.status == 200 && answer.complete)
}

/// Counts requests by kind and by what came of them.
fn requests(seen: &Evidence) -> Map<String, Value> {
    let of_kind = |kind: Kind| {
        let all = seen.requests.iter().filter(move |it| it.kind == kind);
        let mut counts = Map::new();
        for sent in all {
            let word = match &sent.outcome {
                Outcome::Answer(answer) if !answer.complete => "cut".to_owned(),
                Outcome::Answer(answer) => answer.status.to_string(),
                Outcome::Broken => "broken".to_owned(),
                Outcome::NoConnection => "no_connection".to_owned(),
                Outcome::Left => "left".to_owned(),
                Outcome::OutOfTime => "out_of_time".to_owned(),
            };
            add_one(&mut counts, word);
        }
        (kind.word().to_owned(), Value::Object(counts))
    };
    Kind::ALL.map(of_kind).into_iter().collect()
}

fn faults(seen: &Evidence) -> Map<String, Value> {
    let mut counts = Map::new();
    for happened in &seen.timeline {
        let word = match &happened.what {
            What::Fault { kind, .. } => format!("{kind:?}"),
            What::Published(_) => "Published".to_owned(),
            What::Leaves(_) => "Leaves".to_owned(),
            What::Announces(_) => "Announces".to_owned(),
        };
        add_one(&mut counts, word);
    }
    counts
}

fn add_one(counts: &mut Map<String, Value>, word: String) {
    let count = counts.get(&word).and_then(Value::as_u64).unwrap_or(0);
    counts.insert(word, json!(count + 1));
}
