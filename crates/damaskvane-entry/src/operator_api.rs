//! What operators reach: the state of this instance as JSON, and the quarantine, on an own address.
//!
//! ```
//! use damaskvane_entry::operator_api;
//!
//! assert_eq!(operator_api::STATUS_PATH, "/v1/status");
//! ```

pub mod process;
pub mod status;

use std::error;
use std::net;
use std::sync::Arc;
use std::thread;

use damaskvane_dispatch::fingerprint;
use damaskvane_engine::event;

use crate::inbox;
use crate::serving;

/// The path of the status.
pub const STATUS_PATH: &str = "/v1/status";
/// `POST` below this path lets the request of a fingerprint go, in the whole region.
pub const CLEAR_PATH: &str = "/v1/quarantine/clear/";

/// Few operators ask at a time; more would wait.
const THREADS: usize = 2;

/// Starts the operators' server on its own threads and returns where it listens.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub fn start(
    address: &str,
    serving: Arc<serving::Serving>,
    source: status::Source,
    engine: flume::Sender<inbox::Input>,
) -> Result<net::SocketAddr, Box<dyn error::Error + Send + Sync>> {
    let server = rouille::Server::new(address, move |request| {
        answer(request, &serving, &source, &engine)
    })?
    .pool_size(THREADS);
    let listening = server.server_addr();
    thread::Builder::new()
        .name("operators".to_owned())
        .spawn(move || server.run())?;
    Ok(listening)
}

fn answer(
    request: &rouille::Request,
    serving: &serving::Serving,
    source: &status::Source,
    engine: &flume::Sender<inbox::Input>,
) -> rouille::Response {
    match (request.method(), request.url().as_str()) {
        ("GET", STATUS_PATH) => {
            let status = status::collect(serving, source);
            rouille::Response::from_data(
                "application/json",
                serde_json::to_vec_pretty(&status).unwrap_or_default(),
            )
        }
        ("POST", path) if path.starts_with(CLEAR_PATH) => clear(&path[CLEAR_PATH.len()..], engine),
        _ => rouille::Response::text(
            "ask GET /v1/status or POST /v1/quarantine/clear/{fingerprint}\n",
        )
        .with_status_code(404),
    }
}

fn clear(text: &str, engine: &flume::Sender<inbox::Input>) -> rouille::Response {
    match text.parse::<fingerprint::Fingerprint>() {
        Ok(fingerprint) => {
            let _ = engine.send(inbox::Input::Event(event::Event::ClearQuarantine(
                fingerprint,
            )));
            rouille::Response::text("cleared\n")
        }
        Err(error) => rouille::Response::text(format!("{error}\n")).with_status_code(400),
    }
}
