//! Processor time of look-ups and of requests at one daemon.

use std::time::Duration;

use crate::capacity::{Slope, Snapshot, slope};
use crate::cluster::{Cluster, Deployment};
use crate::error::BenchError;
use crate::load::{self, LoadSettings};
use crate::speed::{self, LookupLoad};

/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// Connections that ask for look-ups.
const CONNECTIONS: u64 = 8;

/// Measures one daemon under these rates for `seconds` each.
pub fn measure_load(
    lookups: &[u64],
    requests: &[u64],
    seconds: u64,
) -> Result<Vec<Slope>, BenchError> {
    let mut deployment = Deployment::grid(1, 1, 1);
    deployment.services[0].servers = 8;
    let mut cluster = Cluster::start(deployment, "")?;
    cluster.submit_whole("capacity")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    cluster.wait_serving(FIRST_LIMIT)?;
    let mut of_lookups = Vec::new();
    for rate in lookups {
        let cpu = cpu_during(&cluster, || ask(&cluster, *rate, seconds))?;
        of_lookups.push((*rate as f64, cpu));
    }
    let mut of_requests = Vec::new();
    for rate in requests {
        let cpu = cpu_during(&cluster, || send(&cluster, *rate, seconds))?;
        of_requests.push((*rate as f64, cpu));
    }
    let slopes = [
        slope::named("lookup-cpu", of_lookups),
        slope::named("request-cpu", of_requests),
    ];
    Ok(slopes.into_iter().flatten().collect())
}

/// Processor milliseconds a second of the one daemon while something runs.
fn cpu_during(
    cluster: &Cluster,
    run: impl FnOnce() -> Result<(), BenchError>,
) -> Result<f64, BenchError> {
    let before = Snapshot::take(cluster)?;
    run()?;
    let rates = Snapshot::take(cluster)?.rates_since(&before);
    Ok(rates.cpu_relay.or(rates.cpu_other).unwrap_or(0.0))
}

fn ask(cluster: &Cluster, rate: u64, seconds: u64) -> Result<(), BenchError> {
    let figures = speed::measure_lookups(&LookupLoad {
        entry: cluster.client_addresses()[0],
        service: cluster.deployment.services[0].name.clone(),
        client_prefix: cluster.deployment.zones[0].name.clone(),
        connections: CONNECTIONS,
        rate: Some(rate.max(1)),
        seconds,
    })?;
    refuse_failures("look-ups", figures.failed)
}

fn send(cluster: &Cluster, rate: u64, seconds: u64) -> Result<(), BenchError> {
    let settings = LoadSettings {
        entries: cluster.client_addresses(),
        rate: rate.max(1),
        seconds,
        answer_bytes: 2_000,
        service_ms: Some(10),
        ..LoadSettings::default()
    };
    let given = load::run(&settings, &format!("capacity-{rate}"))?;
    let report = load::Report::of(&given);
    refuse_failures("requests", (report.requests - report.completed) as u64)
}

/// A failed request costs other work than a served one; its slope would say nothing.
fn refuse_failures(what: &str, failed: u64) -> Result<(), BenchError> {
    if failed == 0 {
        return Ok(());
    }
    Err(BenchError::Failed {
        program: "damaskvane-entry".to_owned(),
        cause: format!("{failed} {what} were not served"),
    })
}
