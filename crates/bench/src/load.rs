//! A caller that records what it got, byte for byte.
//!
//! [`Caller`] sends one request to an instance and waits for its end. What it
//! returns is a [`Received`]: the text exactly as it came, the times of the
//! tokens and how the request ended, as the caller saw it and nothing else.

pub mod received;
pub mod request;
pub mod sse;

pub use received::{CallerEnding, Received};
pub use request::{CallRequest, CompletionCall};

use received::{Chunk, ErrorBody, LEFT, parse_error};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long a connection to an instance may take.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// The response header that names the request.
const REQUEST_HEADER: &str = "Oriolemux-Request";
/// The end mark of a stream.
const DONE: &str = "[DONE]";

/// A client of instances. Cheap to clone; clones share connections.
#[derive(Clone, Debug)]
pub struct Caller {
    http: reqwest::Client,
    key: String,
}

impl Caller {
    /// Creates a caller that shows `key` with every request.
    pub fn new(key: &str) -> Result<Self, reqwest::Error> {
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_LIMIT)
            // A caller must see each failure itself; a hidden retry would make
            // one request look like two to the checker.
            .pool_max_idle_per_host(0)
            .redirect(reqwest::redirect::Policy::none())
            .no_proxy()
            .build()?;
        Ok(Caller {
            http,
            key: key.to_owned(),
        })
    }

    /// Sends a completion to `instance` and waits for its end.
    pub async fn complete(&self, instance: SocketAddr, call: &CompletionCall) -> Received {
        self.complete_observed(instance, call, |_| {}).await
    }

    /// Sends a completion to `instance`, shows each token as it comes and waits for the end.
    pub async fn complete_observed(
        &self,
        instance: SocketAddr,
        call: &CompletionCall,
        mut on_token: impl FnMut(&str),
    ) -> Received {
        let mut http = self
            .http
            .post(format!("http://{instance}/v1/completions"))
            .bearer_auth(&self.key)
            .json(&call.body());
        for (name, value) in call.headers() {
            http = http.header(name, value);
        }
        let mut received = Received::new(&call.prompt);
        let begun = Instant::now();
        received.ending = match http.send().await {
            Err(error) => send_failed(&error),
            Ok(response) => {
                note_head(&mut received, &response);
                if !response.status().is_success() {
                    refused(response).await
                } else if call.stream {
                    read_stream(
                        response,
                        &mut received,
                        begun,
                        call.leave_after,
                        &mut on_token,
                    )
                    .await
                } else {
                    read_whole(response, &mut received, begun).await
                }
            }
        };
        received.lasted_us = micros(begun.elapsed());
        received
    }

    /// Calls a plain service through `instance` and waits for its answer.
    pub async fn call(&self, instance: SocketAddr, call: &CallRequest) -> Received {
        let mut http = self
            .http
            .post(format!("http://{instance}/v1/services/{}", call.entry))
            .bearer_auth(&self.key)
            .body(call.body.clone());
        for (name, value) in call.headers() {
            http = http.header(name, value);
        }
        let mut received = Received::new(&call.body);
        let begun = Instant::now();
        received.ending = match http.send().await {
            Err(error) => send_failed(&error),
            Ok(response) => {
                note_head(&mut received, &response);
                if !response.status().is_success() {
                    refused(response).await
                } else {
                    read_answer(response, &mut received, begun).await
                }
            }
        };
        received.lasted_us = micros(begun.elapsed());
        received
    }

    /// Draws a ticket from `instance`.
    pub async fn ticket(&self, instance: SocketAddr) -> Result<String, reqwest::Error> {
        let response = self
            .http
            .post(format!("http://{instance}/v1/tickets"))
            .bearer_auth(&self.key)
            .send()
            .await?;
        let ticket: received::Ticket = response.error_for_status()?.json().await?;
        Ok(ticket.ticket)
    }
}

fn send_failed(error: &reqwest::Error) -> CallerEnding {
    CallerEnding::Broken {
        // Only a failed connect proves that the instance never saw the request.
        connected: !error.is_connect(),
        detail: error.to_string(),
    }
}

fn note_head(received: &mut Received, response: &reqwest::Response) {
    received.request = response
        .headers()
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
}

async fn refused(response: reqwest::Response) -> CallerEnding {
    let status = response.status().as_u16();
    match response.bytes().await {
        Ok(body) => parse_error(status, &body),
        Err(error) => broken(&error),
    }
}

fn broken(error: &dyn std::fmt::Display) -> CallerEnding {
    CallerEnding::Broken {
        connected: true,
        detail: error.to_string(),
    }
}

async fn read_answer(
    response: reqwest::Response,
    received: &mut Received,
    begun: Instant,
) -> CallerEnding {
    match response.text().await {
        Ok(text) => {
            received.token(&text, None, begun);
            CallerEnding::Complete {
                finish_reason: String::new(),
                tokens: None,
            }
        }
        Err(error) => broken(&error),
    }
}

async fn read_whole(
    response: reqwest::Response,
    received: &mut Received,
    begun: Instant,
) -> CallerEnding {
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => return broken(&error),
    };
    let Ok(chunk) = serde_json::from_slice::<Chunk>(&body) else {
        return CallerEnding::Malformed {
            detail: String::from_utf8_lossy(&body).into_owned(),
        };
    };
    received.token(chunk.text(), None, begun);
    chunk.completed().unwrap_or(CallerEnding::Malformed {
        detail: "no finish reason".to_owned(),
    })
}

async fn read_stream(
    mut response: reqwest::Response,
    received: &mut Received,
    begun: Instant,
    leave_after: Option<u32>,
    on_token: &mut impl FnMut(&str),
) -> CallerEnding {
    let mut parser = sse::Parser::default();
    let mut ending = None;
    loop {
        let bytes = match response.chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => return ending.unwrap_or_else(|| broken(&"closed without an end")),
            Err(error) => return broken(&error),
        };
        if leave_after.is_some_and(|tokens| received.tokens >= tokens) {
            // Dropping the response closes the connection.
            return broken(&LEFT);
        }
        parser.push(&bytes);
        while let Some(event) = parser.next_event() {
            if event.data == DONE {
                return ending.unwrap_or(CallerEnding::Malformed {
                    detail: "end mark without a finish reason".to_owned(),
                });
            }
            match read_event(&event, received, begun, on_token) {
                Ok(end) => ending = end.or(ending),
                Err(end) => return end,
            }
        }
    }
}

/// Reads one event; `Err` ends the stream at once.
fn read_event(
    event: &sse::Event,
    received: &mut Received,
    begun: Instant,
    on_token: &mut impl FnMut(&str),
) -> Result<Option<CallerEnding>, CallerEnding> {
    if event.event == "error" {
        let body: Option<ErrorBody> = serde_json::from_str(&event.data).ok();
        return Err(match body {
            Some(body) => body.ending(0),
            None => CallerEnding::Malformed {
                detail: event.data.clone(),
            },
        });
    }
    let chunk: Chunk =
        serde_json::from_str(&event.data).map_err(|error| CallerEnding::Malformed {
            detail: format!("{error}: {}", event.data),
        })?;
    if !chunk.text().is_empty() {
        received.token(chunk.text(), chunk.token_index, begun);
        on_token(chunk.text());
    }
    received.note_id(&chunk.id);
    Ok(chunk.completed())
}

/// Returns a duration in whole microseconds.
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
