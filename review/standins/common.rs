//! Stand-ins of the users' platform, workers and clients, as the users' pages describe them, for the
//! scripts of the review. Standard library only; loopback only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(it: &Mutex<T>) -> MutexGuard<'_, T> {
    it.lock().unwrap_or_else(|it| it.into_inner())
}

/// What was sent, answered and run, with seconds since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn new(path: &Path) -> io::Result<Record> {
        Ok(Record {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn say(&self, line: &str) {
        let at = self.now();
        let _ = writeln!(lock(&self.file), "{at:8.3} {line}");
    }
}

/// The head of a message, with lowercase names, and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before one.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if message.first.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.first.is_empty() {
            message.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a request with its body, which has a length.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message.header("content-length");
    let length = length.and_then(|it| it.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &str) -> io::Result<()> {
    let length = body.len();
    let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
    stream.write_all(text.as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let at = |it: usize| u32::from(chunk.get(it).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for sign in 0..4 {
            match sign <= chunk.len() {
                true => text.push(char::from(SIGNS[(bits >> (18 - 6 * sign) & 63) as usize])),
                false => text.push('='),
            }
        }
    }
    text
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Key, value and revision of what stands.
    items: BTreeMap<String, (String, u64)>,
    /// Revision, key and value of each change; no value where the key was removed.
    history: Vec<(u64, String, Option<String>)>,
}

/// The platform's store: `GET /kv-range` and `GET /kv-watch`.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    /// While set, the store takes connections and answers nothing.
    pub silent: Arc<AtomicBool>,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start(ip: &str) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let state = StoreState {
            revision: 1,
            ..StoreState::default()
        };
        let store = Store {
            address: listener.local_addr()?,
            silent: Arc::default(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    pub fn put(&self, key: &str, value: &str) -> u64 {
        self.change(key, Some(base64(value.as_bytes())))
    }

    pub fn remove(&self, key: &str) -> u64 {
        self.change(key, None)
    }

    fn change(&self, key: &str, value: Option<String>) -> u64 {
        let mut state = lock(&self.state.0);
        state.revision += 1;
        let revision = state.revision;
        match &value {
            Some(value) => state
                .items
                .insert(key.to_owned(), (value.clone(), revision)),
            None => state.items.remove(key),
        };
        state.history.push((revision, key.to_owned(), value));
        self.state.1.notify_all();
        revision
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        while let Some(request) = read_request(&mut reader)? {
            let target = request.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let value = |name: &str| {
                let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
                pairs
                    .find(|(it, _)| *it == name)
                    .map(|(_, it)| it.to_owned())
            };
            let body = match path {
                "/kv-range" => self.range(&value("after-revision").unwrap_or_default()),
                "/kv-watch" => {
                    let number = |it: &str| value(it).and_then(|it| it.parse().ok()).unwrap_or(0);
                    self.watch(number("after-revision"), number("wait-ms"))
                }
                _ => {
                    answer(&mut stream, "404 Not Found", "", "{}")?;
                    continue;
                }
            };
            if self.silent.load(Ordering::SeqCst) {
                // A connection on which an answer is lost returns nothing further.
                while self.silent.load(Ordering::SeqCst) {
                    thread::sleep(Duration::from_millis(20));
                }
                return Ok(());
            }
            answer(
                &mut stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                &body,
            )?;
        }
        Ok(())
    }

    fn range(&self, after: &str) -> String {
        let state = lock(&self.state.0);
        let items = state.items.iter().filter(|(key, _)| key.as_str() > after);
        let items = items.map(|(key, (value, revision))| item(key, Some(value), *revision));
        let items = items.collect::<Vec<_>>().join(",");
        let at = state.revision;
        format!("{{\"items\":[{items}],\"has-more\":false,\"at\":{at}}}")
    }

    fn watch(&self, after: u64, wait_ms: u64) -> String {
        let ends = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut state = lock(&self.state.0);
        while state.revision <= after && Instant::now() < ends {
            let left = ends.saturating_duration_since(Instant::now());
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(|it| it.into_inner()).0;
        }
        let events = state.history.iter().filter(|(it, _, _)| *it > after);
        let events = events.map(|(revision, key, value)| item(key, value.as_ref(), *revision));
        let events = events.collect::<Vec<_>>().join(",");
        let at = state.revision;
        format!("{{\"events\":[{events}],\"at\":{at}}}")
    }
}

fn item(key: &str, value: Option<&String>, revision: u64) -> String {
    match value {
        Some(value) => format!(
            "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{revision},\"lease\":0}}"
        ),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
    }
}

/// The processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends this process and all that it started after `limit`, as one that could not run.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        for id in lock(&STARTED).iter() {
            let _ = Command::new("kill").args(["-9", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

/// A process of the system, with the run line of `deploy/system.toml`. It is killed when dropped.
pub struct Instance {
    pub front: SocketAddr,
    pub readiness: SocketAddr,
    pub child: Child,
    pub settings: PathBuf,
}

impl Instance {
    /// Starts an instance on `ip`, with the settings of `deploy/gateway.toml`.
    pub fn start(
        dir: &Path,
        name: &str,
        (ip, ports): (&str, Ports),
        zone: &str,
        store: SocketAddr,
        seeds: &[&str],
    ) -> io::Result<Instance> {
        let template = std::fs::read_to_string("deploy/gateway.toml")?;
        let seeds: Vec<String> = seeds
            .iter()
            .map(|it| format!("\"{it}:{}\"", ports.peers))
            .collect();
        let mut text = template;
        let begin = text.find("{{#seeds}}").unwrap_or(0);
        let end = text
            .find("{{/seeds}}")
            .map_or(0, |it| it + "{{/seeds}}".len());
        text.replace_range(begin..end, &seeds.join(","));
        for (field, value) in [
            ("{{node-name}}", name.to_owned()),
            ("{{zone}}", zone.to_owned()),
            ("{{limits.cpu-share}}", "0.25".to_owned()),
            ("{{listen.frontend}}", format!("{ip}:{}", ports.front)),
            ("{{listen.readiness}}", format!("{ip}:{}", ports.readiness)),
            (
                "{{ip}}:{{internal-ports.0}}",
                format!("{ip}:{}", ports.peers),
            ),
            ("{{ip}}:9464", format!("{ip}:{}", ports.metrics)),
            ("{{platform.address}}", store.to_string()),
            ("{{bounds.retry-budget-ratio}}", "0.2".to_owned()),
            ("{{bounds.budget-slack}}", "52".to_owned()),
            ("{{bounds.budget-window-s}}", "10".to_owned()),
            ("{{bounds.grace-s}}", "8".to_owned()),
        ] {
            text = text.replace(field, &value);
        }
        if text.contains("{{") {
            let error = format!("the template has fields that are not filled in: {text}");
            return Err(io::Error::new(io::ErrorKind::InvalidData, error));
        }
        let settings = dir.join(format!("{name}.toml"));
        std::fs::write(&settings, text)?;
        let log = File::create(dir.join(format!("{name}.log")))?;
        let child = Command::new("target/release/oriolemux")
            .arg("gateway")
            .env("ORIOLEMUX_CONFIG", &settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        lock(&STARTED).push(child.id());
        let address = |port: u16| -> SocketAddr {
            let ip = ip.parse().unwrap_or(std::net::Ipv4Addr::LOCALHOST);
            SocketAddr::new(std::net::IpAddr::V4(ip), port)
        };
        Ok(Instance {
            front: address(ports.front),
            readiness: address(ports.readiness),
            child,
            settings,
        })
    }

    /// Asks for `/readyz` until the answer is 200; returns whether it was in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            let text = "GET /readyz HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n";
            if let Ok(answer) = exchange(self.readiness, text.as_bytes(), Duration::from_secs(1)) {
                if answer.status() == 200 {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Instance {
    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.child.id().to_string();
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()?;
        Ok(())
    }
}

impl Drop for Instance {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a request and reads the head of the answer.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&to, limit)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let head = read_head(&mut BufReader::new(stream))?;
    head.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// The ports of instances, the same on all addresses.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub readiness: u16,
    pub peers: u16,
    pub metrics: u16,
}

impl Ports {
    /// Returns ports that are free on each of `ips`.
    pub fn free(ips: &[&str]) -> io::Result<Ports> {
        let mut held = Vec::new();
        let mut ports = Vec::new();
        while ports.len() < 4 {
            let first = TcpListener::bind((ips[0], 0))?;
            let port = first.local_addr()?.port();
            let others: Vec<_> = ips[1..]
                .iter()
                .map(|it| TcpListener::bind((*it, port)))
                .collect();
            let sockets: Vec<_> = ips.iter().map(|it| UdpSocket::bind((*it, port))).collect();
            if others.iter().all(Result::is_ok) && sockets.iter().all(Result::is_ok) {
                ports.push(port);
            }
            held.push((first, others, sockets));
        }
        Ok(Ports {
            front: ports[0],
            readiness: ports[1],
            peers: ports[2],
            metrics: ports[3],
        })
    }
}

/// Reads the rest of a chunked body; returns what arrived and whether it is complete.
pub fn read_chunks(reader: &mut impl BufRead) -> (Vec<u8>, bool) {
    let mut all = Vec::new();
    loop {
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(length) if length > 0 => {}
            _ => return (all, false),
        }
        let Ok(size) = usize::from_str_radix(line.trim(), 16) else {
            return (all, false);
        };
        let mut chunk = vec![0; size + 2];
        if reader.read_exact(&mut chunk).is_err() {
            return (all, false);
        }
        if size == 0 {
            return (all, true);
        }
        all.extend_from_slice(&chunk[..size]);
    }
}

/// A folder of its own for one run.
pub fn temporary_folder() -> io::Result<PathBuf> {
    let dir = std::env::temp_dir().join(format!("oriolemux-review-{}", std::process::id()));
    std::fs::create_dir_all(&dir)?;
    Ok(dir)
}

/// Whether the disruption is played.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
