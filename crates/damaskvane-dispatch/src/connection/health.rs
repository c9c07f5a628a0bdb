//! Health of a backend server, derived from the connection failures that one entry instance sees.
//!
//! A suspect server has failed on several new connections in a row; other servers are preferred to it.
//!
//! ```
//! use damaskvane_dispatch::connection;
//!
//! assert!(!connection::ServerHealth::default().is_suspect());
//! ```

use crate::connection::failure;

/// Consecutive failures of new connections after which a server is suspect.
const FAILURES_TO_SUSPECT: u32 = 3;

/// Counts failures of new connections to one backend server since its last complete response.
#[derive(Debug, Clone, Copy, Default)]
pub struct ServerHealth {
    failures: u32,
}

impl ServerHealth {
    /// Records a failure and returns the action that follows.
    pub fn record_failure(&mut self, failure: failure::Failure) -> failure::Action {
        let action = failure.action();
        if action == failure::Action::CountAsServerFailure {
            self.failures = self.failures.saturating_add(1);
        }
        action
    }

    /// Records a complete response of any status.
    ///
    /// An error status that arrives at once is an error of the service, not of its server.
    pub const fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Returns whether the server is suspect, so that requests should go to other servers.
    ///
    /// This type does not limit how many servers are left out at once; the code that assigns slots (rights to
    /// run one request on a server) does.
    #[must_use]
    pub const fn is_suspect(&self) -> bool {
        self.failures >= FAILURES_TO_SUSPECT
    }
}
