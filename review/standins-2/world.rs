//! A small deployment on loopback for the cases of this review: the platform's store, workers,
//! clients, and real gateway processes started with the run line of the deploy file. Standard
//! library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// What was sent, answered and run, in order; written to `record.txt` at the end.
pub struct Record {
    began: Instant,
    lines: Mutex<Vec<(Duration, String)>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { began: Instant::now(), lines: Mutex::new(Vec::new()) })
    }

    pub fn note(&self, line: String) {
        self.lines.lock().unwrap().push((self.began.elapsed(), line));
    }

    pub fn at(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn write(&self, path: &Path) {
        let mut text = String::new();
        for (at, line) in self.lines.lock().unwrap().iter() {
            let _ = writeln!(text, "{:9.3} s  {line}", at.as_secs_f64());
        }
        let _ = fs::write(path, text);
    }
}

/// One HTTP message: its first line, headers and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, Vec<u8>)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<String> {
        let found = self.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| String::from_utf8_lossy(value).into_owned())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads one message; `None` if the connection ended before it began.
pub fn read_message(stream: &mut TcpStream) -> io::Result<Option<Message>> {
    read_message_of(stream, false)
}

pub fn read_message_of(stream: &mut TcpStream, is_response: bool) -> io::Result<Option<Message>> {
    let mut buf = Vec::new();
    let mut part = [0; 16 * 1024];
    let end = loop {
        if let Some(at) = buf.windows(4).position(|it| it == b"\r\n\r\n") {
            break at + 4;
        }
        let n = stream.read(&mut part)?;
        if n == 0 {
            return match buf.is_empty() {
                true => Ok(None),
                false => Err(io::ErrorKind::UnexpectedEof.into()),
            };
        }
        buf.extend_from_slice(&part[..n]);
    };
    let mut rest = buf.split_off(end);
    let mut message = Message::default();
    for line in buf.split(|it| *it == b'\n') {
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if message.line.is_empty() {
            message.line = String::from_utf8_lossy(line).into_owned();
        } else if let Some(at) = line.iter().position(|it| *it == b':') {
            let name = String::from_utf8_lossy(&line[..at]).into_owned();
            message.headers.push((name, line[at + 1..].trim_ascii().to_vec()));
        }
    }
    let length = message.header("content-length").and_then(|it| it.parse::<usize>().ok());
    let chunked = message.header("transfer-encoding").is_some();
    if chunked {
        loop {
            let line_end = loop {
                if let Some(at) = rest.windows(2).position(|it| it == b"\r\n") {
                    break at;
                }
                fill(stream, &mut rest, &mut part)?;
            };
            let size = String::from_utf8_lossy(&rest[..line_end]).into_owned();
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::Error::other("chunk"))?;
            while rest.len() < line_end + 2 + size + 2 {
                fill(stream, &mut rest, &mut part)?;
            }
            message.body.extend_from_slice(&rest[line_end + 2..line_end + 2 + size]);
            rest.drain(..line_end + 2 + size + 2);
            if size == 0 {
                break;
            }
        }
    } else if let Some(length) = length {
        while rest.len() < length {
            fill(stream, &mut rest, &mut part)?;
        }
        message.body = rest[..length].to_vec();
    } else if is_response {
        let _ = stream.read_to_end(&mut rest);
        message.body = rest;
    }
    Ok(Some(message))
}

fn fill(stream: &mut TcpStream, rest: &mut Vec<u8>, part: &mut [u8]) -> io::Result<()> {
    match stream.read(part)? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        n => {
            rest.extend_from_slice(&part[..n]);
            Ok(())
        }
    }
}

pub fn respond(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let mut out = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    out.extend_from_slice(body);
    stream.write_all(&out)
}

/// Listens on a free port of an address and handles each connection on a thread of its own.
pub fn serve(ip: Ipv4Addr, handle: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddrV4 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("bound") else { unreachable!() };
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    address
}

