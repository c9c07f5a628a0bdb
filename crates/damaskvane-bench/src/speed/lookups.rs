//! Look-ups as fast as one entry instance answers them.
//!
//! ```
//! use damaskvane_bench::speed;
//!
//! assert_eq!(speed::LookupFigures::default().per_second, 0.0);
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

/// What one instance answered.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct LookupFigures {
    /// Answers a second.
    pub per_second: f64,
    /// Their latency.
    pub latency: histogram::Summary,
    /// Look-ups without status 200.
    pub failed: u64,
}

/// How to ask.
#[derive(Debug, Clone)]
pub struct LookupLoad {
    /// The entry instance.
    pub entry: net::SocketAddr,
    /// The service's name.
    pub service: String,
    /// Beginning of the client blocks' names.
    pub client_prefix: String,
    /// Connections that ask at the same time.
    pub connections: u64,
    /// The most look-ups a second over all connections; none is as fast as they are answered.
    pub rate: Option<u64>,
    /// How long.
    pub seconds: u64,
}

/// Asks on some connections, each its next look-up as soon as it has its answer.
pub fn measure_lookups(load: &LookupLoad) -> Result<LookupFigures, BenchError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|cause| BenchError::file("runtime", &cause))?;
    Ok(runtime.block_on(drive(load)))
}

async fn drive(load: &LookupLoad) -> LookupFigures {
    let connections = Arc::new(http::Connections::default());
    let start = Instant::now();
    let workers: Vec<_> = (0..load.connections)
        .map(|number| tokio::spawn(ask(load.clone(), Arc::clone(&connections), number, start)))
        .collect();
    let (mut spans_us, mut failed) = (Vec::new(), 0);
    for worker in workers {
        let (spans, failures) = worker.await.unwrap_or_default();
        spans_us.extend(spans);
        failed += failures;
    }
    LookupFigures {
        per_second: spans_us.len() as f64 / start.elapsed().as_secs_f64(),
        latency: histogram::Summary::of(spans_us),
        failed,
    }
}

async fn ask(
    load: LookupLoad,
    connections: Arc<http::Connections>,
    number: u64,
    start: Instant,
) -> (Vec<u64>, u64) {
    let (mut spans_us, mut failed) = (Vec::new(), 0);
    let end = start + Duration::from_secs(load.seconds);
    let mut round = 0;
    while Instant::now() < end {
        if let Some(rate) = load.rate {
            let due_s = (round * load.connections + number) as f64 / rate as f64;
            tokio::time::sleep_until((start + Duration::from_secs_f64(due_s)).into()).await;
        }
        let block = (round * load.connections + number) % 2_000;
        round += 1;
        let path = format!(
            "/v1/lookup?service={}&client={}-{block}",
            load.service, load.client_prefix
        );
        let request = hyper::Request::get(path)
            .header("host", load.entry.to_string())
            .body(Full::default());
        let Ok(request) = request else { break };
        let sent = Instant::now();
        match connections.exchange(load.entry, request, LIMIT).await {
            Ok(answer) if answer.status() == 200 => {
                spans_us.push(u64::try_from(sent.elapsed().as_micros()).unwrap_or(u64::MAX));
            }
            _ => failed += 1,
        }
    }
    (spans_us, failed)
}
