//! The relaying process: the product's callers' side, relay and endpoints'
//! side, with a node that gives every request to the next engine at once.

use oriolemux::callers::CallerServer;
use oriolemux::callers::port::{Clock, NodeInput, NodePort, RequestIds, RequestOrder};
use oriolemux::endpoints::{HttpProtocol, HttpSettings};
use oriolemux_core::event::{AttemptMode, DeliveryMode, Dispatch, EndpointTarget};
use oriolemux_core::{AttemptId, EndpointKey, Incarnation, InstanceKey, RequestId, Time};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Arguments of `oriolemux-bench relay-node`.
#[derive(Clone, Debug, clap::Args)]
pub struct RelayNodeArgs {
    /// Threads of the runtime.
    #[arg(long, default_value_t = 1)]
    threads: usize,
    /// The engines, used in turn.
    engines: Vec<SocketAddr>,
}

/// Runs until it is killed.
pub fn run(args: RelayNodeArgs) -> ExitCode {
    let runtime = match args.threads {
        1 => tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build(),
        threads => tokio::runtime::Builder::new_multi_thread()
            .worker_threads(threads)
            .enable_all()
            .build(),
    };
    let served = runtime.and_then(|runtime| runtime.block_on(serve(args.engines)));
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("relay-node: {err}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(engines: Vec<SocketAddr>) -> std::io::Result<()> {
    let clock = Clock::start();
    let ids = RequestIds::new(InstanceKey::of("bench"), Incarnation(1));
    let (port, inputs) = NodePort::new(ids, clock);
    tokio::spawn(decide(inputs, engines));
    let protocol =
        HttpProtocol::new(clock, HttpSettings::default()).map_err(std::io::Error::other)?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    println!("listening {}", listener.local_addr()?);
    let server = CallerServer::builder(port, protocol).build();
    server.serve(listener, std::future::pending()).await
}

async fn decide(mut inputs: mpsc::Receiver<NodeInput>, engines: Vec<SocketAddr>) {
    let mut next = engines.iter().cycle();
    while let Some(input) = inputs.recv().await {
        let NodeInput::Submit { arrival, orders } = input else {
            continue;
        };
        if let Some(&engine) = next.next() {
            let order = RequestOrder::Dispatch(Box::new(dispatch(arrival.id, engine)));
            let _ = orders.send(order).await;
            // Kept alive, as the node keeps it, until the request is over.
            tokio::spawn(async move { orders.closed().await });
        }
    }
}

fn dispatch(request: RequestId, engine: SocketAddr) -> Dispatch {
    Dispatch {
        attempt: AttemptId { request, number: 1 },
        endpoint: EndpointTarget {
            key: EndpointKey::of("engine"),
            name: "engine".to_owned(),
            address: engine,
        },
        model: "bench".to_owned(),
        adapter: None,
        priority: 0,
        max_tokens: u32::MAX,
        delivery: DeliveryMode::Stream,
        idempotent: true,
        mode: AttemptMode::Fresh,
        send_before: Time::NEVER,
        stall_limit: Duration::from_secs(30),
    }
}
