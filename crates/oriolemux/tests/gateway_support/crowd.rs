//! Many callers at once that send what they like and read nothing.

use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::timeout;

/// How long a crowd may take to send, or a process to read. Only a failing test waits this long.
const SEND_TIMEOUT: Duration = Duration::from_secs(120);

/// The pause between two looks at a queue.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a caller waits for room in its connection before it counts as blocked.
const BLOCKED_AFTER: Duration = Duration::from_millis(500);

/// Stands for the number of a caller in a head.
const NUMBER: &str = "{number}";

/// Returns the head of a request with a valid key and this framing.
pub fn call_head(path: &str, framing: &str) -> String {
    let method = if path.starts_with("/read/") || path.starts_with("/files/") {
        "GET"
    } else {
        "POST"
    };
    format!(
        "{method} {path} HTTP/1.1\r\nhost: desk.example\r\nauthorization: Bearer key-1\r\n\
         x-attempt-id: crowd-{NUMBER}\r\nx-deadline-ms: 120000\r\n{framing}{HEAD_END}"
    )
}

/// The end of a head.
const HEAD_END: &str = "\r\n\r\n";

/// Returns the head of a call without its framing.
fn call_start() -> String {
    call_head("/once/1", "").trim_end().to_owned() + "\r\n"
}

/// What each caller sends.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The head without its framing; empty for bytes without a head.
    start: String,
    framing: String,
    body: Arc<Vec<u8>>,
    /// How many bytes of the body its end has.
    end: usize,
    /// How many bytes are written at once.
    piece: usize,
}

impl Shape {
    /// A body with a length, sent in pieces.
    pub fn announced(length: usize, piece: usize) -> Shape {
        const MOST: usize = 16 * 1024 * 1024;
        Shape {
            start: call_start(),
            framing: format!("content-length: {length}{HEAD_END}"),
            body: Arc::new(vec![b'x'; length.min(MOST)]),
            end: 1,
            piece,
        }
    }

    /// A body of `length` bytes in chunks.
    pub fn chunked(length: usize, chunk: usize) -> Shape {
        Shape::in_chunks(length.div_ceil(chunk), &format!("{chunk:x}"), chunk)
    }

    /// A body in chunks of one byte, whose sizes have `digits` digits.
    pub fn padded(chunks: usize, digits: usize) -> Shape {
        Shape::in_chunks(chunks, &format!("{:0digits$x}", 1), 1)
    }

    fn in_chunks(count: usize, size: &str, chunk: usize) -> Shape {
        const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
        let mut body = format!("{size}\r\n{}\r\n", "x".repeat(chunk))
            .repeat(count)
            .into_bytes();
        body.extend_from_slice(LAST_CHUNK);
        Shape {
            start: call_start(),
            framing: format!("transfer-encoding: chunked{HEAD_END}"),
            body: Arc::new(body),
            end: LAST_CHUNK.len(),
            piece: 64 * 1024,
        }
    }

    /// Bytes as they are.
    pub fn raw(bytes: Vec<u8>) -> Shape {
        Shape {
            start: String::new(),
            framing: String::new(),
            piece: bytes.len().max(1),
            body: Arc::new(bytes),
            end: 0,
        }
    }

    /// Sends the body behind a head that begins with `start`.
    #[allow(dead_code, reason = "each test file uses a part of this")]
    pub fn behind(mut self, start: &str) -> Shape {
        self.start = start.to_owned();
        self
    }

    /// Sends at most this many bytes of the body.
    pub fn cut_after(mut self, bytes: usize) -> Shape {
        let body = &self.body[..bytes.min(self.body.len())];
        self.body = Arc::new(body.to_vec());
        self
    }

    /// Leaves out the end of the body.
    pub fn without_end(mut self) -> Shape {
        let body = &self.body[..self.body.len() - self.end];
        self.body = Arc::new(body.to_vec());
        self
    }

    async fn write(self, number: usize, stream: &mut TcpStream) -> std::io::Result<()> {
        let head = self.start + &self.framing;
        let head = head.replace(NUMBER, &number.to_string());
        stream.set_nodelay(true)?;
        stream.write_all(head.as_bytes()).await?;
        for piece in self.body.chunks(self.piece) {
            stream.write_all(piece).await?;
        }
        Ok(())
    }
}

/// Callers that keep their connections open until they are dropped.
pub struct Crowd {
    streams: Vec<TcpStream>,
}

impl Crowd {
    /// Lets `callers` callers connect and send `shape`; returns once each has sent it, or failed to.
    pub async fn send(address: SocketAddr, callers: usize, shape: &Shape) -> Crowd {
        let mut sending = JoinSet::new();
        for number in 0..callers {
            let shape = shape.clone();
            sending.spawn(async move {
                let mut stream = TcpStream::connect(address).await.expect("a connection");
                // It may have been refused.
                let _ = shape.write(number, &mut stream).await;
                stream
            });
        }
        let sent = timeout(SEND_TIMEOUT, sending.join_all()).await;
        Crowd {
            streams: sent.expect("all is read or refused"),
        }
    }

