//! Case 4: a request goes on at another engine while the one before still works on it.
//!
//! Eight engines, two gateways, 50 resumable streams a second. In each of six rounds one engine runs
//! out of memory and preempts some of its runs for 1.4 s, as the pages describe; with the disruption it is
//! grey as well for 6.5 s: 0.45 of the requests that reach it hang.

mod engine;
mod world;

use engine::{EngineConduct, Shared, start_engine, stream_config};
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const ENGINES: usize = 8;
const ROUNDS: usize = 6;
const STREAMS: u64 = 2_500;
const PER_SECOND: u64 = 50;

fn main() {
    let record = Record::new();
    limit_time(&record);
    let result = play(&record);
    std::process::exit(verdict(&record, result));
}

fn ask(front: SocketAddrV4, record: &Record) {
    let id = attempt_id();
    let headers = format!("X-Model: m\r\nX-Token-Usage: 800,60\r\nX-Prompt-Prefix: 1f:350,{}:450\r\n", &id[4..]);
    let request = request("POST", "/note/2f", &id, "key-a", &headers, id.as_bytes());
    let request = String::from_utf8_lossy(&request).replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 6000");
    record.note(format!("client sends {id}"));
    match exchange(front, request.as_bytes(), Duration::from_secs(7)) {
        Ok(answer) => {
            let events = String::from_utf8_lossy(&answer.body).matches("id: ").count();
            record.note(format!("client gets {id}: {}, {events} events", answer.status()));
        }
        Err(error) => record.note(format!("client gets {id}: {error}")),
    }
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-twice");
    let (store, address) = Store::start();
    store.put("op/config", &stream_config(7));
    let shared = Arc::new(Mutex::new(Shared::default()));
    let grey: Vec<Arc<AtomicBool>> = (0..ENGINES).map(|_| Arc::default()).collect();
    let memory: Vec<Arc<AtomicU64>> = (0..ENGINES).map(|_| Arc::default()).collect();
    for number in 0..ENGINES {
        let conduct = EngineConduct {
            events: 16,
            pace: ms(100),
            out_of_memory: Arc::clone(&memory[number]),
            preempt_for: ms(1_400),
            keeps: true,
            hang_share: 0.45,
            is_grey: Arc::clone(&grey[number]),
        };
        start_engine(&store, &format!("i-{number:04x}"), conduct, record, &shared);
    }
    let gateways = start_gateways(&folder, address, 2, 8);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("a gateway is not ready".into());
    }
    // The machines are in touch: `contact-ms` is 3,000.
    thread::sleep(ms(4_000));
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut preempted = 0;
    for number in 0..STREAMS {
        let at = ms(number * 1_000 / PER_SECOND);
        thread::sleep(at.saturating_sub(began.elapsed()));
        let (round, into) = (at.as_millis() as usize / 8_000, at.as_millis() % 8_000);
        let engine = round % ENGINES;
        if round < ROUNDS && into >= 1_200 && preempted == round {
            preempted += 1;
            record.note(format!("engine i-{engine:04x} runs out of memory"));
            memory[engine].fetch_add(1, Ordering::Relaxed);
        }
        let is_on = round < ROUNDS && into >= 1_500 && has_trouble();
        if is_on != grey[engine].load(Ordering::Relaxed) {
            record.note(format!("engine i-{engine:04x} is grey: {is_on}"));
            grey.iter().for_each(|it| it.store(false, Ordering::Relaxed));
            grey[engine].store(is_on, Ordering::Relaxed);
        }
        let (front, record) = (gateways[number as usize % 2].front, Arc::clone(record));
        clients.push(thread::spawn(move || ask(front, &record)));
    }
    for client in clients {
        let _ = client.join();
    }
    thread::sleep(ms(1_500));
    drop(gateways);
    let shared = shared.lock().map_err(|_| "an engine failed")?;
    if shared.works.len() < STREAMS as usize / 2 {
        return Err("too few requests ran".into());
    }
    let mut broken = 0;
    for first in &shared.works {
        let is_next = |it: &&engine::Work| it.attempt == first.attempt && it.engine != first.engine && it.began > first.began;
        let Some(next) = shared.works.iter().find(is_next) else { continue };
        let beside = first.made.saturating_duration_since(next.began);
        if beside.is_zero() {
            continue;
        }
        record.note(format!("{} went on at {}; {} made its last event of it {} ms later", first.attempt, next.engine, first.engine, beside.as_millis()));
        broken += u32::from(beside > ms(400));
    }
    record.note(format!("{broken} requests went on at another engine while the one before still made events of them over 400 ms later"));
    Ok(broken > 0)
}
