//! Case 8: a popular lookup is refused everywhere for minutes after three workers have crashed at once.
//!
//! Two gateways, twenty workers as processes of their own, 120 lookups a second that take 200 ms, a third
//! of them about one thing. With the disruption 0.15 of the workers, three, are killed at one moment,
//! while each of them runs that lookup, and are back under new ids after 4.5 s.

mod world;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicI32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const WORKERS: usize = 20;
const CRASHED: usize = 3;
const WORK_MS: u64 = 200;
const PER_SECOND: u64 = 120;
const REQUESTS: u64 = 120 * 24;
/// Of the requests, one in so many is about one thing.
const POPULAR: u64 = 3;
const POPULAR_PATH: &str = "/size/blazer-42";
/// When the workers crash, in seconds after the start of traffic.
const CRASH_AT: u64 = 6;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    if arguments.get(1).map(String::as_str) == Some("worker") {
        return work(&arguments[2]);
    }
    let record = Record::new();
    limit_time(&record);
    let result = play(&record);
    std::process::exit(verdict(&record, result));
}

/// A worker process. It prints its address, then `+` and `-` as runs of the popular lookup begin and end.
fn work(id: &str) {
    let name = id.to_owned();
    let address = serve(Ipv4Addr::LOCALHOST, move |mut stream| {
        while let Ok(Some(req)) = read_message(&mut stream) {
            let instance = format!("X-Instance-Id: {name}\r\n");
            if req.header("x-expect-instance").is_some_and(|it| it != name) {
                let _ = respond(&mut stream, "421 Misdirected Request", &instance, b"");
                continue;
            }
            if req.target() == "/healthz" {
                let _ = respond(&mut stream, "200 OK", &instance, b"");
                continue;
            }
            let attempt = req.header("x-attempt-id").unwrap_or_default();
            let is_popular = req.target() == POPULAR_PATH;
            if is_popular {
                println!("+");
            }
            thread::sleep(ms(WORK_MS));
            if is_popular {
                println!("-");
            }
            let head = format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{name}.{attempt}\r\nX-Server-Load: 1,0,6\r\n");
            if respond(&mut stream, "200 OK", &head, format!("stock of {attempt}\n").as_bytes()).is_err() {
                return;
            }
        }
    });
    println!("{address}");
    loop {
        thread::sleep(Duration::from_secs(3_600));
    }
}

/// A running worker, as its starter sees it.
struct Worker {
    process: Child,
    id: String,
    /// Runs of the popular lookup.
    runs: Arc<AtomicI32>,
    /// Whether it writes its entry.
    beats: Arc<AtomicBool>,
}

impl Drop for Worker {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

fn start_worker(store: &Arc<Store>, id: String) -> Result<Worker, String> {
    let own = std::env::current_exe().map_err(|it| it.to_string())?;
    let started = Command::new(own).args(["worker", &id]).stdin(Stdio::null()).stdout(Stdio::piped()).spawn();
    let mut process = started.map_err(|it| it.to_string())?;
    note_process(process.id());
    let output = process.stdout.take().ok_or("a worker has no output")?;
    let mut lines = BufReader::new(output).lines();
    let address = lines.next().and_then(Result::ok).and_then(|it| it.parse::<SocketAddrV4>().ok());
    let address = address.ok_or("a worker names no address")?;
    let runs = Arc::new(AtomicI32::new(0));
    let counted = Arc::clone(&runs);
    thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            counted.fetch_add(if line == "+" { 1 } else { -1 }, Ordering::Relaxed);
        }
    });
    let beats = Arc::new(AtomicBool::new(true));
    beat(store, &id, "counter-app", address, 6, Arc::clone(&beats));
    Ok(Worker { process, id, runs, beats })
}

