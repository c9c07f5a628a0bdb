//! HTTP interface for operators, on a separate address: status of this instance, and quarantine.
//!
//! ```
//! use damaskvane_entry::operator_api;
//!
//! assert_eq!(operator_api::STATUS_PATH, "/v1/status");
//! ```

pub mod process;
pub mod status;

use core::time::Duration;
use std::io;
use std::net;
use std::sync::Arc;
use std::thread;

use bytes::Bytes;
use damaskvane_dispatch::fingerprint;
use damaskvane_engine::event;
use http_body_util::Full;
use hyper::{Method, Response, StatusCode};

use crate::client_api::{binding, reply};
use crate::http_listener;
use crate::inbox;
use crate::serving;
use crate::settings;

/// Path of the status of the instance, as JSON.
pub const STATUS_PATH: &str = "/v1/status";
/// Prefix of the paths that clear a quarantine, which restricts a request that is suspected to crash
/// backend servers. A `POST` with a fingerprint appended to the prefix releases the request with that
/// fingerprint in the whole region.
pub const CLEAR_QUARANTINE_PATH: &str = "/v1/quarantine/clear/";

/// Maximum number of open connections. Operators need far fewer, but as many connections with incomplete
/// requests as this limit block the address until they time out.
const CONNECTION_LIMIT: usize = 512;
const CONNECTIONS: &str = "operator_connections";

/// State that operators' requests are served from.
#[derive(Clone)]
struct OperatorApi {
    serving: Arc<serving::Serving>,
    source: status::Source,
    engine: flume::Sender<inbox::Input>,
}

/// Starts the HTTP server for operators on its own thread and returns its address.
///
/// The limits are those of the clients' listener, except for the number of connections. The status is
/// needed most while an instance has problems, so misdirected or malicious connections must not block
/// this address.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn start(
    settings: &settings::EntrySettings,
    serving: Arc<serving::Serving>,
    source: status::Source,
    engine: flume::Sender<inbox::Input>,
) -> io::Result<net::SocketAddr> {
    let listener = binding::BoundAddress::bind(&settings.operator_address)?.listen()?;
    let listening = listener.local_addr()?;
    let bounds = http_listener::ListenerBounds {
        connection_limit: CONNECTION_LIMIT,
        head_timeout: Duration::from_millis(settings.head_timeout_ms),
        head_limit_bytes: settings.head_limit_bytes,
        write_timeout: Duration::from_millis(settings.write_timeout_ms),
    };
    let counts = http_listener::ConnectionCounts {
        serving: Arc::clone(&serving),
        family: CONNECTIONS,
    };
    let api = OperatorApi {
        serving,
        source,
        engine,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || {
            let _ = runtime.block_on(http_listener::serve(
                listener,
                bounds,
                counts,
                move |request| {
                    let response = handle_request(&api, request.method(), request.uri().path());
                    core::future::ready(response)
                },
            ));
        })?;
    Ok(listening)
}

fn handle_request(api: &OperatorApi, method: &Method, path: &str) -> reply::HttpResponse {
    if method == Method::GET && path == STATUS_PATH {
        return reply::json_pretty(&status::collect(&api.serving, &api.source));
    }
    if let (&Method::POST, Some(text)) = (method, path.strip_prefix(CLEAR_QUARANTINE_PATH)) {
        return clear_quarantine(text, &api.engine);
    }
    text_response(
        StatusCode::NOT_FOUND,
        "ask GET /v1/status or POST /v1/quarantine/clear/{fingerprint}\n",
    )
}

fn clear_quarantine(
    fingerprint: &str,
    engine: &flume::Sender<inbox::Input>,
) -> reply::HttpResponse {
    match fingerprint.parse::<fingerprint::Fingerprint>() {
        Ok(fingerprint) => {
            let event = event::Event::ClearQuarantine(fingerprint);
            let _ = engine.send(inbox::Input::Event(event));
            text_response(StatusCode::OK, "cleared\n")
        }
        Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> reply::HttpResponse {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}
