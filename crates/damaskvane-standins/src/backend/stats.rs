//! Counters of one backend server.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let stats = backend::ServerStats::default();
//! assert_eq!(stats.over_slots, 0);
//! ```

use serde::{Deserialize, Serialize};

/// The counters of one backend server since its start; a crash doesn't reset them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStats {
    /// Requests that the server can run at once.
    pub slots: u32,
    /// Requests running now.
    pub running: u32,
    /// The maximum number of requests that ran at once.
    pub max_running: u32,
    /// Requests started while every slot was in use; each violates the promised capacity limit.
    pub over_slots: u64,
    /// Requests started.
    pub executed: u64,
    /// Requests that ended early: cancelled, past their deadline, failed or crashed.
    pub aborted: u64,
    /// Requests rejected without running.
    pub shed: u64,
    /// Calls of `/cancel` whose request was running.
    pub cancelled: u64,
    /// Connections open now.
    pub connections: u32,
    /// The maximum number of connections open at once.
    pub max_connections: u32,
    /// Connections accepted.
    pub accepted: u64,
    /// Crashes that a request caused.
    pub crashes: u64,
    /// Calls of `/health` and `/load`.
    pub reports: u64,
}
