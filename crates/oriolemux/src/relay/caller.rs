//! The caller's end of a request: what was answered, and whether anyone listens.

use super::chunk::ChunkWriter;
use super::events::{FinishReason, Usage};
use crate::callers::connections::{ConnectionState, DisconnectSignal, OpenRequest};
use crate::callers::errors::ErrorResponse;
use crate::metrics::RequestMeter;
use bytes::Bytes;
use core::time::Duration;
use http::HeaderValue;
use std::sync::Arc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;

/// How many written pieces wait for a caller that reads slowly.
///
/// One piece is written by the server while the next is filled; more would
/// only be memory. When both are full, nothing is read from the endpoint.
const PIECE_QUEUE: usize = 1;

/// A piece of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// More follows.
    Part(Bytes),
    /// The answer ends with this. Without it the server breaks the connection,
    /// so that a caller never takes a cut answer for a whole one.
    Last(Bytes),
}

/// How the answer begins, and for all but a stream the whole answer.
#[derive(Debug)]
pub enum Reply {
    /// A stream of events.
    Stream(mpsc::Receiver<Piece>),
    /// A whole answer.
    Full {
        /// Its content type, if it has one.
        content_type: Option<HeaderValue>,
        /// Its bytes.
        body: Bytes,
    },
    /// A refusal or failure.
    Error(ErrorResponse),
}

/// The form in which a caller takes its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// Events as the tokens come.
    Events,
    /// One JSON object.
    Json,
    /// A service's bytes as they are.
    Bytes,
}

/// Nobody listens any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Writes one request's answer.
///
/// Invariant: `head` is taken when the answer begins; after that `pieces` is
/// set if, and only if, the answer is a stream.
#[derive(Debug)]
pub struct Caller {
    format: ResponseFormat,
    chunks: ChunkWriter,
    head: Option<oneshot::Sender<Reply>>,
    pieces: Option<mpsc::Sender<Piece>>,
    out: Vec<u8>,
    connection: Arc<ConnectionState>,
    disconnect: Arc<DisconnectSignal>,
    write_timeout: Duration,
    meter: RequestMeter,
}

impl Caller {
    /// Answers through `head` in the form `form`.
    ///
    /// A caller that takes no byte for `write_timeout` counts as gone.
    pub fn new(
        format: ResponseFormat,
        chunks: ChunkWriter,
        head: oneshot::Sender<Reply>,
        open_request: &OpenRequest,
        write_timeout: Duration,
    ) -> Self {
        Caller {
            format,
            chunks,
            head: Some(head),
            pieces: None,
            out: Vec::new(),
            connection: Arc::clone(open_request.connection()),
            disconnect: Arc::clone(open_request.disconnect()),
            write_timeout,
            meter: RequestMeter::start(),
        }
    }

    /// Returns what measures the request.
    pub fn meter(&mut self) -> &mut RequestMeter {
        &mut self.meter
    }

    /// Waits until nobody listens any more.
    pub async fn gone(&self) -> CallerGone {
        self.disconnect.wait().await;
        CallerGone
    }

    /// Adds a token; it leaves with the next [`Caller::flush`].
    #[inline]
    pub fn token(&mut self, index: u32, text: &[u8]) {
        self.meter.token();
        match self.format {
            ResponseFormat::Events => self.chunks.token(&mut self.out, index, text),
            ResponseFormat::Json | ResponseFormat::Bytes => self.out.extend_from_slice(text),
        }
    }

    /// Returns how many bytes wait to be flushed.
    pub fn pending_bytes(&self) -> usize {
        match self.format {
            ResponseFormat::Events => self.out.len(),
            ResponseFormat::Json | ResponseFormat::Bytes => 0,
        }
    }

    /// Hands what waits to the server; waits as long as the caller is slow.
    ///
    /// # Errors
    ///
    /// Fails if the caller left or took nothing for the write timeout.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        if self.pending_bytes() == 0 {
            return Ok(());
        }
        self.begin_stream()?;
        let pieces = self.pieces.as_ref().ok_or(CallerGone)?;
        // The tokens are taken only once there is room: they count as
        // delivered, and a wait that is given up must not lose them.
        let wait = async {
            self.connection.wait_writable().await;
            pieces.reserve().await
        };
        let room = timeout(self.write_timeout, wait).await;
        let room = room.ok().and_then(Result::ok).ok_or(CallerGone)?;
        room.send(Piece::Part(Bytes::from(core::mem::take(&mut self.out))));
        Ok(())
    }

    /// RequestChannels a whole answer.
    ///
    /// # Errors
    ///
    /// Fails if the caller left or took nothing for the write timeout.
    pub async fn end(&mut self, finish: FinishReason, usage: Usage) -> Result<(), CallerGone> {
        self.write_end(finish, usage).await?;
        self.meter.completed();
        Ok(())
    }

    async fn write_end(&mut self, finish: FinishReason, usage: Usage) -> Result<(), CallerGone> {
        if self.format == ResponseFormat::Events {
            self.chunks.end(&mut self.out, finish, usage);
            let last = Bytes::from(core::mem::take(&mut self.out));
            return self.send(Piece::Last(last)).await;
        }
        let text = core::mem::take(&mut self.out);
        let mut body = Vec::new();
        self.chunks.full_response(&mut body, &text, finish, usage);
        self.reply(Reply::Full {
            content_type: Some(HeaderValue::from_static("application/json")),
            body: body.into(),
        })
    }

    /// Gives a service's answer as it is.
    ///
    /// # Errors
    ///
    /// Fails if the caller left.
    pub fn send_response(
        &mut self,
        content_type: Option<HeaderValue>,
        body: Bytes,
    ) -> Result<(), CallerGone> {
        self.reply(Reply::Full { content_type, body })?;
        self.meter.completed();
        Ok(())
    }

    /// Gives the final answer of a request that did not end well: as the whole
    /// answer, or as the last event of a stream that has begun.
    ///
    /// # Errors
    ///
    /// Fails if the caller left or took nothing for the write timeout.
    pub async fn fail(&mut self, error: ErrorResponse) -> Result<(), CallerGone> {
        if self.head.is_some() {
            return self.reply(Reply::Error(error));
        }
        error.write_event(&mut self.out);
        let last = Bytes::from(core::mem::take(&mut self.out));
        self.send(Piece::Last(last)).await
    }

    fn reply(&mut self, reply: Reply) -> Result<(), CallerGone> {
        let head = self.head.take().ok_or(CallerGone)?;
        head.send(reply).map_err(|_| CallerGone)
    }

    async fn send(&mut self, mut piece: Piece) -> Result<(), CallerGone> {
        self.begin_stream()?;
        let pieces = self.pieces.as_ref().ok_or(CallerGone)?;
        if !self.connection.is_blocked() {
            match pieces.try_send(piece) {
                Ok(()) => return Ok(()),
                Err(TrySendError::Closed(_)) => return Err(CallerGone),
                Err(TrySendError::Full(back)) => piece = back,
            }
        }
        let slow_send = async {
            self.connection.wait_writable().await;
            pieces.send(piece).await
        };
        let sent = timeout(self.write_timeout, slow_send).await;
        sent.ok().and_then(Result::ok).ok_or(CallerGone)
    }

    fn begin_stream(&mut self) -> Result<(), CallerGone> {
        if self.pieces.is_some() {
            return Ok(());
        }
        let (pieces, rx) = mpsc::channel(PIECE_QUEUE);
        self.reply(Reply::Stream(rx))?;
        self.pieces = Some(pieces);
        Ok(())
    }
}
