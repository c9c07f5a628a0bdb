//! Watches versions, running slots and the cost of processes while the demo runs.
//!
//! ```
//! use damaskvane_bench::demo;
//!
//! let sample = demo::VersionSample { unix_ms: 1, instance: "i-1".into(), incarnation: 1, version: 2 };
//! assert_eq!(sample.version, 2);
//! ```

use std::collections::BTreeMap;
use std::fs;
use std::net;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use damaskvane_standins::backend;

use crate::cluster::{BackendAdmin, Cluster};
use crate::error::BenchError;
use crate::http;
use crate::in_force;

/// How often everything is looked at.
const PERIOD: Duration = Duration::from_millis(50);
/// Every so many periods the versions are asked for.
const VERSION_EVERY: u32 = 4;
const PAGE_BYTES: u64 = 4_096;

/// The configuration that an instance had in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionSample {
    /// When, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// The instance.
    pub instance: String,
    /// Which life of it.
    pub incarnation: u64,
    /// The version; 0 before it has one.
    pub version: u64,
}

/// What was seen.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Observed {
    pub(crate) versions: Vec<VersionSample>,
    pub(crate) peaks: BTreeMap<String, u64>,
    pub(crate) resident_bytes: u64,
}

/// Watches until it is told to stop.
#[derive(Debug)]
pub struct Observer {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Observed>,
}

/// What the observer asks.
#[derive(Debug)]
struct Sources {
    operators: Vec<net::SocketAddr>,
    backends: BackendAdmin,
    /// The region of each backend server.
    regions: BTreeMap<String, String>,
    process_ids: Vec<u32>,
}

impl Observer {
    /// Starts watching a cluster; a restarted instance is found at its former address.
    #[must_use]
    pub fn start(cluster: &Cluster) -> Self {
        let sources = Sources {
            operators: cluster
                .entries
                .iter()
                .filter_map(|entry| entry.operator_address().parse().ok())
                .collect(),
            backends: cluster.backends(),
            regions: regions(cluster),
            process_ids: cluster.process_ids(),
        };
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let thread = thread::spawn(move || watch(&sources, &told));
        Self { stop, thread }
    }

    /// Stops watching; what was seen.
    pub(crate) fn finish(self) -> Result<Observed, BenchError> {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().map_err(|_| BenchError::Failed {
            program: "observer".to_owned(),
            cause: "it panicked".to_owned(),
        })
    }
}

fn regions(cluster: &Cluster) -> BTreeMap<String, String> {
    let deployment = &cluster.deployment;
    let region_of = |name: &str| {
        deployment
            .zones()
            .find(|zone| zone.name == name)
            .map(|zone| zone.region.clone())
    };
    let services = deployment.services.iter();
    services
        .flat_map(|service| deployment.placements(service))
        .filter_map(|placement| Some((placement.server, region_of(&placement.zone)?)))
        .collect()
}

fn watch(sources: &Sources, told: &AtomicBool) -> Observed {
    let mut observed = Observed::default();
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
    else {
        return observed;
    };
    let connections = http::Connections::default();
    let mut round = 0_u32;
    while !told.load(Ordering::Relaxed) {
        note_running(sources, &mut observed);
        if round.is_multiple_of(VERSION_EVERY) {
            runtime.block_on(note_versions(sources, &connections, &mut observed));
            note_memory(sources, &mut observed);
        }
        round += 1;
        thread::sleep(PERIOD);
    }
    observed
}

fn note_running(sources: &Sources, observed: &mut Observed) {
    let Ok(stats) = sources.backends.stats() else {
        return;
    };
    let mut running: BTreeMap<&String, u64> = BTreeMap::new();
    for (server, stats) in &stats {
        if let Some(region) = sources.regions.get(server) {
            *running.entry(region).or_default() += u64::from(stats.running);
        }
    }
    for (region, running) in running {
        let peak = observed.peaks.entry(region.clone()).or_default();
        *peak = running.max(*peak);
    }
}

async fn note_versions(
    sources: &Sources,
    connections: &http::Connections,
    observed: &mut Observed,
) {
    for address in &sources.operators {
        if let Some(status) = in_force::status(connections, *address).await {
            observed.versions.push(VersionSample {
                unix_ms: backend::now_unix_ms(),
                instance: status.instance,
                incarnation: status.incarnation,
                version: status.config_version,
            });
        }
    }
}

fn note_memory(sources: &Sources, observed: &mut Observed) {
    let resident = sources
        .process_ids
        .iter()
        .filter_map(|id| resident_bytes(*id))
        .sum();
    observed.resident_bytes = observed.resident_bytes.max(resident);
}

/// The resident memory of a process.
fn resident_bytes(id: u32) -> Option<u64> {
    let text = fs::read_to_string(format!("/proc/{id}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}
