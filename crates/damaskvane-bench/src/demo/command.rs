//! The `demo` sub-command.

use std::process;
use std::thread;

use crate::arguments;
use crate::cluster::command::deployment;
use crate::cluster::{Deployment, children};
use crate::demo::{self, Figures, Plan, Promise};
use crate::error::BenchError;
use crate::load;

const USAGE: &str = "\
damaskvane-bench demo: both deployments under traffic, tickets, a drain, a stop, a kill and a cut store

  --deployment NAME   both, prairie, valokirja, or REGIONSxZONESxENTRIES [both]
  --rate N            requests a second for each deployment [240]
  --seed N, --json, --help, --version

Distances and links are not simulated: everything runs on loopback. Prints one line for each promise and
ends with `N passed, N failed`; exit code 1 if one was broken.";

const FLAGS: [&str; 2] = ["--deployment", "--rate"];

/// What one deployment's run printed and how many promises held.
#[derive(Debug)]
struct Outcome {
    text: String,
    json: serde_json::Value,
    promises: Vec<Promise>,
}

/// Runs the demo and prints the promises.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut name = "both".to_owned();
    let mut rate = 240;
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        match flag {
            "deployment" => name = arguments::value(parser)?,
            "rate" => rate = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    children::end_with_this_process().map_err(|cause| BenchError::file("signals", &cause))?;
    let deployments = match name.as_str() {
        "both" => vec![Deployment::prairie(), Deployment::valokirja()],
        name => vec![deployment(name)?],
    };
    let runs: Vec<_> = deployments
        .into_iter()
        .map(|deployment| thread::spawn(move || one(&deployment, rate, shared.seed)))
        .collect();
    let (mut passed, mut failed) = (0, 0);
    for run in runs {
        let outcome = run.join().map_err(|_| BenchError::Failed {
            program: "demo".to_owned(),
            cause: "a run panicked".to_owned(),
        })??;
        passed += outcome
            .promises
            .iter()
            .filter(|promise| promise.held)
            .count();
        failed += outcome
            .promises
            .iter()
            .filter(|promise| !promise.held)
            .count();
        if shared.json {
            println!("{}", outcome.json);
        } else {
            println!("{}", outcome.text);
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(process::ExitCode::from(u8::from(failed > 0)))
}

fn one(deployment: &Deployment, rate: u64, seed: u64) -> Result<Outcome, BenchError> {
    let plan = Plan::new(deployment);
    let record = demo::perform(deployment.clone(), rate, seed)?;
    let promises = demo::judge(deployment, &plan, &record);
    let figures = Figures::of(deployment, &record);
    let report = load::Report::of(&record.given);
    let mut text = format!(
        "{}: {} entry instances, {} slots, {} processes, {} MB resident, all served {} ms after the first configuration\n",
        deployment.name,
        deployment.instances().count(),
        deployment.slots(),
        record.processes,
        figures.resident_mb,
        record.first_served_ms,
    );
    for promise in &promises {
        text.push_str(&format!("  {promise}\n"));
    }
    text.push_str(&format!(
        "  latency repeatable p50 {:.1} ms p99 {:.1} ms, non-repeatable p50 {:.1} ms p99 {:.1} ms\n",
        figures.reads.p50_ms, figures.reads.p99_ms, figures.writes.p50_ms, figures.writes.p99_ms
    ));
    text.push_str(&format!(
        "  headroom {}.{}% of the fullest region's slots, drain time {} ms\n",
        figures.headroom_permille / 10,
        figures.headroom_permille % 10,
        figures.drain_ms
    ));
    text.push_str(&format!(
        "  completed {} permille, {} while the store was cut; not-run {}, unknown {}\n",
        figures.completed_permille,
        figures.completed_without_store_permille,
        report.not_run,
        report.unknown
    ));
    for (reason, count) in &report.try_reasons {
        text.push_str(&format!("    tries ended by {reason}: {count}\n"));
    }
    let json = serde_json::json!({
        "deployment": deployment.name,
        "promises": promises,
        "figures": figures,
        "load": report,
    });
    Ok(Outcome {
        text,
        json,
        promises,
    })
}
