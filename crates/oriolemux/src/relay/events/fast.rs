//! Parses token events in the exact byte format that engines usually write.

/// A token that was read without copying.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct FastToken<'a> {
    pub index: u32,
    /// The content of the JSON string; see [`super::EngineEvent::Token`].
    pub text: &'a [u8],
}

/// The constant bytes before and after index and text in the token events of one attempt.
#[derive(Debug, Default)]
pub(super) struct TokenShape {
    attempt: String,
    /// `id: ATTEMPT:`
    head: Vec<u8>,
    /// `data: {"id":"ATTEMPT","index":` after a newline.
    middle: Vec<u8>,
}

const BEFORE_TEXT: &[u8] = b",\"text\":\"";
const AFTER_TEXT: &[u8] = b"\"}\n\n";

impl TokenShape {
    pub fn new(attempt: &str) -> Self {
        TokenShape {
            attempt: attempt.to_owned(),
            head: format!("id: {attempt}:").into_bytes(),
            middle: format!("\ndata: {{\"id\":\"{attempt}\",\"index\":").into_bytes(),
        }
    }

    pub fn attempt(&self) -> &str {
        &self.attempt
    }

    /// Reads a token event at the start of `bytes` and returns it with its length; `None` if it is
    /// incomplete or in another format.
    #[inline]
    pub fn read<'a>(&self, bytes: &'a [u8]) -> Option<(FastToken<'a>, usize)> {
        if self.head.is_empty() {
            return None;
        }
        let rest = bytes.strip_prefix(self.head.as_slice())?;
        let (id_index, rest) = read_number(rest)?;
        let rest = rest.strip_prefix(self.middle.as_slice())?;
        let (index, rest) = read_number(rest)?;
        let rest = rest.strip_prefix(BEFORE_TEXT)?;
        let len = text_len(rest)?;
        let (text, rest) = rest.split_at(len);
        let rest = rest.strip_prefix(AFTER_TEXT)?;
        (id_index == index).then_some((FastToken { index, text }, bytes.len() - rest.len()))
    }
}

/// Reads a decimal number without leading zeros, as JSON writes it.
#[inline]
fn read_number(bytes: &[u8]) -> Option<(u32, &[u8])> {
    const MAX_DIGITS: usize = 9;
    let digits = bytes.iter().take_while(|b| b.is_ascii_digit()).count();
    if digits == 0 || digits > MAX_DIGITS || (digits > 1 && bytes[0] == b'0') {
        return None;
    }
    let (number, rest) = bytes.split_at(digits);
    let value = number
        .iter()
        .fold(0, |value, digit| value * 10 + u32::from(digit - b'0'));
    Some((value, rest))
}

/// Returns the length of the string that ends at the next quote, if it is
/// valid UTF-8 and escaped as `serde_json` escapes it.
#[inline]
fn text_len(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    let mut ascii = true;
    loop {
        match *bytes.get(at)? {
            b'"' => break,
            b'\\' => {
                if !matches!(
                    bytes.get(at + 1)?,
                    b'"' | b'\\' | b'n' | b'r' | b't' | b'b' | b'f'
                ) {
                    return None;
                }
                at += 2;
            }
            0..0x20 => return None,
            byte => {
                ascii &= byte.is_ascii();
                at += 1;
            }
        }
    }
    (ascii || std::str::from_utf8(&bytes[..at]).is_ok()).then_some(at)
}
