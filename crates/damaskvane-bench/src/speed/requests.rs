//! Requests straight to a backend server and through an entry instance, in turn.
//!
//! Both kinds alternate within one run, so that whatever else the machine does hits both alike.
//!
//! ```
//! use damaskvane_bench::speed;
//!
//! assert_eq!(speed::RequestFigures::default().failed, 0);
//! ```

use std::net;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http_body_util::Full;
use serde::Serialize;

use crate::error::BenchError;
use crate::histogram;
use crate::http;

/// The longest wait for one answer.
const LIMIT: Duration = Duration::from_secs(2);

/// Latencies both ways.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestFigures {
    /// Straight to a backend server.
    pub straight: histogram::Summary,
    /// Through the entry instance.
    pub through: histogram::Summary,
    /// Requests without status 200.
    pub failed: usize,
}

/// Where to send what.
#[derive(Debug, Clone)]
pub struct Targets {
    /// A backend server.
    pub backend: net::SocketAddr,
    /// An entry instance.
    pub entry: net::SocketAddr,
    /// The service's name.
    pub service: String,
    /// Path and query at the backend server.
    pub path: String,
}

/// Sends `rate` requests a second of each kind for `seconds`.
pub fn measure_requests(
    targets: &Targets,
    rate: u64,
    seconds: u64,
) -> Result<RequestFigures, BenchError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|cause| BenchError::file("runtime", &cause))?;
    Ok(runtime.block_on(drive(targets, rate, seconds)))
}

async fn drive(targets: &Targets, rate: u64, seconds: u64) -> RequestFigures {
    let connections = Arc::new(http::Connections::default());
    let (sender, receiver) = flume::unbounded();
    let start = Instant::now();
    for number in 0..rate * seconds * 2 {
        let through = number % 2 == 1;
        let due = start + Duration::from_secs_f64(number as f64 / (2 * rate) as f64);
        tokio::time::sleep_until(due.into()).await;
        let Some(request) = request(targets, number, through) else {
            continue;
        };
        let address = if through {
            targets.entry
        } else {
            targets.backend
        };
        let (connections, sender) = (Arc::clone(&connections), sender.clone());
        tokio::spawn(async move {
            let sent = Instant::now();
            let answer = connections.exchange(address, request, LIMIT).await;
            let whole = answer.is_ok_and(|answer| answer.status() == 200);
            let _ = sender.send((through, whole, sent.elapsed().as_micros()));
        });
    }
    drop(sender);
    let mut answers = Vec::new();
    while let Ok(answer) = receiver.recv_async().await {
        answers.push(answer);
    }
    let summary = |wanted: bool| {
        let whole = answers
            .iter()
            .filter(|(through, whole, _)| *through == wanted && *whole);
        histogram::Summary::of(whole.map(|(_, _, us)| u64::try_from(*us).unwrap_or(u64::MAX)))
    };
    RequestFigures {
        straight: summary(false),
        through: summary(true),
        failed: answers.iter().filter(|(_, whole, _)| !whole).count(),
    }
}

fn request(targets: &Targets, number: u64, through: bool) -> Option<http::Request> {
    let (address, path) = if through {
        let path = format!("/v1/services/{}{}", targets.service, targets.path);
        (targets.entry, path)
    } else {
        (targets.backend, targets.path.clone())
    };
    hyper::Request::get(path)
        .header("host", address.to_string())
        .header("damaskvane-request-id", format!("speed-{number}"))
        .header("damaskvane-client", "client-1")
        .header("damaskvane-deadline-ms", "2000")
        .body(Full::default())
        .ok()
}
