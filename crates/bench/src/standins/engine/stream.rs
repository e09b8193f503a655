//! The event stream of one generation, and the faults that strike it.

use super::fault::{Fault, FaultRule};
use super::generation::Generation;
use super::state::Engine;
use crate::standins::journal::Ending;
use crate::standins::text;
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;
use tokio::sync::watch;

/// The exit code of an engine that was asked to die.
const DIED_EXIT_CODE: i32 = 137;
/// The end mark of a stream.
const DONE: &str = "data: [DONE]\n\n";
/// Bytes that are no event.
const GARBAGE: &[u8] = b"\xff\xfe{not an event\n\ndata: {\"id\":\n\n";

/// One reader of a generation.
///
/// While it lives it counts as a listener, so that a generation whose
/// connection broke is noticed and ended after its grace.
#[derive(Debug)]
struct Listener {
    engine: Arc<Engine>,
    attempt: String,
}

impl Listener {
    fn new(engine: Arc<Engine>, attempt: &str) -> Self {
        if let Some(generation) = engine.lock().held.get_mut(attempt) {
            generation.listeners += 1;
            generation.unheard_since = None;
        }
        Listener {
            engine,
            attempt: attempt.to_owned(),
        }
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        if let Some(generation) = state.held.get_mut(&self.attempt) {
            generation.listeners = generation.listeners.saturating_sub(1);
            if generation.listeners == 0 {
                generation.unheard_since = Some(Instant::now());
            }
        }
    }
}

/// Where a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Tokens,
    /// The connection is cut before the next byte.
    Cut,
    /// The connection is closed in good order.
    Closed,
    /// Nothing more is sent.
    Stalled,
}

struct Reader {
    listener: Listener,
    steps: watch::Receiver<u64>,
    next: u32,
    remote: SocketAddr,
    phase: Phase,
    fault: Option<FaultRule>,
}

/// Where a stream begins and whom it goes to.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// The attempt.
    pub attempt: &'a str,
    /// The first token.
    pub index: u32,
    /// The other side of the connection.
    pub remote: SocketAddr,
}

/// Returns the events of an attempt.
pub fn events(
    engine: Arc<Engine>,
    from: Start<'_>,
    fault: Option<FaultRule>,
) -> impl Stream<Item = io::Result<Bytes>> + Send + use<> {
    let reader = Reader {
        steps: engine.steps(),
        listener: Listener::new(engine, from.attempt),
        next: from.index,
        remote: from.remote,
        phase: Phase::Tokens,
        fault,
    };
    stream::unfold(reader, |mut reader| async move {
        let chunk = reader.chunk().await?;
        Some((chunk, reader))
    })
}

impl Reader {
    /// Waits for the next bytes; `None` closes the stream in good order.
    async fn chunk(&mut self) -> Option<io::Result<Bytes>> {
        loop {
            match self.phase {
                Phase::Tokens => {}
                Phase::Cut => {
                    let cuts = self.listener.engine.cuts.clone();
                    return Some(Err(cuts.cut(self.remote).await));
                }
                Phase::Closed => return None,
                Phase::Stalled => std::future::pending().await,
            }
            if let Some(buf) = self.ready() {
                return Some(Ok(Bytes::from(buf)));
            }
            if self.phase == Phase::Tokens && self.steps.changed().await.is_err() {
                return None;
            }
        }
    }

    /// Writes what was generated since the last chunk, if anything.
    fn ready(&mut self) -> Option<Vec<u8>> {
        let engine = Arc::clone(&self.listener.engine);
        let mut state = engine.lock();
        let Some(generation) = state.held.get(&self.listener.attempt) else {
            // Cancelled or dropped while this connection was open.
            self.phase = Phase::Cut;
            return None;
        };
        let mut buf = Vec::new();
        match self.push_tokens(generation, &mut buf) {
            Some(fault) => {
                self.phase = broken_token(fault, generation, self.next, &mut buf);
                self.next += tokens_used(fault);
                if fault == Fault::Lose {
                    state.end(&self.listener.attempt, Ending::Cancelled, engine.now());
                }
            }
            None => self.push_end(generation, &mut buf),
        }
        (!buf.is_empty()).then_some(buf)
    }

