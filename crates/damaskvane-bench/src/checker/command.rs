//! The `checker` sub-command.

use std::fs;
use std::process;

use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::checker;
use crate::client;
use crate::cluster;
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench checker: compares what backend servers ran with every answer given

  --answers FILE    the answers as `load --answers` wrote them
  --admin A,B,...   administration addresses of backend server stand-ins
  --seed N, --json, --help, --version

Exit code 1 if a key ran twice, a not-run ran, or an answer was cut or crossed.";

const FLAGS: [&str; 2] = ["--answers", "--admin"];

/// Compares and prints what it found.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut answers = String::new();
    let mut admins: Vec<String> = Vec::new();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "answers" => answers = arguments::value(parser)?,
            "admin" => admins = arguments::values(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if answers.is_empty() {
        return Err(command_line::UsageError::Missing { flag: "--answers" }.into());
    }
    let given = read_answers(&answers)?;
    let mut executions = Vec::new();
    for admin in &admins {
        executions.extend(cluster::BackendAdmin::new(admin).executions()?);
    }
    let verdict = checker::check(&executions, &given);
    if shared.json {
        println!("{}", serde_json::json!(verdict));
    } else {
        print!("{verdict}");
    }
    Ok(process::ExitCode::from(u8::from(!verdict.holds())))
}

fn read_answers(file: &str) -> Result<Vec<client::Given>, BenchError> {
    let text = fs::read_to_string(file).map_err(|cause| BenchError::file(file, &cause))?;
    let parsed: Result<_, _> = text.lines().map(serde_json::from_str).collect();
    parsed.map_err(|cause| BenchError::file(file, &cause))
}
