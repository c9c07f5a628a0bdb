//! The table of sub-commands.
//!
//! ```
//! use damaskvane_bench::commands;
//!
//! assert!(commands::usage().contains("load"));
//! ```

use std::process;

use crate::error::BenchError;
use crate::{
    blocks, capacity, checker, cluster, config, config_run, decisions, demo, keys, load, placement,
    quotas, requests, slots, speed, steering,
};

/// One sub-command.
#[derive(Debug, Clone, Copy)]
pub struct Command {
    /// The word on the command line.
    pub name: &'static str,
    /// What it is for, in one line.
    pub summary: &'static str,
    /// Runs it with the rest of the command line.
    pub run: fn(&mut lexopt::Parser) -> Result<process::ExitCode, BenchError>,
}

/// Every sub-command.
pub const ALL: &[Command] = &[
    Command {
        name: "load",
        summary: "open-loop load through entry instances",
        run: load::command::run,
    },
    Command {
        name: "checker",
        summary: "compares what ran with the answers given",
        run: checker::command::run,
    },
    Command {
        name: "cluster",
        summary: "a deployment to try things on by hand",
        run: cluster::command::run,
    },
    Command {
        name: "blocks",
        summary: "the client-block table against a binary search and a hash map",
        run: blocks::command::run,
    },
    Command {
        name: "steering",
        summary: "the decision code against baselines, in virtual time",
        run: steering::command::run,
    },
    Command {
        name: "keys",
        summary: "the time to find the team that holds a key",
        run: keys::command::run,
    },
    Command {
        name: "quotas",
        summary: "ways to keep quotas over all instances, in virtual time",
        run: quotas::command::run,
    },
    Command {
        name: "decisions",
        summary: "the time of one placement decision, by the number of servers",
        run: decisions::command::run,
    },
    Command {
        name: "placement",
        summary: "the gateway's choice of servers under load, in virtual time",
        run: placement::command::run,
    },
    Command {
        name: "demo",
        summary: "both deployments under traffic and faults",
        run: demo::command::run,
    },
    Command {
        name: "speed",
        summary: "what an entry instance adds to a request, and its look-ups",
        run: speed::command::run,
    },
    Command {
        name: "config",
        summary: "from acceptance to in force everywhere",
        run: config::run,
    },
    Command {
        name: "config-run",
        summary: "the configuration's decision code through mixed faults, by seed",
        run: config_run::run,
    },
    Command {
        name: "slots",
        summary: "ways of sharing slots within a zone, in virtual time",
        run: slots::run,
    },
    Command {
        name: "requests",
        summary: "the request engine through mixed faults, by seed",
        run: requests::run,
    },
    Command {
        name: "capacity",
        summary: "the slopes behind docs/CAPACITY.md",
        run: capacity::command::run,
    },
];

/// The sub-command of that name.
#[must_use]
pub fn find(name: &str) -> Option<Command> {
    ALL.iter().copied().find(|command| command.name == name)
}

/// What `--help` prints.
#[must_use]
pub fn usage() -> String {
    let mut text = "damaskvane-bench: experiments and load\n\n".to_owned();
    for command in ALL {
        text.push_str(&format!("  {:<10} {}\n", command.name, command.summary));
    }
    text.push_str("\nEach takes --seed N, --json, --help and --version. Exit codes: 0 done and held, 1 failed or");
    text.push_str("\na promise broken, 2 wrong command line.");
    text
}
