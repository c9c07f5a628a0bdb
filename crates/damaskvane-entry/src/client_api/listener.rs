//! Serves the requests of clients: answers lookups directly and submits requests for services to the
//! engine.
//!
//! ```no_run
//! use std::sync::Arc;
//!
//! use damaskvane_entry::client_api::listener;
//!
//! async fn serve(socket: std::net::TcpListener, api: Arc<listener::ClientApi>) {
//!     let _ = listener::serve(socket, api).await;
//! }
//! ```

use core::time::Duration;
use std::net;
use std::sync::Arc;

use damaskvane_core::ids;
use damaskvane_dispatch::{outcome, refusal};
use damaskvane_engine::message;
use damaskvane_telemetry::logging;
use hyper::Request;
use hyper::body::Incoming;
use hyper::http::request;
use slog::debug;

use crate::client_api::{lookup, reply, request_reader, reserved, route};
use crate::http_listener;
use crate::inbox;
use crate::serving;
use crate::settings;

const REFUSED: &str = "refused";
const CONNECTIONS: &str = "connections";

/// State shared by all client connections.
#[derive(Debug)]
pub struct ClientApi {
    /// State shared by the process's threads, with the snapshot for lookups, the counters and the load
    /// meter.
    pub serving: Arc<serving::Serving>,
    /// Sender to the engine's thread.
    pub inbox: flume::Sender<inbox::Input>,
    /// Settings with the limits on connections, heads and bodies.
    pub settings: settings::EntrySettings,
    /// Logger for finished and refused requests.
    pub logger: slog::Logger,
}

/// Accepts connections until the process ends.
///
/// # Errors
///
/// Fails if the listening socket can't be used.
pub async fn serve(listener: net::TcpListener, api: Arc<ClientApi>) -> std::io::Result<()> {
    let bounds = http_listener::ListenerBounds {
        connection_limit: api.settings.connection_limit,
        head_timeout: Duration::from_millis(api.settings.head_timeout_ms),
        head_limit_bytes: api.settings.head_limit_bytes,
        write_timeout: Duration::from_millis(api.settings.write_timeout_ms),
    };
    let counts = http_listener::ConnectionCounts {
        serving: Arc::clone(&api.serving),
        family: CONNECTIONS,
    };
    http_listener::serve(listener, bounds, counts, move |request| {
        let api = Arc::clone(&api);
        async move { handle_request(&api, request).await }
    })
    .await
}

async fn handle_request(api: &ClientApi, request: Request<Incoming>) -> reply::HttpResponse {
    let target = request
        .uri()
        .path_and_query()
        .map_or_else(String::new, |target| target.as_str().to_owned());
    match route::Route::parse(&target) {
        route::Route::Lookup => lookup::respond(&api.serving, request.uri().query().unwrap_or("")),
        route::Route::Service { path, .. } if reserved::is_reserved(path) => refuse(
            api,
            refusal::RefusalReason::MalformedRequest,
            "/cancel, /health and /load of a backend server are not for clients, nor paths with . or .. as a part",
        ),
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

fn refuse(api: &ClientApi, reason: refusal::RefusalReason, detail: &str) -> reply::HttpResponse {
    api.serving.counters.increment(REFUSED, reason.as_str());
    debug!(api.logger, "request refused"; logging::field::REASON => reason.as_str());
    reply::refused(reason, detail)
}

/// Refuses a request and sets its request id in the response. Without the id, the client would take the
/// response for one to another request.
fn refuse_with_request_id(
    api: &ClientApi,
    parts: &request::Parts,
    error: &request_reader::RequestReadError,
) -> reply::HttpResponse {
    let mut response = refuse(api, error.reason(), &error.to_string());
    if let Ok(Some(request_id)) = request_reader::request_id(parts) {
        reply::set_request_id(&mut response, request_id.as_str());
    }
    response
}

async fn submit(
    api: &ClientApi,
    request: Request<Incoming>,
    service: ids::ServiceId,
    path: &str,
) -> reply::HttpResponse {
    let (parts, body) = request.into_parts();
    let head = request_reader::read_head(&parts, service, path, || api.serving.new_request_id());
    let mut request = match head {
        Ok(request) => request,
        Err(error) => return refuse_with_request_id(api, &parts, &error),
    };
    let bounds = request_reader::BodyBounds {
        limit_bytes: api.settings.body_limit_bytes,
        timeout: Duration::from_millis(api.settings.body_timeout_ms),
    };
    match request_reader::read_body(body, bounds).await {
        Ok(body) => request.body = body,
        Err(error) => return refuse_with_request_id(api, &parts, &error),
    }
    count_arrival(&api.serving, &request);
    let request_id = request.request_id.clone();
    let service = request.service.clone();
    let outcome = run(api, request).await;
    debug!(
        api.logger, "request finished";
        logging::field::REQUEST_ID => request_id.as_str(),
        logging::field::SERVICE => service.as_str(),
        logging::field::OUTCOME => outcome.as_str(),
        logging::field::REASON => outcome.reason().map(refusal::RefusalReason::as_str),
    );
    reply::from_outcome(
        outcome,
        request_id.as_str(),
        api.serving.config_version().get(),
    )
}

/// Counts the arrival of a request in the load meter. Only first attempts count, since a retry adds no
/// demand.
fn count_arrival(serving: &serving::Serving, request: &message::ServiceRequest) {
    let is_first = request
        .idempotency
        .as_ref()
        .is_none_or(|idempotency| idempotency.try_number <= 1);
    let state = serving.state();
    let source = state.source_zone(request.client.as_ref());
    if let (true, Some(source)) = (is_first, source) {
        serving.meter.record_arrival(&request.service, source);
    }
}

/// Submits the request to the engine and waits for the outcome. hyper drops this future when the client
/// closes its connection. The client guard then notifies the engine, which cancels the running exchange.
async fn run(
    api: &ClientApi,
    request: message::ServiceRequest,
) -> outcome::Outcome<Arc<message::BackendResponse>> {
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