/// The platform's store: items with revisions, ranges, watches.
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    items: BTreeMap<String, (u64, u64, Vec<u8>)>,
    history: Vec<(u64, String, Option<Vec<u8>>)>,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddrV4) {
        let store = Arc::new(Store {
            state: Mutex::new(StoreState { revision: 7, ..StoreState::default() }),
            changed: Condvar::new(),
        });
        let shared = Arc::clone(&store);
        let address = serve(Ipv4Addr::LOCALHOST, move |mut stream| {
            while let Ok(Some(req)) = read_message(&mut stream) {
                thread::sleep(ms(4));
                let (status, body) = shared.answer(req.target());
                let head = "Content-Type: application/json\r\nStore-Era: 1\r\n";
                if respond(&mut stream, status, head, body.as_bytes()).is_err() {
                    return;
                }
            }
        });
        (store, address)
    }

    /// Writes an item; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |it| it.1);
        let value = value.as_bytes().to_vec();
        state.items.insert(key.to_owned(), (revision, created, value.clone()));
        state.history.push((revision, key.to_owned(), Some(value)));
        self.changed.notify_all();
        revision
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.history.push((revision, key.to_owned(), None));
            self.changed.notify_all();
        }
    }

    fn answer(&self, target: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
            pairs.find(|(it, _)| *it == name).map(|(_, value)| decode(value))
        };
        let prefix = field("path-prefix").unwrap_or_default();
        let mut state = self.state.lock().unwrap();
        match path {
            "/kv-range" => {
                let after = field("after-revision").unwrap_or_default();
                let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, it)| item(key, it)).collect();
                ("200 OK", format!("{{\"items\":[{}],\"has-more\":false,\"at\":{}}}", items.join(","), state.revision))
            }
            "/kv-watch" => {
                let after: u64 = field("after-revision").and_then(|it| it.parse().ok()).unwrap_or(0);
                let wait: u64 = field("wait-ms").and_then(|it| it.parse().ok()).unwrap_or(0);
                let ends = Instant::now() + ms(wait);
                loop {
                    let events: Vec<String> = state.history.iter()
                        .filter(|(number, key, _)| *number > after && key.starts_with(&prefix))
                        .map(|(number, key, value)| match value {
                            Some(value) => item(key, &(*number, *number, value.clone())),
                            None => format!("{{\"key\":\"{key}\",\"revision\":{number},\"deleted\":true}}"),
                        }).collect();
                    let left = ends.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        return ("200 OK", format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision));
                    }
                    state = self.changed.wait_timeout(state, left).unwrap().0;
                }
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }
}

fn item(key: &str, (revision, created, value): &(u64, u64, Vec<u8>)) -> String {
    format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}", base64(value))
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| u8::from_str_radix(text.get(at + 1..at + 3)?, 16).ok()).flatten();
        out.push(hex.unwrap_or(bytes[at]));
        at += if hex.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const ABC: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it)) << (8 * (3 - part.len()));
        for index in 0..4 {
            match index <= part.len() {
                true => out.push(char::from(ABC[(word >> (18 - 6 * index) & 63) as usize])),
                false => out.push('='),
            }
        }
    }
    out
}

/// Announces a worker in the store every 1.2 s until `alive` is false.
pub fn beat(store: &Arc<Store>, id: &str, service: &str, address: SocketAddrV4, slots: u32, alive: Arc<AtomicBool>) {
    let (store, id, service) = (Arc::clone(store), id.to_owned(), service.to_owned());
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let write = move |sequence: u64| {
        store.put(&format!("servers/{id}"), &format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"north\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold-left-ms\":0,\"born\":{born},\"sequence\":{sequence}}}"));
    };
    write(1);
    thread::spawn(move || {
        for sequence in 2.. {
            thread::sleep(ms(1200));
            if !alive.load(Ordering::Relaxed) {
                return;
            }
            write(sequence);
        }
    });
}

/// A running gateway process. It is killed when dropped.
pub struct Gateway {
    pub child: Child,
    pub front: SocketAddrV4,
    pub ready: SocketAddrV4,
    pub name: String,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Gateway {
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal to this process.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    /// Waits until it is ready; false if it is not within 15 s.
    pub fn wait_until_ready(&self) -> bool {
        let ends = Instant::now() + Duration::from_secs(15);
        while Instant::now() < ends {
            let answer = exchange(self.ready, b"GET /readyz HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n", ms(500));
            if answer.is_ok_and(|it| it.status() == 200) {
                return true;
            }
            thread::sleep(ms(50));
        }
        false
    }
}

/// Sends bytes on a new connection and reads one response.
pub fn exchange(to: SocketAddrV4, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to.into(), limit)?;
    stream.set_nodelay(true)?;
    exchange_on(&mut stream, bytes, limit)
}

