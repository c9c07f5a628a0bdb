//! What a random run found.
//!
//! ```
//! use damaskvane_scenario::random;
//!
//! fn is_clean(report: &random::Report) -> bool {
//!     report.violations.is_empty()
//! }
//! # let _ = is_clean;
//! ```

use core::fmt;

use crate::random::chaos::Chaos;
use crate::world::World;

/// What a random run found.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed that repeats it.
    pub seed: u64,
    /// Virtual time in milliseconds.
    pub ran_ms: u64,
    /// Tries that clients sent.
    pub sent: u64,
    /// Tries answered with a whole answer.
    pub completed: u64,
    /// Tries answered with *not run*.
    pub not_run: u64,
    /// Tries answered with *unknown*.
    pub unknown: u64,
    /// Tries that got no answer: their instance ended, or their client went away.
    pub unanswered: u64,
    /// Requests that backend servers ran.
    pub runs: u64,
    /// Faults, the last ones first.
    pub faults: u64,
    /// Promises that were broken, in plain words.
    pub violations: Vec<String>,
    /// The latest faults, to make a scenario of.
    pub last_faults: Vec<String>,
}

impl Report {
    pub(super) fn of(seed: u64, world: &World, chaos: &Chaos) -> Self {
        let request_counts = world.request_counts();
        let violations = world.violations();
        Self {
            seed,
            ran_ms: world.now.get(),
            sent: request_counts.sent,
            completed: request_counts.completed,
            not_run: request_counts.not_run,
            unknown: request_counts.unknown,
            unanswered: request_counts.unanswered,
            runs: world.all_runs(),
            faults: chaos.begun,
            last_faults: if violations.is_empty() {
                Vec::new()
            } else {
                chaos.last.iter().cloned().collect()
            },
            violations,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} s, {} tries, {} completed, {} not run, {} unknown, {} unanswered, {} runs, {} faults, {} violations",
            self.seed,
            self.ran_ms / 1_000,
            self.sent,
            self.completed,
            self.not_run,
            self.unknown,
            self.unanswered,
            self.runs,
            self.faults,
            self.violations.len()
        )?;
        for line in self.violations.iter().chain(&self.last_faults) {
            write!(f, "\n  {line}")?;
        }
        Ok(())
    }
}
