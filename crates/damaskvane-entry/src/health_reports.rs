//! Asks backend servers for their own report of their health.
//!
//! Only the owner of a backend server asks it, so that a server is asked once per period whatever the
//! size of the zone. What comes back is evidence among others: reports lag and mislead, and the
//! decision code bounds what they can do.
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

/// The time between two rounds.
pub const PERIOD: Duration = Duration::from_secs(2);
/// The longest that one report may take.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// A backend server to ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Asked {
    /// The backend server.
    pub backend_server: ids::BackendServerId,
    /// Where it listens.
    pub address: net::SocketAddr,
}

#[derive(Debug, Deserialize)]
struct Health {
    healthy: bool,
}

/// Starts the thread; each list that is sent replaces the one before.
///
/// # Errors
///
/// Fails if no thread can be started.
pub fn start(reports: flume::Sender<inbox::Input>) -> io::Result<flume::Sender<Vec<Asked>>> {
    let (sender, lists) = flume::unbounded();
    thread::Builder::new()
        .name("health-reports".to_owned())
        .spawn(move || run(&lists, &reports))?;
    Ok(sender)
}

fn run(lists: &flume::Receiver<Vec<Asked>>, reports: &flume::Sender<inbox::Input>) {
    let mut asked = Vec::new();
    let mut next_round = Instant::now() + PERIOD;
    loop {
        match lists.recv_deadline(next_round) {
            Ok(list) => {
                asked = list;
                continue;
            }
            Err(flume::RecvTimeoutError::Timeout) => {}
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
        next_round = Instant::now() + PERIOD;
        for server in &asked {
            let report = inbox::Input::Event(event::Event::HealthReported {
                backend_server: server.backend_server.clone(),
                healthy: ask(server.address),
            });
            if reports.send(report).is_err() {
                return;
            }
        }
    }
}

/// A server that does not answer counts as one that says it is ill.
fn ask(address: net::SocketAddr) -> bool {
    let answer = attohttpc::get(format!("http://{address}/health"))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .timeout(TIMEOUT)
        .send()
        .and_then(attohttpc::Response::text);
    answer
        .ok()
        .and_then(|text| serde_json::from_str::<Health>(&text).ok())
        .is_some_and(|health| health.healthy)
}
