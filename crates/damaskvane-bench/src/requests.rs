//! The `requests` sub-command: the request engine through mixed faults, seed after seed.
//!
//! Each seed is one run of the scenario runner in virtual time. It ends with the first broken promise and
//! prints the seed and the latest faults, from which a scenario file is made.
//!
//! ```
//! use damaskvane_bench::commands;
//!
//! assert!(commands::find("requests").is_some());
//! ```

use std::process;
use std::time;

use damaskvane_core::time as virtual_time;
use damaskvane_scenario::random;

use crate::arguments;
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench requests: the request engine through mixed faults, seed after seed

  --minutes N       how long it goes on, in minutes of real time (default 1)
  --virtual-s N     virtual time under faults for each seed, in seconds (default 300)
  --faults N        faults that begin in a virtual minute (default 20)
  --loss N          lost messages between instances, in thousandths (default 10)
  --seed N          the first seed; each further run takes the next one
  --json, --help, --version

Exit code 1 if a key ran twice, a not-run ran, an answer was crossed, a backend server was over its slots
or got work while leaving.";

const FLAGS: [&str; 4] = ["--minutes", "--virtual-s", "--faults", "--loss"];

/// Runs seeds until the time is over or a promise is broken.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut minutes: u64 = 1;
    let mut virtual_s: u64 = 300;
    let mut settings = random::RandomSettings::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "minutes" => minutes = arguments::value(parser)?,
            "virtual-s" => virtual_s = arguments::value(parser)?,
            "faults" => settings.faults_per_minute = arguments::value(parser)?,
            "loss" => settings.loss_permille = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    settings.span = virtual_time::SpanMs::new(virtual_s.saturating_mul(1_000));
    let limit = time::Duration::from_secs(minutes.saturating_mul(60));
    let begun = time::Instant::now();
    for seed in shared.seed.. {
        settings.seed = seed;
        let report = random::run(&settings);
        print(&report, shared.json);
        if !report.violations.is_empty() {
            return Ok(process::ExitCode::FAILURE);
        }
        if begun.elapsed() >= limit {
            break;
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn print(report: &random::Report, json: bool) {
    if !json {
        println!("{report}");
        return;
    }
    let line = serde_json::json!({
        "seed": report.seed,
        "virtual_ms": report.ran_ms,
        "tries": report.sent,
        "completed": report.completed,
        "not_run": report.not_run,
        "unknown": report.unknown,
        "unanswered": report.unanswered,
        "runs": report.runs,
        "faults": report.faults,
        "violations": report.violations,
        "last_faults": report.last_faults,
    });
    println!("{line}");
}
