//! Finds where one request of a caller ends and the next begins.
//!
//! The HTTP server does not say whether its buffer holds bytes of a next request, and drops them when
//! it closes a connection. So it is given the bytes of one request at a time, and what arrives behind
//! that request is kept here until it is asked for.
//!
//! Validity is left to the HTTP server: what cannot be followed here is passed on as it arrives.

/// The part of a request to which the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    /// A head, or blank lines before it.
    Head { has_line: bool },
    /// A head has ended; the length of its body is not known yet.
    HeadRead,
    /// A body of which this many bytes are missing.
    Body(u64),
    /// The size of a chunk, with its extensions.
    ChunkSize { size: Option<u64>, has_digits: bool },
    /// The data of a chunk, of which this many bytes are missing.
    Chunk(u64),
    /// The line break after the data of a chunk.
    ChunkEnd,
    /// The trailers.
    Trailers,
    /// The request has ended.
    Read,
    /// Bytes that cannot be followed.
    Unfollowed,
}

const CHUNK_SIZE: Part = Part::ChunkSize {
    size: Some(0),
    has_digits: true,
};

/// Follows the bytes of one request.
#[derive(Clone, Copy, Debug)]
struct RequestFraming {
    part: Part,
    /// Whether the line that is being read has a byte besides its line break.
    has_content: bool,
}

impl RequestFraming {
    fn new() -> Self {
        RequestFraming {
            part: Part::Head { has_line: false },
            has_content: false,
        }
    }

    /// Returns how many of the next bytes belong to the request.
    fn take(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() {
            let rest = &bytes[taken..];
            taken += match self.part {
                Part::HeadRead | Part::Read => return taken,
                Part::Unfollowed => rest.len(),
                Part::Body(missing) => {
                    let (length, missing) = take_data(rest, missing);
                    self.part = body_part(missing);
                    length
                }
                Part::Chunk(missing) => {
                    let (length, missing) = take_data(rest, missing);
                    self.part = match missing {
                        0 => Part::ChunkEnd,
                        missing => Part::Chunk(missing),
                    };
                    length
                }
                _ => self.take_line(rest),
            };
        }
        taken
    }

    /// Takes bytes up to the end of a line; returns how many.
    fn take_line(&mut self, bytes: &[u8]) -> usize {
        let end = bytes.iter().position(|it| *it == b'\n');
        let line = &bytes[..end.unwrap_or(bytes.len())];
        self.has_content |= has_content(line);
        if let Part::ChunkSize { size, has_digits } = &mut self.part {
            for byte in line {
                let digit = char::from(*byte).to_digit(16);
                *has_digits &= digit.is_some();
                if let (true, Some(digit)) = (*has_digits, digit) {
                    let shifted = size.and_then(|it| it.checked_mul(16));
                    *size = shifted.and_then(|it| it.checked_add(u64::from(digit)));
                }
            }
        }
        if end.is_some() {
            self.part = self.part_after_line();
            self.has_content = false;
        }
        end.map_or(bytes.len(), |it| it + 1)
    }

    fn part_after_line(&self) -> Part {
        match (self.part, self.has_content) {
            (Part::Head { .. }, true) => Part::Head { has_line: true },
            (Part::Head { has_line: true }, false) => Part::HeadRead,
            (Part::ChunkSize { size, .. }, _) => match size {
                Some(0) => Part::Trailers,
                Some(size) => Part::Chunk(size),
                None => Part::Unfollowed,
            },
            (Part::ChunkEnd, _) => CHUNK_SIZE,
            (Part::Trailers, false) => Part::Read,
            (part, _) => part,
        }
    }

    /// Returns whether bytes of a head have arrived whose request has not begun.
    fn is_in_head(&self) -> bool {
        match self.part {
            Part::Head { has_line } => has_line || self.has_content,
            Part::HeadRead => true,
            _ => false,
        }
    }
}