/// One answer that a client got.
struct Answer {
    sent: Duration,
    is_popular: bool,
    status: u16,
    is_signed: bool,
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-hot");
    let (store, address) = Store::start();
    let settings = config(7, r#"[{"name":"huka270","api-keys":["key-a"],"priority":1}]"#, 16_384);
    let settings = settings.replace("\"latency-target-ms\":100", "\"latency-target-ms\":300");
    store.put("op/config", &settings.replace("\"timeout-ms\":800", "\"timeout-ms\":4000"));
    let mut workers = Vec::new();
    for number in 0..WORKERS {
        workers.push(start_worker(&store, format!("i-{number:04x}"))?);
    }
    let gateways = start_gateways(&folder, address, 2, 8);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(ms(4_000));
    let (began, started) = (Instant::now(), record.at());
    let answers: Arc<Mutex<Vec<Answer>>> = Arc::default();
    let mut clients = Vec::new();
    let mut crashed_at = None;
    for number in 0..REQUESTS {
        let at = ms(number * 1_000 / PER_SECOND);
        thread::sleep(at.saturating_sub(began.elapsed()));
        if at >= Duration::from_secs(CRASH_AT) && crashed_at.is_none() && has_trouble() {
            let at_work = workers.iter_mut().filter(|it| it.runs.load(Ordering::Relaxed) > 0);
            let mut crashing: Vec<&mut Worker> = at_work.take(CRASHED).collect();
            if crashing.len() == CRASHED {
                crashing.iter_mut().for_each(|it| drop(it.process.kill()));
                crashing.iter().for_each(|it| it.beats.store(false, Ordering::Relaxed));
                crashed_at = Some(record.at());
                let names: Vec<&str> = crashing.iter().map(|it| it.id.as_str()).collect();
                record.note(format!("workers {} crash", names.join(", ")));
                let (store, names) = (Arc::clone(&store), names.iter().map(|it| format!("servers/{it}")).collect::<Vec<_>>());
                thread::spawn(move || {
                    // The store drops an entry after three heartbeat intervals of silence.
                    thread::sleep(ms(3_600));
                    names.iter().for_each(|it| store.delete(it));
                });
            }
        }
        if crashed_at.is_some_and(|at| record.at() > at + ms(4_500)) && workers.len() == WORKERS {
            for number in 0..CRASHED {
                workers.push(start_worker(&store, format!("i-{:04x}", WORKERS + number))?);
            }
            record.note(format!("{CRASHED} workers are back"));
        }
        let is_popular = number % POPULAR == 0;
        let path = if is_popular { POPULAR_PATH.to_owned() } else { format!("/size/item-{number}") };
        let (front, answers) = (gateways[number as usize % 2].front, Arc::clone(&answers));
        let sent = record.at();
        clients.push(thread::spawn(move || {
            let request = request("GET", &path, &attempt_id(), "key-a", "", b"");
            let request = String::from_utf8_lossy(&request).replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 4000");
            let answer = exchange(front, request.as_bytes(), ms(4_500)).unwrap_or_default();
            let is_signed = answer.header("x-server-signature").is_some();
            let answer = Answer { sent, is_popular, status: answer.status(), is_signed };
            if let Ok(mut answers) = answers.lock() {
                answers.push(answer);
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    drop(gateways);
    drop(workers);
    if has_trouble() && crashed_at.is_none() {
        return Err("no three workers ran the popular lookup at one moment".into());
    }
    let answers = answers.lock().map_err(|_| "a client failed")?;
    let mut seconds: BTreeMap<(u64, bool, u16, bool), u32> = BTreeMap::new();
    for it in answers.iter() {
        let second = it.sent.saturating_sub(started).as_secs();
        *seconds.entry((second, it.is_popular, it.status, it.is_signed)).or_default() += 1;
    }
    for ((second, is_popular, status, is_signed), count) in seconds {
        let what = if is_popular { "the popular lookup" } else { "others" };
        let by = if is_signed { "a worker" } else { "the system" };
        record.note(format!("second {second:2}: {what}: {count} answers {status} by {by}"));
    }
    let denied = answers.iter().filter(|it| !it.is_signed && matches!(it.status, 300..=407 | 409..=420 | 422..=428 | 430..=499)).count();
    let allowed = 5 + answers.len() / 500;
    record.note(format!("{denied} of {} requests ended with a 4xx of the system's own; {allowed} are allowed", answers.len()));
    Ok(denied > allowed)
}
