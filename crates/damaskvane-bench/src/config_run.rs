//! The `config-run` sub-command: the configuration's decision code through mixed faults, by seed.
//!
//! ```
//! use damaskvane_bench::config_run;
//!
//! let mut parser = lexopt::Parser::from_args(["--runs", "1", "--seconds", "2", "--json"]);
//! assert!(config_run::run(&mut parser).is_ok());
//! ```

use std::process;
use std::time::{Duration, Instant};

use damaskvane_standins::config_run;

use crate::arguments;
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench config-run: the configuration's decision code in virtual time, with faults mixed

  --runs N          runs, each with the next seed [10]
  --minutes N       runs until so many minutes have passed, in place of --runs
  --seconds N       virtual seconds with faults in each run [60]
  --zones N         availability zones [6]
  --instances N     instances in each zone [2]
  --operators N     operators who submit one ticket after the other [3]
  --delay-ms N      the longest delay between zones and to the store [60]
  --store-down-from N   the virtual second from which the store is down until the faults end
  --loss-only       no fault but lost messages
  --seed N, --json, --help, --version

Ends with 1 and the seed where a promise does not hold.";

const FLAGS: [&str; 9] = [
    "--runs",
    "--minutes",
    "--seconds",
    "--zones",
    "--instances",
    "--operators",
    "--delay-ms",
    "--store-down-from",
    "--loss-only",
];

/// Runs seed after seed and prints a line for each.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = config_run::RunSettings::default();
    let (mut runs, mut minutes) = (10, 0);
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        match flag {
            "runs" => runs = arguments::value(parser)?,
            "minutes" => minutes = arguments::value(parser)?,
            "seconds" => settings.seconds = arguments::value(parser)?,
            "zones" => settings.zones = arguments::value(parser)?,
            "instances" => settings.instances_per_zone = arguments::value(parser)?,
            "operators" => settings.operators = arguments::value(parser)?,
            "delay-ms" => settings.max_delay_ms = arguments::value(parser)?,
            "store-down-from" => settings.store_down_from_s = Some(arguments::value(parser)?),
            "loss-only" => settings = settings.with_lost_messages_only(),
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    settings.min_delay_ms = settings.min_delay_ms.min(settings.max_delay_ms);
    settings.seed = shared.seed;
    let until = Duration::from_secs(60 * minutes);
    let started = Instant::now();
    while goes_on(settings.seed - shared.seed, runs, started.elapsed(), until) {
        match config_run::run(settings) {
            Ok(report) => print(&report, shared.json),
            Err(broken) => {
                println!("{broken}");
                return Ok(process::ExitCode::FAILURE);
            }
        }
        settings.seed += 1;
    }
    Ok(process::ExitCode::SUCCESS)
}

const fn goes_on(done: u64, runs: u64, passed: Duration, until: Duration) -> bool {
    if until.is_zero() {
        done < runs
    } else {
        passed.as_millis() < until.as_millis()
    }
}

fn print(report: &config_run::RunReport, json: bool) {
    if json {
        println!("{}", serde_json::json!(report));
        return;
    }
    println!(
        "seed {:>4}  {:>4} instances  {:>4} tickets  in force p50 {:>5} ms  p99 {:>6} ms  healed {:>5} ms  {:>6} store calls  {:>7} messages",
        report.seed,
        report.instances,
        report.accepted,
        report.activation_p50_ms,
        report.activation_p99_ms,
        report.healed_ms,
        report.instance_store_calls,
        report.messages
    );
}
