//! The `keys` sub-command.

use std::process;

use crate::arguments;
use crate::error::BenchError;
use crate::keys::measure;

const USAGE: &str = "\
damaskvane-bench keys: the time to find the team that holds a key

  --teams A,B        numbers of teams, with four keys each [79,10000]
  --look-ups N       look-ups for each size [200000]
  --seed N, --json, --help, --version";

const FLAGS: [&str; 2] = ["--teams", "--look-ups"];

/// Measures and prints a line for each number of teams.
///
/// # Errors
///
/// Fails on a wrong command line.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut teams = vec![79, 10_000];
    let mut look_ups = 200_000;
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "teams" => teams = arguments::values(parser)?,
            "look-ups" => look_ups = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if !shared.json {
        println!("teams   keys  look-up us  unknown us  table bytes");
    }
    for count in teams {
        let figure = measure(count, look_ups);
        if shared.json {
            println!("{}", serde_json::json!(figure));
        } else {
            println!(
                "{:>5} {:>6} {:>11.3} {:>11.3} {:>12}",
                figure.teams, figure.keys, figure.look_up_us, figure.unknown_us, figure.table_bytes
            );
        }
    }
    Ok(process::ExitCode::SUCCESS)
}
