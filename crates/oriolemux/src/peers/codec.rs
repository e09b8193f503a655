//! Frames between instances: a length, then one envelope in bincode.
//!
//! Frames come from authenticated peers, but a peer may have another version or be faulty. For any
//! input, decoding neither panics nor allocates beyond a limit: a length above the limit ends the
//! link before anything is buffered, and bincode's own limit bounds the sizes that a short frame
//! may declare.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use oriolemux_core::peer::{MAX_MESSAGES, PeerEnvelope};

/// Size of the length field of a frame.
const LENGTH_BYTES: usize = 4;

/// The most bytes that the contents of one frame may declare, nested parts included.
const DECODE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// What is wrong with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum CodecError {
    /// a frame has {length} bytes, the limit is {most}
    TooLong {
        /// The length that was received or encoded.
        length: usize,
        /// The limit.
        most: usize,
    },
    /// a frame does not hold an envelope of this version
    Malformed,
    /// a frame holds more bytes than its envelope
    TrailingBytes,
}

const fn format() -> impl bincode::config::Config {
    bincode::config::standard().with_limit::<DECODE_LIMIT_BYTES>()
}

/// Encodes an envelope as one frame.
///
/// # Errors
///
/// Returns [`CodecError::TooLong`] if the envelope is longer than `max_frame`.
pub fn encode_frame(envelope: &PeerEnvelope, max_frame: usize) -> Result<Bytes, CodecError> {
    let mut frame = BytesMut::with_capacity(64);
    frame.put_u32(0);
    let mut writer = frame.writer();
    bincode::serde::encode_into_std_write(envelope, &mut writer, format())
        .map_err(|_| CodecError::Malformed)?;
    let mut frame = writer.into_inner();
    let length = frame.len() - LENGTH_BYTES;
    let announced = u32::try_from(length).ok().filter(|_| length <= max_frame);
    let Some(announced) = announced else {
        let most = max_frame;
        return Err(CodecError::TooLong { length, most });
    };
    (&mut frame[..LENGTH_BYTES]).put_u32(announced);
    Ok(frame.freeze())
}

/// Encodes an envelope as one frame, or as several if its messages are too many or too long for
/// one. Returns how many messages are too long for any frame.
pub fn encode_frames(envelope: &PeerEnvelope, max_frame: usize, frames: &mut Vec<Bytes>) -> usize {
    let count = envelope.messages.len();
    if count <= MAX_MESSAGES
        && let Ok(frame) = encode_frame(envelope, max_frame)
    {
        frames.push(frame);
        return 0;
    }
    if count <= 1 {
        return 1;
    }
    let (first, second) = envelope.messages.split_at(count / 2);
    let halves = [first, second].map(|messages| PeerEnvelope {
        messages: messages.to_vec(),
        ..*envelope
    });
    let too_long = halves.iter().map(|it| encode_frames(it, max_frame, frames));
    too_long.sum()
}

/// Decodes a stream of bytes into envelopes.
///
/// Invariant: `buf` holds at most one incomplete frame and the bytes that arrived with it.
#[derive(Debug)]
pub struct FrameDecoder {
    buf: BytesMut,
    max_frame: usize,
}

impl FrameDecoder {
    /// Creates a decoder for frames of at most `max_frame` bytes.
    pub fn new(max_frame: usize) -> Self {
        FrameDecoder {
            buf: BytesMut::new(),
            max_frame,
        }
    }

    /// Appends bytes of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the next complete envelope, or `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// Fails if a frame is invalid. The stream cannot be read any further then.
    pub fn next_envelope(&mut self) -> Result<Option<PeerEnvelope>, CodecError> {
        let Some(head) = self.buf.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.max_frame {
            let most = self.max_frame;
            return Err(CodecError::TooLong { length, most });
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let frame = self.buf.split_to(length);
        decode_body(&frame).map(Some)
    }

    /// Returns whether the stream may end here, between two frames.
    pub fn is_between_frames(&self) -> bool {
        self.buf.is_empty()
    }
}

fn decode_body(frame: &[u8]) -> Result<PeerEnvelope, CodecError> {
    let (envelope, used) =
        bincode::serde::decode_from_slice(frame, format()).map_err(|_| CodecError::Malformed)?;
    if used == frame.len() {
        Ok(envelope)
    } else {
        Err(CodecError::TrailingBytes)
    }
}
