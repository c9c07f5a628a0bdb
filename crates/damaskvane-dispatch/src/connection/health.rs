//! What an instance itself has seen of a backend server.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! assert!(!connection::ServerHealth::default().is_suspect());
//! ```

use crate::connection::failure;

/// Failures in a row of fresh connections after which a server is suspect.
const FAILURES_TO_SUSPECT: u32 = 3;

/// Failures of fresh connections since the last success.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    failures: u32,
}

impl ServerHealth {
    /// Notes a failure and says what to do next.
    pub fn record_failure(&mut self, failure: failure::Failure) -> failure::Action {
        let action = failure.action();
        if action == failure::Action::CountAsServerFailure {
            self.failures = self.failures.saturating_add(1);
        }
        action
    }

    /// Notes a whole answer, of whatever status: errors that come at once are the service's own.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Whether to prefer other servers; how many may be left out at once is the slots' rule.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.failures >= FAILURES_TO_SUSPECT
    }
}
