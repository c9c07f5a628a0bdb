//! The switches and logs of the stand-in, on an address of their own.
//!
//! - `GET /executions?since=N`: what ran, from execution N on.
//! - `GET /stats`: the counters of each server.
//! - `GET /faults`, `POST /faults` with `{"server":"NAME","faults":{…}}`; `*` means all servers.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let server = backend::Server::start("s-1:6".parse()?, backend::START_SEED)?;
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

/// The server that means every server.
const ALL: &str = "*";

/// The administration address of the stand-in.
#[derive(Debug, Clone, Copy)]
pub struct Admin {
    address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FaultOrder {
    server: String,
    faults: Faults,
}

impl Admin {
    /// Listens and answers until the process ends.
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

    /// Where it listens.
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
    of: impl Fn(&Server) -> T,
) -> rouille::Response {
    let map: BTreeMap<&str, T> = servers
        .iter()
        .map(|server| (server.name(), of(server)))
        .collect();
    rouille::Response::json(&map)
}

fn set_faults(request: &rouille::Request, servers: &[Server]) -> rouille::Response {
    let order: FaultOrder = match rouille::input::json_input(request) {
        Ok(order) => order,
        Err(error) => return rouille::Response::text(error.to_string()).with_status_code(400),
    };
    let named = servers
        .iter()
        .filter(|server| order.server == ALL || server.name() == order.server);
    let count = named
        .map(|server| server.set_faults(order.faults.clone()))
        .count();
    if count == 0 {
        let text = format!("no server {:?}; GET /faults names them", order.server);
        return rouille::Response::text(text).with_status_code(404);
    }
    rouille::Response::json(&BTreeMap::from([("servers", count)]))
}
