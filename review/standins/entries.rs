//! Workers of a plain service whose entries run out and come back, before real instances.
//!
//! `entries outage RECORD`: the store is down for 8 s, entries run out meanwhile and are back within two
//! seconds of its return; the instances are stopped and started in turn. `entries cuts RECORD`: each
//! worker is cut off from the store once, for 5 s, one after the other. Without the disruption
//! (TROUBLE=0) the store is not down and no worker is cut off; all else is the same.

#[path = "common.rs"]
#[allow(dead_code)]
mod common;

use common::{
    Instance, Ports, Record, Store, answer, end_after, has_trouble, lock, read_head, read_request,
    temporary_folder,
};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::exit;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

const IPS: [&str; 3] = ["127.0.5.1", "127.0.5.2", "127.0.5.3"];
const WORK_TIME: Duration = Duration::from_millis(15);
/// `heartbeat-ms` of a small deployment, and when an entry runs out.
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// How long after the end of an outage or a cut the first worker writes its entry again; PROTOCOL.md:
/// "back within about two seconds".
const WRITES_AGAIN: Duration = Duration::from_millis(900);
const RUNS_OUT: Duration = Duration::from_millis(3_600);
const CUT: Duration = Duration::from_secs(5);
const OUTAGE: Duration = Duration::from_secs(8);
/// `contact-ms` of a small deployment: steady state begins so much after a disruption.
const CONTACT: Duration = Duration::from_millis(3_000);
const REQUESTS_PER_S: u64 = 20;

#[derive(Clone)]
struct Worker {
    id: String,
    address: SocketAddr,
    /// Whether it reaches the store.
    is_cut: Arc<AtomicBool>,
    record: Record,
}

impl Worker {
    fn start(id: &str, record: &Record) -> io::Result<Worker> {
        let listener = TcpListener::bind(("127.0.5.9", 0))?;
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr()?,
            is_cut: Arc::default(),
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

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
            if request
                .header("x-expect-instance")
                .is_some_and(|it| it != self.id)
            {
                answer(
                    &mut stream,
                    "421 Misdirected Request",
                    "X-Not-Executed: 1\r\n",
                    "",
                )?;
                continue;
            }
            self.record.say(&format!("{} runs {attempt}", self.id));
            thread::sleep(WORK_TIME);
            let head = format!(
                "X-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{}.{attempt}\r\nX-Server-Load: 1,0,6\r\n",
                self.id
            );
            answer(
                &mut stream,
                "200 OK",
                &head,
                &format!("answer to {attempt}"),
            )?;
        }
        Ok(())
    }

    /// Writes its entry every `heartbeat-ms`, while it reaches the store and the store is there. After an
    /// outage or a cut it writes again within one heartbeat.
    fn beat(&self, store: &Store, offset: Duration) {
        let (worker, store) = (self.clone(), store.clone());
        let mut sequence = 1;
        worker.write(&store, sequence);
        let is_away = move |worker: &Worker, store: &Store| {
            worker.is_cut.load(Ordering::SeqCst) || store.silent.load(Ordering::SeqCst)
        };
        thread::spawn(move || {
            thread::sleep(offset);
            loop {
                thread::sleep(HEARTBEAT);
                if is_away(&worker, &store) {
                    while is_away(&worker, &store) {
                        thread::sleep(Duration::from_millis(10));
                    }
                    thread::sleep(WRITES_AGAIN + offset / 4);
                }
                sequence += 1;
                let revision = worker.write(&store, sequence);
                worker.record.say(&format!(
                    "{} writes its entry, revision {revision}",
                    worker.id
                ));
            }
        });
    }

    fn write(&self, store: &Store, sequence: u64) -> u64 {
        let entry = format!(
            "{{\"service\":\"app\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold-left-ms\":0,\"sequence\":{sequence}}}",
            self.address
        );
        store.put(&format!("servers/{}", self.id), &entry)
    }
}

fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"path-prefix\":\"{prefix}\",\"route-type\":\"unsafe\",\"timeout-ms\":800,\"latency-target-ms\":100,\"priority\":2,\"service\":\"app\",\"max-attempts\":1,\"public\":false}}"
    )
}

fn config(version: u64, routes: &[String]) -> String {
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"app\",\"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"t-1\",\"api-keys\":[\"key-1\"],\"priority\":1}}]}}"
    )
}

/// Requests of one kind of route in steady state.
#[derive(Clone, Copy, Debug, Default)]
struct Count {
    sent: u64,
    served: u64,
}

/// Sends one request on a connection of its own; returns the status, 0 if there was no answer.
fn request(front: SocketAddr, path: &str, attempt: &str) -> u16 {
    let send = || -> io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_500)))?;
        write!(
            stream,
            "POST {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer key-1\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody"
        )?;
        Ok(read_head(&mut BufReader::new(stream))?.map_or(0, |it| it.status()))
    };
    send().unwrap_or(0)
}

/// Sends requests on `path` for `time`, to the instances in turn, and counts them.
fn traffic(fronts: &[SocketAddr], path: &'static str, time: Duration, record: &Record) -> Count {
    let count = Arc::new(Mutex::new(Count::default()));
    let mut sending = Vec::new();
    let requests = time.as_millis() as u64 * REQUESTS_PER_S / 1_000;
    for number in 0..requests {
        let front = fronts[number as usize % fronts.len()];
        let (count, record) = (Arc::clone(&count), record.clone());
        sending.push(thread::spawn(move || {
            let attempt = format!(
                "{}-{:.3}",
                path.trim_matches('/').replace('/', "-"),
                record.now()
            );
            let status = request(front, path, &attempt);
            record.say(&format!("client gets {status} for {attempt} from {front}"));
            let mut count = lock(&count);
            count.sent += 1;
            count.served += u64::from(status == 200);
        }));
        thread::sleep(Duration::from_millis(1_000 / REQUESTS_PER_S));
    }
    for one in sending {
        let _ = one.join();
    }
    let count = *lock(&count);
    record.say(&format!("{path}: {count:?}"));
    count
}

