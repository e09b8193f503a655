//! Engines of the model service, as the pages describe them.
#![allow(dead_code)]

use crate::world::*;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The work of one engine on one client attempt.
#[derive(Clone, Debug)]
pub struct Work {
    pub engine: String,
    pub attempt: String,
    pub began: Instant,
    /// When it made its last event.
    pub made: Instant,
    pub ended: Option<Instant>,
}

#[derive(Default)]
pub struct Shared {
    pub works: Vec<Work>,
    /// Copies: holder and handle, with the attempt and the engine that got it.
    copies: BTreeMap<(SocketAddrV4, String), (String, String)>,
    /// Runs that were ordered to stop, by engine and attempt.
    stopped: BTreeSet<(String, String)>,
    addresses: BTreeMap<SocketAddrV4, String>,
    handles: u64,
    random: u64,
}

impl Shared {
    fn is_running(&self, engine: &str, attempt: &str) -> bool {
        self.works.iter().any(|it| it.engine == engine && it.attempt == attempt && it.ended.is_none())
    }

    /// A number below one from a fixed seed.
    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) as f64 / (1u64 << 31) as f64
    }
}

#[derive(Clone)]
pub struct EngineConduct {
    pub events: u64,
    pub pace: Duration,
    /// Rises when memory runs out: the engine then preempts what runs there, but for the oldest two.
    pub out_of_memory: Arc<AtomicU64>,
    /// For how long a preempted generation makes no event.
    pub preempt_for: Duration,
    /// Whether it goes on with a request whose connection closes.
    pub keeps: bool,
    /// The share of its requests that hang while this is set.
    pub hang_share: f64,
    pub is_grey: Arc<AtomicBool>,
}

pub fn start_engine(store: &Arc<Store>, id: &str, conduct: EngineConduct, record: &Arc<Record>, shared: &Arc<Mutex<Shared>>) -> SocketAddrV4 {
    let (name, log, all, how) = (id.to_owned(), Arc::clone(record), Arc::clone(shared), conduct);
    let address = serve(Ipv4Addr::LOCALHOST, move |mut stream| {
        let Ok(Some(req)) = read_message(&mut stream) else { return };
        let own = stream.local_addr().ok();
        let instance = format!("X-Instance-Id: {name}\r\n");
        if req.header("x-expect-instance").is_some_and(|it| it != name) {
            let _ = respond(&mut stream, "421 Misdirected Request", &instance, b"");
            return;
        }
        if req.target() == "/healthz" {
            let _ = respond(&mut stream, "200 OK", &instance, b"");
            return;
        }
        let hangs = how.is_grey.load(Ordering::Relaxed) && all.lock().unwrap().draw() < how.hang_share;
        if hangs {
            log.note(format!("engine {name}: {} {} hangs", req.method(), req.target()));
            let _ = stream.set_read_timeout(Some(Duration::from_secs(8)));
            let mut buf = [0; 16];
            let _ = std::io::Read::read(&mut stream, &mut buf);
            return;
        }
        if req.target() == "/kv-move" {
            let Some(std::net::SocketAddr::V4(own)) = own else { return };
            return order(&mut stream, &req, &name, own, &log, &all);
        }
        if req.target().starts_with("/kv-handle/") {
            let _ = respond(&mut stream, "200 OK", "", b"{}");
            return;
        }
        generate(&mut stream, &req, &name, &how, &log, &all);
    });
    shared.lock().unwrap().addresses.insert(address, id.to_owned());
    beat(store, id, "advisor-llm", address, 24, Arc::new(AtomicBool::new(true)));
    address
}

fn text_field(body: &str, name: &str) -> Option<String> {
    let at = body.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = body[at..].trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => rest.split('"').next().map(str::to_owned),
        None => rest.split([',', '}']).next().map(|it| it.trim().to_owned()),
    }
}

fn order(stream: &mut TcpStream, req: &Message, name: &str, own: SocketAddrV4, log: &Record, all: &Mutex<Shared>) {
    let body = String::from_utf8_lossy(&req.body).into_owned();
    let id = text_field(&body, "id").unwrap_or_default();
    let stops = text_field(&body, "latest").as_deref() == Some("true");
    let target = text_field(&body, "target").and_then(|it| it.parse().ok());
    let mut shared = all.lock().unwrap();
    if !shared.is_running(name, &id) {
        drop(shared);
        log.note(format!("engine {name}: order for {id}, no such run"));
        let _ = respond(stream, "404 Not Found", "", b"{}");
        return;
    }
    if stops {
        shared.stopped.insert((name.to_owned(), id.clone()));
        for work in shared.works.iter_mut().filter(|it| it.engine == name && it.attempt == id && it.ended.is_none()) {
            work.ended = Some(Instant::now());
        }
    }
    shared.handles += 1;
    let handle = shared.handles.to_string();
    let holder = target.and_then(|it: SocketAddrV4| shared.addresses.get(&it).cloned()).unwrap_or_default();
    shared.copies.insert((own, handle.clone()), (id.clone(), holder));
    drop(shared);
    log.note(format!("engine {name}: order for {id} carried out, stops: {stops}"));
    let _ = respond(stream, "200 OK", "Content-Type: application/json\r\n", format!("{{\"cache-handle\":\"{handle}\",\"created\":1}}").as_bytes());
}

