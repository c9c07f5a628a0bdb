//! Fleets of several sizes without client traffic.

use std::thread;
use std::time::Duration;

use crate::capacity::{Rates, Slope, Snapshot, slope};
use crate::cluster::{Cluster, Deployment};
use crate::config;
use crate::error::BenchError;

/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(60);
/// How long a fleet settles before it is measured.
const SETTLE: Duration = Duration::from_secs(8);

/// The rates of each size.
#[derive(Debug, Clone, Default, PartialEq, serde::Serialize)]
pub struct SteadyFigures {
    /// Daemons and their rates.
    pub sizes: Vec<(usize, Rates)>,
}

/// Measures fleets of these sizes for `seconds` each.
pub fn measure_steady(sizes: &[usize], seconds: u64) -> Result<SteadyFigures, BenchError> {
    let mut figures = SteadyFigures::default();
    for size in sizes {
        let cluster = start(*size)?;
        thread::sleep(SETTLE);
        let before = Snapshot::take(&cluster)?;
        thread::sleep(Duration::from_secs(seconds));
        let rates = Snapshot::take(&cluster)?.rates_since(&before);
        figures.sizes.push((cluster.entries.len(), rates));
    }
    Ok(figures)
}

/// A fleet of about that size with its configuration in force.
pub(crate) fn start(size: usize) -> Result<Cluster, BenchError> {
    let (regions, zones, entries) = config::shape(size);
    let mut cluster = Cluster::start(Deployment::grid(regions, zones, entries), "")?;
    cluster.submit_whole("capacity")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    cluster.wait_serving(FIRST_LIMIT)?;
    Ok(cluster)
}

impl SteadyFigures {
    /// The lines through the sizes.
    #[must_use]
    pub fn slopes(&self) -> Vec<Slope> {
        let line = |key: &str, of: fn(&Rates) -> Option<f64>| {
            let points = self
                .sizes
                .iter()
                .filter_map(|(size, rates)| Some((*size as f64, of(rates)?)));
            slope::named(key, points.collect())
        };
        let slopes = [
            line("control-relay", |rates| rates.control_relay),
            line("control-other", |rates| rates.control_other),
            line("control-max", |rates| Some(rates.control_max)),
            line("cpu-relay", |rates| rates.cpu_relay),
            line("cpu-other", |rates| rates.cpu_other),
            line("memory", |rates| Some(rates.memory_mb)),
            line("store-reads", |rates| Some(rates.store_reads)),
            line("store-writes", |rates| Some(rates.store_writes)),
        ];
        slopes.into_iter().flatten().collect()
    }
}
