//! The caller's side of a request: writes the response and detects that the caller disconnected.

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

/// How many pieces are queued for a caller that reads slowly.
///
/// The server writes one piece while the next is filled; a longer queue would only cost memory.
/// When both are full, nothing is read from the endpoint.
const PIECE_QUEUE: usize = 1;

/// A piece of a streamed response.
#[derive(Debug)]
pub enum Piece {
    /// More follows.
    Part(Bytes),
    /// The last piece. A stream that ends without it makes the server break the connection, so
    /// that a caller never takes a truncated response for a complete one.
    Last(Bytes),
}

/// The start of a response; for all but a stream, the full response.
#[derive(Debug)]
pub enum Reply {
    /// A stream of events.
    Stream(mpsc::Receiver<Piece>),
    /// A full response.
    Full {
        /// The content type, if there is one.
        content_type: Option<HeaderValue>,
        /// The body.
        body: Bytes,
    },
    /// A refusal or failure.
    Error(ErrorResponse),
}

/// The format of a caller's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseFormat {
    /// Server-sent events, one per token.
    Events,
    /// One JSON object.
    Json,
    /// The unchanged bytes of a service.
    Bytes,
}

/// The caller disconnected or stopped reading.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerGone;

/// Writes the response of one request.
///
/// Invariant: `head` is taken when the response begins; after that, `pieces` is set if and only
/// if the response is a stream.
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
    /// Creates the writer of a response that is sent through `head`.
    ///
    /// A caller that reads no byte for `write_timeout` counts as gone.
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

    /// Returns the metrics of the request.
    pub fn meter(&mut self) -> &mut RequestMeter {
        &mut self.meter
    }

    /// Waits until the caller disconnects.
    pub async fn gone(&self) -> CallerGone {
        self.disconnect.wait().await;
        CallerGone
    }

    /// Buffers a token until the next [`Caller::flush`].
    #[inline]
    pub fn token(&mut self, index: u32, text: &[u8]) {
        self.meter.token();
        match self.format {
            ResponseFormat::Events => self.chunks.token(&mut self.out, index, text),
            ResponseFormat::Json | ResponseFormat::Bytes => self.out.extend_from_slice(text),
        }
    }

    /// Returns whether the tokens are kept until the response is complete.
    pub fn keeps_tokens(&self) -> bool {
        self.format != ResponseFormat::Events
    }

    /// Returns how many bytes are buffered for the next flush.
    pub fn pending_bytes(&self) -> usize {
        match self.format {
            ResponseFormat::Events => self.out.len(),
            ResponseFormat::Json | ResponseFormat::Bytes => 0,
        }
    }

    /// Passes the buffered bytes to the server; waits while the caller is slow.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected or read nothing for the write timeout.
    pub async fn flush(&mut self) -> Result<(), CallerGone> {
        if self.pending_bytes() == 0 {
            return Ok(());
        }
        self.begin_stream()?;
        let pieces = self.pieces.as_ref().ok_or(CallerGone)?;
        // The buffer is taken only once there is room: its tokens count as delivered, and a
        // cancelled wait must not lose them.
        let wait = async {
            self.connection.wait_writable().await;
            pieces.reserve().await
        };
        let room = timeout(self.write_timeout, wait).await;
        let room = room.ok().and_then(Result::ok).ok_or(CallerGone)?;
        room.send(Piece::Part(Bytes::from(core::mem::take(&mut self.out))));
        Ok(())
    }

    /// Ends a complete response.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected or read nothing for the write timeout.
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

    /// Sends the response of a service, unchanged.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected.
    pub fn send_response(
        &mut self,
        content_type: Option<HeaderValue>,
        body: Bytes,
    ) -> Result<(), CallerGone> {
        self.reply(Reply::Full { content_type, body })?;
        self.meter.completed();
        Ok(())
    }

    /// Ends a failed or refused request: with an error response, or with an error as the last
    /// event if a stream has begun.
    ///
    /// # Errors
    ///
    /// Fails if the caller disconnected or read nothing for the write timeout.
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
