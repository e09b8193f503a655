//! A caller's connection, with its permit and its timers.

use super::AcceptLimits;
use crate::callers::connections::OpenConnection;
use core::future::Future;
use core::pin::Pin;
use core::task::{Context, Poll, ready};
use std::io;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, Sleep};

/// The end of a head.
const HEAD_END: [u8; 4] = *b"\r\n\r\n";

/// How an HTTP/2 connection begins. Its frames have no heads that end in an empty line, so they
/// are subject only to the HTTP library's own limits.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// The phase of the connection, as far as its bytes show it.
#[derive(Debug)]
enum Phase {
    /// Nothing has been read since the last write.
    Idle,
    /// A request head has begun and must end before the timer fires.
    ///
    /// Without the timer, a caller that sends one byte of a head per minute would hold its
    /// connection permit for ever, and a few hundred such callers would lock out all others.
    Head {
        /// The last bytes read.
        tail: [u8; 4],
        timer: Pin<Box<Sleep>>,
    },
    /// A head was read; the time for the rest of the request is limited elsewhere.
    Request,
    /// The connection speaks HTTP/2.
    Http2,
}

/// A caller's connection.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    open: OpenConnection,
    phase: Phase,
    /// Runs while the socket accepts no bytes. Without it, a caller that requests a large response
    /// and never reads it would keep that response in memory for ever.
    write_timer: Option<Pin<Box<Sleep>>>,
    /// Runs while nothing is read. The server library has such a timer too, but restarts it,
    /// through a task of its own, with every token written.
    idle_timer: Option<Pin<Box<Sleep>>>,
    limits: AcceptLimits,
    /// Dropped last, so that the permit is released only after the connection is closed.
    _permit: OwnedSemaphorePermit,
}

impl BoundedStream {
    /// Wraps an accepted connection.
    pub(super) fn new(
        stream: TcpStream,
        open: OpenConnection,
        permit: OwnedSemaphorePermit,
        limits: AcceptLimits,
    ) -> Self {
        BoundedStream {
            stream,
            open,
            phase: Phase::Idle,
            write_timer: None,
            idle_timer: None,
            limits,
            _permit: permit,
        }
    }

    fn on_read(&mut self, bytes: &[u8]) {
        if let Phase::Idle = self.phase
            && !bytes.is_empty()
        {
            if bytes.starts_with(HTTP2_PREFACE) {
                self.phase = Phase::Http2;
                return;
            }
            self.phase = Phase::Head {
                tail: [0; 4],
                timer: Box::pin(tokio::time::sleep_until(Instant::now() + self.limits.head)),
            };
        }
        if let Phase::Head { tail, .. } = &mut self.phase
            && ends_head(tail, bytes)
        {
            self.phase = Phase::Request;
        }
    }

    fn on_written(&mut self) {
        if let Phase::Request = self.phase {
            self.phase = Phase::Idle;
        }
    }

    fn poll_read_timers(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if let Phase::Head { timer, .. } = &mut self.phase {
            ready!(timer.as_mut().poll(cx));
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let limit = self.limits.idle;
        let timer = self
            .idle_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        while timer.as_mut().poll(cx).is_ready() {
            if self.open.state().is_idle() {
                // The server reads this as the end of the stream and closes the connection.
                return Poll::Ready(Ok(()));
            }
            timer.as_mut().reset(Instant::now() + limit);
        }
        Poll::Pending
    }

    fn poll_write_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let limit = self.limits.write;
        let timer = self
            .write_timer
            .get_or_insert_with(|| Box::pin(tokio::time::sleep(limit)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Advances `tail` over `bytes` and returns whether a head ended in them.
fn ends_head(tail: &mut [u8; 4], bytes: &[u8]) -> bool {
    for &byte in bytes {
        tail.rotate_left(1);
        tail[3] = byte;
        if *tail == HEAD_END {
            return true;
        }
    }
    false
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let has_room = buf.remaining() > 0;
        let before = buf.filled().len();
        let Poll::Ready(read) = Pin::new(&mut self.stream).poll_read(cx, buf) else {
            return self.poll_read_timers(cx);
        };
        self.idle_timer = None;
        let bytes = &buf.filled()[before..];
        if read.is_err() || (bytes.is_empty() && has_room) {
            self.open.state().on_end();
        }
        self.on_read(bytes);
        Poll::Ready(read)
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.open.state().on_write(&written);
        if written.is_pending() {
            return self.poll_write_timer(cx);
        }
        self.write_timer = None;
        self.on_written();
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
