//! The `speed` sub-command.

use std::process;
use std::time::Duration;

use crate::arguments;
use crate::cluster::{Cluster, Deployment, children};
use crate::error::BenchError;
use crate::speed::{self, Bounds, LookupLoad, SpeedReport, Targets};

const USAGE: &str = "\
damaskvane-bench speed: a request through an entry instance and straight to the stand-in, and look-ups

  --rate N          requests a second each way [200]
  --seconds N       how long each part lasts [10]
  --service-ms N    how long a request runs [2]
  --connections N   connections that ask for look-ups [16]
  --seed N, --json, --help, --version

Exit code 1 if a bound is missed. Use the release build.";

const FLAGS: [&str; 4] = ["--rate", "--seconds", "--service-ms", "--connections"];
/// The longest wait until the first configuration is in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(20);

#[derive(Debug)]
struct Settings {
    rate: u64,
    seconds: u64,
    service_ms: u64,
    connections: u64,
}

/// Measures and prints each figure with its bound.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = Settings {
        rate: 200,
        seconds: 10,
        service_ms: 2,
        connections: 16,
    };
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        match flag {
            "rate" => settings.rate = arguments::value(parser)?,
            "seconds" => settings.seconds = arguments::value(parser)?,
            "service-ms" => settings.service_ms = arguments::value(parser)?,
            "connections" => settings.connections = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    children::end_with_this_process().map_err(|cause| BenchError::file("signals", &cause))?;
    let report = measure(&settings)?;
    let met = report.met(&Bounds::default());
    if shared.json {
        println!("{}", serde_json::json!(report));
    } else {
        print(&report, &met);
    }
    let missed = met.iter().any(|(_, met)| !met);
    Ok(process::ExitCode::from(u8::from(missed)))
}

fn print(report: &SpeedReport, met: &[(String, bool)]) {
    if !report.release {
        println!("debug build: these figures say little");
    }
    let (straight, fresh) = (&report.requests.straight, &report.requests.straight_fresh);
    println!(
        "       a connection for each request alone adds {:.3} ms p50, {:.3} ms p99",
        fresh.p50_ms - straight.p50_ms,
        fresh.p99_ms - straight.p99_ms
    );
    for (figure, met) in met {
        println!("{} {figure}", if *met { "met   " } else { "MISSED" });
    }
}

fn measure(settings: &Settings) -> Result<SpeedReport, BenchError> {
    let mut deployment = Deployment::grid(1, 1, 1);
    deployment.services[0].servers = 4;
    let service = deployment.services[0].name.clone();
    let zone = deployment.zones[0].name.clone();
    let mut cluster = Cluster::start(deployment, "")?;
    cluster.submit_whole("speed")?;
    cluster.wait_in_force(1, IN_FORCE_LIMIT)?;
    cluster.wait_serving(IN_FORCE_LIMIT)?;
    let entry = cluster.client_addresses()[0];
    let backend = cluster
        .backend_addresses()
        .values()
        .next()
        .cloned()
        .unwrap_or_default();
    let targets = Targets {
        backend: backend
            .parse()
            .map_err(|cause| BenchError::answer(&backend, &cause))?,
        entry,
        service: service.clone(),
        path: format!("/work?ms={}&bytes=2000", settings.service_ms),
    };
    // The first requests open connections and warm both programs; they are not counted.
    speed::measure_requests(&targets, settings.rate, 1)?;
    let requests = speed::measure_requests(&targets, settings.rate, settings.seconds)?;
    let lookups = speed::measure_lookups(&LookupLoad {
        entry,
        service,
        client_prefix: zone,
        connections: settings.connections,
        rate: None,
        seconds: settings.seconds,
    })?;
    Ok(SpeedReport {
        release: !cfg!(debug_assertions),
        requests,
        lookups,
        resident_bytes: cluster.entries[0].status()?.rss_bytes,
    })
}
