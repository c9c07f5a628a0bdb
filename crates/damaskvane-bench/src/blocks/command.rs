//! The `blocks` sub-command.

use std::process;

use crate::arguments;
use crate::blocks::measure::{self, BlockSettings};
use crate::error::BenchError;

const USAGE: &str = "\
damaskvane-bench blocks: the client-block table against a binary search and a hash map

  --blocks N      client blocks [3600000]
  --look-ups N    look-ups [2000000]
  --seed N, --json, --help, --version";

const FLAGS: [&str; 2] = ["--blocks", "--look-ups"];

/// Measures and prints a line for each structure.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut settings = BlockSettings::default();
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        match name {
            "blocks" => settings.blocks = arguments::value(parser)?,
            "look-ups" => settings.look_ups = arguments::value(parser)?,
            _ => return Ok(false),
        }
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    settings.seed = shared.seed;
    let figures = measure::measure(&settings);
    if !shared.json {
        println!("structure       resident MB   mean ns    p99 ns   build ms  change ms");
    }
    for figure in figures {
        if shared.json {
            println!("{}", serde_json::json!(figure));
        } else {
            println!(
                "{:<14} {:>12.1} {:>9.1} {:>9} {:>10.1} {:>10.2}",
                figure.structure,
                figure.resident_mb,
                figure.mean_ns,
                figure.p99_ns,
                figure.build_ms,
                figure.change_ms
            );
        }
    }
    Ok(process::ExitCode::SUCCESS)
}
