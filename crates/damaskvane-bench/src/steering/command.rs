//! The `steering` sub-command.

use std::process;
use std::sync::atomic;
use std::thread;

use damaskvane_telemetry::command_line;

use crate::arguments;
use crate::error::BenchError;
use crate::steering::case::{Case, Length};
use crate::steering::deployment::DeploymentName;
use crate::steering::fault::Fault;
use crate::steering::measure::Measured;
use crate::steering::report::Row;
use crate::steering::strategy::Strategy;
use crate::steering::world;

const USAGE: &str = "\
damaskvane-bench steering: the decision code against baselines, in virtual time

  --deployments A,B  prairie, valokirja [both]
  --strategies A,B   random, round-robin, least-load, nearest, latency, headroom [all]
  --faults A,B       none, region-loss, frozen, delayed, absurd, idle-sheds, cold-shift, heal [all]
  --loads A,B        demand in hundredths of capacity [50,80,95,130]
  --seeds N          how many seeds, counted up from --seed [20]
  --threads N        runs at the same time [4]
  --seed N, --json, --help, --version

Seeds 1 to 10 were used while tuning, 11 to 20 never. Exit code 1 if a plan broke an invariant.";

const FLAGS: [&str; 6] = [
    "--deployments",
    "--strategies",
    "--faults",
    "--loads",
    "--seeds",
    "--threads",
];

struct Plan {
    deployments: Vec<DeploymentName>,
    strategies: Vec<Strategy>,
    faults: Vec<Fault>,
    loads: Vec<u32>,
    seeds: u64,
    threads: usize,
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            deployments: DeploymentName::ALL.to_vec(),
            strategies: Strategy::ALL.to_vec(),
            faults: Fault::ALL.to_vec(),
            loads: vec![50, 80, 95, 130],
            seeds: 20,
            threads: 4,
        }
    }
}

/// Runs all cases and prints a line for each.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut plan = Plan::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| set(&mut plan, name, parser))?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if !shared.json {
        println!("{}", Row::head());
    }
    let mut broken = 0;
    for case in cases(&plan, shared.seed) {
        let row = Row::of(&case, &runs(&case, &plan));
        broken += row.broken_invariants;
        if shared.json {
            println!("{}", serde_json::json!(row));
        } else {
            println!("{row}");
        }
    }
    Ok(process::ExitCode::from(u8::from(broken > 0)))
}

fn set(
    plan: &mut Plan,
    name: &str,
    parser: &mut lexopt::Parser,
) -> Result<bool, command_line::UsageError> {
    match name {
        "deployments" => plan.deployments = arguments::values(parser)?,
        "strategies" => plan.strategies = arguments::values(parser)?,
        "faults" => plan.faults = arguments::values(parser)?,
        "loads" => plan.loads = arguments::values(parser)?,
        "seeds" => plan.seeds = arguments::value(parser)?,
        "threads" => plan.threads = arguments::value(parser)?,
        _ => return Ok(false),
    }
    Ok(true)
}

fn cases(plan: &Plan, seed: u64) -> Vec<Case> {
    let mut cases = Vec::new();
    for deployment in &plan.deployments {
        for fault in &plan.faults {
            for load_percent in &plan.loads {
                let strategies = plan.strategies.iter();
                cases.extend(strategies.map(|strategy| Case {
                    deployment: *deployment,
                    strategy: *strategy,
                    fault: *fault,
                    load_percent: *load_percent,
                    seed,
                }));
            }
        }
    }
    cases
}

/// Runs a case with all its seeds, some at the same time; results are in order of seed.
fn runs(case: &Case, plan: &Plan) -> Vec<Measured> {
    let next = atomic::AtomicU64::new(0);
    let work = || {
        let mut done = Vec::new();
        loop {
            let index = next.fetch_add(1, atomic::Ordering::Relaxed);
            if index >= plan.seeds {
                return done;
            }
            let case = Case {
                seed: case.seed + index,
                ..*case
            };
            done.push((index, world::run_case(&case, Length::default())));
        }
    };
    let mut measured: Vec<_> = thread::scope(|scope| {
        let workers: Vec<_> = (0..plan.threads.max(1))
            .map(|_| scope.spawn(work))
            .collect();
        let joined = workers
            .into_iter()
            .map(|worker| worker.join().unwrap_or_default());
        joined.flatten().collect()
    });
    measured.sort_by_key(|(index, _)| *index);
    measured.into_iter().map(|(_, measured)| measured).collect()
}
