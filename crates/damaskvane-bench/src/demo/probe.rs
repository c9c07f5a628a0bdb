//! How a zone's look-ups are steered, asked for many client blocks again and again.
//!
//! Look-ups move the traffic; asking for every block measures the steered share without the noise of
//! a few requests.
//!
//! ```
//! use damaskvane_bench::demo;
//!
//! let sample = demo::ShareSample { unix_ms: 1, permille: 250, version: 2 };
//! assert_eq!(sample.permille, 250);
//! ```

use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use damaskvane_standins::backend;
use http_body_util::Full;

use crate::client::LookupAnswer;
use crate::demo::Plan;
use crate::error::BenchError;
use crate::http;

/// How many client blocks of the zone are asked for.
const BLOCKS: u32 = 500;
/// The pause between two rounds.
const PAUSE: Duration = Duration::from_millis(200);
/// The longest wait for a look-up.
const LIMIT: Duration = Duration::from_millis(500);

/// The share of the blocks that the other zone got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShareSample {
    /// When the round ended, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The share whose preferred instance stands in the other zone.
    pub permille: u32,
    /// The lowest configuration version that an answer named.
    pub version: u64,
}

/// Asks until it is told to stop.
#[derive(Debug)]
pub struct ShareProbe {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<ShareSample>>,
}

impl ShareProbe {
    /// Starts asking one instance.
    #[must_use]
    pub fn start(address: net::SocketAddr, plan: &Plan) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let plan = plan.clone();
        let thread = thread::spawn(move || rounds(address, &plan, &told));
        Self { stop, thread }
    }

    /// Stops asking; what was seen.
    pub(crate) fn finish(self) -> Result<Vec<ShareSample>, BenchError> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| BenchError::Failed {
            program: "share probe".to_owned(),
            cause: "it panicked".to_owned(),
        })
    }
}

fn rounds(address: net::SocketAddr, plan: &Plan, told: &AtomicBool) -> Vec<ShareSample> {
    let mut samples = Vec::new();
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return samples;
    };
    let connections = http::Connections::default();
    while !told.load(Ordering::Relaxed) {
        samples.extend(runtime.block_on(round(&connections, address, plan)));
        thread::sleep(PAUSE);
    }
    samples
}

async fn round(
    connections: &http::Connections,
    address: net::SocketAddr,
    plan: &Plan,
) -> Option<ShareSample> {
    let (mut asked, mut moved, mut version) = (0, 0, u64::MAX);
    for block in 0..BLOCKS {
        let Some(answer) = look_up(connections, address, plan, block).await else {
            continue;
        };
        asked += 1;
        version = version.min(answer.config_version);
        let preferred = answer
            .entries
            .first()
            .map_or("", |entry| entry.instance.as_str());
        moved += u32::from(zone_of(preferred) == plan.to);
    }
    (asked > 0).then(|| ShareSample {
        unix_ms: backend::now_unix_ms(),
        permille: moved * 1_000 / asked,
        version,
    })
}

async fn look_up(
    connections: &http::Connections,
    address: net::SocketAddr,
    plan: &Plan,
    block: u32,
) -> Option<LookupAnswer> {
    let (service, from) = (&plan.service.name, &plan.from);
    let request = hyper::Request::get(format!(
        "/v1/lookup?service={service}&client={from}-{block}"
    ))
    .header("host", address.to_string())
    .body(Full::default())
    .ok()?;
    let answer = connections.exchange(address, request, LIMIT).await.ok()?;
    serde_json::from_slice(answer.body()).ok()
}

/// The zone in an instance's name.
fn zone_of(instance: &str) -> &str {
    instance.rsplit_once('-').map_or("", |(zone, _)| zone)
}
