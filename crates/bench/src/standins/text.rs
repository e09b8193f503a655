//! The text that stand-in engines generate.
//!
//! A token is a pure function of a seed and its index, so a checker knows every
//! answer byte for byte without asking the engine, even a killed one. The seed
//! is a function of model and prompt under greedy sampling; under random
//! sampling the attempt goes in too, so that a replay elsewhere differs.

use oriolemux_core::ids::stable_hash;

/// How an engine samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Sampling {
    /// The same model and prompt give the same text.
    #[default]
    Greedy,
    /// Every attempt gives another text.
    Random,
}

impl Sampling {
    /// Returns the seed of an attempt's text.
    pub fn seed(self, model: &str, prompt: &str, attempt: &str) -> u64 {
        let attempt = match self {
            Sampling::Greedy => "",
            Sampling::Random => attempt,
        };
        stable_hash(&[model.as_bytes(), prompt.as_bytes(), attempt.as_bytes()])
    }
}

/// The syllables of generated words. Some hold characters that a careless relay
/// would break: quotes, a backslash, a line end, letters of several bytes.
const SYLLABLES: [&str; 32] = [
    "la", "so", "ti", "re", "mi", "fa", "do", "ka", "ne", "ru", "vo", "ze", "pa", "lu", "che",
    "tha", "é", "ش", "ق", "ñ", "ü", "ça", "œ", "\"", "\\", "\n", "'", "🧵", "-", "/", "{", "}",
];

/// Syllables of a word. Three of them and a space give enough different words
/// that a token out of place is noticed.
const SYLLABLES_PER_WORD: u32 = 3;

/// Returns the text of token `index`.
pub fn token(seed: u64, index: u32) -> String {
    let mut bits = stable_hash(&[&seed.to_le_bytes(), &index.to_le_bytes()]);
    let mut word = String::new();
    for _ in 0..SYLLABLES_PER_WORD {
        word.push_str(SYLLABLES[(bits % SYLLABLES.len() as u64) as usize]);
        bits /= SYLLABLES.len() as u64;
    }
    word.push(' ');
    word
}

/// Returns the text of the first `tokens` tokens.
pub fn prefix(seed: u64, tokens: u32) -> String {
    (0..tokens).map(|index| token(seed, index)).collect()
}

/// Marks the wished length of the answer inside a prompt.
const LENGTH_MARK: &str = "#len=";

/// Returns the natural length of the answer to `prompt`, in tokens: what the
/// prompt asks for with `#len=N`, or else a heavy-tailed draw from the seed.
pub fn natural_length(seed: u64, prompt: &str) -> u32 {
    marked(prompt, LENGTH_MARK).unwrap_or_else(|| drawn_length(seed))
}

fn marked(prompt: &str, mark: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(mark)?;
    let end = rest
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(rest.len());
    rest[..end].parse().ok()
}

/// The shortest drawn answer, in tokens.
const SHORTEST: f64 = 4.0;
/// The exponent of the Pareto tail of drawn lengths.
const TAIL: f64 = 1.2;
/// The longest drawn answer, in tokens.
const LONGEST: f64 = 8_192.0;

fn drawn_length(seed: u64) -> u32 {
    let bits = stable_hash(&[&seed.to_le_bytes(), b"length"]) >> 11;
    let uniform = (bits as f64 + 1.0) / (1u64 << 53) as f64;
    (SHORTEST * uniform.powf(-1.0 / TAIL)).min(LONGEST) as u32
}

/// Bytes of prompt to a token, as the stand-in tokenizer counts.
const BYTES_PER_TOKEN: usize = 4;

/// Returns the tokens of `prompt` as the stand-in engine counts them.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}
