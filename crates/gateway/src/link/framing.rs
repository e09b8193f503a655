//! Counts the bytes of a response that are not its body: its heads, chunk sizes and trailers.
//!
//! The HTTP library bounds one head, all chunk extensions and all trailers, but neither the interim
//! responses before a response nor the digits and spaces of a chunk size. An endpoint that repeats
//! these would be read until the request times out.
//!
//! Validity is left to the HTTP library: what cannot be followed here is no longer counted.

use super::poll_read_part;
use core::pin::Pin;
use core::task::{Context, Poll, ready};
use std::io;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes besides its body that each response may have: several times the largest head.
const MAX_FRAMING_BYTES: u64 = 256 * 1024;

/// Further such bytes for each byte of the body. A chunk of one byte has five or a few more.
const MAX_FRAMING_BYTES_PER_BODY_BYTE: u64 = 8;

/// Bytes of a line that are looked at. The lines that matter are shorter.
const MAX_LINE_BYTES: usize = 256;

/// The response has more bytes besides its body than are allowed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub struct TooMuchFraming;

/// The part of a response to which the next byte belongs.
#[derive(Clone, Copy, Debug)]
enum Part {
    /// A head, of an interim response too.
    Head,
    /// The size of a chunk, with its extensions.
    ChunkSize,
    /// The data of a chunk, of which this many bytes are missing.
    Chunk(u64),
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// The trailers, and what follows the response.
    Trailers,
    /// A body without chunks, or what cannot be followed.
    Uncounted,
}

/// What is known of the head that is being read.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    has_status: bool,
    is_interim: bool,
    is_chunked: bool,
}

/// Counts the bytes of one response.
#[derive(Debug)]
struct FramingCount {
    part: Part,
    head: Head,
    /// The beginning of the line that is being read.
    line: Vec<u8>,
    framing: u64,
    body: u64,
}

impl FramingCount {
    fn new() -> Self {
        FramingCount {
            part: Part::Head,
            head: Head::default(),
            line: Vec::new(),
            framing: 0,
            body: 0,
        }
    }

    /// Counts the next bytes.
    fn count(&mut self, mut bytes: &[u8]) -> Result<(), TooMuchFraming> {
        while !bytes.is_empty() {
            bytes = match self.part {
                Part::Uncounted => return Ok(()),
                Part::Chunk(missing) => self.count_data(bytes, missing),
                _ => self.count_line(bytes),
            };
        }
        let allowed = self.body.saturating_mul(MAX_FRAMING_BYTES_PER_BODY_BYTE);
        match self.framing > allowed.saturating_add(MAX_FRAMING_BYTES) {
            true => Err(TooMuchFraming),
            false => Ok(()),
        }
    }

    /// Counts data of a chunk; returns the bytes after it.
    fn count_data<'a>(&mut self, bytes: &'a [u8], missing: u64) -> &'a [u8] {
        let length = bytes
            .len()
            .min(usize::try_from(missing).unwrap_or(usize::MAX));
        self.body += length as u64;
        self.part = match missing - length as u64 {
            0 => Part::ChunkEnd,
            missing => Part::Chunk(missing),
        };
        &bytes[length..]
    }

    /// Counts bytes up to the end of a line; returns the bytes after it.
    fn count_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|it| *it == b'\n');
        let length = end.map_or(bytes.len(), |it| it + 1);
        self.framing += length as u64;
        let room = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&bytes[..length.min(room)]);
        if end.is_some() {
            self.part = self.part_after_line();
            self.line.clear();
        }
        &bytes[length..]
    }

    fn part_after_line(&mut self) -> Part {
        match self.part {
            Part::Head => self.part_after_head_line(),
            Part::ChunkSize => match chunk_size(&self.line) {
                Some(0) => Part::Trailers,
                Some(size) => Part::Chunk(size),
                None => Part::Uncounted,
            },
            Part::ChunkEnd => Part::ChunkSize,
            part => part,
        }
    }

    fn part_after_head_line(&mut self) -> Part {
        let line = self.line.trim_ascii_end();
        if line.is_empty() {
            let Head {
                has_status,
                is_interim,
                is_chunked,
            } = core::mem::take(&mut self.head);
            // Blank lines before a head are skipped.
            return match is_chunked {
                _ if !has_status || is_interim => Part::Head,
                true => Part::ChunkSize,
                false => Part::Uncounted,
            };
        }
        if !self.head.has_status {
            let Some(status) = line.strip_prefix(b"HTTP/1.1 ") else {
                return Part::Uncounted;
            };
            self.head.has_status = true;
            self.head.is_interim = status.starts_with(b"1") && !status.starts_with(b"101");
        }
        let line = line.to_ascii_lowercase();
        self.head.is_chunked |=
            line.starts_with(b"transfer-encoding:") && line.ends_with(b"chunked");
        Part::Head
    }
}

/// Returns the size that a line before a chunk states.
fn chunk_size(line: &[u8]) -> Option<u64> {
    let digits = line.iter().take_while(|it| it.is_ascii_hexdigit()).count();
    let digits = core::str::from_utf8(&line[..digits]).ok()?;
    u64::from_str_radix(digits, 16).ok()
}

/// A connection to an endpoint that fails if a response has too many bytes besides its body.
pub struct FramedStream {
    stream: TcpStream,
    count: FramingCount,
    /// The most bytes of one read.
    read_bytes: usize,
}

impl FramedStream {
    /// Counts the bytes of the one response that arrives on `stream`, of which each read takes at most
    /// `read_bytes`.
    pub fn new(stream: TcpStream, read_bytes: usize) -> Self {
        FramedStream {
            stream,
            count: FramingCount::new(),
            read_bytes,
        }
    }
}

impl AsyncRead for FramedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let limit = self.read_bytes;
        ready!(poll_read_part(Pin::new(&mut self.stream), cx, buf, limit))?;
        let counted = self.count.count(&buf.filled()[before..]);
        Poll::Ready(counted.map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error)))
    }
}

impl AsyncWrite for FramedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
