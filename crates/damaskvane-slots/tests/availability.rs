//! The time in which a disturbed zone grants the slots of its backend servers, and the causes why it doesn't.
//!
//! `DAMASKVANE_AVAILABILITY_SEEDS=200 cargo test --release -p damaskvane-slots --test availability -- --nocapture`
//! prints a table for each population of seeds; `DAMASKVANE_AVAILABILITY_RUN=e3,a207` prints the runs of a seed with
//! faults that end before starts (`e`) or last (`a`).

mod common;

use std::collections::BTreeMap;

use common::availability::{Availability, Spent, State};
use common::runs::{Faults, Run};
use common::{STEP_MS, SimulatedZone, server};

/// Number of combinations of load and length of requests; the seed selects one.
const KINDS: u64 = 6;

/// Kind with little demand and requests that run until their deadlines.
const LONG_REQUESTS: u64 = 3;

/// Mean steps between disturbances: as in `random.rs`, twice as frequent, and 2.5 times rarer.
const RATES: [u32; 3] = [80, 40, 200];

fn number_of(variable: &str, default: u64) -> u64 {
    let value = std::env::var(variable).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Seeds that run under the same faults.
struct Population {
    name: &'static str,
    seeds: Vec<u64>,
    faults: Faults,
    steps_per_disturbance: u32,
}

/// The sums of all runs of a population.
#[derive(Debug, Default)]
struct Totals {
    started: u64,
    possible: f64,
    steps: u64,
    runnable_steps: u64,
    request_steps: u64,
    unused_steps: u64,
    spent: BTreeMap<State, StateTotals>,
}

/// The sums of one state.
#[derive(Debug, Default)]
struct StateTotals {
    spent: Spent,
    /// Steps in which only one instance could act.
    alone_steps: u64,
    /// Steps in which no instance that could act reached the platform.
    cut_off_steps: u64,
    /// The longest times, each with its length in ms, seed and start.
    longest: Vec<(u64, u64, u64)>,
}

impl Totals {
    fn add(&mut self, seed: u64, zone: &SimulatedZone, rate_per_s: f64) {
        let availability = zone.availability.as_ref().expect("observed");
        self.started += zone.started;
        self.possible += rate_per_s * seconds(availability.runnable_steps);
        self.steps += availability.steps;
        self.runnable_steps += availability.runnable_steps;
        self.request_steps += availability.request_steps;
        self.unused_steps += availability.unused_steps;
        for ((of, cause), spent) in &availability.spent {
            if *of == server(0) {
                let sum = self.spent.entry(cause.state).or_default();
                sum.spent.steps += spent.steps;
                sum.spent.free_steps += spent.free_steps;
                sum.spent.idle_steps += spent.idle_steps;
                sum.spent.episodes += spent.episodes;
                sum.alone_steps += u64::from(cause.is_alone) * spent.steps;
                sum.cut_off_steps += u64::from(!cause.has_platform) * spent.steps;
            }
        }
        for episode in &availability.episodes {
            if episode.server == server(0) {
                let length = episode.until.since(episode.from).get() + STEP_MS;
                let sum = self.spent.entry(episode.cause.state).or_default();
                sum.longest.push((length, seed, episode.from.get()));
                sum.longest.sort_by(|a, b| b.cmp(a));
                sum.longest.truncate(4);
            }
        }
    }

    fn share(&self) -> f64 {
        self.started as f64 / self.possible
    }

    fn print(&self, population: &Population) {
        let runs = population.seeds.len() as f64;
        println!(
            "\n## {}, {:?}, 1/{}: {} seeds, {:.0} started, {:.0} possible, share {:.1}%",
            population.name,
            population.faults,
            population.steps_per_disturbance,
            population.seeds.len(),
            self.started as f64 / runs,
            self.possible / runs,
            100.0 * self.share()
        );
        let of_runnable = |steps| 100.0 * steps as f64 / self.runnable_steps as f64;
        println!(
            "first server: {:.2} requests run on average, none for {:.1}% of the time in which an instance runs",
            of_runnable(self.request_steps) / 100.0,
            of_runnable(self.unused_steps)
        );
        println!(
            "share; s a seed; free; idle; alone; cut off; times; mean s; state; longest (ms, seed, start)"
        );
        let mut rows: Vec<(&State, &StateTotals)> = self.spent.iter().collect();
        rows.sort_by_key(|(_, sum)| core::cmp::Reverse(sum.spent.steps));
        for (state, sum) in rows {
            let spent = sum.spent;
            let percent = |steps| 100.0 * steps as f64 / spent.steps as f64;
            println!(
                "| {:5.2}% | {:6.3} | {:3.0}% | {:3.0}% | {:3.0}% | {:3.0}% | {:5} | {:5.2} | {state} | {:?}",
                100.0 * spent.steps as f64 / self.steps as f64,
                seconds(spent.steps) / runs,
                percent(spent.free_steps),
                percent(spent.idle_steps),
                percent(sum.alone_steps),
                percent(sum.cut_off_steps),
                spent.episodes,
                seconds(spent.steps) / spent.episodes as f64,
                sum.longest,
            );
        }
    }
}

fn seconds(steps: u64) -> f64 {
    (steps * STEP_MS) as f64 / 1_000.0
}

/// Returns the requests that a zone of this kind starts in a second of undisturbed ownership.
fn undisturbed_rate_per_s(kind: u64) -> f64 {
    let zone = Run {
        seed: kind,
        faults: Faults::None,
        ..Run::default()
    }
    .run();
    let availability = zone.availability.as_ref().expect("observed");
    zone.started as f64 / seconds(granting_steps(availability))
}

fn granting_steps(availability: &Availability) -> u64 {
    let granting = availability
        .spent
        .iter()
        .filter(|((of, cause), _)| *of == server(0) && cause.state == State::Granting);
    granting.map(|(_, spent)| spent.steps).sum()
}

fn populations(seeds: u64) -> Vec<Population> {
    let mut populations = Vec::new();
    for steps_per_disturbance in RATES {
        for faults in [Faults::EndBeforeStarts, Faults::AmidStarts] {
            for (name, seeds) in [
                (
                    "long requests",
                    (0..seeds).map(|n| n * KINDS + LONG_REQUESTS).collect(),
                ),
                ("all kinds", (0..seeds).collect()),
            ] {
                populations.push(Population {
                    name,
                    seeds,
                    faults,
                    steps_per_disturbance,
                });
            }
        }
    }
    populations
}

/// Guards against times without an owner that no cause accounts for.
#[test]
fn all_time_is_accounted_for() {
    let rates_per_s: Vec<f64> = (0..KINDS).map(undisturbed_rate_per_s).collect();
    println!("requests a second of undisturbed ownership, by kind: {rates_per_s:.2?}");
    for population in populations(number_of("DAMASKVANE_AVAILABILITY_SEEDS", 1)) {
        let mut totals = Totals::default();
        for seed in &population.seeds {
            let run = Run {
                seed: *seed,
                faults: population.faults,
                steps_per_disturbance: population.steps_per_disturbance,
                ..Run::default()
            };
            let kind = usize::try_from(seed % KINDS).expect("below 6");
            totals.add(*seed, &run.run(), rates_per_s[kind]);
        }
        totals.print(&population);
        let steps: u64 = totals.spent.values().map(|sum| sum.spent.steps).sum();
        assert_eq!(steps, totals.steps);
        let exceeds = totals.spent.values().any(|sum| {
            sum.spent.idle_steps > sum.spent.free_steps || sum.spent.free_steps > sum.spent.steps
        });
        assert!(!exceeds && totals.possible > 0.0);
    }
}

/// Guards against an accounting that changes the history of a seed.
#[test]
fn the_accounting_changes_no_run() {
    let seeds = number_of("DAMASKVANE_AVAILABILITY_SEEDS", 2);
    for faults in [Faults::EndBeforeStarts, Faults::AmidStarts] {
        let mut sum = 0;
        for seed in (0..seeds).chain([669]) {
            let run = Run {
                seed,
                faults,
                ..Run::default()
            };
            let unobserved = Run {
                is_observed: false,
                ..run
            };
            let started = run.run().started;
            assert_eq!(started, unobserved.run().started, "{run}");
            sum += started;
        }
        println!("{faults:?}: {sum} requests started by the seeds below {seeds} and 669");
    }
}

/// Guards against a backend server above its slots when disturbances are more frequent or rarer.
#[test]
fn a_backend_server_keeps_to_its_slots_at_other_rates_of_disturbance() {
    let mut started = 0;
    for seed in 0..number_of("DAMASKVANE_RATE_SEEDS", 1) {
        for faults in [Faults::EndBeforeStarts, Faults::AmidStarts] {
            for steps_per_disturbance in [RATES[1], RATES[2]] {
                let run = Run {
                    seed,
                    faults,
                    steps_per_disturbance,
                    is_observed: false,
                    ..Run::default()
                };
                eprintln!("{run}");
                let zone = run.run();
                assert!(zone.excess.is_none(), "{run}");
                started += zone.started;
            }
        }
    }
    assert!(started > 0, "no request ran");
}

/// Prints the runs that are named in the environment, by default none.
#[test]
fn named_runs_are_printed() {
    let names = std::env::var("DAMASKVANE_AVAILABILITY_RUN").unwrap_or_default();
    for name in names.split(',').filter(|name| !name.is_empty()) {
        let (kind, seed) = name.split_at(1);
        let faults = if kind == "a" {
            Faults::AmidStarts
        } else {
            Faults::EndBeforeStarts
        };
        let run = Run {
            seed: seed.parse().expect("a number"),
            faults,
            is_printed: true,
            ..Run::default()
        };
        println!("# {run}");
        let zone = run.run();
        println!("{} requests started", zone.started);
        println!("{}", zone.describe(&server(0)));
        for episode in &zone.availability.as_ref().expect("observed").episodes {
            if episode.server == server(0) {
                let (from, until) = (episode.from.get(), episode.until.get());
                println!("{from:>6} to {until:>6} {}", episode.cause);
            }
        }
    }
}
