//! Processor time of look-ups and of requests at one daemon.

use std::time::Duration;

use crate::capacity::{Rates, Slope, Snapshot, slope};
use crate::cluster::{Cluster, Deployment};
use crate::error::BenchError;
use crate::load::{self, LoadSettings};
use crate::speed::{self, LookupLoad};

/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(20);
/// Connections that ask for look-ups.
const CONNECTIONS: u64 = 8;
/// Backend servers of the zone.
const SERVERS: usize = 8;

/// Measures a daemon under these rates for `seconds` each.
pub fn measure_load(
    lookups: &[u64],
    requests: &[u64],
    seconds: u64,
) -> Result<Vec<Slope>, BenchError> {
    let mut slopes = Vec::from_iter(measure_lookups(lookups, seconds)?);
    slopes.extend(measure_requests(requests, seconds)?);
    Ok(slopes)
}

/// Look-ups at a daemon that is alone.
fn measure_lookups(rates: &[u64], seconds: u64) -> Result<Option<Slope>, BenchError> {
    let cluster = start(1)?;
    let mut cpu = Vec::new();
    for rate in rates {
        let during = rates_during(&cluster, || ask(&cluster, *rate, seconds))?;
        cpu.push((
            *rate as f64,
            during.cpu_relay.or(during.cpu_other).unwrap_or(0.0),
        ));
    }
    Ok(slope::named("lookup-cpu", cpu))
}

/// Requests at each of two daemons of a zone, which lend each other slots.
fn measure_requests(rates: &[u64], seconds: u64) -> Result<Vec<Slope>, BenchError> {
    let cluster = start(2)?;
    let (mut cpu, mut control) = (Vec::new(), Vec::new());
    for rate in rates {
        let during = rates_during(&cluster, || send(&cluster, 2 * rate, seconds))?;
        cpu.push((
            *rate as f64,
            during.cpu_relay.or(during.cpu_other).unwrap_or(0.0),
        ));
        control.push((*rate as f64, during.control_max));
    }
    let slopes = [
        slope::named("request-cpu", cpu),
        slope::named("request-control", control),
    ];
    Ok(slopes.into_iter().flatten().collect())
}

fn start(daemons: usize) -> Result<Cluster, BenchError> {
    let mut deployment = Deployment::grid(1, 1, daemons);
    deployment.services[0].servers = SERVERS;
    let mut cluster = Cluster::start(deployment, "")?;
    cluster.submit_whole("capacity")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    cluster.wait_serving(FIRST_LIMIT)?;
    Ok(cluster)
}

/// The rates while something runs.
fn rates_during(
    cluster: &Cluster,
    run: impl FnOnce() -> Result<(), BenchError>,
) -> Result<Rates, BenchError> {
    let before = Snapshot::take(cluster)?;
    run()?;
    Ok(Snapshot::take(cluster)?.rates_since(&before))
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
