//! Callers that read as fast as they can.

use super::RelayBenchError;
use super::engine::now_micros;
use crate::fleet::catalogue::{PLAN, SCHOOL_KEY};
use hdrhistogram::Histogram;
use std::net::SocketAddr;
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Bytes read at a time.
const READ_BYTES: usize = 256 * 1024;

/// What marks a token, in the engine's events and in the instance's.
const TOKEN_MARK: &[u8] = b"\"text\":\" ";

/// The largest latency that is recorded, in microseconds.
const MAX_LATENCY: u64 = 60_000_000;

/// Latencies of the tokens of many streams.
#[derive(Debug)]
pub struct PacedResult {
    /// From the engine's write to the client's read, in microseconds.
    pub latency: Histogram<u64>,
    /// Between the reads of two tokens of a stream, in microseconds.
    pub gap: Histogram<u64>,
}

impl PacedResult {
    fn new() -> Self {
        let histogram = || Histogram::new_with_max(MAX_LATENCY, 3).expect("valid bounds");
        PacedResult {
            latency: histogram(),
            gap: histogram(),
        }
    }

    fn add(&mut self, other: &PacedResult) {
        self.latency += &other.latency;
        self.gap += &other.gap;
    }
}

/// Reads `streams` streams at once as fast as they come, `requests` times in a row.
pub async fn read_saturated(
    address: SocketAddr,
    streams: usize,
    requests: u32,
    tokens: u32,
) -> Result<(), RelayBenchError> {
    let mut readers = JoinSet::new();
    for _ in 0..streams {
        readers.spawn(async move {
            for _ in 0..requests {
                read_counting(address, tokens).await?;
            }
            Ok::<(), RelayBenchError>(())
        });
    }
    while let Some(read) = readers.join_next().await {
        read.map_err(io::Error::other)??;
    }
    Ok(())
}

/// Reads `streams` paced streams at once, spread evenly over `addresses`.
pub async fn read_paced(
    addresses: &[SocketAddr],
    streams: usize,
    tokens: u32,
) -> Result<PacedResult, RelayBenchError> {
    let mut readers = JoinSet::new();
    for (_, &address) in (0..streams).zip(addresses.iter().cycle()) {
        readers.spawn(read_timing(address, tokens));
    }
    let mut all = PacedResult::new();
    while let Some(read) = readers.join_next().await {
        all.add(&read.map_err(io::Error::other)??);
    }
    Ok(all)
}

async fn read_counting(address: SocketAddr, tokens: u32) -> Result<(), RelayBenchError> {
    let mut stream = ask(address).await?;
    let mut buf = vec![0; READ_BYTES];
    let mut tail = Vec::new();
    let mut got = 0;
    loop {
        let n = stream.read(&mut buf).await?;
        if n == 0 {
            break;
        }
        got += count_tokens(&mut tail, &buf[..n]);
    }
    check(got, tokens)
}

async fn read_timing(address: SocketAddr, tokens: u32) -> Result<PacedResult, RelayBenchError> {
    let mut stream = ask(address).await?;
    let mut result = PacedResult::new();
    let mut buf = Vec::with_capacity(READ_BYTES);
    let mut last = None;
    let mut got = 0;
    loop {
        if stream.read_buf(&mut buf).await? == 0 {
            break;
        }
        let now = now_micros();
        while let Some((stamp, used)) = next_stamp(&buf) {
            buf.drain(..used);
            got += 1;
            result.latency.saturating_record(now.saturating_sub(stamp));
            if let Some(last) = last.replace(now) {
                result.gap.saturating_record(now - last);
            }
        }
        if buf.ends_with(b"0\r\n\r\n") {
            break;
        }
    }
    check(got, tokens)?;
    Ok(result)
}

fn check(got: u32, expected: u32) -> Result<(), RelayBenchError> {
    if got == expected {
        return Ok(());
    }
    Err(RelayBenchError::Cut { got, expected })
}

/// Sends a request for a stream.
async fn ask(address: SocketAddr) -> io::Result<TcpStream> {
    let body = format!(r#"{{"model":"{PLAN}","prompt":"Draft a plan","stream":true}}"#);
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: bench\r\nauthorization: Bearer {SCHOOL_KEY}\r\n\
         content-type: application/json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Counts token marks, also those that straddle two reads.
fn count_tokens(tail: &mut Vec<u8>, bytes: &[u8]) -> u32 {
    let mut count = 0;
    tail.extend_from_slice(&bytes[..bytes.len().min(TOKEN_MARK.len() - 1)]);
    count += count_marks(tail);
    count += count_marks(bytes);
    // A short read may still be the middle of a mark, so what came before it
    // is kept as well.
    let all = match bytes.len() < TOKEN_MARK.len() {
        true => core::mem::take(tail),
        false => bytes.to_vec(),
    };
    *tail = all[all.len().saturating_sub(TOKEN_MARK.len() - 1)..].to_vec();
    count
}

fn count_marks(bytes: &[u8]) -> u32 {
    let mut count = 0;
    let mut rest = bytes;
    while let Some(at) = rest.iter().position(|&byte| byte == b't') {
        let from = at.saturating_sub(1);
        if rest[from..].starts_with(TOKEN_MARK) {
            count += 1;
        }
        rest = &rest[at + 1..];
    }
    count
}

/// Returns the time that the next token carries, and how many bytes it took.
fn next_stamp(bytes: &[u8]) -> Option<(u64, usize)> {
    let at = bytes
        .windows(TOKEN_MARK.len())
        .position(|window| window == TOKEN_MARK)?;
    let start = at + TOKEN_MARK.len();
    let len = bytes[start..].iter().position(|&byte| byte == b'"')?;
    let stamp = std::str::from_utf8(&bytes[start..start + len]).ok()?;
    Some((stamp.parse().ok()?, start + len))
}