fn generate(stream: &mut TcpStream, req: &Message, name: &str, how: &EngineConduct, log: &Record, all: &Mutex<Shared>) {
    let attempt = req.header("x-attempt-id").unwrap_or_default();
    let from = req.header("last-event-id").and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let now = Instant::now();
    {
        let mut shared = all.lock().unwrap();
        if let Some(copy) = req.header("kv-from") {
            let (address, handle) = copy.split_once('/').unwrap_or(("", ""));
            let key = address.parse().ok().map(|it| (it, handle.to_owned()));
            let found = key.and_then(|it| shared.copies.remove(&it));
            if !found.is_some_and(|(id, _)| id == attempt) {
                drop(shared);
                let _ = respond(stream, "503 Service Unavailable", "X-Not-Executed: 1\r\n", b"");
                return;
            }
        }
        shared.stopped.remove(&(name.to_owned(), attempt.clone()));
        shared.works.push(Work { engine: name.to_owned(), attempt: attempt.clone(), began: now, made: now, ended: None });
    };
    let mut seen = how.out_of_memory.load(Ordering::Relaxed);
    log.note(format!("engine {name}: runs {attempt} after event {from}"));
    let stopped = || all.lock().unwrap().stopped.contains(&(name.to_owned(), attempt.clone()));
    let mut is_open = true;
    let head = format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{name}.{attempt}\r\nTransfer-Encoding: chunked\r\n\r\n");
    is_open &= stream.write_all(head.as_bytes()).is_ok();
    let mut why = "complete";
    for number in from + 1..=how.events {
        let mut ends = Instant::now() + how.pace;
        while Instant::now() < ends {
            thread::sleep(ms(5));
            if stopped() {
                why = "stopped by an order";
                break;
            }
            let times = how.out_of_memory.load(Ordering::Relaxed);
            if times != seen && number > from + 1 && !is_among_oldest(name, &attempt, &all.lock().unwrap()) {
                ends = Instant::now() + how.preempt_for;
                log.note(format!("engine {name}: preempts {attempt} after event {}", number - 1));
            }
            seen = times;
        }
        if why != "complete" {
            break;
        }
        let event = format!("id: {number}\ndata: {attempt} makes {number}\n\n");
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        is_open = is_open && stream.write_all(chunk.as_bytes()).is_ok();
        if !is_open && !how.keeps {
            why = "dropped, its connection is closed";
            break;
        }
        let mut shared = all.lock().unwrap();
        if let Some(work) = shared.works.iter_mut().rev().find(|it| it.engine == name && it.attempt == attempt) {
            work.made = Instant::now();
        }
        drop(shared);
    }
    if why == "complete" {
        let _ = stream.write_all(b"0\r\n\r\n");
    }
    let mut shared = all.lock().unwrap();
    for work in shared.works.iter_mut().filter(|it| it.engine == name && it.attempt == attempt && it.ended.is_none()) {
        work.ended = Some(Instant::now());
    }
    drop(shared);
    log.note(format!("engine {name}: run of {attempt} ends: {why}"));
}

fn is_among_oldest(engine: &str, attempt: &str, shared: &Shared) -> bool {
    let mut runs = shared.works.iter().filter(|it| it.engine == engine && it.ended.is_none());
    runs.by_ref().take(2).any(|it| it.attempt == attempt)
}

/// The configuration with one stream route that may be resumed.
pub fn stream_config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-3\",\"host\":\"desk.example\",\"path-prefix\":\"/note/\",\"route-type\":\"streaming\",\"timeout-ms\":6000,\"latency-target-ms\":1500,\"priority\":0,\"service\":\"advisor-llm\",\"max-attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,\"gap-aim-ms\":180}}],\"services\":[{{\"name\":\"advisor-llm\",\"health-path\":\"/healthz\",\"max-conns\":302,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":32,\"kv-capacity-tokens\":34561,\"kv-token-bytes\":262144,\"link-mbps\":38000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,\"handle-ttl-s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"huka270\",\"api-keys\":[\"key-a\"],\"priority\":1}}]}}"
    )
}
