//! A generation that goes on at another worker while the worker before still works on it.
//!
//! Four model workers. Three of them drop a request when its connection closes, one does not
//! (PROTOCOL.md: "Most workers drop a request when its connection closes"). It obeys `POST /kv-move`
//! with `latest` as the page says: the run stops first. With the disruption, this worker reports
//! `draining`, as before each planned shutdown, and goes on serving for some seconds.

#[path = "../standins/common.rs"]
#[allow(dead_code)]
mod common;

use common::{
    Instance, Message, Ports, Record, Store, answer, end_after, has_trouble, lock, read_chunks,
    read_head, read_request, temporary_folder,
};
use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const EVENTS: u64 = 150;
const EVENT_TIME: Duration = Duration::from_millis(40);
const PREFILL_TIME: Duration = Duration::from_millis(200);
const COPY_TIME: Duration = Duration::from_millis(150);
const STREAMS: usize = 4;
const IPS: [&str; 2] = ["127.0.3.1", "127.0.3.2"];
/// RULES.md, TWICE: "while the worker before still works on it 400 ms later".
const STILL_AT_WORK: f64 = 0.4;

/// The work of a worker on one request.
struct Run {
    worker: String,
    attempt: String,
    goes_on: bool,
    began: f64,
    ended: Option<f64>,
    /// Set to stop the run.
    stopped: Arc<AtomicBool>,
    made: u64,
}

/// What all workers hold.
#[derive(Default)]
struct Workers {
    runs: Vec<Run>,
    /// Copies by source address and handle: where they lie, and of which request.
    copies: BTreeMap<(String, String), (String, String)>,
    /// Copies that a worker keeps up to date: where they lie, and of which request.
    backups: BTreeSet<(String, String)>,
    handles: u64,
    /// The calls of `/kv-move` with `latest`.
    stops: u64,
}

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    /// Whether it drops a request when its connection closes.
    drops: bool,
    all: Arc<Mutex<Workers>>,
    record: Record,
}

