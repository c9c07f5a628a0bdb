//! The `decisions` sub-command.

use std::process;

use crate::arguments;
use crate::decisions::measure::{self, DecisionSettings};
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench decisions: the time of one placement decision, beside one that sorts all servers

  --servers A,B      servers of a service [30,100,300,1000,3000]
  --decisions N      decisions for each size [20000]
  --seed N, --json, --help, --version";

const FLAGS: [&str; 2] = ["--servers", "--decisions"];

/// Measures and prints a line for each number of servers.
///
/// # Errors
///
/// Fails on a wrong command line.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = DecisionSettings::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "servers" => settings.servers = arguments::values(parser)?,
            "decisions" => settings.decisions = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    settings.seed = shared.seed;
    if !shared.json {
        println!("servers  decision us  all sorted us  joins and leaves us");
    }
    for figure in measure::measure(&settings) {
        if shared.json {
            println!("{}", serde_json::json!(figure));
        } else {
            println!(
                "{:>7} {:>12.2} {:>14.2} {:>20.2}",
                figure.servers, figure.decision_us, figure.sorted_us, figure.change_us
            );
        }
    }
    Ok(process::ExitCode::SUCCESS)
}
