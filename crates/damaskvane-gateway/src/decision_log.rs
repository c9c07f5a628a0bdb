//! Bounded log lines of decisions.
//!
//! Lines are written by a thread of their own behind a bounded queue, so that a slow reader costs lines and
//! never a request. Lines on requests have a budget a second; failures have a larger one than successes,
//! so that under load the failures stay. What is left out is counted and told in the next line.

use std::cell::{Cell, RefCell};

use damaskvane_core::time::TimeMs;
use serde::Deserialize;

/// How many lines are written on requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct DecisionLogSettings {
    /// Lines a second on requests that were late, failed or were refused.
    pub failures_per_s: u32,
    /// Lines a second on requests that were served in time.
    pub successes_per_s: u32,
}

impl Default for DecisionLogSettings {
    fn default() -> Self {
        Self {
            failures_per_s: 40,
            successes_per_s: 2,
        }
    }
}

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
pub enum RequestOutcome {
    /// It was late, failed or was refused, or a try of it failed.
    Failure,
    /// It was served in time.
    Success,
}

/// The log, with the budgets of its lines.
#[derive(Debug)]
pub struct DecisionLog {
    /// For lines that are always written: changes of what the process believes.
    pub log: slog::Logger,
    settings: Cell<DecisionLogSettings>,
    failures: RefCell<Budget>,
    successes: RefCell<Budget>,
}

impl DecisionLog {
    /// A log with full budgets.
    #[must_use]
    pub fn new(log: slog::Logger, settings: DecisionLogSettings) -> Self {
        Self {
            log,
            settings: Cell::new(settings),
            failures: RefCell::default(),
            successes: RefCell::default(),
        }
    }

    /// Takes over changed settings.
    pub fn set_settings(&self, settings: DecisionLogSettings) {
        self.settings.set(settings);
    }

    /// Writes a line on a request, if its budget allows.
    pub fn log_request(&self, now: TimeMs, matter: RequestOutcome, write: impl FnOnce(&slog::Logger, u64)) {
        let settings = self.settings.get();
        let (budget, per_s) = match matter {
            RequestOutcome::Failure => (&self.failures, settings.failures_per_s),
            RequestOutcome::Success => (&self.successes, settings.successes_per_s),
        };
        let left_out = budget.borrow_mut().take(now, per_s);
        if let Some(left_out) = left_out {
            write(&self.log, left_out);
        }
    }
}
