//! Log of the generated tokens, kept for replays and for buffered delivery.

/// Number of low bits of a length byte that carry the length.
const LENGTH_BITS: u32 = 7;
/// Bit that marks that another length byte follows.
const MORE: u8 = 0x80;

/// A list of tokens, each stored as its length (LEB128) and its bytes.
///
/// A replay is compared exactly. The bytes themselves are stored instead of a hash, because a
/// collision would splice two generations. A token of four bytes takes five bytes; see
/// `docs/design/delivery.md` for the memory use at scale.
#[derive(Clone, Debug, Default)]
pub struct TokenLog {
    bytes: Vec<u8>,
    len: u32,
    /// Whether tokens are stored or only counted.
    kept: bool,
}

/// A position in a [`TokenLog`] from which a replay is compared.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cursor {
    offset: usize,
}

impl TokenLog {
    /// Sets whether tokens are stored or only counted. The log of a request that cannot be replayed
    /// and is streamed to its caller is never read.
    pub fn set_kept(&mut self, kept: bool) {
        self.kept = kept;
    }

    /// Returns the number of tokens.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether there are no tokens.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the allocated memory in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Removes all tokens and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.len = 0;
    }

    /// Appends a token.
    #[inline]
    pub fn push(&mut self, text: &[u8]) {
        self.len += 1;
        if !self.kept {
            return;
        }
        let mut rest = text.len();
        while rest >= usize::from(MORE) {
            self.bytes.push(rest as u8 | MORE);
            rest >>= LENGTH_BITS;
        }
        self.bytes.push(rest as u8);
        self.bytes.extend_from_slice(text);
    }

    /// Returns whether `text` equals the token at `cursor`, and advances the cursor if so.
    pub fn matches(&self, cursor: &mut Cursor, text: &[u8]) -> bool {
        match read_token(&self.bytes, cursor.offset) {
            Some((token, next)) if token == text => {
                cursor.offset = next;
                true
            }
            _ => false,
        }
    }

    /// Returns the tokens in order.
    pub fn iter(&self) -> Tokens<'_> {
        Tokens {
            bytes: &self.bytes,
            offset: 0,
        }
    }
}

impl<'a> IntoIterator for &'a TokenLog {
    type Item = &'a [u8];
    type IntoIter = Tokens<'a>;
    fn into_iter(self) -> Tokens<'a> {
        self.iter()
    }
}

/// The tokens of a [`TokenLog`], in order.
#[derive(Clone, Debug, Default)]
pub struct Tokens<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl<'a> Iterator for Tokens<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let (token, next) = read_token(self.bytes, self.offset)?;
        self.offset = next;
        Some(token)
    }
}

/// Returns the token that starts at `offset` and the offset after it.
fn read_token(bytes: &[u8], offset: usize) -> Option<(&[u8], usize)> {
    let mut at = offset;
    let mut len = 0usize;
    let mut shift = 0;
    loop {
        let byte = *bytes.get(at)?;
        at += 1;
        len |= usize::from(byte & !MORE) << shift;
        if byte & MORE == 0 {
            break;
        }
        shift += LENGTH_BITS;
    }
    let token = bytes.get(at..at + len)?;
    Some((token, at + len))
}
