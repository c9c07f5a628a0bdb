//! Program that runs stand-ins for backend servers; `--help` describes the options.

use std::collections::BTreeMap;
use std::env;
use std::error;
use std::process;
use std::sync::Arc;

use damaskvane_standins::backend;
use damaskvane_telemetry::command_line;

fn main() -> process::ExitCode {
    let options = match backend::Options::parse(env::args_os().skip(1)) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("damaskvane-standin-backend: {error}");
            return process::ExitCode::from(command_line::EXIT_USAGE);
        }
    };
    if options.help {
        println!("{}", backend::USAGE);
        return process::ExitCode::SUCCESS;
    }
    if options.version {
        println!("damaskvane-standin-backend {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    match serve(options) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("damaskvane-standin-backend: {error}");
            process::ExitCode::FAILURE
        }
    }
}

/// Starts the servers and the admin API, prints their addresses and waits for SIGTERM or SIGINT.
fn serve(options: backend::Options) -> Result<(), Box<dyn error::Error + Send + Sync>> {
    let mut signals = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])?;
    let log = Arc::new(backend::ExecutionLog::default());
    let mut servers = Vec::new();
    for spec in options.servers {
        servers.push(backend::Server::start_with_log(
            spec,
            options.seed,
            Arc::clone(&log),
        )?);
    }
    let addresses: BTreeMap<String, String> = servers
        .iter()
        .map(|server| (server.name().to_owned(), server.address().to_string()))
        .collect();
    let admin = backend::Admin::start(&options.admin, servers)?;
    let line = serde_json::json!({
        "servers": addresses,
        "admin": admin.address().to_string(),
    });
    println!("{line}");
    signals.forever().next();
    Ok(())
}
