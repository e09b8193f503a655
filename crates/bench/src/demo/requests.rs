//! The requests of the demo.

use super::screen::Screen;
use crate::fleet::catalogue::{BROADCASTER_KEY, LOOKUP, PLAN, SALE, SCHOOL_KEY, VERDICT};
use crate::load::{CallRequest, Caller, CallerEnding, CompletionCall, Received};
use std::net::SocketAddr;
use std::time::Duration;

/// One request of the demo.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its place among all requests.
    pub number: usize,
    /// What it is called on the screen.
    pub name: String,
    /// The workspace's key.
    pub key: &'static str,
    /// The instance that it is sent to; set when it is sent.
    pub instance: usize,
    kind: Kind,
}

#[derive(Clone, Debug)]
enum Kind {
    Completion(CompletionCall),
    Call {
        call: CallRequest,
        with_ticket: bool,
    },
}

/// Makes the requests of the demo.
pub struct Requests;

/// How often a request is sent at most.
const MOST_SENDS: usize = 8;
/// The longest time until a refused request is sent again, so that the demo stays short.
const LONGEST_WAIT: Duration = Duration::from_secs(2);
/// Tokens of a tailoring plan.
const PLAN_TOKENS: u32 = 240;
/// Tokens of a verdict.
const VERDICT_TOKENS: u32 = 6;
/// Tokens of the plans that run during the planned stop.
const LAST_TOKENS: u32 = 120;

impl Requests {
    /// Plans that fill the engines, with verdicts and counter calls in between.
    pub fn crowd() -> Vec<Request> {
        let mut requests = Vec::new();
        for n in 1..=6 {
            let prompt = format!("Draft the tailoring plan of school {n} #len={PLAN_TOKENS}");
            push(
                &mut requests,
                format!("plan-{n}"),
                SCHOOL_KEY,
                stream(PLAN, prompt),
            );
        }
        for n in 1..=9 {
            let prompt = format!("Is verse {n} licensed? #len={VERDICT_TOKENS}");
            let kind = stream(VERDICT, prompt);
            push(&mut requests, format!("verdict-{n}"), BROADCASTER_KEY, kind);
        }
        for (name, entry, with_ticket) in [("lookup-1", LOOKUP, false), ("sale-1", SALE, true)] {
            let call = CallRequest {
                entry: entry.to_owned(),
                body: format!("{name}: shirt 7, size M"),
                ..CallRequest::default()
            };
            let kind = Kind::Call { call, with_ticket };
            push(&mut requests, name.to_owned(), SCHOOL_KEY, kind);
        }
        requests
    }

    /// Plans that still run when the instances are told to stop.
    pub fn last() -> Vec<Request> {
        let mut requests = Vec::new();
        for n in 1..=3 {
            let prompt = format!("One more plan, number {n} #len={LAST_TOKENS}");
            push(
                &mut requests,
                format!("last-{n}"),
                SCHOOL_KEY,
                stream(PLAN, prompt),
            );
        }
        requests
    }
}

fn push(requests: &mut Vec<Request>, name: String, key: &'static str, kind: Kind) {
    requests.push(Request {
        number: requests.len(),
        name,
        key,
        instance: 0,
        kind,
    });
}

fn stream(entry: &str, prompt: String) -> Kind {
    Kind::Completion(CompletionCall {
        entry: entry.to_owned(),
        prompt,
        stream: true,
        ..CompletionCall::default()
    })
}

impl Request {
    /// Sends the request until it ran, coming back when the instance says so.
    pub async fn send(&self, caller: &Caller, instance: SocketAddr, screen: &Screen) -> Received {
        for _ in 1..MOST_SENDS {
            let received = self.send_once(caller, instance, screen).await;
            screen.ended(&self.name, &received);
            let Some(wait) = come_back_after(&received) else {
                return received;
            };
            tokio::time::sleep(wait).await;
        }
        let received = self.send_once(caller, instance, screen).await;
        screen.ended(&self.name, &received);
        received
    }

    async fn send_once(&self, caller: &Caller, instance: SocketAddr, screen: &Screen) -> Received {
        match &self.kind {
            Kind::Completion(call) => {
                let mut count = 0;
                let on_token = |text: &str| {
                    screen.token(&self.name, count, text);
                    count += 1;
                };
                caller.complete_observed(instance, call, on_token).await
            }
            Kind::Call { call, with_ticket } => {
                let mut call = call.clone();
                if *with_ticket {
                    match caller.ticket(instance).await {
                        Ok(ticket) => call.ticket = Some(ticket),
                        Err(error) => return no_ticket(&call.body, &error),
                    }
                }
                caller.call(instance, &call).await
            }
        }
    }
}

/// Returns when to send again what was refused and did not run.
fn come_back_after(received: &Received) -> Option<Duration> {
    match &received.ending {
        CallerEnding::Error {
            outcome,
            retry_after_ms: Some(millis),
            ..
        } if outcome == "not_run" => Some(Duration::from_millis(*millis).min(LONGEST_WAIT)),
        _ => None,
    }
}

fn no_ticket(body: &str, error: &reqwest::Error) -> Received {
    let mut received = Received::new(body);
    received.ending = CallerEnding::Broken {
        connected: false,
        detail: format!("no ticket: {error}"),
    };
    received
}
