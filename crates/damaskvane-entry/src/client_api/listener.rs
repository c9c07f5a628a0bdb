//! Accepts clients' connections within bounds and hands their requests on.
//!
//! rouille reads a head without a bound in time or size: 500 half-sent requests held 500 threads, and
//! one header line of 64 MB was taken into memory. hyper bounds both, which is why clients are
//! served by it and operators, who are few and known, by rouille. A connection above the limit is closed at once, so that
//! a flood costs a socket for a moment and never a thread.
//!
//! ```
//! use damaskvane_entry::client_api::listener;
//!
//! assert_eq!(listener::MOST_HEADERS, 64);
//! ```

use core::convert::Infallible;
use core::time::Duration;
use std::net;
use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::{outcome, refusal};
use damaskvane_engine::message;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, server::conn::http1};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::sync::Semaphore;

use crate::client_api::{intake, lookup, reply, route};
use crate::inbox;
use crate::serving;
use crate::settings;

/// Most headers of a request.
pub const MOST_HEADERS: usize = 64;

const REFUSED: &str = "refused";
const CONNECTIONS: &str = "connections";

/// What every connection needs.
#[derive(Debug)]
pub struct ClientApi {
    /// What look-ups are answered from.
    pub serving: Arc<serving::Serving>,
    /// Where requests go.
    pub inbox: flume::Sender<inbox::Input>,
    /// The bounds.
    pub settings: settings::EntrySettings,
}

/// Accepts connections until the process ends.
///
/// # Errors
///
/// Fails if the listening socket can't be used.
pub async fn serve(listener: net::TcpListener, api: Arc<ClientApi>) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let places = Arc::new(Semaphore::new(api.settings.connection_limit));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let Ok(place) = Arc::clone(&places).try_acquire_owned() else {
            api.serving.counters.increment(CONNECTIONS, "over_limit");
            continue;
        };
        let _ = stream.set_nodelay(true);
        bound_silence(&stream, api.settings.write_timeout_ms);
        let api = Arc::clone(&api);
        tokio::spawn(async move {
            serve_connection(stream, api).await;
            drop(place);
        });
    }
}

/// A client that vanishes without a word, or takes no bytes, would hold its connection for good.
/// The kernel closes it once sent bytes or probes stay unanswered for the time-out.
fn bound_silence(stream: &tokio::net::TcpStream, timeout_ms: u64) {
    let socket = socket2::SockRef::from(stream);
    let timeout = Duration::from_millis(timeout_ms);
    let _ = socket.set_tcp_user_timeout(Some(timeout));
    let probes = socket2::TcpKeepalive::new()
        .with_time(timeout)
        .with_interval(timeout / 3);
    let _ = socket.set_tcp_keepalive(&probes);
}

async fn serve_connection(stream: tokio::net::TcpStream, api: Arc<ClientApi>) {
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(api.settings.head_timeout_ms))
        .max_buf_size(api.settings.head_limit_bytes)
        .max_headers(MOST_HEADERS)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(|request| {
                let api = Arc::clone(&api);
                async move { Ok::<_, Infallible>(answer(&api, request).await) }
            }),
        );
    if connection.await.is_err() {
        api.serving.counters.increment(CONNECTIONS, "broken");
    }
}

async fn answer(api: &ClientApi, request: Request<Incoming>) -> reply::HttpAnswer {
    let target = request
        .uri()
        .path_and_query()
        .map_or_else(String::new, |target| target.as_str().to_owned());
    match route::Route::parse(&target) {
        route::Route::Lookup => lookup::answer(&api.serving, request.uri().query().unwrap_or("")),
        route::Route::Service { service, path } => match service.parse() {
            Ok(service) => submit(api, request, service, path).await,
            Err(error) => refuse(
                api,
                refusal::RefusalReason::ServiceUnknown,
                &error.to_string(),
            ),
        },
        route::Route::Unknown => refuse(
            api,
            refusal::RefusalReason::MalformedRequest,
            "paths are /v1/lookup and /v1/services/{service}/{path}",
        ),
    }
}

fn refuse(api: &ClientApi, reason: refusal::RefusalReason, detail: &str) -> reply::HttpAnswer {
    api.serving.counters.increment(REFUSED, reason.as_str());
    reply::refused(reason, detail)
}

async fn submit(
    api: &ClientApi,
    request: Request<Incoming>,
    service: ids::ServiceId,
    path: &str,
) -> reply::HttpAnswer {
    let (parts, body) = request.into_parts();
    let head = intake::read_head(&parts, service, path, || api.serving.new_request_id());
    let mut request = match head {
        Ok(request) => request,
        Err(error) => return refuse(api, error.reason(), &error.to_string()),
    };
    let bounds = intake::BodyBounds {
        limit_bytes: api.settings.body_limit_bytes,
        timeout: Duration::from_millis(api.settings.body_timeout_ms),
    };
    match intake::read_body(body, bounds).await {
        Ok(body) => request.body = body,
        Err(error) => return refuse(api, error.reason(), &error.to_string()),
    }
    count_arrival(&api.serving, &request);
    let request_id = request.request_id.clone();
    let outcome = run(api, request).await;
    reply::from_outcome(
        outcome,
        request_id.as_str(),
        api.serving.config_version().get(),
    )
}

/// Counts first tries only: what comes again is the same demand.
fn count_arrival(serving: &serving::Serving, request: &message::ServiceRequest) {
    let is_first = request
        .idempotency
        .as_ref()
        .is_none_or(|idempotency| idempotency.try_number <= 1);
    let state = serving.state();
    let source = state.source_zone(request.client.as_ref());
    if let (true, Some(source)) = (is_first, source) {
        serving.meter.arrived(&request.service, source);
    }
}

/// Gives the request to the engine and waits. hyper drops this future when the client closes its
/// connection; the guard then tells the engine, which stops what still runs.
async fn run(
    api: &ClientApi,
    request: message::ServiceRequest,
) -> outcome::Outcome<Arc<message::BackendAnswer>> {
    let lost = outcome::Outcome::unknown(refusal::RefusalReason::InternalInvariant);
    let number = api.serving.next_request_number();
    let (sender, receiver) = flume::bounded(1);
    let submitted = api.inbox.send(inbox::Input::Submit {
        number,
        request: Box::new(request),
        reply: sender,
    });
    if submitted.is_err() {
        return lost;
    }
    let guard = inbox::ClientGuard::new(api.inbox.clone(), number);
    let outcome = receiver.recv_async().await;
    guard.disarm();
    outcome.unwrap_or(lost)
}
