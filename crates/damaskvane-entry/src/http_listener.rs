//! Accepts HTTP connections of strangers within bounds and hands their requests on.
//!
//! Serves the clients' and the operators' addresses alike. hyper bounds the head of a request in time, size and
//! number of headers; a connection above the limit is closed at once, so that a flood costs a socket
//! for a moment and never a thread. `docs/design/listeners.md` has the ways weighed and the figures.
//!
//! ```
//! use damaskvane_entry::http_listener;
//!
//! let bounds = http_listener::ListenerBounds::default();
//! assert!(bounds.connection_limit > 0);
//! assert_eq!(http_listener::MOST_HEADERS, 64);
//! ```

use core::convert::Infallible;
use core::time::Duration;
use std::io;
use std::net;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;

use crate::serving;

/// Most headers of a request.
pub const MOST_HEADERS: usize = 64;

/// The wait after the system refused to accept, so that a lack of sockets is not asked about in a tight loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// What a connection costs at most.
#[derive(Debug, Clone, Copy)]
pub struct ListenerBounds {
    /// Most connections at a time.
    pub connection_limit: usize,
    /// Longest time to send a request's head, and for a kept connection to stay idle.
    pub head_timeout: Duration,
    /// Largest head of a request.
    pub head_limit_bytes: usize,
    /// Longest time that sent bytes stay unacknowledged.
    pub write_timeout: Duration,
}

impl Default for ListenerBounds {
    fn default() -> Self {
        Self {
            connection_limit: 2_048,
            head_timeout: Duration::from_secs(5),
            head_limit_bytes: 16_384,
            write_timeout: Duration::from_secs(10),
        }
    }
}

/// Counts what became of connections, as `{family}.over_limit` and `{family}.broken`.
#[derive(Debug, Clone)]
pub struct ConnectionCounts {
    /// Holds the counters of the process.
    pub serving: Arc<serving::Serving>,
    /// The family for this listener.
    pub family: &'static str,
}

impl ConnectionCounts {
    fn increment(&self, word: &str) {
        self.serving.counters.increment(self.family, word);
    }
}

/// Accepts connections until the process ends.
///
/// # Errors
///
/// Fails if the listening socket can't be used.
pub async fn serve<H, F>(
    listener: net::TcpListener,
    bounds: ListenerBounds,
    counts: ConnectionCounts,
    handler: H,
) -> io::Result<()>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let places = Arc::new(Semaphore::new(bounds.connection_limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            counts.increment("over_limit");
            continue;
        };
        let _ = stream.set_nodelay(true);
        bound_silence(&stream, bounds.write_timeout);
        let handler = handler.clone();
        let counts = counts.clone();
        tokio::spawn(async move {
            serve_connection(stream, bounds, &counts, handler).await;
            drop(place);
        });
    }
}

/// A client that vanishes without a word, or takes no bytes, would hold its connection for good.
/// The kernel closes it once sent bytes or probes stay unanswered for the time-out.
fn bound_silence(stream: &tokio::net::TcpStream, timeout: Duration) {
    let socket = socket2::SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(timeout));
    let probes = socket2::TcpKeepalive::new()
        .with_time(timeout)
        .with_interval(timeout / 3);
    let _ = socket.set_tcp_keepalive(&probes);
}

async fn serve_connection<H, F>(
    stream: tokio::net::TcpStream,
    bounds: ListenerBounds,
    counts: &ConnectionCounts,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.head_limit_bytes)
        .max_headers(MOST_HEADERS)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(|request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            }),
        );
    if connection.await.is_err() {
        counts.increment("broken");
    }
}
