//! Requests straight to a backend server and through an entry instance, in turn.
//!
//! The ways alternate within one run, so that whatever else the machine does hits all alike.
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

/// Latencies by way.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RequestFigures {
    /// Straight to a backend server.
    pub straight: histogram::Summary,
    /// Straight to a backend server, with a connection of its own for each request.
    pub straight_fresh: histogram::Summary,
    /// Through the entry instance.
    pub through: histogram::Summary,
    /// Requests without status 200.
    pub failed: usize,
}

/// Which way a request goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Straight,
    StraightFresh,
    Through,
}

const WAYS: [Way; 3] = [Way::Straight, Way::StraightFresh, Way::Through];

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

/// Sends `rate` requests a second each way for `seconds`.
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
    let kept = Arc::new(http::Connections::default());
    let (sender, receiver) = flume::unbounded();
    let start = Instant::now();
    let ways = WAYS.len() as u64;
    for number in 0..rate * seconds * ways {
        let way = WAYS[usize::try_from(number % ways).unwrap_or_default()];
        let due = start + Duration::from_secs_f64(number as f64 / (ways * rate) as f64);
        tokio::time::sleep_until(due.into()).await;
        let Some(request) = request(targets, number, way) else {
            continue;
        };
        let connections = match way {
            Way::StraightFresh => Arc::default(),
            Way::Straight | Way::Through => Arc::clone(&kept),
        };
        let address = match way {
            Way::Through => targets.entry,
            Way::Straight | Way::StraightFresh => targets.backend,
        };
        let sender = sender.clone();
        tokio::spawn(async move {
            let sent = Instant::now();
            let answer = connections.exchange(address, request, LIMIT).await;
            let whole = answer.is_ok_and(|answer| answer.status() == 200);
            let _ = sender.send((way, whole, sent.elapsed().as_micros()));
        });
    }
    drop(sender);
    let mut answers = Vec::new();
    while let Ok(answer) = receiver.recv_async().await {
        answers.push(answer);
    }
    let summary = |wanted: Way| {
        let whole = answers
            .iter()
            .filter(|(way, whole, _)| *way == wanted && *whole);
        histogram::Summary::of(whole.map(|(_, _, us)| u64::try_from(*us).unwrap_or(u64::MAX)))
    };
    RequestFigures {
        straight: summary(Way::Straight),
        straight_fresh: summary(Way::StraightFresh),
        through: summary(Way::Through),
        failed: answers.iter().filter(|(_, whole, _)| !whole).count(),
    }
}

fn request(targets: &Targets, number: u64, way: Way) -> Option<http::Request> {
    let (address, path) = if way == Way::Through {
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
