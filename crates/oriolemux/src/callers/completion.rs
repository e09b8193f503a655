//! Parses the body of a completion request.

use super::prefix::prefix_hashes;
use crate::endpoints::CompletionBody;
use oriolemux_core::event::Work;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};

/// Bytes of prompt that are counted as one token when the caller does not declare the number of
/// tokens. The engine's own count corrects the estimate later.
pub const BYTES_PER_TOKEN: usize = 4;

/// Sampling parameters that are passed on to the engine as they are.
const SAMPLING: &[&str] = &[
    "frequency_penalty",
    "logit_bias",
    "presence_penalty",
    "seed",
    "stop",
    "temperature",
    "top_p",
    "user",
];

/// Fields that would change the shape of the response, with the one value that is accepted for
/// compatibility.
const SHAPE: &[(&str, u64)] = &[("n", 1), ("best_of", 1)];

/// A parsed completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// The entry.
    pub entry: String,
    /// Whether the caller wants a stream of tokens.
    pub stream: bool,
    /// The most tokens that the caller wants, if it set a limit.
    pub max_tokens: Option<u32>,
    /// What is passed on to the engine unchanged.
    pub body: CompletionBody,
}

/// Why a completion request could not be parsed.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum CompletionError {
    /// the body is not valid UTF-8 from byte {at} on
    NotUtf8 {
        /// The first byte that is not.
        at: usize,
    },
    /// {0}
    NotJson(serde_json::Error),
    /// the field `{name}` is missing
    Missing {
        /// Its name.
        name: &'static str,
    },
    /// `{name}`: {error}
    WrongType {
        /// The field's name.
        name: &'static str,
        /// What was expected.
        error: serde_json::Error,
    },
    /// unknown field `{name}`
    UnknownField {
        /// Its name.
        name: String,
    },
    /// `{name}` must be {accepted}
    Unsupported {
        /// The field's name.
        name: &'static str,
        /// The one value that is accepted.
        accepted: u64,
    },
    /// `max_tokens` must be at least 1
    NoTokens,
    /// `prompt` must be one string
    ManyPrompts,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum Prompt {
    One(String),
    Many(Vec<String>),
}

impl CompletionCall {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not UTF-8, not JSON, or requests something that is not supported.
    pub fn parse(body: &[u8]) -> Result<Self, CompletionError> {
        let text = std::str::from_utf8(body).map_err(|err| CompletionError::NotUtf8 {
            at: err.valid_up_to(),
        })?;
        let mut fields = serde_json::from_str(text).map_err(CompletionError::NotJson)?;
        let max_tokens = take(&mut fields, "max_tokens")?;
        if max_tokens == Some(0) {
            return Err(CompletionError::NoTokens);
        }
        Ok(CompletionCall {
            entry: take_required(&mut fields, "model")?,
            stream: take(&mut fields, "stream")?.unwrap_or(false),
            max_tokens,
            body: CompletionBody {
                prompt: one_prompt(take_required(&mut fields, "prompt")?)?,
                sampling: read_sampling(fields)?,
            },
        })
    }

    /// Returns what the node needs to know about the work.
    pub fn work(&self, declared_prompt_tokens: Option<u32>) -> Work {
        let prompt = &self.body.prompt;
        Work::Completion {
            prompt_tokens: declared_prompt_tokens.unwrap_or_else(|| estimate_tokens(prompt)),
            max_tokens: self.max_tokens,
            stream: self.stream,
            prefix: prefix_hashes(prompt.as_bytes()),
        }
    }
}

/// Removes a field from `fields`; a null value counts as absent.
fn take<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &'static str,
) -> Result<Option<T>, CompletionError> {
    let value = fields.remove(name).unwrap_or(Value::Null);
    serde_json::from_value(value).map_err(|error| CompletionError::WrongType { name, error })
}

fn take_required<T: DeserializeOwned>(
    fields: &mut Map<String, Value>,
    name: &'static str,
) -> Result<T, CompletionError> {
    take(fields, name)?.ok_or(CompletionError::Missing { name })
}

fn one_prompt(prompt: Prompt) -> Result<String, CompletionError> {
    match prompt {
        Prompt::One(prompt) => Ok(prompt),
        Prompt::Many(prompts) => match <[String; 1]>::try_from(prompts) {
            Ok([prompt]) => Ok(prompt),
            Err(_) => Err(CompletionError::ManyPrompts),
        },
    }
}

/// Returns the sampling parameters. A field that is neither known nor harmless is rejected:
/// ignoring it would silently run another request than the caller wanted.
fn read_sampling(fields: Map<String, Value>) -> Result<Map<String, Value>, CompletionError> {
    const HARMLESS: &str = "stream_options";
    let mut sampling = Map::new();
    for (name, value) in fields {
        if value.is_null() || name == HARMLESS {
            continue;
        }
        if SAMPLING.contains(&name.as_str()) {
            sampling.insert(name, value);
            continue;
        }
        let Some((name, accepted)) = SHAPE.iter().find(|(shape, _)| *shape == name) else {
            return Err(CompletionError::UnknownField { name });
        };
        if value.as_u64() != Some(*accepted) {
            return Err(CompletionError::Unsupported {
                name,
                accepted: *accepted,
            });
        }
    }
    Ok(sampling)
}

fn estimate_tokens(prompt: &str) -> u32 {
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    u32::try_from(tokens).unwrap_or(u32::MAX)
}
