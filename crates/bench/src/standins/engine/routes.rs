//! The engine's routes.

use super::admission::{self, Admission, CompletionRequest};
use super::fault::FaultRule;
use super::options::EngineArgs;
use super::orders::{Order, OrderKind};
use super::state::Engine;
use super::stream::{self, Start};
use crate::standins::http;
use crate::standins::journal::{Ending, Fact};
use poem::error::InternalServerError;
use poem::http::StatusCode;
use poem::web::{Data, Json, Path, Query};
use poem::{EndpointExt, IntoResponse, Request, Response, Route, get, handler, post, put};
use serde::Deserialize;
use std::io;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// Serves an engine until the process is killed.
pub async fn serve(args: EngineArgs) -> io::Result<ExitCode> {
    let listen = args.listen;
    let engine = Arc::new(Engine::new(args)?);
    let decoding = Arc::clone(&engine);
    tokio::spawn(async move { decoding.decode().await });
    let sweeping = Arc::clone(&engine);
    tokio::spawn(async move { sweeping.sweep().await });
    let cuts = engine.cuts.clone();
    http::serve(listen, cuts, app(engine)).await
}

/// Returns the engine's routes.
pub fn app(engine: Arc<Engine>) -> impl poem::IntoEndpoint {
    Route::new()
        .at("/v1/completions", post(post_completion))
        .at(
            "/v1/completions/:attempt",
            get(get_completion).delete(delete_completion),
        )
        .at("/v1/load", get(get_load))
        .at("/v1/cache-events", get(get_cache_events))
        .at("/v1/orders", post(post_order))
        .at("/admin/record", get(get_record))
        .at("/admin/faults", post(post_fault).delete(delete_faults))
        .at("/admin/leaving", put(put_leaving).delete(delete_leaving))
        .data(engine)
}

#[handler]
fn post_completion(
    http: &Request,
    Json(req): Json<CompletionRequest>,
    Data(engine): Data<&Arc<Engine>>,
) -> poem::Result<Response> {
    let remote = http::remote(http).map_err(InternalServerError)?;
    let admission = admission::arrive(&mut engine.lock(), &engine.args, engine.now(), &req);
    engine.arrived();
    Ok(match admission {
        Admission::Refused(reason) => http::refuse(reason),
        Admission::TooLarge => StatusCode::BAD_REQUEST.into_response(),
        Admission::Hidden => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        Admission::Taken(fault) => {
            let from = Start {
                attempt: &req.attempt_id,
                index: 0,
                remote,
            };
            http::event_stream(stream::events(Arc::clone(engine), from, fault))
        }
    })
}

#[handler]
fn get_completion(
    req: &Request,
    Path(attempt): Path<String>,
    Data(engine): Data<&Arc<Engine>>,
) -> poem::Result<Response> {
    let remote = http::remote(req).map_err(InternalServerError)?;
    let from = req
        .header("Last-Event-ID")
        .and_then(|id| id.rsplit_once(':'))
        .and_then(|(_, index)| index.parse::<u32>().ok())
        .map_or(0, |index| index.saturating_add(1));
    let found = {
        let mut state = engine.lock();
        let found = state.held.contains_key(&attempt);
        state.journal.push(Fact::Resumed {
            attempt: attempt.clone(),
            from,
            found,
        });
        found
    };
    if !found {
        return Ok(StatusCode::NOT_FOUND.into_response());
    }
    let from = Start {
        attempt: &attempt,
        index: from,
        remote,
    };
    let events = stream::events(Arc::clone(engine), from, None);
    Ok(http::event_stream(events))
}

#[handler]
fn delete_completion(Path(attempt): Path<String>, Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    let mut state = engine.lock();
    state.end(&attempt, Ending::Cancelled, engine.now());
    StatusCode::NO_CONTENT
}

#[handler]
fn get_load(Data(engine): Data<&Arc<Engine>>) -> Response {
    let report = engine.lock().lagging_report(&engine.args, engine.now());
    http::json(StatusCode::OK, &report)
}

/// Where a reader of cache events goes on.
#[derive(Debug, Deserialize)]
struct After {
    #[serde(default)]
    after: u64,
}

#[handler]
fn get_cache_events(Query(query): Query<After>, Data(engine): Data<&Arc<Engine>>) -> Response {
    http::json(
        StatusCode::OK,
        &engine.lock().cache.events_after(query.after),
    )
}

#[handler]
async fn post_order(Json(order): Json<Order>, Data(engine): Data<&Arc<Engine>>) -> Response {
    let fenced = {
        let mut state = engine.lock();
        let fenced = state.holdings.fence(engine.args.fencing, order.fencing);
        state.journal.push(Fact::Order {
            fencing: order.fencing,
            order: format!("{order:?}"),
            accepted: fenced.is_ok(),
        });
        fenced
    };
    if let Err(fenced) = fenced {
        return http::json(StatusCode::CONFLICT, &fenced);
    }
    carry_out(Arc::clone(engine), order);
    StatusCode::ACCEPTED.into_response()
}

/// Loading takes its time after the order was accepted.
fn carry_out(engine: Arc<Engine>, order: Order) {
    let delay = match order.kind {
        OrderKind::Load => Duration::from_millis(engine.args.load_ms),
        OrderKind::Unload | OrderKind::Role => Duration::ZERO,
    };
    tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        engine.lock().holdings.apply(&order);
    });
}

#[handler]
fn get_record(Data(engine): Data<&Arc<Engine>>) -> Response {
    http::json(StatusCode::OK, &engine.lock().journal.entries())
}

#[handler]
fn post_fault(Json(rule): Json<FaultRule>, Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    engine.lock().faults.push(rule);
    StatusCode::NO_CONTENT
}

#[handler]
fn delete_faults(Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    engine.lock().faults.clear();
    StatusCode::NO_CONTENT
}

#[handler]
fn put_leaving(Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    set_leaving(engine, true)
}

#[handler]
fn delete_leaving(Data(engine): Data<&Arc<Engine>>) -> StatusCode {
    set_leaving(engine, false)
}

fn set_leaving(engine: &Engine, leaving: bool) -> StatusCode {
    let mut state = engine.lock();
    state.leaving = leaving;
    state.journal.push(Fact::Leaving { leaving });
    StatusCode::NO_CONTENT
}
