//! What operators reach: the state of this instance as JSON, and the quarantine, on an own address.
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

/// The path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// `POST` below this path lets the request of a fingerprint go, in the whole region.
pub const CLEAR_PATH: &str = "/v1/quarantine/clear/";

/// Far more than operators need: as many half-sent requests make the address deaf until their time-out.
const CONNECTION_LIMIT: usize = 512;
const CONNECTIONS: &str = "operator_connections";

/// What answers operators.
#[derive(Clone)]
struct OperatorApi {
    serving: Arc<serving::Serving>,
    source: status::Source,
    engine: flume::Sender<inbox::Input>,
}

/// Starts the operators' server on a thread of its own and returns where it listens.
///
/// It has the bounds of the clients' listener: the status shows most when an instance is in trouble, and
/// whatever reaches this address by mistake or malice must not make it deaf.
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
                    let answer = answer(&api, request.method(), request.uri().path());
                    core::future::ready(answer)
                },
            ));
        })?;
    Ok(listening)
}

fn answer(api: &OperatorApi, method: &Method, path: &str) -> reply::HttpAnswer {
    if method == Method::GET && path == STATUS_PATH {
        return reply::json_pretty(&status::collect(&api.serving, &api.source));
    }
    if let (&Method::POST, Some(text)) = (method, path.strip_prefix(CLEAR_PATH)) {
        return clear(text, &api.engine);
    }
    text(
        StatusCode::NOT_FOUND,
        "ask GET /v1/status or POST /v1/quarantine/clear/{fingerprint}\n",
    )
}

fn clear(fingerprint: &str, engine: &flume::Sender<inbox::Input>) -> reply::HttpAnswer {
    match fingerprint.parse::<fingerprint::Fingerprint>() {
        Ok(fingerprint) => {
            let event = event::Event::ClearQuarantine(fingerprint);
            let _ = engine.send(inbox::Input::Event(event));
            text(StatusCode::OK, "cleared\n")
        }
        Err(error) => text(StatusCode::BAD_REQUEST, format!("{error}\n")),
    }
}

fn text(status: StatusCode, text: impl Into<Bytes>) -> reply::HttpAnswer {
    let mut answer = Response::new(Full::new(text.into()));
    *answer.status_mut() = status;
    answer
}
