//! The service's routes.

use super::state::{Service, ServiceFault, ServiceRule};
use super::{ServiceArgs, answer};
use crate::standins::cuts::Cuts;
use crate::standins::http;
use crate::standins::journal::Fact;
use bytes::Bytes;
use poem::error::InternalServerError;
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{Body, EndpointExt, IntoResponse, Request, Response, Route, get, handler, post, put};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// The header that carries the request's id.
const REQUEST_HEADER: &str = "X-Request-Id";
/// The header that carries the attempt's id, both ways.
const ATTEMPT_HEADER: &str = "X-Attempt-Id";
/// The exit code of a service that was asked to die.
const DIED_EXIT_CODE: i32 = 137;

/// Serves a plain service until the process is killed.
pub async fn serve(args: ServiceArgs) -> io::Result<ExitCode> {
    let listen = args.listen;
    let service = Arc::new(Service::new(args)?);
    let app = Route::new()
        .at("/v1/call", post(post_call))
        .at("/v1/load", get(get_load))
        .at("/admin/record", get(get_record))
        .at("/admin/faults", post(post_fault).delete(delete_faults))
        .at("/admin/leaving", put(put_leaving).delete(delete_leaving))
        .data(Arc::clone(&service));
    http::serve(listen, service.cuts.clone(), app).await
}

#[handler]
async fn post_call(
    req: &Request,
    body: String,
    Data(service): Data<&Arc<Service>>,
) -> poem::Result<Response> {
    let remote = http::remote(req).map_err(InternalServerError)?;
    let header = |name| req.header(name).unwrap_or_default().to_owned();
    let attempt = header(ATTEMPT_HEADER);
    let arrival = service
        .lock()
        .arrive(&attempt, &header(REQUEST_HEADER), &body);
    let fault = match arrival {
        Ok(fault) => fault,
        Err(reason) => return Ok(http::refuse(reason)),
    };
    // Runs to its end even if the caller's connection breaks, as a service
    // that books an order would.
    let run = tokio::spawn(run(Arc::clone(service), attempt.clone()));
    run.await.map_err(InternalServerError)?;
    if fault == Some(ServiceFault::LoseAnswer) {
        return Ok(cut_answer(service.cuts.clone(), remote));
    }
    Ok(reply(fault, &attempt, &body).await)
}

async fn run(service: Arc<Service>, attempt: String) {
    let _permit = service.room.acquire().await;
    service.lock().start(&attempt);
    tokio::time::sleep(Duration::from_millis(service.args.call_ms)).await;
    service.lock().end(&attempt);
}

async fn reply(fault: Option<ServiceFault>, attempt: &str, body: &str) -> Response {
    let attempt = match fault {
        Some(ServiceFault::ServerError) => {
            return StatusCode::INTERNAL_SERVER_ERROR.into_response();
        }
        Some(ServiceFault::Stall) => std::future::pending().await,
        Some(ServiceFault::Die) => std::process::exit(DIED_EXIT_CODE),
        Some(ServiceFault::OtherId) => "r-00000000000000aa-00000000000000bb-cc.1",
        Some(ServiceFault::RefuseBusy | ServiceFault::RefuseLeaving | ServiceFault::LoseAnswer)
        | None => attempt,
    };
    Response::builder()
        .header(ATTEMPT_HEADER, attempt)
        .body(answer(body))
}

/// Cuts the connection in place of an answer.
fn cut_answer(cuts: Cuts, remote: SocketAddr) -> Response {
    let cut = futures_util::stream::once(async move { Err::<Bytes, _>(cuts.cut(remote).await) });
    Response::builder().body(Body::from_bytes_stream(cut))
}

#[handler]
fn get_load(Data(service): Data<&Arc<Service>>) -> Response {
    http::json(StatusCode::OK, &service.report())
}

#[handler]
fn get_record(Data(service): Data<&Arc<Service>>) -> Response {
    http::json(StatusCode::OK, &service.lock().journal.entries())
}

#[handler]
fn post_fault(Json(rule): Json<ServiceRule>, Data(service): Data<&Arc<Service>>) -> StatusCode {
    service.lock().faults.push(rule);
    StatusCode::NO_CONTENT
}

#[handler]
fn delete_faults(Data(service): Data<&Arc<Service>>) -> StatusCode {
    service.lock().faults.clear();
    StatusCode::NO_CONTENT
}

#[handler]
fn put_leaving(Data(service): Data<&Arc<Service>>) -> StatusCode {
    set_leaving(service, true)
}

#[handler]
fn delete_leaving(Data(service): Data<&Arc<Service>>) -> StatusCode {
    set_leaving(service, false)
}

fn set_leaving(service: &Service, leaving: bool) -> StatusCode {
    let mut state = service.lock();
    state.leaving = leaving;
    state.journal.push(Fact::Leaving { leaving });
    StatusCode::NO_CONTENT
}
