//! The bound on the requests that a server with a limit gets, and the tokens that keep to it.

use crate::limit::RequestRate;
use crate::quota::ShareTerms;

/// Tokens that all holders together can hold. With less than one for each of them a holder alone could send nothing.
const MIN_CAPACITY: f64 = 4.0;

/// The bound on the requests that a server with a limit gets in any window, over all instances.
///
/// The bound is `rate x window + slack` requests while the holders of the tokens hear each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServerLimitSettings {
    /// Length of the window.
    pub window_ms: u64,
    /// Requests in a window by which the limit may be exceeded.
    pub slack: f64,
    /// Time from the request for a token until the request that uses it must have been sent.
    pub token_ttl_ms: u64,
    /// Least requests a second that are sent to a server which takes fewer: one that gets none can't end its limit.
    pub min_rate_per_s: f64,
    /// Largest number of holders of a server's tokens.
    pub max_holders: usize,
}

impl Default for ServerLimitSettings {
    fn default() -> Self {
        Self {
            window_ms: 4_000,
            slack: 5.0,
            token_ttl_ms: 100,
            min_rate_per_s: 0.4,
            max_holders: 3,
        }
    }
}

impl ServerLimitSettings {
    /// Returns how fast the tokens of a server with this limit are earned by `holders` instances, of which `gone` are not
    /// alive.
    ///
    /// The requests of a window use tokens of the window and of twice the time to live of a token, and those that were
    /// held at its start.
    #[must_use]
    pub fn terms(&self, limit: RequestRate, holders: usize, gone: usize) -> ShareTerms {
        let window_s = self.window_ms as f64 / 1_000.0;
        let exposed_s = (self.window_ms + 2 * self.token_ttl_ms) as f64 / 1_000.0;
        let bound = limit.per_s().mul_add(window_s, self.slack);
        let within_bound = (bound - MIN_CAPACITY) / exposed_s;
        let rate_per_s = limit.per_s().min(within_bound).max(self.min_rate_per_s);
        ShareTerms {
            rate_per_s,
            capacity: (bound - rate_per_s * exposed_s).max(0.0),
            holders,
            gone,
        }
    }
}