    /// Lets all callers send `bytes`, until those of each are sent or its connection takes no more.
    pub async fn fill(&mut self, bytes: &[u8]) {
        let mut sending = JoinSet::new();
        let bytes: Arc<[u8]> = bytes.into();
        for mut stream in self.streams.drain(..) {
            let bytes = Arc::clone(&bytes);
            sending.spawn(async move {
                let mut rest = &bytes[..];
                while !rest.is_empty() {
                    match timeout(BLOCKED_AFTER, stream.write(rest)).await {
                        Ok(Ok(length)) => rest = &rest[length..],
                        Ok(Err(_)) | Err(_) => break,
                    }
                }
                stream
            });
        }
        self.streams = sending.join_all().await;
    }

    /// Lets all callers send `request` and read `response` bytes at least, one after the other.
    pub async fn exchange(&mut self, request: &[u8]) {
        for stream in &mut self.streams {
            stream.write_all(request).await.expect("it is read");
            let mut response = Vec::new();
            while !response.windows(4).any(|it| it == b"\r\n\r\n") {
                let length = stream.read_buf(&mut response).await.expect("a response");
                assert!(length > 0, "the connection was closed");
            }
        }
    }

    /// Waits until each caller has got some of its response, or its connection was closed.
    pub async fn has_begun(&self) {
        for stream in &self.streams {
            let begun = timeout(SEND_TIMEOUT, stream.peek(&mut [0])).await;
            // It may have been reset.
            let _ = begun.expect("a response");
        }
    }

    /// Waits until the process at `address` has read all that it received, or closed the connections.
    pub async fn is_read(&self, address: SocketAddr) {
        is_empty(|| unread(address)).await;
    }

    /// Waits until the process at `address` has accepted all connections.
    pub async fn is_accepted(&self, address: SocketAddr) {
        is_empty(|| sum_of_queues(address, LISTENS)).await;
    }
}

/// Waits until a queue is empty.
async fn is_empty(queue: impl Fn() -> usize) {
    let emptied = async {
        while queue() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(SEND_TIMEOUT, emptied)
        .await
        .expect("an empty queue");
}

/// The states of sockets that the system names.
const ESTABLISHED: &str = "01";
const LISTENS: &str = "0A";

/// Returns how many bytes have arrived at `address` that nobody has read.
pub fn unread(address: SocketAddr) -> usize {
    sum_of_queues(address, ESTABLISHED)
}

/// Returns how many bytes of the server at `address` have arrived that its clients have not read.
#[allow(dead_code, reason = "each test file uses a part of this")]
pub fn unread_from(address: SocketAddrV4) -> usize {
    let remote = listed(address);
    sum_of_queues_where(|_, it, state| it == remote && state == ESTABLISHED)
}

/// Returns the sum of the receive queues of sockets with a local address and a state. That of a
/// listener is its connections that were not accepted.
fn sum_of_queues(address: SocketAddr, state: &str) -> usize {
    let SocketAddr::V4(address) = address else {
        panic!("tests listen on IPv4")
    };
    let local = listed(address);
    sum_of_queues_where(|it, _, is| it == local && is == state)
}

/// Returns an address as the system lists it.
fn listed(address: SocketAddrV4) -> String {
    let ip = u32::from_ne_bytes(address.ip().octets());
    format!("{ip:08X}:{:04X}", address.port())
}

/// Returns the sum of the receive queues of sockets whose local address, remote address and state are
/// wanted.
fn sum_of_queues_where(is_wanted: impl Fn(&str, &str, &str) -> bool) -> usize {
    let sockets = std::fs::read_to_string("/proc/net/tcp").expect("the system lists its sockets");
    let queues = sockets.lines().filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_, received) = fields.next()?.split_once(':')?;
        let received = usize::from_str_radix(received, 16).ok()?;
        is_wanted(local, remote, state).then_some(received)
    });
    queues.sum()
}

/// Starts an endpoint that answers each request with `length` bytes.
pub async fn long_endpoint(length: usize) -> SocketAddrV4 {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let SocketAddr::V4(address) = listener.local_addr().expect("an address") else {
        panic!("bound to IPv4")
    };
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_long(stream, length));
        }
    });
    address
}

async fn answer_long(mut stream: TcpStream, length: usize) {
    let mut received = Vec::new();
    while !received.windows(4).any(|it| it == b"\r\n\r\n") {
        match stream.read_buf(&mut received).await {
            Ok(length) if length > 0 => {}
            // The instance only checks who listens here.
            _ => return,
        }
    }
    let head =
        format!("HTTP/1.1 200 OK\r\nx-server-signature: sig.1\r\ncontent-length: {length}\r\n\r\n");
    // The instance may have left.
    let _ = stream.write_all(head.as_bytes()).await;
    let filler = [b'x'; 64 * 1024];
    let mut missing = length;
    while missing > 0 {
        let piece = missing.min(filler.len());
        if stream.write_all(&filler[..piece]).await.is_err() {
            return;
        }
        missing -= piece;
    }
    let _ = stream.read_buf(&mut received).await;
}
