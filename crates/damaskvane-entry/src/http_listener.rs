//! Accepts HTTP connections from untrusted peers within limits and passes their requests to a handler.
//!
//! The listeners for clients and for operators both use this module. hyper limits the head of a request in
//! time, size and number of headers. A connection above the connection limit is closed at once, so that a
//! flood of connections occupies a socket briefly and never a thread. `docs/design/listeners.md` compares
//! the alternatives.
//!
//! ```
//! use damaskvane_entry::http_listener;
//!
//! let bounds = http_listener::ListenerBounds::default();
//! assert!(bounds.connection_limit > 0);
//! assert_eq!(http_listener::MAX_HEADERS, 64);
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

/// Maximum number of headers in a request.
pub const MAX_HEADERS: usize = 64;

/// Delay after a failed accept, so that a lack of sockets does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Limits on the connections of one listener.
#[derive(Debug, Clone, Copy)]
pub struct ListenerBounds {
    /// Maximum number of open connections.
    pub connection_limit: usize,
    /// Maximum time to send the head of a request, and maximum idle time of a kept connection.
    pub head_timeout: Duration,
    /// Maximum size of the head of a request, in bytes.
    pub head_limit_bytes: usize,
    /// Maximum time that sent bytes may stay unacknowledged.
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

/// Counters of rejected and failed connections, named `{family}.over_limit` and `{family}.broken`.
#[derive(Debug, Clone)]
pub struct ConnectionCounts {
    /// Shared state with the counters of the process.
    pub serving: Arc<serving::Serving>,
    /// Counter family of this listener.
    pub family: &'static str,
}

impl ConnectionCounts {
    fn increment(&self, label: &str) {
        self.serving.counters.increment(self.family, label);
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
    let permits = Arc::new(Semaphore::new(bounds.connection_limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            counts.increment("over_limit");
            continue;
        };
        let _ = stream.set_nodelay(true);
        limit_unresponsive_time(&stream, bounds.write_timeout);
        let handler = handler.clone();
        let counts = counts.clone();
        tokio::spawn(async move {
            serve_connection(stream, bounds, &counts, handler).await;
            drop(permit);
        });
    }
}

/// Makes the kernel close the connection once sent bytes or keepalive probes stay unacknowledged for the
/// timeout. Otherwise a client that disappears or reads nothing would occupy its connection forever.
fn limit_unresponsive_time(stream: &tokio::net::TcpStream, timeout: Duration) {
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
        .max_headers(MAX_HEADERS)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(|request| {
                let response = handler(request);
                async move { Ok::<_, Infallible>(response.await) }
            }),
        );
    if connection.await.is_err() {
        counts.increment("broken");
    }
}
