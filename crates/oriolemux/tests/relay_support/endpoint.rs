//! An endpoint that responds by script and records the requests it receives.

#![allow(dead_code, reason = "each test file uses a part of this")]

use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

/// What the endpoint does after the bytes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Then {
    /// Waits for the next request on the same connection.
    KeepOpen,
    /// Closes the connection.
    Close,
    /// Keeps the connection open and sends nothing more.
    Hang,
}

/// One response of the script.
#[derive(Clone, Debug)]
pub struct ScriptedResponse {
    pub bytes: Vec<u8>,
    pub then: Then,
}

/// A running endpoint.
pub struct FakeEndpoint {
    pub address: SocketAddr,
    requests: mpsc::UnboundedReceiver<String>,
}

impl FakeEndpoint {
    /// Responds to the first request with the first response and so on, on whichever connections
    /// the requests arrive.
    pub async fn start(script: Vec<ScriptedResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (tx, requests) = mpsc::unbounded_channel();
        tokio::spawn(serve(listener, script, tx));
        FakeEndpoint { address, requests }
    }

    /// Waits for the next request.
    pub async fn request(&mut self) -> String {
        self.requests.recv().await.expect("the endpoint runs")
    }

    /// Returns the next request if one was read already.
    pub fn try_request(&mut self) -> Option<String> {
        self.requests.try_recv().ok()
    }
}

async fn serve(
    listener: TcpListener,
    script: Vec<ScriptedResponse>,
    tx: mpsc::UnboundedSender<String>,
) {
    let script = std::sync::Arc::new(std::sync::Mutex::new(script.into_iter()));
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        let script = script.clone();
        let tx = tx.clone();
        tokio::spawn(async move { serve_connection(stream, &script, &tx).await });
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    script: &std::sync::Mutex<std::vec::IntoIter<ScriptedResponse>>,
    tx: &mpsc::UnboundedSender<String>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let _ = tx.send(request);
        let Some(response) = script.lock().unwrap().next() else {
            return;
        };
        if stream.write_all(&response.bytes).await.is_err() {
            return;
        }
        match response.then {
            Then::KeepOpen => {}
            Then::Close => return,
            Then::Hang => {
                let mut rest = Vec::new();
                let _ = stream.read_to_end(&mut rest).await;
                return;
            }
        }
    }
}

/// Reads one request with its body; `None` if the connection ends.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    loop {
        let mut byte = [0; 1];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
        if bytes.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(bytes).unwrap();
    let mut body = vec![0; content_length(&head)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

fn content_length(head: &str) -> usize {
    let line = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    line.map_or(0, |value| value.parse().unwrap())
}

/// Returns the head of an event stream that ends with the connection.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\r\n".to_owned()
}

/// Returns a token event.
pub fn token(attempt: &str, index: u32, text: &str) -> String {
    format!(
        "id: {attempt}:{index}\ndata: {{\"id\":\"{attempt}\",\"index\":{index},\"text\":\"{text}\"}}\n\n"
    )
}

/// Returns the end mark of `tokens` tokens.
pub fn end(attempt: &str, tokens: u32) -> String {
    format!(
        "data: {{\"id\":\"{attempt}\",\"index\":{tokens},\"finish_reason\":\"stop\",\
         \"usage\":{{\"prompt_tokens\":3,\"completion_tokens\":{tokens}}}}}\n\ndata: [DONE]\n\n"
    )
}

/// Returns the events of a complete generation.
pub fn generation(attempt: &str, texts: &[&str]) -> String {
    let mut out = String::new();
    for (index, text) in (0..).zip(texts) {
        out += &token(attempt, index, text);
    }
    out + &end(attempt, texts.len() as u32)
}

/// Returns a response that is a stream of these events, after which the connection is closed.
pub fn stream(events: &str) -> ScriptedResponse {
    ScriptedResponse {
        bytes: (stream_head() + events).into_bytes(),
        then: Then::Close,
    }
}

/// Returns a full response with a body, after which the connection stays open.
pub fn full_response(status: &str, headers: &str, body: &str) -> ScriptedResponse {
    let len = body.len();
    let bytes = format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n\r\n{body}");
    ScriptedResponse {
        bytes: bytes.into_bytes(),
        then: Then::KeepOpen,
    }
}
