//! A caller that goes straight to an engine, as a baseline.

use super::measure::Timing;
use crate::fleet::list::MODEL;
use crate::load::sse::Parser;
use crate::workload::Request;
use serde::Deserialize;
use serde_json::json;
use std::net::SocketAddr;
use std::time::Instant;

/// What of an engine's event is needed.
#[derive(Debug, Deserialize)]
struct EngineEvent {
    #[serde(default)]
    text: Option<String>,
    #[serde(default)]
    finish_reason: Option<String>,
}

/// Sends one request to `engine` and waits for its end.
pub(super) async fn complete(
    http: &reqwest::Client,
    engine: SocketAddr,
    request: &Request,
    prompt: &str,
    priority: u8,
) -> Timing {
    let id = format!("r-1-1-{:x}", request.id + 1);
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": request.max_tokens, "stream": true,
        "priority": priority, "request_id": id, "attempt_id": format!("{id}.1"),
    });
    let mut timing = Timing::default();
    let begun = Instant::now();
    let url = format!("http://{engine}/v1/completions");
    let Ok(mut response) = http.post(url).json(&body).send().await else {
        return timing;
    };
    if !response.status().is_success() {
        timing.refused = Some(response.status().as_str().to_owned());
    }
    let mut parser = Parser::default();
    while let Ok(Some(bytes)) = response.chunk().await {
        parser.push(&bytes);
        while let Some(event) = parser.next_event() {
            take(&mut timing, &event.data, begun);
        }
    }
    timing.lasted = begun.elapsed();
    timing
}

fn take(timing: &mut Timing, data: &str, begun: Instant) {
    let Ok(event) = serde_json::from_str::<EngineEvent>(data) else {
        return;
    };
    if event.finish_reason.is_some() {
        timing.complete = true;
    } else if event.text.is_some() {
        timing.token(begun.elapsed());
    }
}
