//! The `placement` sub-command.

use std::path::PathBuf;
use std::process;
use std::thread;

use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::error::BenchError;
use crate::placement::case::{Case, Length, Model, Pattern};
use crate::placement::measure::Measured;
use crate::placement::plot;
use crate::placement::policy::Policy;
use crate::placement::ratio::Ratios;
use crate::placement::report::Row;
use crate::placement::world;

const USAGE: &str = "\
damaskvane-bench placement: the gateway's choice of servers under load, against baselines, in virtual time

  --policies A,B     random, round-robin, least-in-flight, two-choices, four-servers, two-tight,
                     one-server, three-servers, current, oracle, and current without one mechanism: without-late-worth,
                     -slot-cost, -distance-cost, -load-limit, -priority-step, -popularity, -shift-step [all]
  --patterns A,B     steady, burst, slow, shift [all]
  --loads A,B        requests in hundredths of a calm day's [70,100,130]
  --seeds N          how many seeds, counted up from --seed [10]
  --deployments N    plays N drawn deployments, one for each seed from --seed on, and prints for each policy and
                     pattern which part of the oracle's worth it earns: median, tenth, worst ten by seed
  --plot DIRECTORY   draws worth over load for each pattern, as SVG
  --seed N, --json, --help, --version

Worth, refusals and the rest are hundredths, with 95% intervals over the seeds. Tune on seeds 1 to 10 and
confirm on 11 to 20; of drawn deployments, tune on odd seeds and confirm on even ones, with --held-out.";

const FLAGS: [&str; 7] = [
    "--policies",
    "--patterns",
    "--loads",
    "--seeds",
    "--deployments",
    "--held-out",
    "--plot",
];

struct Plan {
    policies: Vec<Policy>,
    patterns: Vec<Pattern>,
    loads: Vec<u32>,
    seeds: u64,
    deployments: u64,
    is_held_out: bool,
    plot: Option<PathBuf>,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            policies: Policy::ALL.to_vec(),
            patterns: Pattern::ALL.to_vec(),
            loads: vec![70, 100, 130],
            seeds: 10,
            deployments: 0,
            is_held_out: false,
            plot: None,
        }
    }
}

/// Runs all cases and prints a line for each.
///
/// # Errors
///
/// Fails on a wrong command line, or if a plot can't be written.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut plan = Plan::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| set(&mut plan, name, parser))?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if plan.deployments > 0 {
        tell_ratios(&plan, shared.seed, shared.json);
        return Ok(process::ExitCode::SUCCESS);
    }
    if !shared.json {
        println!("{}", Row::head());
    }
    let mut rows = Vec::new();
    for case in cases(&plan, shared.seed) {
        let row = Row::of(&case, &runs(&case, plan.seeds));
        if shared.json {
            println!("{}", serde_json::json!(row));
        } else {
            println!("{row}");
        }
        rows.push(row);
    }
    if let Some(directory) = &plan.plot {
        for pattern in &plan.patterns {
            let file = directory.join(format!("placement-{pattern}.svg"));
            plot::draw(&file, pattern.as_str(), &rows)?;
        }
    }
    Ok(process::ExitCode::SUCCESS)
}

fn set(
    plan: &mut Plan,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<bool, command_line::UsageError> {
    match name {
        "policies" => plan.policies = arguments::values(parser)?,
        "patterns" => plan.patterns = arguments::values(parser)?,
        "loads" => plan.loads = arguments::values(parser)?,
        "seeds" => plan.seeds = arguments::value(parser)?,
        "deployments" => plan.deployments = arguments::value(parser)?,
        "held-out" => plan.is_held_out = true,
        "plot" => plan.plot = Some(arguments::value(parser)?),
        _ => return Ok(false),
    }
    Ok(true)
}

/// The part of the oracle's worth that policies earn on drawn deployments: odd seeds, or the even ones that are held
/// out.
fn tell_ratios(plan: &Plan, first: u64, is_json: bool) {
    let is_wanted = |seed: &u64| seed.is_multiple_of(2) == plan.is_held_out;
    let seeds: Vec<u64> = (first..)
        .filter(is_wanted)
        .take(plan.deployments as usize)
        .collect();
    for pattern in &plan.patterns {
        for policy in plan
            .policies
            .iter()
            .filter(|policy| **policy != Policy::Oracle)
        {
            let ratios = Ratios::of(*policy, *pattern, &seeds, Length::default());
            if is_json {
                println!(
                    "{}",
                    serde_json::json!({"pattern": pattern.as_str(), "ratios": ratios})
                );
            } else {
                println!("{pattern:<8} {ratios}");
            }
        }
    }
}

fn cases(plan: &Plan, seed: u64) -> Vec<Case> {
    let mut cases = Vec::new();
    for pattern in &plan.patterns {
        for load_percent in &plan.loads {
            let policies = plan.policies.iter();
            cases.extend(policies.map(|policy| Case {
                model: Model::Standard,
                policy: *policy,
                pattern: *pattern,
                load_percent: *load_percent,
                seed,
            }));
        }
    }
    cases
}

/// Runs a case with all its seeds at the same time; results are in order of seed.
fn runs(case: &Case, seeds: u64) -> Vec<Measured> {
    thread::scope(|scope| {
        let workers: Vec<_> = (0..seeds)
            .map(|index| {
                let case = Case {
                    seed: case.seed + index,
                    ..*case
                };
                scope.spawn(move || world::run_case(&case, Length::default()))
            })
            .collect();
        let joined = workers.into_iter().map(thread::ScopedJoinHandle::join);
        joined
            .map(|measured| measured.expect("a run doesn't panic"))
            .collect()
    })
}