impl Worker {
    fn start(
        id: &str,
        drops: bool,
        all: &Arc<Mutex<Workers>>,
        record: &Record,
    ) -> io::Result<Worker> {
        let listener = TcpListener::bind(("127.0.3.9", 0))?;
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr()?,
            drops,
            all: Arc::clone(all),
            record: record.clone(),
        };
        let serving = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let worker = serving.clone();
                thread::spawn(move || worker.serve(stream));
            }
        });
        Ok(worker)
    }

    fn entry(&self, state: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"llm\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":24,\"state\":\"{state}\",\"cold-left-ms\":0,\"phase\":\"combined\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"sequence\":{sequence}}}",
            self.address
        )
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            match request.target() {
                "/kv-move" => self.copy(&mut stream, &request)?,
                path if path.starts_with("/kv-handle/") => answer(&mut stream, "200 OK", "", "{}")?,
                "/report" => answer(
                    &mut stream,
                    "200 OK",
                    "Content-Type: application/json\r\n",
                    "{\"phase\":\"combined\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":1,\"queued\":0,\"active\":0,\"kv-used\":0,\"kv-total\":34256,\"cache-handles\":0}",
                )?,
                _ => return self.generate(stream, &request),
            }
        }
        Ok(())
    }

    /// Answers `POST /kv-move`.
    fn copy(&self, stream: &mut TcpStream, request: &Message) -> io::Result<()> {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let field = |name: &str| {
            let at = body
                .find(&format!("\"{name}\":\""))
                .map(|it| it + name.len() + 4);
            at.and_then(|it| body[it..].split('"').next())
                .unwrap_or("")
                .to_owned()
        };
        let (attempt, target) = (field("id"), field("target"));
        let latest = body.contains("\"latest\":true");
        self.record
            .say(&format!("{} gets POST /kv-move {body}", self.id));
        if latest {
            let mut all = lock(&self.all);
            all.stops += 1;
            for run in all
                .runs
                .iter_mut()
                .filter(|it| it.worker == self.id && it.attempt == attempt)
            {
                run.stopped.store(true, Ordering::SeqCst);
            }
        }
        thread::sleep(COPY_TIME);
        let mut all = lock(&self.all);
        let mut runs = all.runs.iter();
        let run =
            runs.find(|it| it.worker == self.id && it.attempt == attempt && it.ended.is_none());
        let Some(made) = run.map(|it| it.made) else {
            return answer(stream, "404 Not Found", "", "{}");
        };
        all.handles += 1;
        let handle = format!("h{}", all.handles);
        all.copies.insert(
            (self.address.to_string(), handle.clone()),
            (target, attempt),
        );
        drop(all);
        let body = format!("{{\"cache-handle\":\"{handle}\",\"created\":{made}}}");
        self.record
            .say(&format!("{} answers /kv-move with {body}", self.id));
        answer(
            stream,
            "200 OK",
            "Content-Type: application/json\r\n",
            &body,
        )
    }

    /// Runs a request, from its beginning or from a copy.
    fn generate(&self, mut stream: TcpStream, request: &Message) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if request
            .header("x-expect-instance")
            .is_some_and(|it| it != self.id)
        {
            return answer(
                &mut stream,
                "421 Misdirected Request",
                "X-Not-Executed: 1\r\n",
                "",
            );
        }
        let from = request.header("kv-from").map(str::to_owned);
        let mut next = 1;
        if let Some(from) = &from {
            let (source, handle) = from.split_once('/').unwrap_or((from, ""));
            let here = self.address.to_string();
            let mut all = lock(&self.all);
            let copy = all.copies.remove(&(source.to_owned(), handle.to_owned()));
            let is_moved = copy == Some((here.clone(), attempt.clone()));
            let is_backup = source == here && all.backups.remove(&(here, handle.to_owned()));
            drop(all);
            if !is_moved && !is_backup {
                self.record
                    .say(&format!("{} rejects {attempt}: no copy {from}", self.id));
                return answer(
                    &mut stream,
                    "503 Service Unavailable",
                    "X-Not-Executed: 1\r\n",
                    "",
                );
            }
            let last = request
                .header("last-event-id")
                .and_then(|it| it.parse::<u64>().ok());
            next = last.unwrap_or(0) + 1;
        }
        if let Some(backup) = request.header("x-kv-backup") {
            lock(&self.all)
                .backups
                .insert((backup.to_owned(), attempt.clone()));
        }
        let closed = Arc::new(AtomicBool::new(false));
        let (mut watched, seen) = (stream.try_clone()?, Arc::clone(&closed));
        thread::spawn(move || {
            let mut buf = [0; 256];
            while matches!(watched.read(&mut buf), Ok(length) if length > 0) {}
            seen.store(true, Ordering::SeqCst);
        });
        if from.is_none() {
            thread::sleep(PREFILL_TIME);
        }
        let stopped = Arc::new(AtomicBool::new(false));
        let number = {
            let mut all = lock(&self.all);
            all.runs.push(Run {
                worker: self.id.clone(),
                attempt: attempt.clone(),
                goes_on: from.is_some(),
                began: self.record.now(),
                ended: None,
                stopped: Arc::clone(&stopped),
                made: next - 1,
            });
            all.runs.len() - 1
        };
        let how = from.map_or("from its beginning".to_owned(), |it| {
            format!("from {it}, event {next}")
        });
        self.record
            .say(&format!("{} runs {attempt} {how}", self.id));
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{}.{attempt}\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        let _ = stream.write_all(head.as_bytes());
        let mut was_closed = false;
        let mut end = "complete";
        while next <= EVENTS {
            if closed.load(Ordering::SeqCst) && !was_closed {
                was_closed = true;
                self.record.say(&format!(
                    "{} sees that the connection of {attempt} is closed",
                    self.id
                ));
            }
            if was_closed && self.drops {
                end = "dropped";
                break;
            }
            if stopped.load(Ordering::SeqCst) {
                end = "stopped";
                break;
            }
            let event = format!("id: {next}\ndata: {attempt}-{next}\n\n");
            if !was_closed {
                let _ = write!(stream, "{:x}\r\n{event}\r\n", event.len());
            }
            lock(&self.all).runs[number].made = next;
            next += 1;
            thread::sleep(EVENT_TIME);
        }
        if end == "complete" {
            let _ = stream.write_all(b"0\r\n\r\n");
        }
        lock(&self.all).runs[number].ended = Some(self.record.now());
        self.record.say(&format!(
            "{} ends its run of {attempt} after event {}: {end}",
            self.id,
            next - 1
        ));
        Ok(())
    }
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-plan","host":"desk.example","path-prefix":"/plan/","route-type":"streaming","timeout-ms":39000,"latency-target-ms":1800,"priority":0,"service":"llm","max-attempts":1,"public":false,"sticky":true,"resumable":false,"gap-aim-ms":180}],"services":[{"name":"llm","health-path":"/healthz","max-conns":232,"protocol":"h1","tls":false,"engine":{"slots":24,"kv-capacity-tokens":34256,"kv-token-bytes":262144,"link-mbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-ttl-s":5.0,"models":[{"name":"m"}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"t-1","api-keys":["key-1"],"priority":1}]}"#;

/// Sends one request and reads its stream; returns whether it is complete.
fn client(front: SocketAddr, attempt: &str, record: &Record) -> io::Result<bool> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(30)))?;
    let body = format!("prompt of {attempt}");
    write!(
        stream,
        "POST /plan/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Model: m\r\nX-Token-Usage: 1000,{}\r\nX-Prompt-Prefix: {attempt}:1000\r\nX-Length-Hint: {}\r\nX-Deadline-Ms: 39000\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
        4 * EVENTS,
        4 * EVENTS,
        body.len()
    )?;
    record.say(&format!("client sends {attempt}"));
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let status = head.map_or(0, |it| it.status());
    let (body, is_complete) = read_chunks(&mut reader);
    let text = String::from_utf8_lossy(&body).into_owned();
    let expected: String = (1..=EVENTS)
        .map(|it| format!("id: {it}\ndata: {attempt}-{it}\n\n"))
        .collect();
    let is_whole = is_complete && text == expected;
    let events = text.matches("id: ").count();
    record.say(&format!(
        "client has {attempt}: status {status}, {events} events, whole: {is_whole}"
    ));
    Ok(is_whole)
}

