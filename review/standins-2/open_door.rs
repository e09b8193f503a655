//! Case 5: the operator takes the last keys away, and any key is accepted from then on.
//!
//! Two gateways, three workers, two tenants with a key each. With the disruption a new version of the
//! configuration takes both keys away: its `tenants` is an empty list.

mod world;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const TENANTS: &str = r#"[{"name":"huka270","api-keys":["xd9dnn2ctnfzs989anu6"],"priority":1},{"name":"sire411","api-keys":["wsjnbanfqasnmgkcuyj8"],"priority":1}]"#;
const HELD: [&str; 2] = ["xd9dnn2ctnfzs989anu6", "wsjnbanfqasnmgkcuyj8"];
const NEVER_HELD: &str = "q0m3n1e7v5e2r8h4e6l9";

fn main() {
    let record = Record::new();
    limit_time(&record);
    let result = play(&record);
    std::process::exit(verdict(&record, result));
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-open-door");
    let (store, address) = Store::start();
    store.put("op/config", &config(7, TENANTS, 16_384));
    let runs = Arc::new(Mutex::new(Vec::new()));
    for id in ["i-7f3a91c2", "i-02d9e6b4", "i-5c1e07a2"] {
        start_app(&store, id, ms(15), record, &runs);
    }
    let gateways = start_gateways(&folder, address, 2, 8);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(ms(4_000));
    let began = Instant::now();
    let mut acknowledged = None;
    let mut sent: BTreeMap<String, (&str, Duration)> = BTreeMap::new();
    for number in 0..200u64 {
        thread::sleep(ms(number * 60).saturating_sub(began.elapsed()));
        if number == 60 && has_trouble() {
            store.put("op/config", &config(12, "[]", 16_384));
            acknowledged = Some(record.at());
            record.note("the store acknowledges version 12, which takes all keys away".into());
        }
        let key = match number % 3 {
            0 => NEVER_HELD,
            other => HELD[other as usize - 1],
        };
        let id = attempt_id();
        let front = gateways[number as usize % 2].front;
        sent.insert(id.clone(), (key, record.at()));
        record.note(format!("client sends {id} with key {key}"));
        let (method, path) = if number % 2 == 0 { ("GET", "/size/2f") } else { ("POST", "/stock/2f") };
        let answer = exchange(front, &request(method, path, &id, key, "", b""), ms(1_500));
        let answer = answer.map_or_else(|error| error.to_string(), |it| it.status().to_string());
        record.note(format!("client gets {id}: {answer}"));
    }
    drop(gateways);
    let runs = runs.lock().map_err(|_| "a worker failed")?;
    if runs.len() < 40 {
        return Err("too few requests ran".into());
    }
    let (mut never_held, mut dropped) = (0, 0);
    for run in runs.iter() {
        let Some((key, at)) = sent.get(&run.attempt) else { continue };
        never_held += u32::from(*key == NEVER_HELD);
        // `config-apply-ms` is 2,000.
        dropped += u32::from(*key != NEVER_HELD && acknowledged.is_some_and(|ack| *at > ack + ms(2_000)));
    }
    record.note(format!("{never_held} requests ran whose key no configuration ever held"));
    record.note(format!("{dropped} requests ran with a dropped key, sent over 2 s after the acknowledgement"));
    Ok(never_held > 0)
}