    /// Writes the tokens that are there; stops at one that a fault strikes.
    fn push_tokens(&mut self, generation: &Generation, buf: &mut Vec<u8>) -> Option<Fault> {
        while self.next < generation.generated {
            let struck = self.strike(self.next);
            if struck.is_some() {
                return struck;
            }
            push_token(buf, generation, &generation.attempt, self.next);
            self.next += 1;
        }
        None
    }

    /// Ends the stream if no further token will come.
    fn push_end(&mut self, generation: &Generation, buf: &mut Vec<u8>) {
        if self.next >= generation.length {
            self.phase = Phase::Closed;
            if !self.strike_at_end() {
                push_end(buf, generation);
            }
        } else if generation.ended_at.is_some() && !generation.is_whole() {
            self.phase = Phase::Cut;
        }
    }

    /// Returns the fault that strikes at token `index`, once.
    fn strike(&mut self, index: u32) -> Option<Fault> {
        let rule = self.fault.as_ref()?;
        if rule.fault == Fault::NoEndMark || index < rule.after {
            return None;
        }
        self.fault.take().map(|rule| rule.fault)
    }

    fn strike_at_end(&mut self) -> bool {
        self.fault
            .take_if(|rule| rule.fault == Fault::NoEndMark)
            .is_some()
    }
}

/// Returns how many tokens the faulty bytes stand for; the others come after them.
const fn tokens_used(fault: Fault) -> u32 {
    match fault {
        Fault::DuplicateToken | Fault::ReorderedToken => 1,
        _ => 0,
    }
}

/// Writes what `fault` makes of token `index`, and says how the stream goes on.
fn broken_token(fault: Fault, generation: &Generation, index: u32, buf: &mut Vec<u8>) -> Phase {
    match fault {
        Fault::Garbage => {
            buf.extend_from_slice(GARBAGE);
            Phase::Tokens
        }
        Fault::HalfFrame => {
            let mut frame = Vec::new();
            push_token(&mut frame, generation, &generation.attempt, index);
            buf.extend_from_slice(&frame[..frame.len() / 2]);
            Phase::Cut
        }
        Fault::OtherId => {
            let other = "r-00000000000000aa-00000000000000bb-cc.1";
            push_token(buf, generation, other, index);
            Phase::Tokens
        }
        Fault::DuplicateToken => {
            push_token(buf, generation, &generation.attempt, index);
            push_token(buf, generation, &generation.attempt, index);
            Phase::Tokens
        }
        Fault::ReorderedToken => {
            push_token(buf, generation, &generation.attempt, index + 1);
            push_token(buf, generation, &generation.attempt, index);
            Phase::Tokens
        }
        Fault::Stall => Phase::Stalled,
        Fault::Die => std::process::exit(DIED_EXIT_CODE),
        Fault::Cut | Fault::Lose => Phase::Cut,
        Fault::NoEndMark | Fault::RefuseBusy | Fault::RefuseLeaving | Fault::ServerError => {
            Phase::Tokens
        }
    }
}

#[derive(Serialize)]
struct TokenEvent<'a> {
    id: &'a str,
    index: u32,
    text: &'a str,
}

#[derive(Serialize)]
struct EndEvent<'a> {
    id: &'a str,
    index: u32,
    finish_reason: &'a str,
    usage: Usage,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u32,
    completion_tokens: u32,
}

fn push_token(buf: &mut Vec<u8>, generation: &Generation, id: &str, index: u32) {
    let text = text::token(generation.seed, index);
    buf.extend_from_slice(format!("id: {id}:{index}\n").as_bytes());
    push_data(
        buf,
        &TokenEvent {
            id,
            index,
            text: &text,
        },
    );
}

fn push_end(buf: &mut Vec<u8>, generation: &Generation) {
    let usage = Usage {
        prompt_tokens: generation.prompt_tokens,
        completion_tokens: generation.length,
    };
    push_data(
        buf,
        &EndEvent {
            id: &generation.attempt,
            index: generation.length,
            finish_reason: generation.finish_reason(),
            usage,
        },
    );
    buf.extend_from_slice(DONE.as_bytes());
}

fn push_data<T: Serialize>(buf: &mut Vec<u8>, value: &T) {
    buf.extend_from_slice(b"data: ");
    buf.extend_from_slice(&serde_json::to_vec(value).unwrap_or_default());
    buf.extend_from_slice(b"\n\n");
}
