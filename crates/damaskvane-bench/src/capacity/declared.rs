//! Client blocks declared by name: what an instance holds of them, and what a look-up costs.
//!
//! The blocks asked for are none of the declared ones, so that each look-up searches all of them.

use std::time::Duration;

use crate::capacity::{Slope, Snapshot, slope};
use crate::cluster::{Cluster, Deployment};
use crate::error::BenchError;
use crate::speed::{self, LookupLoad};

/// Names in one object. A ticket holds the objects and their text, and has to stay under the store's
/// megabyte: 50,000 names were refused.
const NAMES_IN_OBJECT: u32 = 20_000;
/// The longest wait until a ticket is in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(60);
/// Connections that ask for look-ups.
const CONNECTIONS: u64 = 4;
/// How long look-ups are asked for, in seconds.
const SECONDS: u64 = 3;

/// Declares so many blocks in all, each size on top of the one before.
pub fn measure_declared(sizes: &[u32]) -> Result<Vec<Slope>, BenchError> {
    let mut cluster = Cluster::start(Deployment::grid(1, 1, 1), "")?;
    cluster.submit_whole("capacity")?;
    cluster.wait_in_force(1, IN_FORCE_LIMIT)?;
    let (mut memory, mut cost) = (Vec::new(), Vec::new());
    let mut declared = 0;
    for size in sizes {
        let wanted = cluster.config_version() + 1;
        let text = declarations(&cluster.deployment.zones[0].name, declared, *size);
        cluster.submit(&text, "capacity")?;
        cluster.wait_in_force(wanted, IN_FORCE_LIMIT)?;
        declared = *size;
        let (megabytes, us) = weigh(&cluster)?;
        memory.push((f64::from(*size), megabytes));
        cost.push((f64::from(*size), us));
    }
    let slopes = [
        slope::named("declared-memory", memory),
        slope::named("declared-lookup", cost),
    ];
    Ok(slopes.into_iter().flatten().collect())
}

/// Resident megabytes, and microseconds of processor time of one look-up.
fn weigh(cluster: &Cluster) -> Result<(f64, f64), BenchError> {
    let before = Snapshot::take(cluster)?;
    let figures = speed::measure_lookups(&LookupLoad {
        entry: cluster.client_addresses()[0],
        service: cluster.deployment.services[0].name.clone(),
        client_prefix: "undeclared".to_owned(),
        connections: CONNECTIONS,
        rate: None,
        seconds: SECONDS,
    })?;
    let rates = Snapshot::take(cluster)?.rates_since(&before);
    let cpu_ms = rates.cpu_relay.or(rates.cpu_other).unwrap_or(0.0);
    Ok((
        rates.memory_mb,
        cpu_ms * 1_000.0 / figures.per_second.max(1.0),
    ))
}

fn declarations(zone: &str, first: u32, end: u32) -> String {
    let mut text = String::new();
    for start in (first..end).step_by(NAMES_IN_OBJECT as usize) {
        let numbers = start..end.min(start + NAMES_IN_OBJECT);
        let names: Vec<String> = numbers.map(|number| format!("\"b{number:07}\"")).collect();
        text.push_str(&format!(
            "[client_blocks.named-{start}]\nnear = \"{zone}\"\nnames = [{}]\n\n",
            names.join(", ")
        ));
    }
    text
}
