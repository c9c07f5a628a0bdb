//! The `cluster` sub-command: a deployment to try things on by hand.

use std::process;
use std::time::Duration;

use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::cluster::{self, Cluster, Deployment};
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench cluster: starts a deployment and keeps it until SIGTERM or SIGINT

  --deployment NAME   prairie, valokirja, or REGIONSxZONESxENTRIES such as 2x2x1 [prairie]
  --seed N, --json, --help, --version

Prints one JSON line with every address. DAMASKVANE_BENCH_KEEP=1 keeps its directory.";

const FLAGS: [&str; 1] = ["--deployment"];
/// The longest wait until the first configuration is in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(30);

/// Starts the cluster and waits for a signal.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut name = "prairie".to_owned();
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        if flag == "deployment" {
            name = arguments::value(parser)?;
        }
        Ok(flag == "deployment")
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    let deployment = deployment(&name)?;
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .map_err(|cause| BenchError::file("signals", &cause))?;
    let mut cluster = Cluster::start(deployment, "")?;
    cluster.submit_whole("first configuration")?;
    cluster.wait_in_force(1, IN_FORCE_LIMIT)?;
    cluster.wait_serving(IN_FORCE_LIMIT)?;
    let line = serde_json::json!({
        "directory": cluster.directory(),
        "entries": cluster.client_addresses(),
        "operators": cluster.entries.iter().map(cluster::Entry::operator_address).collect::<Vec<_>>(),
        "platform": cluster.platform_address(),
        "platform_admin": cluster.platform().address(),
        "backend_servers": cluster.backend_addresses(),
    });
    println!("{line}");
    signals.forever().next();
    Ok(process::ExitCode::SUCCESS)
}

/// The deployment of that name, or an error that names the valid ones.
pub fn deployment(name: &str) -> Result<Deployment, command_line::UsageError> {
    Deployment::named(name).ok_or_else(|| {
        command_line::UsageError::Malformed(format!(
            "{name:?} is no deployment; write prairie, valokirja or REGIONSxZONESxENTRIES"
        ))
    })
}
