//! Case 7: clients that the users do not control make a gateway exceed the memory of its machine.
//!
//! One gateway with 110 MB. The clients announce bodies of legal size, send the first piece and stay
//! open; their heads are within the limit of the configuration.

mod world;

use std::fs;
use std::io::Write;
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};
use world::*;

const CLIENTS: usize = 3_500;
/// How many of them act at the same time.
const THREADS: usize = 3_500;
const MEMORY_MB: u64 = 110;
/// The limits of the configuration.
const MAX_HEADER_BYTES: u32 = 16_384;
const MAX_BODY_BYTES: usize = 4_194_304;

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

fn head(number: usize) -> Vec<u8> {
    let mut head = format!("POST /stock/{number} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: crowd{number:06}\r\nX-Deadline-Ms: 30000\r\nAuthorization: Bearer key-a\r\nContent-Length: {MAX_BODY_BYTES}\r\n");
    for field in 0..95 {
        head.push_str(&format!("X-{field}: {}\r\n", "b".repeat(160)));
    }
    head.push_str("\r\n");
    assert!(head.len() <= MAX_HEADER_BYTES as usize);
    head.into_bytes()
}

fn play(record: &Arc<Record>) -> Result<bool, String> {
    let folder = Folder::new("review-heads");
    let (store, address) = Store::start();
    store.put("op/config", &config(7, r#"[{"name":"huka270","api-keys":["key-a"],"priority":1}]"#, MAX_HEADER_BYTES));
    let runs = Arc::new(Mutex::new(Vec::new()));
    for id in ["i-7f3a91c2", "i-02d9e6b4", "i-5c1e07a2"] {
        start_app(&store, id, ms(15), record, &runs);
    }
    let mut gateways = start_gateways(&folder, address, 1, 8);
    if !gateways.iter().all(Gateway::wait_until_ready) {
        return Err("a gateway is not ready".into());
    }
    thread::sleep(ms(4_000));
    let (front, process) = (gateways[0].front, gateways[0].child.id());
    record.note(format!("peak before: {} bytes", peak(process).ok_or("the peak cannot be read")?));
    let mut open: Vec<TcpStream> = Vec::new();
    if has_trouble() {
        record.note(format!("{CLIENTS} clients send a head of {} bytes, announce {MAX_BODY_BYTES} bytes, send 512 of them and stay open", head(0).len()));
        let crowd = (0..THREADS).map(|thread| {
            if thread % 50 == 0 {
                thread::sleep(ms(10));
            }
            thread::Builder::new().stack_size(128 * 1024).spawn(move || {
            let mut open = Vec::new();
            for number in (thread..CLIENTS).step_by(THREADS) {
                let Ok(mut stream) = TcpStream::connect_timeout(&front.into(), ms(8_000)) else { continue };
                let _ = stream.set_write_timeout(Some(ms(1_000)));
                let mut bytes = head(number);
                bytes.extend_from_slice(&[7; 512]);
                let _ = stream.write_all(&bytes);
                open.push(stream);
            }
            open
        })});
        for thread in crowd.collect::<Vec<_>>() {
            open.extend(thread.and_then(|it| it.join().map_err(|_| std::io::Error::other("a thread failed"))).unwrap_or_default());
        }
        record.note(format!("{} connections were opened", open.len()));
    }
    let began = Instant::now();
    let mut served = 0;
    while began.elapsed() < Duration::from_secs(5) {
        let id = attempt_id();
        let answer = exchange(front, &request("GET", "/size/2f", &id, "key-a", "", b""), ms(1_500));
        served += u32::from(answer.is_ok_and(|it| it.status() == 200));
        thread::sleep(ms(100));
    }
    let peak = peak(process);
    let is_running = gateways[0].is_running();
    drop(open);
    drop(gateways);
    let peak = peak.ok_or("the peak cannot be read")?;
    record.note(format!("ordinary requests served meanwhile: {served}"));
    record.note(format!("the process runs: {is_running}; its peak: {peak} bytes; its machine has {MEMORY_MB} MB"));
    // In mebibytes, the larger reading of the setting.
    Ok(peak > MEMORY_MB * 1_024 * 1_024 || !is_running)
}
