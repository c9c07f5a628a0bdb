//! The `config` sub-command: from acceptance to in force everywhere, by the number of daemons.
//!
//! ```
//! use damaskvane_bench::config;
//!
//! assert_eq!(config::shape(40), (5, 2, 4));
//! ```

use std::process;
use std::thread;
use std::time::Duration;

use serde::Serialize;

use crate::arguments;
use crate::cluster::{Cluster, Deployment, children};
use crate::error::BenchError;
use crate::histogram;
use crate::in_force;

const USAGE: &str = "\
damaskvane-bench config: how long tickets take from acceptance until they are in force

  --daemons N,...   sizes of the fleet [8,12,40,120]
  --tickets N       tickets for each size [10]
  --seed N, --json, --help, --version

Quantiles are over every instance and ticket; a time is late by up to the poll of 20 ms.";

const FLAGS: [&str; 2] = ["--daemons", "--tickets"];
/// The longest wait until the first configuration is in force.
const FIRST_LIMIT: Duration = Duration::from_secs(60);
/// The longest wait until a ticket is in force.
const TICKET_LIMIT: Duration = Duration::from_secs(15);
/// Between two tickets.
const PAUSE: Duration = Duration::from_millis(300);

/// The figures of one size.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ConfigFigures {
    /// How many daemons.
    pub daemons: usize,
    /// How many tickets.
    pub tickets: usize,
    /// The median over instances and tickets, in milliseconds.
    pub in_force_p50_ms: f64,
    /// The 99th percentile over instances and tickets, in milliseconds.
    pub in_force_p99_ms: f64,
    /// The slowest ticket until the last instance had it, in milliseconds.
    pub everywhere_max_ms: f64,
    /// Instances that did not have a ticket within the limit, over all tickets.
    pub missing: usize,
    /// The median run of the submitting command, in milliseconds.
    pub submit_p50_ms: f64,
    /// How often each instance was asked, in milliseconds.
    pub poll_ms: u64,
}

/// Regions, zones in each and entry instances in each zone that make up about so many daemons.
#[must_use]
pub const fn shape(daemons: usize) -> (usize, usize, usize) {
    match daemons {
        0..=3 => (1, 1, daemons),
        4..=7 => (3, 2, 1),
        8..=11 => (2, 2, daemons / 4),
        12..=39 => (3, 2, daemons / 6),
        40..=119 => (5, 2, daemons / 10),
        _ => (5, 3, daemons / 15),
    }
}

/// Measures each size and prints a line for it.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut sizes = vec![8, 12, 40, 120];
    let mut tickets = 10;
    let shared = arguments::parse(parser, &FLAGS, |flag, parser| {
        match flag {
            "daemons" => sizes = arguments::values(parser)?,
            "tickets" => tickets = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    children::end_with_this_process().map_err(|cause| BenchError::file("signals", &cause))?;
    let mut missing = 0;
    for size in sizes {
        let figures = measure(size, tickets)?;
        missing += figures.missing;
        if shared.json {
            println!("{}", serde_json::json!(figures));
        } else {
            println!(
                "{:>4} daemons  in force p50 {:>7.1} ms  p99 {:>7.1} ms  everywhere at most {:>7.1} ms  missing {}",
                figures.daemons,
                figures.in_force_p50_ms,
                figures.in_force_p99_ms,
                figures.everywhere_max_ms,
                figures.missing
            );
        }
    }
    Ok(process::ExitCode::from(u8::from(missing > 0)))
}

fn measure(size: usize, tickets: usize) -> Result<ConfigFigures, BenchError> {
    let (regions, zones, entries) = shape(size);
    let mut cluster = Cluster::start(Deployment::grid(regions, zones, entries), "")?;
    cluster.submit_whole("first configuration")?;
    cluster.wait_in_force(1, FIRST_LIMIT)?;
    let (mut spans_us, mut submits_us) = (Vec::new(), Vec::new());
    let (mut everywhere, mut missing) = (Duration::ZERO, 0);
    for number in 0..tickets {
        thread::sleep(PAUSE);
        let text = toggle(&cluster, number);
        let timing = in_force::submit(&mut cluster, &text, "config bench", TICKET_LIMIT)?;
        submits_us.push(to_us(timing.submit));
        missing += timing
            .instances
            .iter()
            .filter(|(_, span)| span.is_none())
            .count();
        for span in timing.instances.iter().filter_map(|(_, span)| *span) {
            spans_us.push(to_us(span));
            everywhere = everywhere.max(span);
        }
    }
    let summary = histogram::Summary::of(spans_us);
    Ok(ConfigFigures {
        daemons: cluster.entries.len(),
        tickets,
        in_force_p50_ms: summary.p50_ms,
        in_force_p99_ms: summary.p99_ms,
        everywhere_max_ms: everywhere.as_secs_f64() * 1_000.0,
        missing,
        submit_p50_ms: histogram::Summary::of(submits_us).p50_ms,
        poll_ms: u64::try_from(in_force::POLL.as_millis()).unwrap_or(u64::MAX),
    })
}

/// A change of one backend server, to and fro.
fn toggle(cluster: &Cluster, number: usize) -> String {
    let deployment = &cluster.deployment;
    let service = &deployment.services[0];
    let placements = deployment.placements(service);
    let placement = &placements[(number / 2) % placements.len()];
    cluster
        .declarations()
        .backend_server(service, placement, number.is_multiple_of(2))
}

fn to_us(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