/// Sends bytes on a connection and reads one response.
pub fn exchange_on(stream: &mut TcpStream, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(bytes)?;
    read_message_of(stream, true)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Names a process that was started, so that the script can end it if this program is ended.
pub fn note_process(id: u32) {
    let Some(path) = std::env::var_os("PROCESSES") else { return };
    if let Ok(mut file) = File::options().append(true).create(true).open(path) {
        let _ = writeln!(file, "{id}");
    }
}

/// Ends this program with 2 if it takes longer than a script may.
pub fn limit_time(record: &Arc<Record>) {
    let record = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        std::process::exit(verdict(&record, Err("it takes too long".to_owned())));
    });
}

fn free_port(ip: Ipv4Addr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("bound").port()
}

/// A temporary folder, removed when dropped.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a temporary folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Starts gateways, each on a loopback address of its own, with the settings that the template of
/// the deploy file gives for a machine of the small deployments.
pub fn start_gateways(folder: &Folder, store: SocketAddrV4, count: usize, grace_s: u32) -> Vec<Gateway> {
    let template = fs::read_to_string("deploy/gateway.toml").expect("run in the checkout, after the build");
    let deploy = fs::read_to_string("deploy/system.toml").expect("the deploy file");
    let run = deploy.lines().find_map(|it| it.strip_prefix("run = \"")).and_then(|it| it.split('"').next());
    let run: Vec<String> = run.expect("a run line").split(' ').map(str::to_owned).collect();
    let pid = std::process::id();
    let ips: Vec<Ipv4Addr> = (0..count)
        .map(|it| Ipv4Addr::new(127, 1 + (pid >> 8 & 127) as u8, (pid & 255) as u8, 10 + it as u8))
        .collect();
    let peers = free_port(ips[0]);
    let seeds: Vec<String> = ips.iter().take(3).map(|it| format!("\"{it}:{peers}\"")).collect();
    let mut gateways = Vec::new();
    for (index, ip) in ips.into_iter().enumerate() {
        let name = format!("edge-north-{}", index + 1);
        let front = SocketAddrV4::new(ip, free_port(ip));
        let ready = SocketAddrV4::new(ip, free_port(ip));
        let values = [
            ("{{node-name}}", name.clone()),
            ("{{zone}}", "north".into()),
            ("{{limits.cpu-share}}", "0.25".into()),
            ("{{limits.memory-mb}}", "110".into()),
            ("{{limits.max-fds}}", "4100".into()),
            ("{{listen.frontend}}", front.to_string()),
            ("{{listen.readiness}}", ready.to_string()),
            ("{{ip}}", ip.to_string()),
            ("{{internal-ports.0}}", peers.to_string()),
            ("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds.join(",")),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.retry-budget-ratio}}", "0.2".into()),
            ("{{bounds.budget-slack}}", "52".into()),
            ("{{bounds.budget-window-s}}", "10".into()),
            ("{{bounds.grace-s}}", grace_s.to_string()),
        ];
        let mut settings = template.clone();
        for (placeholder, value) in &values {
            settings = settings.replace(placeholder, value);
        }
        assert!(!settings.contains("{{"), "a placeholder of the template is not known");
        let path = folder.0.join(format!("{name}.toml"));
        fs::write(&path, settings).expect("settings");
        let log = File::create(folder.0.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(&run[0])
            .args(&run[1..])
            .env_clear()
            .env("ORIOLEMUX_CONFIG", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a log"))
            .stderr(log)
            .spawn()
            .expect("the build of the deploy file");
        note_process(child.id());
        gateways.push(Gateway { child, front, ready, name });
    }
    gateways
}

/// The configuration of a small deployment with the given tenants and limits, as JSON.
pub fn config(version: u64, tenants: &str, max_header_bytes: u32) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-1\",\"host\":\"desk.example\",\"path-prefix\":\"/stock/\",\"route-type\":\"unsafe\",\"timeout-ms\":800,\"latency-target-ms\":100,\"priority\":2,\"service\":\"counter-app\",\"max-attempts\":1,\"public\":false,\"sticky\":false,\"resumable\":false}},{{\"name\":\"r-2\",\"host\":\"desk.example\",\"path-prefix\":\"/size/\",\"route-type\":\"safe\",\"timeout-ms\":800,\"latency-target-ms\":100,\"priority\":2,\"service\":\"counter-app\",\"max-attempts\":2,\"public\":false,\"sticky\":false,\"resumable\":false}}],\"services\":[{{\"name\":\"counter-app\",\"health-path\":\"/healthz\",\"max-conns\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":{max_header_bytes},\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":{tenants}}}"
    )
}

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Duration,
    pub worker: String,
    pub attempt: String,
    pub target: String,
    pub tenant: Option<Vec<u8>>,
    pub has_key: bool,
}

