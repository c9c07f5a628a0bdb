//! The `load` sub-command.

use std::path::Path;
use std::process;

use damaskvane_standins::backend;
use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::error::BenchError;
use crate::load::{self, LoadSettings, Report};

const USAGE: &str = "\
damaskvane-bench load: open-loop load through entry instances

  --entries A,B,...     client addresses of entry instances for the first look-ups
  --service NAME,...    services, taken in turn [rider-desk]
  --rate N              requests a second [200]
  --seconds N           how long [10]
  --write-percent N     share of non-repeatable requests [30]
  --clients N           clients, each with its own cache of look-ups [20]
  --client-prefix A,... beginnings of the client blocks, taken in turn [client]
  --deadline-ms N       time for a request with all its tries [2000]
  --service-ms N        how long the stand-in runs a request [its own time]
  --answer-bytes N      padding of each answer [0]
  --answers FILE        writes each answer as a JSON line, for the checker
  --seed N, --json, --help, --version

Exit code 1 if an answer was not whole or not the client's own.";

const FLAGS: [&str; 11] = [
    "--entries",
    "--service",
    "--rate",
    "--seconds",
    "--write-percent",
    "--clients",
    "--client-prefix",
    "--deadline-ms",
    "--service-ms",
    "--answer-bytes",
    "--answers",
];

/// Runs a load and prints its figures.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = LoadSettings::default();
    let mut answers = None;
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        if name == "answers" {
            answers = Some(arguments::value::<String>(parser)?);
            return Ok(true);
        }
        set(&mut settings, name, parser)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if settings.entries.is_empty() {
        return Err(command_line::UsageError::Missing { flag: "--entries" }.into());
    }
    settings.seed = shared.seed;
    let run = format!("load-{}", backend::now_unix_ms());
    let given = load::run(&settings, &run)?;
    if let Some(file) = answers {
        load::write_answers(Path::new(&file), &given)?;
    }
    let report = Report::of(&given);
    if shared.json {
        println!("{}", serde_json::json!(report));
    } else {
        print!("{report}");
    }
    Ok(process::ExitCode::from(u8::from(report.wrong_answers > 0)))
}

fn set(
    settings: &mut LoadSettings,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<bool, command_line::UsageError> {
    match name {
        "entries" => settings.entries = arguments::values(parser)?,
        "service" => settings.services = arguments::values(parser)?,
        "rate" => settings.rate = arguments::value(parser)?,
        "seconds" => settings.seconds = arguments::value(parser)?,
        "write-percent" => settings.write_percent = arguments::value(parser)?,
        "clients" => settings.clients = arguments::value(parser)?,
        "client-prefix" => settings.client_prefixes = arguments::values(parser)?,
        "deadline-ms" => settings.deadline_ms = arguments::value(parser)?,
        "service-ms" => settings.service_ms = Some(arguments::value(parser)?),
        "answer-bytes" => settings.answer_bytes = arguments::value(parser)?,
        _ => return Ok(false),
    }
    Ok(true)
}
