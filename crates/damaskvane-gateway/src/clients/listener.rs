//! Accepts connections and hands their requests on.

use core::convert::Infallible;
use core::pin::pin;
use core::time::Duration;
use std::cell::Cell;
use std::io;
use std::net;
use std::rc::Rc;

use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use crate::clients::head_timer::{HeadTimer, TimedStream};
use crate::clients::{dispatch, reply};
use crate::node::Node;
use crate::stop::StopPhase;
use crate::upstream::ResponseBody;
use crate::{lookups, metrics};

/// Connections that may wait to be accepted: a full queue drops the opening packet, which a client sends
/// again only after a second.
const BACKLOG: i32 = 1_024;
/// The wait after the system refused to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
/// Most headers of a request.
const MOST_HEADERS: usize = 100;
/// The smallest read buffer that the HTTP library takes.
const LEAST_BUFFER_BYTES: usize = 8_192;
/// How long sent bytes may stay unacknowledged before a client counts as gone.
const CLIENT_SILENCE: Duration = Duration::from_secs(10);
/// Descriptors that are kept for backend servers, the store and files.
const RESERVED_DESCRIPTORS: usize = 1_200;

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Clients' requests.
    Clients,
    /// Clients' look-ups.
    Lookups,
    /// The platform's question for readiness.
    Ready,
    /// Metrics.
    Metrics,
}

/// Accepts connections until the instance closes.
///
/// # Errors
///
/// Fails if the address can't be used.
pub async fn listen(
    node: Rc<Node>,
    address: net::SocketAddr,
    service: ListenerKind,
) -> io::Result<()> {
    let listener = bind(address)?;
    let most = node.settings().max_descriptors;
    let most = most.saturating_sub(RESERVED_DESCRIPTORS).max(64);
    let open = Rc::new(Cell::new(0_usize));
    let mut phases = node.stop.subscribe();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = phases.wait_for(|phase| *phase == StopPhase::Closing) => return Ok(()),
        };
        let Ok((stream, caller)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= most {
            continue;
        }
        open.set(open.get() + 1);
        let node = Rc::clone(&node);
        let open = Rc::clone(&open);
        tokio::task::spawn_local(async move {
            serve(&node, stream, caller.ip(), service).await;
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
    // A restarted process must get the address of the one before at once.
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

async fn serve(node: &Rc<Node>, stream: TcpStream, caller: net::IpAddr, service: ListenerKind) {
    let _ = stream.set_nodelay(true);
    let socket = socket2::SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(CLIENT_SILENCE));
    let probes = socket2::TcpKeepalive::new().with_time(CLIENT_SILENCE);
    let _ = socket.set_tcp_keepalive(&probes);
    let limits = node
        .configuration()
        .map(|configuration| configuration.limits())
        .unwrap_or_default();
    let timer = Rc::new(HeadTimer::default());
    let handler = service_fn(|request| {
        let node = Rc::clone(node);
        let timer = Rc::clone(&timer);
        async move {
            timer.request_begins();
            let response = handle(&node, service, caller, request).await;
            timer.request_ends();
            Ok::<_, Infallible>(response)
        }
    });
    let stream = TimedStream::new(stream, Rc::clone(&timer));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.idle_timeout_ms))
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER_BYTES))
        .max_headers(MOST_HEADERS)
        .serve_connection(TokioIo::new(stream), handler);
    let mut connection = pin!(connection);
    let mut phases = node.stop.subscribe();
    tokio::select! {
        _ = connection.as_mut() => return,
        () = timer.expired(Duration::from_millis(limits.header_timeout_ms)) => return,
        _ = phases.wait_for(|phase| *phase == StopPhase::Closing) => {}
    }
    connection.as_mut().graceful_shutdown();
    // What broke a connection at its end concerns only its client, which sees it.
    let _ = connection.await;
}

async fn handle(
    node: &Rc<Node>,
    service: ListenerKind,
    caller: net::IpAddr,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match service {
        ListenerKind::Clients => dispatch::answer(node, caller, request).await,
        ListenerKind::Lookups => lookups::look_up(node, &request),
        ListenerKind::Ready => lookups::ready(node, &request),
        ListenerKind::Metrics if request.method() == hyper::Method::GET => metrics::answer(node),
        ListenerKind::Metrics => reply::own(StatusCode::METHOD_NOT_ALLOWED, "use GET\n"),
    };
    if node.stop.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}