/// Returns how many of `bytes` are data of which `missing` are missing, and how many still are then.
fn take_data(bytes: &[u8], missing: u64) -> (usize, u64) {
    let length = usize::try_from(missing).map_or(bytes.len(), |it| it.min(bytes.len()));
    (length, missing - length as u64)
}

fn body_part(missing: u64) -> Part {
    match missing {
        0 => Part::Read,
        missing => Part::Body(missing),
    }
}

/// Returns whether `bytes` hold more than line breaks. Line breaks before a head are ignored; some
/// callers send one after a body.
fn has_content(bytes: &[u8]) -> bool {
    bytes.iter().any(|it| !matches!(it, b'\r' | b'\n'))
}

/// Divides what a caller sends into requests.
#[derive(Debug)]
pub(super) struct RequestReader {
    framing: RequestFraming,
    /// What has arrived and was not passed on. At most what one read returns, since nothing is read
    /// while there is any.
    kept: Vec<u8>,
    /// How many of the kept bytes count as those of a next request; `None` if all do.
    counted: Option<usize>,
}

impl RequestReader {
    pub(super) fn new() -> Self {
        RequestReader {
            framing: RequestFraming::new(),
            kept: Vec::new(),
            counted: None,
        }
    }

    /// Records bytes that arrived; returns how many of them are passed on now. The rest is kept.
    pub(super) fn on_bytes(&mut self, bytes: &[u8]) -> usize {
        let passed = self.framing.take(bytes);
        self.kept.extend_from_slice(&bytes[passed..]);
        passed
    }

    /// Returns whether bytes are kept.
    pub(super) fn keeps_bytes(&self) -> bool {
        !self.kept.is_empty()
    }

    /// Passes on at most `limit` kept bytes of the request that is being read.
    pub(super) fn pass_kept(&mut self, limit: usize, pass: impl FnOnce(&[u8])) -> usize {
        let offered = self.kept.len().min(limit);
        let passed = self.framing.take(&self.kept[..offered]);
        pass(&self.kept[..passed]);
        self.kept.drain(..passed);
        if self.kept.is_empty() {
            self.kept = Vec::new();
        }
        if let Some(counted) = &mut self.counted {
            *counted = counted.saturating_sub(passed);
        }
        passed
    }

    /// Records that the request whose head was passed on has a body of this length; `None` if it comes
    /// in chunks.
    pub(super) fn begin_request(&mut self, body: Option<u64>) {
        if self.framing.part != Part::Unfollowed {
            self.framing.part = body.map_or(CHUNK_SIZE, body_part);
            self.framing.has_content = false;
        }
    }

    /// Lets the next request pass if the one before has ended.
    pub(super) fn begin_next_head(&mut self) {
        if self.framing.part == Part::Read {
            self.framing = RequestFraming::new();
        }
    }

    /// Passes on all that is kept and arrives from now on.
    pub(super) fn pass_all(&mut self) {
        self.framing.part = Part::Unfollowed;
    }

    /// From the first call on, only bytes that have arrived count as those of a next request.
    pub(super) fn limit_requests(&mut self) {
        self.counted.get_or_insert(self.kept.len());
    }

    /// Returns whether bytes of a request have arrived that has not begun.
    pub(super) fn has_next_request(&self) -> bool {
        let counted = self.counted.unwrap_or(self.kept.len());
        let kept = &self.kept[..counted.min(self.kept.len())];
        let mut framing = self.framing;
        let of_current = framing.take(kept);
        self.framing.is_in_head() || has_content(&kept[of_current..])
    }

    /// Returns whether bytes of a head have arrived whose request has not begun.
    pub(super) fn is_in_head(&self) -> bool {
        self.framing.is_in_head()
    }

    /// Returns whether the body of the request that is being read is incomplete.
    pub(super) fn is_in_body(&self) -> bool {
        !matches!(
            self.framing.part,
            Part::Head { .. } | Part::HeadRead | Part::Read
        )
    }
}
