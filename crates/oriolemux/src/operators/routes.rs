//! The routes of the operators' listener.

use super::auth::RequireKey;
use super::gauges;
use super::port::{OperatorPort, QueryError};
use crate::metrics;
use crate::settings::Secret;
use crate::status::Readiness;
use http::StatusCode;
use oriolemux_core::RequestId;
use poem::web::{Data, Path};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, post};
use serde::Serialize;

/// The content type of the Prometheus text format.
const METRICS_TYPE: &str = "text/plain; version=0.0.4; charset=utf-8";
const JSON_TYPE: &str = "application/json";

/// Returns all routes.
pub(super) fn routes(port: OperatorPort, key: Secret) -> impl Endpoint<Output = Response> {
    let guarded = Route::new()
        .at("/metrics", get(show_metrics))
        .at("/status", get(show_status))
        .at("/explain/:request", get(show_explanation))
        .at("/drain", post(drain))
        .map_to_response()
        .with(RequireKey(key));
    Route::new()
        .at("/healthz", get(show_health))
        .at("/readyz", get(show_readiness))
        .nest_no_strip("/", guarded)
        .data(port)
        .map_to_response()
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: ErrorDetail<'a>,
}

#[derive(Serialize)]
struct ErrorDetail<'a> {
    reason: &'a str,
    message: &'a str,
}

#[derive(Serialize)]
struct DrainBody {
    readiness: Readiness,
}

/// Returns an error in the same JSON shape as errors for callers.
pub(super) fn error_response(status: StatusCode, reason: &str, message: &str) -> Response {
    let error = ErrorDetail { reason, message };
    json_response(status, &ErrorBody { error })
}

fn json_response(status: StatusCode, body: &impl Serialize) -> Response {
    match serde_json::to_vec(body) {
        Ok(body) => Response::builder()
            .status(status)
            .content_type(JSON_TYPE)
            .body(body),
        Err(error) => Response::builder()
            .status(StatusCode::INTERNAL_SERVER_ERROR)
            .body(error.to_string()),
    }
}

fn query_failed(error: QueryError) -> Response {
    let message = error.to_string();
    error_response(StatusCode::SERVICE_UNAVAILABLE, "no_answer", &message)
}

#[handler]
async fn show_health(Data(port): Data<&OperatorPort>) -> Response {
    match port.ping().await {
        Ok(()) => "ok\n".into_response(),
        Err(error) => query_failed(error),
    }
}

#[handler]
fn show_readiness(Data(port): Data<&OperatorPort>) -> Response {
    let readiness = port.readiness();
    let status = match readiness {
        Readiness::Ready => StatusCode::OK,
        Readiness::Starting | Readiness::Stopping | Readiness::Overloaded => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    };
    Response::builder()
        .status(status)
        .body(format!("{}\n", readiness.as_str()))
}

#[handler]
async fn show_metrics(Data(port): Data<&OperatorPort>) -> Response {
    // Gauges are updated at each scrape. If the node task does not reply, their last values are
    // kept: the counters still help to find out why it is stuck.
    if let Ok(status) = port.status().await {
        gauges::update(&status);
    }
    Response::builder()
        .content_type(METRICS_TYPE)
        .body(metrics::render())
}

#[handler]
async fn show_status(Data(port): Data<&OperatorPort>) -> Response {
    match port.status().await {
        Ok(status) => json_response(StatusCode::OK, &status),
        Err(error) => query_failed(error),
    }
}

#[handler]
async fn show_explanation(
    Data(port): Data<&OperatorPort>,
    Path(request): Path<String>,
) -> Response {
    let id = match request.parse::<RequestId>() {
        Ok(id) => id,
        Err(error) => {
            let message = error.to_string();
            return error_response(StatusCode::BAD_REQUEST, "bad_request", &message);
        }
    };
    match port.explain(id).await {
        Ok(Some(explanation)) => json_response(StatusCode::OK, &explanation),
        Ok(None) => {
            let message = format!(
                "no record of {id} here; records are kept by the instance that accepted the \
                 request ({}), until newer ones take their place",
                id.instance
            );
            error_response(StatusCode::NOT_FOUND, "unknown_request", &message)
        }
        Err(error) => query_failed(error),
    }
}

#[handler]
async fn drain(Data(port): Data<&OperatorPort>) -> Response {
    match port.drain().await {
        Ok(()) => {
            let readiness = Readiness::Stopping;
            json_response(StatusCode::ACCEPTED, &DrainBody { readiness })
        }
        Err(error) => query_failed(error),
    }
}
