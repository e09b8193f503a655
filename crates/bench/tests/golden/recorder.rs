//! Stands before an endpoint and keeps the bytes of every exchange.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};

/// Paths that are asked for all the time and by the clock, so that they are no
/// part of a session.
const BY_THE_CLOCK: [&str; 3] = ["/v1/load", "/v1/cache-events", "/v1/orders"];

/// The bytes of one connection.
#[derive(Debug, Default)]
struct Connection {
    to_endpoint: Vec<u8>,
    from_endpoint: Vec<u8>,
}

/// One request to the endpoint and what it answered.
#[derive(Debug)]
pub struct Exchange {
    pub request: String,
    pub answer: String,
}

/// A running recorder.
#[derive(Debug)]
pub struct Recorder {
    pub address: SocketAddr,
    connections: Arc<Mutex<Vec<Arc<Mutex<Connection>>>>>,
}

impl Recorder {
    /// Starts a recorder before `endpoint`.
    pub async fn start(endpoint: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                let connection = Arc::new(Mutex::new(Connection::default()));
                kept.lock().unwrap().push(Arc::clone(&connection));
                let far = TcpStream::connect(endpoint).await.unwrap();
                let (near_read, near_write) = near.into_split();
                let (far_read, far_write) = far.into_split();
                let to = Arc::clone(&connection);
                tokio::spawn(pump(near_read, far_write, move |bytes| {
                    to.lock().unwrap().to_endpoint.extend_from_slice(bytes);
                }));
                tokio::spawn(pump(far_read, near_write, move |bytes| {
                    connection
                        .lock()
                        .unwrap()
                        .from_endpoint
                        .extend_from_slice(bytes);
                }));
            }
        });
        Recorder {
            address,
            connections,
        }
    }

    /// Returns the session's exchanges so far, in the order of their connections.
    pub fn exchanges(&self) -> Vec<Exchange> {
        let connections = self.connections.lock().unwrap();
        let mut exchanges = Vec::new();
        for connection in connections.iter() {
            let connection = connection.lock().unwrap();
            let requests = split(&connection.to_endpoint);
            let mut answers = split(&connection.from_endpoint).into_iter();
            for request in requests {
                let answer = answers.next().unwrap_or_default();
                exchanges.push(Exchange { request, answer });
            }
        }
        exchanges.retain(|exchange| !is_by_the_clock(&exchange.request));
        exchanges
    }

    /// Waits until `wanted` holds for the exchanges so far.
    pub async fn wait_for(&self, wanted: impl Fn(&[Exchange]) -> bool) -> Vec<Exchange> {
        const LIMIT: Duration = Duration::from_secs(30);
        const POLL: Duration = Duration::from_millis(10);
        let deadline = tokio::time::Instant::now() + LIMIT;
        loop {
            let exchanges = self.exchanges();
            if wanted(&exchanges) {
                return exchanges;
            }
            assert!(tokio::time::Instant::now() < deadline, "{exchanges:#?}");
            tokio::time::sleep(POLL).await;
        }
    }
}

fn is_by_the_clock(request: &str) -> bool {
    let path = request.split(' ').nth(1).unwrap_or_default();
    BY_THE_CLOCK.iter().any(|prefix| path.starts_with(prefix))
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, keep: impl Fn(&[u8])) {
    let mut buf = vec![0; 64 * 1024];
    while let Ok(n @ 1..) = from.read(&mut buf).await {
        keep(&buf[..n]);
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}

/// Splits the bytes of one direction into messages without chunked framing.
/// The last one may be cut.
fn split(bytes: &[u8]) -> Vec<String> {
    let mut messages = Vec::new();
    let mut rest = bytes;
    while let Some(end) = find(rest, b"\r\n\r\n") {
        let (head, after) = rest.split_at(end + 4);
        let head = String::from_utf8(head.to_vec()).unwrap();
        let (body, used) = body(&head, after);
        messages.push(head + &String::from_utf8_lossy(&body));
        rest = &after[used..];
    }
    messages
}

/// Returns the body that follows `head`, and how many bytes it took.
pub fn body(head: &str, bytes: &[u8]) -> (Vec<u8>, usize) {
    let lower = head.to_ascii_lowercase();
    if lower.contains("transfer-encoding: chunked") {
        return unchunk(bytes);
    }
    let length = lower
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length = length.map_or(0, |text| text.parse().unwrap());
    let used = bytes.len().min(length);
    (bytes[..used].to_vec(), used)
}

fn unchunk(bytes: &[u8]) -> (Vec<u8>, usize) {
    let mut body = Vec::new();
    let mut at = 0;
    while let Some(line) = find(&bytes[at..], b"\r\n") {
        let size = std::str::from_utf8(&bytes[at..at + line]).unwrap();
        let size = usize::from_str_radix(size, 16).unwrap();
        let start = at + line + 2;
        if size == 0 || start + size + 2 > bytes.len() {
            return (body, (start + 2).min(bytes.len()));
        }
        body.extend_from_slice(&bytes[start..start + size]);
        at = start + size + 2;
    }
    (body, bytes.len())
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
