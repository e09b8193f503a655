//! Case 8: a raised limit of heads is not in force on the connections that clients keep.
//!
//! Two gateways, three workers, 40 clients that keep their connections. With the disruption a new version
//! of the configuration raises `max-header-bytes`; three seconds after its acknowledgement each client
//! sends a request with a head that only the new version allows.

mod world;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;
use world::*;

const CLIENTS: usize = 40;
const TENANTS: &str = r#"[{"name":"huka270","api-keys":["key-a"],"priority":1}]"#;

fn main() {
    let record = Record::new();
    limit_time(&record);
    let result = play(&record);
    std::process::exit(verdict(&record, result));
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-limits");
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
    let mut clients = Vec::new();
    let (mut total, mut denied) = (0, 0);
    let mut ask = |stream: &mut TcpStream, note: &str| {
        let id = attempt_id();
        let answer = exchange_on(stream, &request("GET", "/size/2f", &id, "key-a", note, b""), Duration::from_secs(2));
        let (status, is_signed) = answer.map_or((0, false), |it| (it.status(), it.header("x-server-signature").is_some()));
        record.note(format!("client gets {id}: {status}"));
        total += 1;
        denied += usize::from(!is_signed && matches!(status, 300..=407 | 409..=420 | 422..=428 | 430..=499));
    };
    for number in 0..CLIENTS {
        let mut stream = TcpStream::connect(gateways[number % 2].front).map_err(|it| it.to_string())?;
        ask(&mut stream, "");
        clients.push(stream);
    }
    let mut note = String::new();
    if has_trouble() {
        store.put("op/config", &config(12, TENANTS, 65_536));
        record.note("the store acknowledges version 12, which raises max-header-bytes from 16384 to 65536".into());
        note = format!("X-Note: {}\r\n", "a".repeat(24_000));
    }
    // `config-apply-ms` is 2,000.
    thread::sleep(ms(3_000));
    for stream in &mut clients {
        ask(stream, &note);
    }
    for number in 0..CLIENTS {
        let mut stream = TcpStream::connect(gateways[number % 2].front).map_err(|it| it.to_string())?;
        record.note("on a new connection:".into());
        ask(&mut stream, &note);
    }
    drop(gateways);
    if total != 3 * CLIENTS || runs.lock().map_err(|_| "a worker failed")?.len() < CLIENTS {
        return Err("too few requests ran".into());
    }
    let allowed = 5 + total / 500;
    record.note(format!("{denied} of {total} requests ended with a 4xx of the system's own; {allowed} are allowed"));
    Ok(denied > allowed)
}