fn play(kind: &str, record: &Record, dir: &Path) -> io::Result<i32> {
    let trouble = has_trouble();
    record.say(&format!("{kind}, TROUBLE={}", u8::from(trouble)));
    let store = Store::start("127.0.5.8")?;
    let first = route("r-first", "/first/");
    store.put("op/config", &config(7, std::slice::from_ref(&first)));
    let mut workers = Vec::new();
    for number in 0..3 {
        let worker = Worker::start(&format!("i-{}", number + 1), record)?;
        worker.beat(&store, HEARTBEAT / 3 * number);
        workers.push(worker);
    }
    let ports = Ports::free(&IPS)?;
    let start = |number: usize| {
        let name = format!("edge-a-{}", number + 1);
        Instance::start(dir, &name, (IPS[number], ports), "a", store.address, &IPS)
    };
    let mut instances = Vec::new();
    for number in 0..IPS.len() {
        instances.push(start(number)?);
    }
    let are_ready = |instances: &[Instance]| {
        instances
            .iter()
            .all(|it| it.wait_until_ready(Duration::from_secs(15)))
    };
    if !are_ready(&instances) {
        record.say("an instance is not ready");
        return Ok(2);
    }
    let fronts: Vec<SocketAddr> = instances.iter().map(|it| it.front).collect();
    thread::sleep(CONTACT);
    let mut on_first = traffic(&fronts, "/first/1", Duration::from_secs(5), record);
    if on_first.served * 2 < on_first.sent {
        return Ok(2);
    }
    match kind {
        "outage" => {
            // Stopped and started in turn, a second apart. A stop takes 3 s and a moment.
            for instance in &instances {
                record.say("an instance gets SIGTERM");
                instance.signal("TERM")?;
                thread::sleep(Duration::from_secs(1));
            }
            if trouble {
                record.say("the store is down");
                store.silent.store(true, Ordering::SeqCst);
            }
            let down = thread::spawn({
                let (store, workers, record) = (store.clone(), workers.clone(), record.clone());
                move || {
                    if !trouble {
                        return;
                    }
                    thread::sleep(RUNS_OUT);
                    for worker in &workers {
                        store.remove(&format!("servers/{}", worker.id));
                    }
                    record.say("entries run out");
                    thread::sleep(OUTAGE - RUNS_OUT);
                    store.silent.store(false, Ordering::SeqCst);
                    record.say("the store is back");
                }
            });
            for number in 0..IPS.len() {
                // Ends the wait for the planned stop; the platform starts the next process.
                let status = instances[number].child.wait()?;
                record.say(&format!("{} ended: {status}", IPS[number]));
                thread::sleep(Duration::from_millis(500));
                instances[number] = start(number)?;
                record.say(&format!("{} starts", IPS[number]));
            }
            let _ = down.join();
        }
        _ => {
            for worker in &workers {
                if !trouble {
                    continue;
                }
                record.say(&format!("{} is cut off from the store", worker.id));
                worker.is_cut.store(true, Ordering::SeqCst);
                thread::sleep(RUNS_OUT);
                store.remove(&format!("servers/{}", worker.id));
                record.say(&format!("the entry of {} runs out", worker.id));
                thread::sleep(CUT - RUNS_OUT);
                worker.is_cut.store(false, Ordering::SeqCst);
                record.say(&format!("{} reaches the store again", worker.id));
                thread::sleep(Duration::from_secs(2));
            }
        }
    }
    // Entries are back two seconds later; then comes steady state.
    thread::sleep(Duration::from_secs(2) + CONTACT);
    if !are_ready(&instances) {
        record.say("an instance is not ready");
    }
    let second = route("r-added", "/added/");
    store.put("op/config", &config(12, &[first, second]));
    record.say("a version with a further route is acknowledged");
    thread::sleep(CONTACT);
    let (fronts_too, record_too) = (fronts.clone(), record.clone());
    let both = thread::spawn(move || {
        traffic(&fronts_too, "/added/1", Duration::from_secs(5), &record_too)
    });
    let later = traffic(&fronts, "/first/1", Duration::from_secs(5), record);
    let on_added = both.join().unwrap_or_default();
    on_first.sent += later.sent;
    on_first.served += later.served;
    // RULES.md, CONFIG: "serve them less than a quarter as often as those on the first routes".
    let is_broken = on_added.sent >= 20
        && 4 * on_added.served * on_first.sent < on_first.served * on_added.sent;
    record.say(&format!(
        "steady state: of {} requests on the added route {} served, of {} on the first {}; CONFIG broken: {is_broken}",
        on_added.sent, on_added.served, on_first.sent, on_first.served
    ));
    Ok(i32::from(is_broken))
}

fn main() {
    let mut words = std::env::args().skip(1);
    let (kind, path) = (
        words.next().unwrap_or_default(),
        words.next().unwrap_or_default(),
    );
    let Ok(record) = Record::new(Path::new(&path)) else {
        exit(2);
    };
    let Ok(dir) = temporary_folder() else {
        exit(2);
    };
    end_after(Duration::from_secs(110));
    let result = play(&kind, &record, &dir);
    if std::env::var_os("KEEP").is_none() {
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
