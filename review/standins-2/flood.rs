//! Case 6: one engine in trouble makes a gateway exceed the memory of its machine.
//!
//! One gateway with 110 MB, nine engines, 40 streams at a time. With the disruption one engine sends, after
//! the head of each response, bytes that are no answer, without end; there is a blank line among them
//! every 768 KiB. The clients read 1.25 MB a second, a link of 10 Mbit/s.

mod engine;
mod world;

use engine::{EngineConduct, Shared, start_engine, stream_config};
use std::fs;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const ENGINES: usize = 9;
const CLIENTS: usize = 40;
/// What a client reads in a second, in bytes.
const CLIENT_RATE: f64 = 1_250_000.0;
const MEMORY_MB: u64 = 110;
/// Bytes between two blank lines.
const BLOCK_BYTES: usize = 768 * 1_024;

fn main() {
    let record = Record::new();
    limit_time(&record);
    let result = play(&record);
    std::process::exit(verdict(&record, result));
}

/// The most memory that a process has had resident, in bytes.
fn peak(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|it| it.starts_with("VmHWM:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes * 1_024)
}

/// Starts the engine in trouble.
fn start_flooding(store: &Arc<Store>, id: &str, record: &Arc<Record>, sent: &Arc<AtomicU64>) {
    let (name, log, sent) = (id.to_owned(), Arc::clone(record), Arc::clone(sent));
    let address = serve(Ipv4Addr::LOCALHOST, move |mut stream| {
        let Ok(Some(req)) = read_message(&mut stream) else { return };
        if req.target() == "/kv-move" {
            let _ = respond(&mut stream, "404 Not Found", "", b"{}");
            return;
        }
        if !req.target().starts_with("/note/") {
            let _ = respond(&mut stream, "200 OK", &format!("X-Instance-Id: {name}\r\n"), b"{}");
            return;
        }
        let attempt = req.header("x-attempt-id").unwrap_or_default();
        log.note(format!("engine {name}: runs {attempt} and sends bytes without end"));
        let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{name}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n");
        let mut block = format!("{:x}\r\n", BLOCK_BYTES + 2).into_bytes();
        block.extend((0..BLOCK_BYTES).map(|it| b'a' + (it % 23) as u8));
        block.extend_from_slice(b"\n\n\r\n");
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        while stream.write_all(&block).is_ok() {
            sent.fetch_add(block.len() as u64, Ordering::Relaxed);
        }
        log.note(format!("engine {name}: the caller of {attempt} has closed"));
    });
    beat(store, id, "advisor-llm", address, 32, Arc::new(AtomicBool::new(true)));
}

/// Sends one request and reads its answer at the client's rate.
fn ask(front: SocketAddrV4, record: &Record) {
    let id = attempt_id();
    let headers = format!("X-Model: m\r\nX-Token-Usage: 800,60\r\nX-Prompt-Prefix: 1f:350,{}:450\r\n", &id[4..]);
    let request = request("POST", "/note/2f", &id, "key-a", &headers, id.as_bytes());
    let request = String::from_utf8_lossy(&request).replace("X-Deadline-Ms: 1500", "X-Deadline-Ms: 6000");
    record.note(format!("client sends {id}"));
    let Ok(mut stream) = TcpStream::connect(front) else { return };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(7)));
    let (mut total, mut buf) = (0, vec![0; 16 * 1_024]);
    let gives_up = Instant::now() + ms(6_500);
    if stream.write_all(request.as_bytes()).is_ok() {
        while Instant::now() < gives_up && let Ok(length) = stream.read(&mut buf) {
            total += length;
            if length == 0 || buf[..length].ends_with(b"0\r\n\r\n") {
                break;
            }
            thread::sleep(Duration::from_secs_f64(length as f64 / CLIENT_RATE));
        }
    }
    record.note(format!("client gets {id}: {total} bytes"));
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-flood");
    let (store, address) = Store::start();
    store.put("op/config", &stream_config(7));
    let shared = Arc::new(Mutex::new(Shared::default()));
    let sent = Arc::new(AtomicU64::new(0));
    for number in 0..ENGINES {
        let id = format!("i-{number:04x}");
        if number == 4 && has_trouble() {
            start_flooding(&store, &id, record, &sent);
            continue;
        }
        let conduct = EngineConduct {
            events: 16,
            pace: ms(100),
            out_of_memory: Arc::default(),
            preempt_for: ms(0),
            keeps: false,
            hang_share: 0.0,
            is_grey: Arc::default(),
        };
        start_engine(&store, &id, conduct, record, &shared);
    }
    let mut gateways = start_gateways(&folder, address, 1, 8);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(ms(4_000));
    let (front, process) = (gateways[0].front, gateways[0].child.id());
    record.note(format!("peak before: {} bytes", peak(process).ok_or("the peak cannot be read")?));
    let ends = Instant::now() + Duration::from_secs(12);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                while Instant::now() < ends {
                    ask(front, &record);
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let is_running = gateways[0].is_running();
    let peak = peak(process);
    drop(gateways);
    let peak = peak.ok_or("the peak cannot be read")?;
    record.note(format!("the engine in trouble sent {} bytes", sent.load(Ordering::Relaxed)));
    record.note(format!("the process runs: {is_running}; its peak: {peak} bytes; its machine has {MEMORY_MB} MB"));
    // In mebibytes, the larger reading of the setting.
    Ok(peak > MEMORY_MB * 1_024 * 1_024 || !is_running)
}
