//! Bounded log lines of decisions.
//!
//! Lines are written by a thread of their own behind a bounded queue, so that a slow reader costs lines and
//! never a request. Lines on requests have a budget a second; failures have a larger one than successes,
//! so that under load the failures stay. What is left out is counted and told in the next line.

use std::cell::RefCell;

use damaskvane_core::time::TimeMs;

/// Lines a second on requests that failed or were refused.
const FAILURES_PER_S: u32 = 40;
/// Lines a second on requests that were served.
const SUCCESSES_PER_S: u32 = 2;

#[derive(Debug, Default)]
struct Budget {
    second: u64,
    written: u32,
    left_out: u64,
}

impl Budget {
    /// Whether a line may be written; if so, how many were left out before it.
    fn take(&mut self, now: TimeMs, per_s: u32) -> Option<u64> {
        let second = now.get() / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= per_s {
            self.left_out += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.left_out))
    }
}

/// What a line on a request may be about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Matter {
    /// It failed or was refused, or a try of it failed.
    Failure,
    /// It was served.
    Success,
}

/// The log, with the budgets of its lines.
#[derive(Debug)]
pub struct DecisionLog {
    /// For lines that are always written: changes of what the process believes.
    pub log: slog::Logger,
    failures: RefCell<Budget>,
    successes: RefCell<Budget>,
}

impl DecisionLog {
    /// A log with full budgets.
    #[must_use]
    pub fn new(log: slog::Logger) -> Self {
        Self {
            log,
            failures: RefCell::default(),
            successes: RefCell::default(),
        }
    }

    /// Writes a line on a request, if its budget allows.
    pub fn request(&self, now: TimeMs, matter: Matter, write: impl FnOnce(&slog::Logger, u64)) {
        let (budget, per_s) = match matter {
            Matter::Failure => (&self.failures, FAILURES_PER_S),
            Matter::Success => (&self.successes, SUCCESSES_PER_S),
        };
        let left_out = budget.borrow_mut().take(now, per_s);
        if let Some(left_out) = left_out {
            write(&self.log, left_out);
        }
    }
}
