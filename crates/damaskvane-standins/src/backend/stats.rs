//! What one backend server saw.
//!
//! ```
//! use damaskvane_standins::backend;
//!
//! let stats = backend::ServerStats::default();
//! assert_eq!(stats.over_slots, 0);
//! ```

use serde::{Deserialize, Serialize};

/// Counters of one backend server since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerStats {
    /// Requests it can run at once.
    pub slots: u32,
    /// Requests running now.
    pub running: u32,
    /// The most that ever ran at once.
    pub max_running: u32,
    /// Starts that found every slot taken: each is a broken capacity promise.
    pub over_slots: u64,
    /// Requests started.
    pub executed: u64,
    /// Requests that ended before their work was done.
    pub aborted: u64,
    /// Requests refused before running.
    pub shed: u64,
    /// Calls of `/cancel` that found their request running.
    pub cancelled: u64,
    /// Connections open now.
    pub connections: u32,
    /// The most connections ever open at once.
    pub max_connections: u32,
    /// Connections accepted.
    pub accepted: u64,
    /// How often a request brought the server down.
    pub crashes: u64,
    /// Calls of `/health` and `/load`.
    pub reports: u64,
}
