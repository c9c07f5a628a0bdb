//! Rate-limited log lines about requests.
//!
//! A separate thread writes the lines from a bounded queue, so that a slow reader of the log loses lines but never
//! delays a request. The number of lines about requests in each second is limited by a budget. Failures have a larger
//! budget than successes, so that failures are still logged under load. The next line reports how many lines were
//! omitted.

use std::cell::{Cell, RefCell};

use damaskvane_core::time::TimeMs;
use serde::Deserialize;

/// Limits on the number of log lines about requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct DecisionLogSettings {
    /// Maximum number of lines in each second about requests that were late, failed or were refused.
    pub failures_per_s: u32,
    /// Maximum number of lines in each second about requests that were served in time.
    pub successes_per_s: u32,
    /// Maximum number of lines in each second about connections to servers that broke with a request on them.
    pub broken_exchanges_per_s: u32,
    /// Maximum number of lines in each second about what backend servers say of themselves.
    #[serde(alias = "server_limits_per_s")]
    pub server_statements_per_s: u32,
}

impl Default for DecisionLogSettings {
    fn default() -> Self {
        Self {
            failures_per_s: 40,
            successes_per_s: 2,
            broken_exchanges_per_s: 20,
            server_statements_per_s: 20,
        }
    }
}

#[derive(Debug, Default)]
struct LineBudget {
    second: u64,
    written: u32,
    omitted: u64,
}

impl LineBudget {
    /// Counts one line against the budget; returns the number of lines omitted since the last written line, or `None`
    /// if the budget is used up.
    fn take(&mut self, now: TimeMs, per_s: u32) -> Option<u64> {
        let second = now.get() / 1_000;
        if second != self.second {
            self.second = second;
            self.written = 0;
        }
        if self.written >= per_s {
            self.omitted += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.omitted))
    }
}

/// Outcome of a request, which selects the budget of its log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was late, failed or was refused, or one of its attempts failed.
    Failure,
    /// The request was served in time.
    Success,
    /// The connection to the server broke after the request was written.
    BrokenExchange,
}

/// The log of a process, with the budgets for lines about requests.
#[derive(Debug)]
pub struct DecisionLog {
    /// Logger for lines that no budget limits, such as changes of the process's state.
    pub log: slog::Logger,
    settings: Cell<DecisionLogSettings>,
    failures: RefCell<LineBudget>,
    successes: RefCell<LineBudget>,
    broken_exchanges: RefCell<LineBudget>,
    server_statements: RefCell<LineBudget>,
}

impl DecisionLog {
    /// Creates a log with unused budgets.
    #[must_use]
    pub fn new(log: slog::Logger, settings: DecisionLogSettings) -> Self {
        Self {
            log,
            settings: Cell::new(settings),
            failures: RefCell::default(),
            successes: RefCell::default(),
            broken_exchanges: RefCell::default(),
            server_statements: RefCell::default(),
        }
    }

    /// Replaces the limits.
    pub fn set_settings(&self, settings: DecisionLogSettings) {
        self.settings.set(settings);
    }

    /// Calls `write` with the logger and the number of omitted lines, if the budget of the outcome allows a line.
    pub fn log_request(
        &self,
        now: TimeMs,
        outcome: RequestOutcome,
        write: impl FnOnce(&slog::Logger, u64),
    ) {
        let settings = self.settings.get();
        let (budget, per_s) = match outcome {
            RequestOutcome::Failure => (&self.failures, settings.failures_per_s),
            RequestOutcome::Success => (&self.successes, settings.successes_per_s),
            RequestOutcome::BrokenExchange => {
                (&self.broken_exchanges, settings.broken_exchanges_per_s)
            }
        };
        let omitted = budget.borrow_mut().take(now, per_s);
        if let Some(omitted) = omitted {
            write(&self.log, omitted);
        }
    }

    /// Calls `write` with the logger and the number of omitted lines, if the budget for servers' statements allows a line.
    pub fn log_server_statement(&self, now: TimeMs, write: impl FnOnce(&slog::Logger, u64)) {
        let per_s = self.settings.get().server_statements_per_s;
        let omitted = self.server_statements.borrow_mut().take(now, per_s);
        if let Some(omitted) = omitted {
            write(&self.log, omitted);
        }
    }
}
