//! The JSON of requests to endpoints and of their responses.

use super::CompletionBody;
use oriolemux_core::event::{Dispatch, OrderKind};
use serde::{Deserialize, Serialize};

/// The body of `POST /v1/completions`.
#[derive(Debug, Serialize)]
struct CompletionRequest<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    prompt: &'a str,
    max_tokens: u32,
    stream: bool,
    priority: u8,
    request_id: String,
    attempt_id: String,
    #[serde(flatten)]
    sampling: &'a serde_json::Map<String, serde_json::Value>,
}

/// Writes the body of `POST /v1/completions` for an attempt.
pub fn completion_request(dispatch: &Dispatch, body: &CompletionBody) -> Vec<u8> {
    let request = CompletionRequest {
        model: &dispatch.model,
        adapter: dispatch.adapter.as_deref(),
        prompt: &body.prompt,
        max_tokens: dispatch.max_tokens,
        stream: true,
        priority: dispatch.priority,
        request_id: dispatch.attempt.request.to_string(),
        attempt_id: dispatch.attempt.to_string(),
        sampling: &body.sampling,
    };
    serde_json::to_vec(&request).expect("strings, numbers and JSON values serialise")
}

/// The body of `POST /v1/orders`.
#[derive(Debug, Serialize)]
struct OrderRequest<'a> {
    fencing: u64,
    kind: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    model: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    version: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    adapter: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
}

/// Writes the body of `POST /v1/orders`.
pub fn order_request(fencing: u64, kind: &OrderKind) -> Vec<u8> {
    let about_model = |kind, model, version, adapter| OrderRequest {
        fencing,
        kind,
        model: Some(model),
        version: Some(version),
        adapter,
        role: None,
    };
    let request = match kind {
        OrderKind::Load {
            model,
            version,
            adapter,
        } => about_model("load", model.as_str(), version.as_str(), adapter.as_deref()),
        OrderKind::Unload {
            model,
            version,
            adapter,
        } => about_model(
            "unload",
            model.as_str(),
            version.as_str(),
            adapter.as_deref(),
        ),
        OrderKind::Role { role } => OrderRequest {
            fencing,
            kind: "role",
            model: None,
            version: None,
            adapter: None,
            role: Some(role),
        },
    };
    serde_json::to_vec(&request).expect("strings and numbers serialise")
}

/// The response to an order with a fencing number that is too low.
#[derive(Debug, Deserialize)]
pub struct Fenced {
    /// The highest number that the endpoint has seen.
    pub highest: u64,
}
