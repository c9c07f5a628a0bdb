//! Polls backend servers for reports of their own health.
//!
//! Only the instance that owns a backend server (grants its slots) polls that server, so that a server is
//! polled once per period whatever the number of instances in the zone. Reports can be late or wrong; the
//! engine weighs them with other evidence and bounds their effect.
//!
//! ```
//! use damaskvane_entry::health_reports;
//!
//! assert!(health_reports::PERIOD > health_reports::TIMEOUT);
//! ```

use core::time::Duration;
use std::io;
use std::net;
use std::thread;
use std::time::Instant;

use damaskvane_core::ids;
use damaskvane_engine::event;
use serde::Deserialize;

use crate::inbox;

/// Time between the starts of two polling rounds.
pub const PERIOD: Duration = Duration::from_secs(2);
/// Timeout of one poll.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Backend server to poll.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PolledServer {
    /// Name of the backend server in the configuration.
    pub backend_server: ids::BackendServerId,
    /// Address that the server listens on for HTTP requests.
    pub address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Health {
    healthy: bool,
}

/// Starts the polling thread, which sends its results to `reports`.
///
/// Each list sent to the returned sender replaces the list of servers to poll.
///
/// # Errors
///
/// Fails if the thread can't be started.
pub fn start(reports: flume::Sender<inbox::Input>) -> io::Result<flume::Sender<Vec<PolledServer>>> {
    let (sender, server_lists) = flume::unbounded();
    thread::Builder::new()
        .name("health-reports".to_owned())
        .spawn(move || run(&server_lists, &reports))?;
    Ok(sender)
}

fn run(server_lists: &flume::Receiver<Vec<PolledServer>>, reports: &flume::Sender<inbox::Input>) {
    let mut servers = Vec::new();
    let mut next_round = Instant::now() + PERIOD;
    loop {
        match server_lists.recv_deadline(next_round) {
            Ok(list) => {
                servers = list;
                continue;
            }
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        next_round = Instant::now() + PERIOD;
        for server in &servers {
            let report = inbox::Input::Event(event::Event::HealthReported {
                backend_server: server.backend_server.clone(),
                healthy: poll_health(server.address),
            });
            if reports.send(report).is_err() {
                return;
            }
        }
    }
}

/// Returns whether the server at this address reports itself healthy; a missing response counts as
/// unhealthy.
fn poll_health(address: net::SocketAddr) -> bool {
    let response = attohttpc::get(format!("http://{address}/health"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(TIMEOUT)
        .send()
        .and_then(attohttpc::Response::text);
    response
        .ok()
        .and_then(|text| serde_json::from_str::<Health>(&text).ok())
        .is_some_and(|health| health.healthy)
}
