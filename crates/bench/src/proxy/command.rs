//! The proxy as a command, told what to do by admin routes.

use super::{Proxy, Rules};
use crate::process::block_on;
use crate::standins::cuts::Cuts;
use crate::standins::http::{self, ANY_PORT};
use poem::http::StatusCode;
use poem::web::{Data, Json};
use poem::{EndpointExt, Route, handler, post, put};
use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

/// Options of the proxy. Its first line on stdout names the admin side; stderr names the proxied address.
#[derive(Clone, Debug, clap::Args)]
pub struct ProxyArgs {
    /// Where connections are passed on to.
    #[arg(long)]
    pub target: SocketAddr,
    /// The address to listen at.
    #[arg(long, default_value = ANY_PORT)]
    pub listen: SocketAddr,
    /// The address of the admin side.
    #[arg(long, default_value = ANY_PORT)]
    pub admin: SocketAddr,
}

/// Runs the proxy until the process is killed.
pub fn run(args: ProxyArgs) -> ExitCode {
    block_on("proxy", serve(args))
}

async fn serve(args: ProxyArgs) -> io::Result<ExitCode> {
    let proxy = Proxy::start_at(args.listen, args.target).await?;
    eprintln!("proxying {} to {}", proxy.address(), args.target);
    let app = Route::new()
        .at("/admin/rules", put(put_rules))
        .at("/admin/cut", post(post_cut))
        .data(Arc::new(proxy));
    http::serve(args.admin, Cuts::default(), app).await
}

#[handler]
fn put_rules(Json(rules): Json<Rules>, Data(proxy): Data<&Arc<Proxy>>) -> StatusCode {
    proxy.set(rules);
    StatusCode::NO_CONTENT
}

#[handler]
fn post_cut(Data(proxy): Data<&Arc<Proxy>>) -> StatusCode {
    proxy.cut();
    StatusCode::NO_CONTENT
}
