//! Accepts connections and passes their requests to the handler of the listening socket.

use core::convert::Infallible;
use core::pin::pin;
use core::time::Duration;
use std::cell::Cell;
use std::io;
use std::net;
use std::rc::Rc;

use bytes::Bytes;
use damaskvane_routing::configuration::Limits;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::clients::head_timer::{HeadTimer, TimedStream};
use crate::clients::reset::ResetOnClose;
use crate::clients::{dispatch, pipeline, reply};
use crate::node::Node;
use crate::stop::{Stop, StopPhase};
use crate::upstream::ResponseBody;
use crate::{lookups, metrics};

/// Maximum number of connections that wait to be accepted. The kernel drops the SYN packet of a connection if
/// the queue is full, and a client retransmits the packet only after a second.
const BACKLOG: i32 = 1_024;
/// Delay before accepting again after the operating system returned an error.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Maximum number of headers of a request.
pub(super) const MAX_HEADERS: usize = 100;
/// The smallest read buffer that the HTTP library permits, in bytes.
pub(super) const MIN_BUFFER_BYTES: usize = 8_192;
/// How long sent bytes may stay unacknowledged before the client is considered disconnected.
const CLIENT_SILENCE_TIMEOUT: Duration = Duration::from_secs(10);
/// Number of file descriptors reserved for files and for connections to backend servers and the store.
const RESERVED_DESCRIPTORS: usize = 1_200;

/// The purpose of a listening socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Serves clients' requests.
    Clients,
    /// Serves lookups, which return to a client the addresses of entry instances to connect to.
    Lookups,
    /// Serves the platform's readiness probes.
    Ready,
    /// Serves the metrics of this instance.
    Metrics,
}

/// Accepts and serves connections until the shutdown of the instance reaches [`StopPhase::Closing`].
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn listen(
    node: Rc<Node>,
    address: net::SocketAddr,
    kind: ListenerKind,
) -> io::Result<()> {
    let listener = bind(address)?;
    let max_open = node.settings().max_descriptors;
    let max_open = max_open.saturating_sub(RESERVED_DESCRIPTORS).max(64);
    let open = Rc::new(Cell::new(0_usize));
    let mut phases = node.stop.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|phase| *phase == StopPhase::Closing) => return Ok(()),
        };
        let Ok((stream, client_address)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open.get() >= max_open {
            continue;
        }
        open.set(open.get() + 1);
        let node = Rc::clone(&node);
        let open = Rc::clone(&open);
        tokio::task::spawn_local(async move {
            serve(&node, stream, client_address.ip(), kind).await;
            open.set(open.get() - 1);
        });
    }
}

fn bind(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    // A restarted process must be able to bind the address of its predecessor immediately.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

async fn serve(
    node: &Rc<Node>,
    stream: TcpStream,
    client_address: net::IpAddr,
    kind: ListenerKind,
) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(CLIENT_SILENCE_TIMEOUT));
    let keepalive = socket2::TcpKeepalive::new().with_time(CLIENT_SILENCE_TIMEOUT);
    let _ = socket.set_tcp_keepalive(&keepalive);
    let limits = node
        .configuration()
        .map(|configuration| configuration.limits())
        .unwrap_or_default();
    let is_pipelined = kind == ListenerKind::Clients && node.settings().max_pipelined_requests > 1;
    let (stream, unread) = if is_pipelined {
        match pipeline::serve(node, stream, client_address, &limits).await {
            Some(handed_over) => (handed_over.stream, handed_over.unread),
            None => return,
        }
    } else {
        (stream, Bytes::new())
    };
    // On the heap, so that connections that never get here don't hold the memory for it.
    Box::pin(serve_in_order(
        node,
        stream,
        unread,
        client_address,
        kind,
        &limits,
    ))
    .await;
}

/// Serves a connection's requests one after another; `unread` was read from the stream before.
async fn serve_in_order(
    node: &Rc<Node>,
    stream: TcpStream,
    unread: Bytes,
    client_address: net::IpAddr,
    kind: ListenerKind,
    limits: &Limits,
) {
    let timer = Rc::new(HeadTimer::default());
    let handler = service_fn(|request| {
        let node = Rc::clone(node);
        let timer = Rc::clone(&timer);
        async move {
            timer.request_started();
            let response = handle(&node, kind, client_address, request).await;
            timer.request_finished();
            Ok::<_, Infallible>(response)
        }
    });
    let reset = Rc::new(ResetOnClose::default());
    let stream = TimedStream::new(stream, unread, Rc::clone(&timer), Rc::clone(&reset));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    let mut phases = node.stop.subscribe();
    tokio::select! {
        served = connection.as_mut() => return reset_if_truncated(served, &reset),
        () = timer.expired(Duration::from_millis(limits.header_timeout_ms)) => return,
        _ = phases.wait_for(|phase| *phase == StopPhase::Closing) => {}
    }
    // The planned stop waits until the last response is written, also one that is streamed.
    let _request_guard = (kind == ListenerKind::Clients).then(|| Stop::track_request(node));
    connection.as_mut().graceful_shutdown();
    reset_if_truncated(connection.as_mut().await, &reset);
}

/// Has the connection reset if the body of its response has failed. Other errors concern only the client, which notices
/// them itself.
fn reset_if_truncated(served: hyper::Result<()>, reset: &ResetOnClose) {
    if served.is_err_and(|error| error.is_user()) {
        reset.set();
    }
}

async fn handle(
    node: &Rc<Node>,
    kind: ListenerKind,
    client_address: net::IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match kind {
        ListenerKind::Clients => dispatch::respond(node, client_address, request, node.now()).await,
        ListenerKind::Lookups => lookups::lookup_response(node, &request),
        ListenerKind::Ready => lookups::readiness_response(node, &request),
        ListenerKind::Metrics if request.method() == hyper::Method::GET => metrics::response(node),
        ListenerKind::Metrics => reply::from_instance(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
    };
    if node.stop.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
