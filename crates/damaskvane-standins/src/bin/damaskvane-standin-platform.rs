//! Program that serves the stand-in for the platform's object API; `--help` describes the options.

use core::fmt::Display;
use std::error::Error;
use std::ffi::OsString;
use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use damaskvane_standins::platform;
use damaskvane_telemetry::command_line;
use lexopt::ValueExt;
use serde_json::json;
use signal_hook::consts;
use signal_hook::iterator::Signals;

const HELP: &str = "\
Serves an in-memory stand-in for the platform's object API.

Usage: damaskvane-standin-platform --tokens FILE [options]

  --tokens FILE            read the accepted tokens, one \"token holder\" per line
  --listen ADDRESS         serve the object API here (127.0.0.1:0)
  --admin ADDRESS          serve fault switches and counters here (127.0.0.1:0)
  --instances-lag-ms MS    delay updates of the list of instances by this time (2000)
  --help                   print this text
  --version                print the version

Prints one line of JSON with both addresses. Exits with 0 on SIGTERM or SIGINT, 2 on wrong usage and 1 on
other errors.
";

const PROGRAM: &str = "damaskvane-standin-platform";
const FLAGS: [&str; 6] = [
    "--tokens",
    "--listen",
    "--admin",
    "--instances-lag-ms",
    "--help",
    "--version",
];

struct Settings {
    tokens: PathBuf,
    listen: String,
    admin: String,
    instances_lag: Duration,
}

enum Command {
    Run(Settings),
    Print(String),
}

fn parse(args: impl IntoIterator<Item = OsString>) -> Result<Command, command_line::UsageError> {
    let mut tokens = None;
    let mut listen = "127.0.0.1:0".to_owned();
    let mut admin = listen.clone();
    let mut lag_ms = 2_000;
    let mut parser = lexopt::Parser::from_args(args);
    while let Some(arg) = parser.next()? {
        match arg {
            lexopt::Arg::Long("tokens") => tokens = Some(PathBuf::from(parser.value()?)),
            lexopt::Arg::Long("listen") => listen = parser.value()?.string()?,
            lexopt::Arg::Long("admin") => admin = parser.value()?.string()?,
            lexopt::Arg::Long("instances-lag-ms") => lag_ms = parser.value()?.parse()?,
            lexopt::Arg::Long("help") | lexopt::Arg::Short('h') => {
                return Ok(Command::Print(HELP.to_owned()));
            }
            lexopt::Arg::Long("version") | lexopt::Arg::Short('V') => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("{PROGRAM} {version}\n")));
            }
            other => return Err(command_line::unexpected(other, &FLAGS)),
        }
    }
    let tokens = tokens.ok_or(command_line::UsageError::Missing { flag: "--tokens" })?;
    Ok(Command::Run(Settings {
        tokens,
        listen,
        admin,
        instances_lag: Duration::from_millis(lag_ms),
    }))
}

fn run(settings: &Settings) -> Result<(), Box<dyn Error + Send + Sync>> {
    let tokens = fs::read_to_string(&settings.tokens)
        .map_err(|error| {
            format!(
                "--tokens {} can't be read: {error}",
                settings.tokens.display()
            )
        })?
        .parse()?;
    let api = Arc::new(platform::Api::new(tokens, settings.instances_lag));
    let admin = platform::Admin::new(Arc::clone(&api));
    let objects = rouille::Server::new(&settings.listen, move |request| api.handle(request))
        .map_err(|error| cannot_listen("--listen", &settings.listen, &error))?;
    let switches = rouille::Server::new(&settings.admin, move |request| admin.handle(request))
        .map_err(|error| cannot_listen("--admin", &settings.admin, &error))?;
    let mut signals = Signals::new([consts::SIGTERM, consts::SIGINT])?;
    let addresses = json!({
        "listening": objects.server_addr().to_string(),
        "admin": switches.server_addr().to_string(),
    });
    println!("{addresses}");
    thread::spawn(move || objects.run());
    thread::spawn(move || switches.run());
    signals.forever().next();
    Ok(())
}

fn cannot_listen(flag: &str, address: &str, error: &impl Display) -> String {
    format!("{flag} {address} can't be used ({error}); choose a free address of this machine")
}

fn main() -> ExitCode {
    match parse(std::env::args_os().skip(1)) {
        Ok(Command::Print(text)) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Ok(Command::Run(settings)) => match run(&settings) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("{PROGRAM}: {error}");
                ExitCode::FAILURE
            }
        },
        Err(error) => command_line::report_usage(PROGRAM, &error),
    }
}
