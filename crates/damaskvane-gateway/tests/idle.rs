//! Tests of idle connections: how long one is kept, and what closes it.

use std::io::Write;
use std::net;
use std::time::Duration;

use bytes::BytesMut;
use damaskvane_core::ids;
use damaskvane_core::time::TimeMs;
use damaskvane_gateway::http::{Connection, ResponseHead};
use damaskvane_gateway::tunnel::Path;
use damaskvane_gateway::upstream::IdleConnections;

const SECOND: Duration = Duration::from_secs(20);

fn server() -> ids::BackendServerId {
    "s-1".parse().expect("a name")
}

/// Returns a connection and the server's end of it.
async fn connect() -> (Connection, net::TcpStream) {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connection = Connection::open(address, SECOND, SECOND).await;
    let (peer, _) = listener.accept().expect("a connection");
    (connection.expect("an open connection"), peer)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(test);
}

/// Returns whether a connection is there that was kept at 1,000 ms.
async fn is_kept(idle_timeout_s: Option<u64>, now_ms: u64) -> bool {
    let mut idle = IdleConnections::default();
    let (connection, _peer) = connect().await;
    let kept_at = TimeMs::new(1_000);
    idle.keep(kept_at, &server(), connection, idle_timeout_s, Path::Direct);
    let taken = idle.take(TimeMs::new(now_ms), &server(), |_| true);
    taken.is_some()
}

/// Guards against a request on a connection that its server closes at this moment: whether it ran can't be known.
#[test]
fn a_connection_is_not_used_close_to_the_timeout_that_its_server_names() {
    let head = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=3, max=9\r\nContent-Length: 0\r\n\r\n";
    let head = ResponseHead::take(&mut BytesMut::from(head.as_bytes()));
    let head = head.expect("a valid head").expect("a complete head");
    assert_eq!(head.idle_timeout_s, Some(3));
    run(async move {
        assert!(is_kept(head.idle_timeout_s, 2_900).await);
        assert!(!is_kept(head.idle_timeout_s, 3_100).await);
        assert!(is_kept(None, 4_900).await);
        assert!(!is_kept(Some(1), 1_001).await);
    });
}

/// Guards against a server that pours bytes after its responses and stays the most used one.
#[test]
fn a_flooded_connection_is_closed_and_its_server_named() {
    run(async {
        let mut idle = IdleConnections::default();
        let (connection, mut peer) = connect().await;
        idle.keep(TimeMs::new(0), &server(), connection, None, Path::Direct);
        peer.write_all(&[b'x'; 32_768]).expect("written");
        assert!(idle.close_flooded(TimeMs::new(10)).is_empty());
        assert_eq!(idle.close_flooded(TimeMs::new(60)), [server()]);
        assert!(idle.close_flooded(TimeMs::new(120)).is_empty());
        assert!(idle.is_empty());
    });
}

/// Guards against a late duplicate of a response that counts as a flood: the server is only impolite.
#[test]
fn a_few_bytes_close_a_connection_and_accuse_nobody() {
    run(async {
        let mut idle = IdleConnections::default();
        let (connection, mut peer) = connect().await;
        idle.keep(TimeMs::new(0), &server(), connection, None, Path::Direct);
        peer.write_all(b"HTTP/1.1 200 OK\r\n\r\n").expect("written");
        assert!(idle.close_flooded(TimeMs::new(60)).is_empty());
        assert!(idle.take(TimeMs::new(70), &server(), |_| true).is_none());
    });
}
