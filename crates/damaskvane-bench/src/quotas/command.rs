//! The `quotas` sub-command.

use std::process;

use crate::arguments;
use crate::error::BenchError;
use crate::quotas::case::{Case, Pattern, WayName};
use crate::quotas::world;

const USAGE: &str = "\
damaskvane-bench quotas: ways to keep quotas over all instances, in virtual time

  --ways A,B         shares, pools, counts [all]
  --patterns A,B     steady, shift, hot, kill-all, kills, cut, one-way, lossy, lowered [all]
  --instances A,B    numbers of instances [30,300]
  --teams A,B        numbers of teams [79]
  --seconds N        virtual time of a run [30]
  --seed N, --json, --help, --version";

const FLAGS: [&str; 5] = [
    "--ways",
    "--patterns",
    "--instances",
    "--teams",
    "--seconds",
];

/// Plays all combinations and prints a line for each.
///
/// # Errors
///
/// Fails on a wrong command line.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut ways = WayName::ALL.to_vec();
    let mut patterns = Pattern::ALL.to_vec();
    let mut instances = vec![30, 300];
    let mut teams = vec![79];
    let mut case = Case::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "ways" => ways = arguments::values(parser)?,
            "patterns" => patterns = arguments::values(parser)?,
            "instances" => instances = arguments::values(parser)?,
            "teams" => teams = arguments::values(parser)?,
            "seconds" => case.seconds = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    case.seed = shared.seed;
    if !shared.json {
        println!(
            "way     pattern   instances  teams  of bound  refused %  after %  followed ms  bytes/s  between zones  decision us"
        );
    }
    for (instances, teams) in instances
        .iter()
        .flat_map(|n| teams.iter().map(move |t| (*n, *t)))
    {
        for pattern in &patterns {
            for way in &ways {
                let case = Case {
                    way: *way,
                    pattern: *pattern,
                    instances,
                    teams,
                    ..case
                };
                let figure = world::play(&case);
                if shared.json {
                    println!("{}", serde_json::json!(figure));
                    continue;
                }
                println!(
                    "{:<7} {:<9} {:>9} {:>6} {:>9.2} {:>10.3} {:>8.2} {:>12} {:>8.0} {:>14.0} {:>12.2}",
                    figure.way,
                    figure.pattern,
                    figure.instances,
                    figure.teams,
                    figure.most_of_bound,
                    figure.refused_percent,
                    figure.refused_after_percent,
                    figure.followed_ms,
                    figure.bytes_per_s,
                    figure.bytes_between_zones_per_s,
                    figure.decision_us
                );
            }
        }
    }
    Ok(process::ExitCode::SUCCESS)
}
