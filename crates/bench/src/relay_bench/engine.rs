//! A bare engine: answers every completion with customary token events.

use crate::fleet::list::MODEL;
use oriolemux_core::event::{LoadReport, LoadedModel};
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::OnceLock;
use std::time::{Duration, Instant};
use tokio::io::{self, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// When tokens are written.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// As fast as the connection takes them.
    Saturated,
    /// One token for every stream at each step.
    Steps {
        /// Time between steps.
        every: Duration,
        /// When the first step is, from the common start.
        offset: Duration,
    },
}

/// Tokens in one write of a saturated stream.
const TOKENS_PER_WRITE: u32 = 32;

/// Microseconds since the first call in this process; engine and client share it.
pub fn now_micros() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    let since = START.get_or_init(Instant::now).elapsed();
    u64::try_from(since.as_micros()).unwrap_or(u64::MAX)
}

/// A running engine.
#[derive(Debug)]
pub struct EngineServer {
    address: SocketAddr,
    task: tokio::task::JoinHandle<()>,
}

impl EngineServer {
    /// Starts an engine whose generations have `tokens` tokens.
    pub async fn start(pace: Pace, tokens: u32) -> io::Result<Self> {
        now_micros();
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(async move { serve(stream, pace, tokens).await });
            }
        });
        Ok(EngineServer { address, task })
    }

    /// Returns where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for EngineServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn serve(mut stream: TcpStream, pace: Pace, tokens: u32) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut unread = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut unread).await? {
        match request {
            Request::Completion { attempt } => {
                write_generation(&mut stream, &attempt, pace, tokens).await?;
            }
            Request::Load => write_whole(&mut stream, "200 OK", &load_report()).await?,
            Request::Other => write_whole(&mut stream, "404 Not Found", "").await?,
        }
    }
    Ok(())
}

/// Says that there is room for everything, so that only the relay is measured.
fn load_report() -> String {
    let report = LoadReport {
        kv_tokens_total: 1_000_000_000,
        max_running: 100_000,
        models: vec![LoadedModel {
            name: MODEL.to_owned(),
            version: "1".to_owned(),
            adapters: Vec::new(),
        }],
        ..LoadReport::default()
    };
    serde_json::to_string(&report).unwrap_or_default()
}

async fn write_whole(stream: &mut TcpStream, status: &str, body: &str) -> io::Result<()> {
    let len = body.len();
    let answer = format!("HTTP/1.1 {status}\r\ncontent-length: {len}\r\n\r\n{body}");
    stream.write_all(answer.as_bytes()).await
}

async fn write_generation(
    stream: &mut TcpStream,
    attempt: &str,
    pace: Pace,
    tokens: u32,
) -> io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    match pace {
        Pace::Saturated => write_saturated(stream, attempt, tokens).await?,
        Pace::Steps { every, offset } => {
            write_steps(stream, attempt, tokens, every, offset).await?;
        }
    }
    let mut out = Vec::new();
    write_end(&mut out, attempt, tokens);
    stream.write_all(&out).await
}

async fn write_saturated(stream: &mut TcpStream, attempt: &str, tokens: u32) -> io::Result<()> {
    let mut out = Vec::new();
    for index in 0..tokens {
        write_token(&mut out, attempt, index, " word");
        if (index + 1) % TOKENS_PER_WRITE == 0 {
            stream.write_all(&out).await?;
            out.clear();
        }
    }
    stream.write_all(&out).await
}

async fn write_steps(
    stream: &mut TcpStream,
    attempt: &str,
    tokens: u32,
    every: Duration,
    offset: Duration,
) -> io::Result<()> {
    let mut out = Vec::new();
    for index in 0..tokens {
        tokio::time::sleep(until_next_step(every, offset)).await;
        out.clear();
        write_token(&mut out, attempt, index, &format!(" {}", now_micros()));
        stream.write_all(&out).await?;
    }
    Ok(())
}

/// Steps lie on a grid that all streams of an engine share.
fn until_next_step(every: Duration, offset: Duration) -> Duration {
    let every = every.as_micros() as u64;
    let into_step = (now_micros() + every - offset.as_micros() as u64) % every;
    Duration::from_micros(every - into_step)
}

fn write_token(out: &mut Vec<u8>, attempt: &str, index: u32, text: &str) {
    let event = format!(
        "id: {attempt}:{index}\ndata: {{\"id\":\"{attempt}\",\"index\":{index},\"text\":\"{text}\"}}\n\n"
    );
    write_chunk(out, &event);
}

fn write_end(out: &mut Vec<u8>, attempt: &str, tokens: u32) {
    let event = format!(
        "data: {{\"id\":\"{attempt}\",\"index\":{tokens},\"finish_reason\":\"stop\",\
         \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    );
    write_chunk(out, &event);
    out.extend_from_slice(b"0\r\n\r\n");
}

fn write_chunk(out: &mut Vec<u8>, event: &str) {
    write!(out, "{:x}\r\n{event}\r\n", event.len()).expect("a vector takes all bytes");
}

/// What the engine is asked for.
#[derive(Debug)]
enum Request {
    Completion { attempt: String },
    Load,
    Other,
}

/// Reads a request; `None` at the end of the connection.
async fn read_request(stream: &mut TcpStream, unread: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        if let Some((request, used)) = parse_request(unread) {
            unread.drain(..used);
            return Ok(Some(request));
        }
        if stream.read_buf(unread).await? == 0 {
            return Ok(None);
        }
    }
}

/// Returns the request at the start of `bytes` and its length, if it is whole.
fn parse_request(bytes: &[u8]) -> Option<(Request, usize)> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, rest) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let first = lines.next()?;
    let len = lines.find_map(|line| line.strip_prefix("content-length: "));
    let len: usize = len.map_or(Some(0), |len| len.parse().ok())?;
    let body = rest.get(..len)?;
    let request = match first {
        "POST /v1/completions HTTP/1.1" => Request::Completion {
            attempt: attempt_of(body),
        },
        "GET /v1/load HTTP/1.1" => Request::Load,
        _ => Request::Other,
    };
    Some((request, text.len() - rest.len() + len))
}

/// A caller straight at the engine names no attempt.
fn attempt_of(body: &str) -> String {
    let json: Value = serde_json::from_str(body).unwrap_or_default();
    json["attempt_id"].as_str().unwrap_or("direct").to_owned()
}
