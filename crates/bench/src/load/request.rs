//! What a caller asks for.

use serde::Serialize;

/// A completion that a caller asks for.
#[derive(Clone, Debug, Default)]
pub struct CompletionCall {
    /// The entry of the catalogue.
    pub entry: String,
    /// The prompt.
    pub prompt: String,
    /// The most tokens wanted.
    pub max_tokens: Option<u32>,
    /// Whether tokens are wanted as they come.
    pub stream: bool,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// A ticket drawn earlier.
    pub ticket: Option<String>,
    /// How long the caller is willing to wait, in milliseconds.
    pub patience_ms: Option<u64>,
    /// The caller goes away after so many tokens of a stream.
    pub leave_after: Option<u32>,
}

#[derive(Debug, Serialize)]
pub(super) struct CompletionBody<'a> {
    model: &'a str,
    prompt: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    max_tokens: Option<u32>,
    stream: bool,
}

impl CompletionCall {
    pub(super) fn body(&self) -> CompletionBody<'_> {
        CompletionBody {
            model: &self.entry,
            prompt: &self.prompt,
            max_tokens: self.max_tokens,
            stream: self.stream,
        }
    }

    pub(super) fn headers(&self) -> impl Iterator<Item = (&'static str, String)> {
        let key = self.idempotency_key.clone();
        let patience = self.patience_ms.map(|ms| ms.to_string());
        headers(key, self.ticket.clone(), patience)
    }
}

/// A call of a plain service that a caller asks for.
#[derive(Clone, Debug, Default)]
pub struct CallRequest {
    /// The entry of the catalogue.
    pub entry: String,
    /// The body.
    pub body: String,
    /// The caller's idempotency key.
    pub idempotency_key: Option<String>,
    /// A ticket drawn earlier.
    pub ticket: Option<String>,
}

impl CallRequest {
    pub(super) fn headers(&self) -> impl Iterator<Item = (&'static str, String)> {
        headers(self.idempotency_key.clone(), self.ticket.clone(), None)
    }
}

fn headers(
    key: Option<String>,
    ticket: Option<String>,
    patience: Option<String>,
) -> impl Iterator<Item = (&'static str, String)> {
    let named = [
        ("Idempotency-Key", key),
        ("Oriolemux-Ticket", ticket),
        ("Oriolemux-Patience-Ms", patience),
    ];
    named
        .into_iter()
        .filter_map(|(name, value)| Some((name, value?)))
}