fn play(record: &Record, dir: &Path) -> io::Result<i32> {
    let trouble = has_trouble();
    record.say(&format!("TROUBLE={}", u8::from(trouble)));
    let store = Store::start("127.0.3.8")?;
    store.put("op/config", CONFIG);
    let all: Arc<Mutex<Workers>> = Arc::default();
    let mut workers = Vec::new();
    for number in 1..=4 {
        workers.push(Worker::start(
            &format!("i-{number}"),
            number != 1,
            &all,
            record,
        )?);
    }
    let draining = Arc::new(AtomicBool::new(false));
    let (beating, drains) = (workers.clone(), Arc::clone(&draining));
    let beats = store.clone();
    let beat = move |sequence: u64| {
        for worker in &beating {
            let leaves = worker.id == "i-1" && drains.load(Ordering::SeqCst);
            let state = if leaves { "draining" } else { "ready" };
            beats.put(
                &format!("servers/{}", worker.id),
                &worker.entry(state, sequence),
            );
        }
    };
    beat(1);
    let beat = Arc::new(beat);
    let regular = Arc::clone(&beat);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(Duration::from_millis(1_200));
            regular(sequence);
        }
    });
    let ports = Ports::free(&IPS)?;
    let mut instances = Vec::new();
    for (number, ip) in IPS.iter().enumerate() {
        let name = format!("edge-a-{}", number + 1);
        instances.push(Instance::start(
            dir,
            &name,
            (ip, ports),
            "a",
            store.address,
            &IPS,
        )?);
    }
    for instance in &instances {
        if !instance.wait_until_ready(Duration::from_secs(15)) {
            record.say("an instance is not ready");
            return Ok(2);
        }
    }
    thread::sleep(Duration::from_secs(2));
    let mut clients = Vec::new();
    for number in 0..2 * STREAMS {
        let (front, record) = (instances[number % 2].front, record.clone());
        clients.push(thread::spawn(move || {
            client(front, &format!("a{number}"), &record)
        }));
        thread::sleep(Duration::from_millis(60));
    }
    thread::sleep(Duration::from_millis(1_500));
    let at_first = lock(&all)
        .runs
        .iter()
        .filter(|it| it.worker == "i-1" && it.ended.is_none())
        .count();
    if at_first == 0 {
        record.say("no request runs at i-1");
        return Ok(2);
    }
    if trouble {
        draining.store(true, Ordering::SeqCst);
        beat(1_000);
        record.say(&format!(
            "i-1 reports draining; it runs {at_first} requests and goes on serving"
        ));
    }
    let mut whole = 0;
    for client in clients {
        whole += usize::from(matches!(client.join(), Ok(Ok(true))));
    }
    // The runs end by themselves.
    let ends = Instant::now() + Duration::from_secs(10);
    while lock(&all).runs.iter().any(|it| it.ended.is_none()) && Instant::now() < ends {
        thread::sleep(Duration::from_millis(50));
    }
    let all = lock(&all);
    let mut broken = 0;
    for later in all.runs.iter().filter(|it| it.goes_on) {
        let before = all
            .runs
            .iter()
            .filter(|it| it.attempt == later.attempt && it.worker != later.worker);
        for run in before.filter(|it| it.began < later.began) {
            let ended = run.ended.unwrap_or(f64::MAX);
            if ended > later.began + STILL_AT_WORK {
                broken += 1;
                record.say(&format!(
                    "TWICE: {} goes on at {} at {:.3}; {} still works on it {:.3} s later",
                    run.attempt,
                    later.worker,
                    later.began,
                    run.worker,
                    ended - later.began
                ));
            }
        }
    }
    let moved = all.runs.iter().filter(|it| it.goes_on).count();
    record.say(&format!(
        "{whole} of {} streams whole, {moved} went on elsewhere, {} were stopped with latest, {broken} broke the rule",
        2 * STREAMS, all.stops
    ));
    if whole < 2 * STREAMS && broken == 0 {
        return Ok(2);
    }
    Ok(i32::from(broken > 0))
}

fn main() {
    let path = std::env::args()
        .nth(1)
        .unwrap_or_else(|| "record.txt".to_owned());
    let Ok(record) = Record::new(Path::new(&path)) else {
        exit(2);
    };
    let Ok(dir) = temporary_folder() else {
        exit(2);
    };
    end_after(Duration::from_secs(100));
    let result = play(&record, &dir);
    let keep = std::env::var_os("KEEP").is_some();
    if !keep {
        let _ = std::fs::remove_dir_all(&dir);
    }
    match result {
        Ok(code) => exit(code),
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            exit(2);
        }
    }
}
