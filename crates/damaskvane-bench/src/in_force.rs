//! How long a ticket takes from its acceptance until it is in force everywhere.
//!
//! ```
//! use damaskvane_bench::in_force;
//!
//! assert!(in_force::POLL.as_millis() <= 20);
//! ```

use std::net;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use http_body_util::Full;

use crate::cluster::{Acceptance, Cluster, EntryStatus};
use crate::error::BenchError;
use crate::http;

/// How often each instance is asked; a time is late by up to this.
pub const POLL: Duration = Duration::from_millis(20);
/// The longest wait for one status.
const STATUS_LIMIT: Duration = Duration::from_secs(1);
/// The longest wait for the acceptance of a ticket.
const ACCEPTANCE_LIMIT: Duration = Duration::from_secs(20);

/// What one ticket took.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Timing {
    /// When the store accepted it.
    pub accepted: Instant,
    /// How long the submitting command ran.
    pub submit: Duration,
    /// From the acceptance until each instance had it in force; none where it never did.
    pub instances: Vec<(String, Option<Duration>)>,
}

impl Timing {
    /// From the acceptance until the last instance had it in force; none if one never did.
    #[must_use]
    pub fn everywhere(&self) -> Option<Duration> {
        let all: Option<Vec<Duration>> = self.instances.iter().map(|(_, span)| *span).collect();
        all?.into_iter().max()
    }
}

/// Submits declarations and watches every running instance until it has them, at most `limit`.
pub fn submit(
    cluster: &mut Cluster,
    declarations: &str,
    reason: &str,
    limit: Duration,
) -> Result<Timing, BenchError> {
    let wanted = cluster.config_version() + 1;
    let watch = cluster.head_watch();
    let revision = watch.revision()?;
    let operators: Vec<(String, net::SocketAddr)> = cluster
        .entries
        .iter()
        .filter(|entry| entry.process_id().is_some())
        .filter_map(|entry| {
            let address = entry.operator_address().parse().ok()?;
            Some((entry.instance().to_owned(), address))
        })
        .collect();
    let watching = thread::spawn(move || watch.next(revision, ACCEPTANCE_LIMIT));
    let polling = thread::spawn(move || poll_all(operators, wanted, ACCEPTANCE_LIMIT + limit));
    let start = Instant::now();
    cluster.submit(declarations, reason)?;
    let submit = start.elapsed();
    let acceptance = join(watching)??;
    let seen = join(polling)?;
    Ok(timing(acceptance, submit, seen, limit))
}

fn timing(
    acceptance: Acceptance,
    submit: Duration,
    seen: Vec<(String, Option<Instant>)>,
    limit: Duration,
) -> Timing {
    let span = |at: Instant| at.saturating_duration_since(acceptance.at);
    let instances = seen
        .into_iter()
        .map(|(instance, at)| (instance, at.map(span).filter(|span| *span <= limit)))
        .collect();
    Timing {
        accepted: acceptance.at,
        submit,
        instances,
    }
}

fn join<T>(thread: thread::JoinHandle<T>) -> Result<T, BenchError> {
    thread.join().map_err(|_| BenchError::Failed {
        program: "a watching thread".to_owned(),
        cause: "it panicked".to_owned(),
    })
}

fn poll_all(
    operators: Vec<(String, net::SocketAddr)>,
    wanted: u64,
    limit: Duration,
) -> Vec<(String, Option<Instant>)> {
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return Vec::new();
    };
    let connections = Arc::new(http::Connections::default());
    let end = Instant::now() + limit;
    runtime.block_on(async move {
        let mut polls = Vec::new();
        for (instance, address) in operators {
            let connections = Arc::clone(&connections);
            let poll =
                tokio::spawn(async move { poll_one(&connections, address, wanted, end).await });
            polls.push((instance, poll));
        }
        let mut seen = Vec::new();
        for (instance, poll) in polls {
            seen.push((instance, poll.await.ok().flatten()));
        }
        seen
    })
}

async fn poll_one(
    connections: &http::Connections,
    address: net::SocketAddr,
    wanted: u64,
    end: Instant,
) -> Option<Instant> {
    while Instant::now() < end {
        let status = status(connections, address).await;
        if status.is_some_and(|status| status.config_version >= wanted) {
            return Some(Instant::now());
        }
        tokio::time::sleep(POLL).await;
    }
    None
}

/// The state of the instance whose operators' address that is.
pub async fn status(
    connections: &http::Connections,
    address: net::SocketAddr,
) -> Option<EntryStatus> {
    let request = hyper::Request::get("/v1/status")
        .header("host", address.to_string())
        .body(Full::default())
        .ok()?;
    let answer = connections
        .exchange(address, request, STATUS_LIMIT)
        .await
        .ok()?;
    serde_json::from_slice(answer.body()).ok()
}
