//! HTTP API for the faults, counters and executions of the servers, on a separate address.
//!
//! - `GET /executions?since=N`: the executions, from number N on.
//! - `GET /stats`: the counters of each server.
//! - `GET /faults`: the active faults of each server.
//! - `POST /faults` with `{"server":"NAME","faults":{…}}`: sets the faults; `*` selects all servers.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let server = backend::Server::start("s-1:6".parse()?, backend::DEFAULT_SEED)?;
//! let admin = backend::Admin::start("127.0.0.1:0", vec![server])?;
//! assert_ne!(admin.address().port(), 0);
//! # Ok::<(), Box<dyn std::error::Error + Send + Sync>>(())
//! ```

use std::collections::BTreeMap;
use std::error;
use std::net;
use std::thread;

use serde::Deserialize;

use crate::backend::{Faults, Server};

/// The server name that selects every server.
const ALL_SERVERS: &str = "*";

/// The running admin API.
#[derive(Debug, Clone, Copy)]
pub struct Admin {
    address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SetFaults {
    server: String,
    faults: Faults,
}

impl Admin {
    /// Starts the admin API on `address`; a thread serves it until the process ends.
    ///
    /// Returns an error if `address` is invalid or in use.
    pub fn start(
        address: &str,
        servers: Vec<Server>,
    ) -> Result<Self, Box<dyn error::Error + Send + Sync>> {
        let listener = rouille::Server::new(address, move |request| route(request, &servers))
            .map_err(|error| format!("{address} can't be used ({error}); choose a free address"))?;
        let address = listener.server_addr();
        thread::spawn(move || listener.run());
        Ok(Self { address })
    }

    /// Returns the address and port that the admin API listens on.
    #[must_use]
    pub const fn address(self) -> net::SocketAddr {
        self.address
    }
}

fn route(request: &rouille::Request, servers: &[Server]) -> rouille::Response {
    match (request.method(), request.url().as_str()) {
        ("GET", "/executions") => executions(request, servers),
        ("GET", "/stats") => by_name(servers, Server::stats),
        ("GET", "/faults") => by_name(servers, Server::faults),
        ("POST", "/faults") => set_faults(request, servers),
        _ => rouille::Response::text("try /executions, /stats or /faults").with_status_code(404),
    }
}

fn executions(request: &rouille::Request, servers: &[Server]) -> rouille::Response {
    let since = request
        .get_param("since")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let page = servers
        .first()
        .map(|server| server.log().page(since))
        .unwrap_or_default();
    rouille::Response::json(&page)
}

fn by_name<T: serde::Serialize>(
    servers: &[Server],
    value_of: impl Fn(&Server) -> T,
) -> rouille::Response {
    let map: BTreeMap<&str, T> = servers
        .iter()
        .map(|server| (server.name(), value_of(server)))
        .collect();
    rouille::Response::json(&map)
}

fn set_faults(request: &rouille::Request, servers: &[Server]) -> rouille::Response {
    let command: SetFaults = match rouille::input::json_input(request) {
        Ok(command) => command,
        Err(error) => return rouille::Response::text(error.to_string()).with_status_code(400),
    };
    let selected = servers
        .iter()
        .filter(|server| command.server == ALL_SERVERS || server.name() == command.server);
    let count = selected
        .map(|server| server.set_faults(command.faults.clone()))
        .count();
    if count == 0 {
        let text = format!("no server {:?}; GET /faults names them", command.server);
        return rouille::Response::text(text).with_status_code(404);
    }
    rouille::Response::json(&BTreeMap::from([("servers", count)]))
}
