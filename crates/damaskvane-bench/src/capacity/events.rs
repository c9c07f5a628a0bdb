//! What a fleet costs while something happens to it: a zone is lost, the store returns, every instance
//! is restarted in turn.
//!
//! ```
//! use damaskvane_bench::capacity;
//!
//! assert_eq!(capacity::EventFigures::default().daemons, 0);
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use damaskvane_standins::platform;
use serde::{Deserialize, Serialize};

use crate::capacity::{Rates, Shape, Snapshot, steady};
use crate::cluster::{Cluster, PlatformAdmin};
use crate::error::BenchError;

/// How long after an event is measured.
const AFTER: Duration = Duration::from_secs(10);
/// How long a fleet settles before an event.
const SETTLE: Duration = Duration::from_secs(6);
/// How often the store's calls are read.
const PERIOD: Duration = Duration::from_millis(100);
/// Readings that make up a second.
const READINGS_A_SECOND: usize = 10;
/// The longest wait for a planned stop.
const STOP_LIMIT: Duration = Duration::from_secs(20);
/// How many instances the rolling restart covers.
const ROLLED: usize = 6;

/// What each event cost.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct EventFigures {
    /// The fleet's size.
    pub daemons: usize,
    /// Rates in steady state.
    pub steady: Rates,
    /// Instances that were killed as one zone.
    pub lost: usize,
    /// Rates of the rest after that.
    pub after_loss: Rates,
    /// The most calls at the store in one second after that.
    pub loss_peak_calls: f64,
    /// How long the store was cut, in seconds.
    pub outage_s: f64,
    /// Rates in the seconds after its return.
    pub after_return: Rates,
    /// The most calls at the store in one second after its return.
    pub return_peak_calls: f64,
    /// Instances restarted in turn.
    pub rolled: usize,
    /// Rates of the others meanwhile.
    pub rolling: Rates,
    /// The most calls at the store in one second meanwhile.
    pub rolling_peak_calls: f64,
    /// How long one planned restart took on average, in milliseconds.
    pub restart_ms: f64,
}

/// Does these things to a fleet of that shape; the store is cut for `outage`.
pub fn measure_events(shape: Shape, outage: Duration) -> Result<EventFigures, BenchError> {
    let mut cluster = steady::start(shape)?;
    thread::sleep(SETTLE);
    let mut figures = EventFigures {
        daemons: cluster.entries.len(),
        ..EventFigures::default()
    };
    (figures.steady, _) = observe(&mut cluster, |_| Ok(()), AFTER)?;
    cut_store(&mut cluster, outage, &mut figures)?;
    thread::sleep(SETTLE);
    roll(&mut cluster, &mut figures)?;
    thread::sleep(SETTLE);
    lose_zone(&mut cluster, &mut figures)?;
    Ok(figures)
}

fn cut_store(
    cluster: &mut Cluster,
    outage: Duration,
    figures: &mut EventFigures,
) -> Result<(), BenchError> {
    let store = cluster.platform();
    store.set_faults(&platform::Faults {
        down: true,
        ..platform::Faults::default()
    })?;
    thread::sleep(outage);
    figures.outage_s = outage.as_secs_f64();
    let mend = |_: &mut Cluster| store.set_faults(&platform::Faults::default());
    (figures.after_return, figures.return_peak_calls) = observe(cluster, mend, AFTER)?;
    Ok(())
}

fn roll(cluster: &mut Cluster, figures: &mut EventFigures) -> Result<(), BenchError> {
    let start = Instant::now();
    let restart = |cluster: &mut Cluster| {
        let programs = cluster.programs().clone();
        for entry in cluster.entries.iter_mut().rev().take(ROLLED) {
            entry.stop(STOP_LIMIT);
            entry.start(&programs)?;
        }
        Ok(())
    };
    figures.rolled = ROLLED.min(cluster.entries.len());
    (figures.rolling, figures.rolling_peak_calls) = observe(cluster, restart, Duration::ZERO)?;
    figures.restart_ms = start.elapsed().as_secs_f64() * 1_000.0 / figures.rolled.max(1) as f64;
    Ok(())
}

fn lose_zone(cluster: &mut Cluster, figures: &mut EventFigures) -> Result<(), BenchError> {
    let zone = cluster.deployment.zones[0].name.clone();
    let kill = |cluster: &mut Cluster| {
        for entry in cluster
            .entries
            .iter_mut()
            .filter(|entry| entry.zone() == zone)
        {
            entry.kill();
        }
        Ok(())
    };
    figures.lost = cluster
        .entries
        .iter()
        .filter(|entry| entry.zone() == zone)
        .count();
    (figures.after_loss, figures.loss_peak_calls) = observe(cluster, kill, AFTER)?;
    Ok(())
}

/// The rates over an event and some time after, and the most calls at the store in one second.
fn observe(
    cluster: &mut Cluster,
    event: impl FnOnce(&mut Cluster) -> Result<(), BenchError>,
    after: Duration,
) -> Result<(Rates, f64), BenchError> {
    let before = Snapshot::take(cluster)?;
    let peak = CallPeak::start(cluster.platform());
    event(cluster)?;
    thread::sleep(after);
    let rates = Snapshot::take(cluster)?.rates_since(&before);
    Ok((rates, peak.finish()))
}

/// Reads the store's calls again and again.
struct CallPeak {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<Vec<u64>>,
}

impl CallPeak {
    fn start(store: PlatformAdmin) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let told = Arc::clone(&stop);
        let thread = thread::spawn(move || {
            let mut sums = Vec::new();
            while !told.load(Ordering::Relaxed) {
                sums.extend(calls(&store));
                thread::sleep(PERIOD);
            }
            sums
        });
        Self { stop, thread }
    }

    /// The most calls in one second.
    fn finish(self) -> f64 {
        self.stop.store(true, Ordering::Relaxed);
        let sums = self.thread.join().unwrap_or_default();
        let seconds = sums.windows(READINGS_A_SECOND + 1);
        let calls = seconds.map(|window| window[READINGS_A_SECOND] - window[0]);
        calls.max().unwrap_or(0) as f64
    }
}

fn calls(store: &PlatformAdmin) -> Option<u64> {
    let stats = store.stats().ok()?;
    let kinds = stats["calls"].as_object()?;
    Some(kinds.values().filter_map(serde_json::Value::as_u64).sum())
}
