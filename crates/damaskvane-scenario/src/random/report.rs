//! The report of a random run: counters of requests and faults, and violated guarantees.
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

use crate::random::fault_injector::FaultInjector;
use crate::world::World;

/// The result of a random run.
#[derive(Debug, Clone)]
pub struct Report {
    /// The seed of the run; the same seed and settings repeat the run.
    pub seed: u64,
    /// The virtual time that the run took, in milliseconds.
    pub ran_ms: u64,
    /// Attempts that clients sent.
    pub sent: u64,
    /// Attempts that received the complete response of a backend server.
    pub completed: u64,
    /// Attempts that received the outcome *not run*.
    pub not_run: u64,
    /// Attempts that received the outcome *unknown*.
    pub unknown: u64,
    /// Attempts without a response: the request is waiting, its instance ended, or its client disconnected.
    pub unanswered: u64,
    /// Requests that backend servers started.
    pub runs: u64,
    /// Faults that were injected.
    pub faults: u64,
    /// Descriptions of the violated guarantees.
    pub violations: Vec<String>,
    /// The latest faults and recoveries, newest first; empty without violations.
    ///
    /// A script that reproduces the violation can be written from them.
    pub last_faults: Vec<String>,
}

impl Report {
    pub(super) fn of(seed: u64, world: &World, fault_injector: &FaultInjector) -> Self {
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
            faults: fault_injector.fault_count,
            last_faults: if violations.is_empty() {
                Vec::new()
            } else {
                fault_injector.recent_faults.iter().cloned().collect()
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