/// Starts a worker of the plain service that answers after `work`.
pub fn start_app(store: &Arc<Store>, id: &str, work: Duration, record: &Arc<Record>, runs: &Arc<Mutex<Vec<Run>>>) -> SocketAddrV4 {
    let (name, log, ran) = (id.to_owned(), Arc::clone(record), Arc::clone(runs));
    let address = serve(Ipv4Addr::LOCALHOST, move |mut stream| {
        while let Ok(Some(req)) = read_message(&mut stream) {
            let id = format!("X-Instance-Id: {name}\r\n");
            if req.header("x-expect-instance").is_some_and(|it| it != name) {
                let _ = respond(&mut stream, "421 Misdirected Request", &id, b"");
                continue;
            }
            if req.target() == "/healthz" {
                let _ = respond(&mut stream, "200 OK", &id, b"");
                continue;
            }
            let attempt = req.header("x-attempt-id").unwrap_or_default();
            let tenant = req.headers.iter().find(|(it, _)| it.eq_ignore_ascii_case("x-tenant"));
            let tenant = tenant.map(|(_, value)| value.clone());
            let shown = tenant.as_ref().map_or("none".to_owned(), |it| format!("{:?}", String::from_utf8_lossy(it)));
            log.note(format!("worker {name} runs {attempt} ({} {}), X-Tenant: {shown}", req.method(), req.target()));
            ran.lock().unwrap().push(Run {
                at: log.at(),
                worker: name.clone(),
                attempt: attempt.clone(),
                target: req.target().to_owned(),
                tenant,
                has_key: req.header("authorization").is_some(),
            });
            thread::sleep(work);
            let head = format!("X-Attempt-Id: {attempt}\r\nX-Server-Signature: sig.{name}.{attempt}\r\nX-Server-Load: 1,0,6\r\n");
            if respond(&mut stream, "200 OK", &head, format!("stock of {attempt}\n").as_bytes()).is_err() {
                return;
            }
        }
    });
    beat(store, id, "counter-app", address, 6, Arc::new(AtomicBool::new(true)));
    address
}

static NUMBER: AtomicU64 = AtomicU64::new(0);

/// A new id of a client attempt.
pub fn attempt_id() -> String {
    format!("{:08x}{:08x}", std::process::id(), NUMBER.fetch_add(1, Ordering::Relaxed))
}

pub fn request(method: &str, path: &str, attempt: &str, key: &str, extra: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!("{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: 1500\r\nAuthorization: Bearer {key}\r\n{extra}").into_bytes();
    if method != "GET" {
        out.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    out.extend_from_slice(b"\r\n");
    out.extend_from_slice(body);
    out
}

/// Whether the disruption is made.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn close(stream: &TcpStream) {
    let _ = stream.shutdown(Shutdown::Both);
}

/// Writes the record and ends: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
pub fn verdict(record: &Record, result: Result<bool, String>) -> i32 {
    let code = match &result {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(_) => 2,
    };
    record.note(match result {
        Ok(false) => "verdict: the rule held".to_owned(),
        Ok(true) => "verdict: the rule was broken".to_owned(),
        Err(why) => format!("verdict: the case could not run: {why}"),
    });
    let path = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    record.write(Path::new(&path));
    code
}
