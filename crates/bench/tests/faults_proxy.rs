//! The proxy does to bytes what it is told, and only that.

use oriolemux_bench::proxy::{Proxy, Rules};
use rstest::rstest;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LIMIT: Duration = Duration::from_secs(30);
/// Long enough for bytes on loopback to arrive if they were let through.
const QUIET: Duration = Duration::from_millis(100);

/// Sends back what it gets.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut rx, mut tx) = stream.split();
                tokio::io::copy(&mut rx, &mut tx).await
            });
        }
    });
    address
}

async fn connected() -> (Proxy, TcpStream) {
    let proxy = Proxy::start(echo_server().await).await.expect("a proxy");
    let mut stream = TcpStream::connect(proxy.address())
        .await
        .expect("connected");
    // A round trip, so that the connection stands on both sides before rules change.
    assert_eq!(
        ask(&mut stream, b"hello!").await.as_deref(),
        Some(&b"hello!"[..])
    );
    (proxy, stream)
}

async fn ask(stream: &mut TcpStream, bytes: &[u8]) -> Option<Vec<u8>> {
    stream.write_all(bytes).await.ok()?;
    receive(stream, bytes.len(), LIMIT).await
}

async fn receive(stream: &mut TcpStream, n: usize, limit: Duration) -> Option<Vec<u8>> {
    let mut buf = vec![0; n];
    tokio::time::timeout(limit, stream.read_exact(&mut buf))
        .await
        .ok()?
        .ok()?;
    Some(buf)
}

#[rstest]
#[case(Rules::STALLED)]
#[case(Rules::ANSWERS_LOST)]
#[case(Rules::QUESTIONS_LOST)]
#[tokio::test]
async fn stalled_bytes_arrive_once_it_heals(#[case] rules: Rules) {
    let (proxy, mut stream) = connected().await;
    proxy.set(rules);
    stream.write_all(b"late").await.expect("written");
    assert_eq!(receive(&mut stream, 1, QUIET).await, None);
    proxy.heal();
    assert_eq!(
        receive(&mut stream, 4, LIMIT).await.as_deref(),
        Some(&b"late"[..])
    );
}

#[tokio::test]
async fn a_cut_in_the_middle_of_a_frame_leaves_half_of_it() {
    let (proxy, mut stream) = connected().await;
    proxy.set(Rules::CUT_ANSWERS);
    stream.write_all(b"abcdef").await.expect("written");
    let mut rest = Vec::new();
    let end = tokio::time::timeout(LIMIT, stream.read_to_end(&mut rest)).await;
    end.expect("in time").ok();
    assert_eq!(rest, b"abc");
}

#[tokio::test]
async fn a_cut_ends_open_connections_and_lets_new_ones_through() {
    let (proxy, mut stream) = connected().await;
    proxy.cut();
    let mut rest = Vec::new();
    let end = tokio::time::timeout(LIMIT, stream.read_to_end(&mut rest)).await;
    end.expect("in time").ok();
    let mut again = TcpStream::connect(proxy.address())
        .await
        .expect("connected");
    assert_eq!(
        ask(&mut again, b"more").await.as_deref(),
        Some(&b"more"[..])
    );
}

#[tokio::test]
async fn a_refusing_proxy_closes_new_connections_and_keeps_open_ones() {
    let (proxy, mut stream) = connected().await;
    proxy.set(Rules::REFUSING);
    let mut refused = TcpStream::connect(proxy.address())
        .await
        .expect("connected");
    assert_eq!(receive(&mut refused, 1, LIMIT).await, None);
    assert_eq!(
        ask(&mut stream, b"still").await.as_deref(),
        Some(&b"still"[..])
    );
}
