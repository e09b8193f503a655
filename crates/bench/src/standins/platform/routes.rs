//! The platform's routes.

use super::PlatformArgs;
use super::state::{LARGEST_VALUE, Mode, Platform, Value};
use crate::standins::cuts::Cuts;
use crate::standins::http;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{Body, EndpointExt, IntoResponse, Request, Response, Route, get, handler, put};
use serde::Deserialize;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

/// The header that carries a value's revision.
const REVISION_HEADER: &str = "X-Revision";

/// Serves a platform without values until the process is killed.
pub async fn serve(args: PlatformArgs) -> io::Result<ExitCode> {
    let listen = args.listen;
    let app = Route::new()
        .at("/v1/values/:name", get(get_value))
        .at("/admin/values/:name", put(put_value))
        .at("/admin/mode", put(put_mode))
        .at("/admin/calls", get(get_calls))
        .data(Arc::new(Platform::default()))
        .data(args);
    http::serve(listen, Cuts::default(), app).await
}

/// The revision that a watcher already knows.
#[derive(Debug, Deserialize)]
struct Above {
    above: Option<u64>,
}

#[handler]
async fn get_value(
    Path(name): Path<String>,
    Query(query): Query<Above>,
    Data(platform): Data<&Arc<Platform>>,
    Data(args): Data<&PlatformArgs>,
) -> Response {
    count(platform, query.above.is_some());
    tokio::time::sleep(Duration::from_millis(args.read_ms)).await;
    if let Some(failure) = failure(platform).await {
        return failure;
    }
    match query.above {
        Some(above) => watch(platform, args, &name, above).await,
        None => {
            let value = platform.lock().read(&name);
            value.map_or_else(|| StatusCode::NOT_FOUND.into_response(), respond)
        }
    }
}

fn count(platform: &Platform, is_watch: bool) {
    let calls = &mut platform.lock().calls;
    match is_watch {
        true => calls.watches += 1,
        false => calls.reads += 1,
    }
}

/// Shows the mode's failure, or waits as long as the mode says.
async fn failure(platform: &Platform) -> Option<Response> {
    let mode = platform.lock().mode;
    match mode {
        Mode::Well | Mode::Stale | Mode::Older => None,
        Mode::Slow { delay_ms } => {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            None
        }
        Mode::Down => {
            platform.lock().calls.failed += 1;
            Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
        }
        Mode::Silent => {
            platform.lock().calls.failed += 1;
            std::future::pending().await
        }
    }
}

async fn watch(platform: &Platform, args: &PlatformArgs, name: &str, above: u64) -> Response {
    let deadline = Instant::now() + Duration::from_millis(args.watch_ms);
    let mut changes = platform.changes();
    loop {
        changes.mark_unchanged();
        if let Some(failure) = failure(platform).await {
            return failure;
        }
        let value = platform.lock().read(name);
        if let Some(value) = value.filter(|value| value.revision > above) {
            return respond(value);
        }
        let changed = tokio::time::timeout_at(deadline, changes.changed()).await;
        if !matches!(changed, Ok(Ok(()))) {
            return StatusCode::NO_CONTENT.into_response();
        }
    }
}

fn respond(value: Value) -> Response {
    Response::builder()
        .header(REVISION_HEADER, value.revision)
        .body(value.bytes)
}

#[handler]
async fn put_value(
    req: &Request,
    Path(name): Path<String>,
    body: Body,
    Data(platform): Data<&Arc<Platform>>,
) -> Response {
    let Ok(bytes) = body.into_bytes_limit(LARGEST_VALUE).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    let revision = req
        .header(REVISION_HEADER)
        .and_then(|text| text.parse().ok());
    let revision = platform.write(&name, bytes, revision);
    Response::builder()
        .header(REVISION_HEADER, revision)
        .finish()
}

#[handler]
fn put_mode(Json(mode): Json<Mode>, Data(platform): Data<&Arc<Platform>>) -> StatusCode {
    platform.set_mode(mode);
    StatusCode::NO_CONTENT
}

#[handler]
fn get_calls(Data(platform): Data<&Arc<Platform>>) -> Response {
    http::json(StatusCode::OK, &platform.lock().calls)
}
