//! Ways of sharing a backend server's slots among the instances of a zone, side by side.
//!
//! ```text
//! owner: every request goes through the one owner of its backend server
//! lease: owners lend slots for a bounded time (what the program does)
//! share: each instance has a fixed part of every backend server
//! ```
//!
//! Virtual time in steps of a millisecond; the lease column runs the real decision code.
//!
//! ```
//! use damaskvane_bench::slots;
//!
//! let mut parser = lexopt::Parser::from_args(["--seconds", "1", "--json"]);
//! assert!(slots::run(&mut parser).is_ok());
//! ```

mod lease;
mod report;
mod way;
mod zone;

use std::process;

use crate::arguments;
use crate::error::BenchError;
use crate::slots::report::Row;
use crate::slots::way::Way;
use crate::slots::zone::{Case, Zone};

const USAGE: &str = "\
damaskvane-bench slots: ways of sharing slots within a zone

  --seconds N   virtual time of each case [60]
  --seed N, --json, --help, --version";

const FLAGS: [&str; 1] = ["--seconds"];
const DEFAULT_SECONDS: u64 = 60;

/// Runs the sub-command.
///
/// # Errors
///
/// [`BenchError::Usage`] if the command line is wrong.
pub fn run(parser: &mut lexopt::Parser) -> Result<process::ExitCode, BenchError> {
    let mut seconds = DEFAULT_SECONDS;
    let shared = arguments::parse(parser, &FLAGS, |name, parser| {
        if name != "seconds" {
            return Ok(false);
        }
        seconds = arguments::value(parser)?;
        Ok(true)
    })?;
    if let Some(code) = shared.answer(USAGE) {
        return Ok(code);
    }
    if !shared.json {
        println!("{}", Row::HEADING);
    }
    for case in Case::all(seconds, shared.seed) {
        for way in Way::ALL {
            let row = Zone::new(case, way).run();
            row.print(shared.json);
        }
    }
    Ok(process::ExitCode::SUCCESS)
}
