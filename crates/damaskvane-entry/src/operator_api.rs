//! What operators reach: the state of this instance as JSON, on an address of its own.
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

use crate::serving;

/// The path of the status.
pub const STATUS_PATH: &str = "/v1/status";

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
) -> Result<net::SocketAddr, Box<dyn error::Error + Send + Sync>> {
    let server = rouille::Server::new(address, move |request| answer(request, &serving, &source))?
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
) -> rouille::Response {
    match (request.method(), request.url().as_str()) {
        ("GET", STATUS_PATH) => {
            let status = status::collect(serving, source);
            rouille::Response::from_data(
                "application/json",
                serde_json::to_vec_pretty(&status).unwrap_or_default(),
            )
        }
        _ => rouille::Response::text("ask GET /v1/status\n").with_status_code(404),
    }
}
