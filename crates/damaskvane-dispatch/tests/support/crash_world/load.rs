//! How often callers send, how long servers take, and what else happens in a history.

use std::ops::Range;

/// The load and the disturbances of a history.
#[derive(Debug, Clone)]
pub struct Load {
    /// Time between two copies of the crashing request, in milliseconds.
    pub crashing_gap_ms: Range<u64>,
    /// Time between two copies of the harmless request, in milliseconds.
    pub harmless_gap_ms: Range<u64>,
    /// Time for which a copy waits at its server, in milliseconds.
    pub queue_ms: Range<u64>,
    /// Whether instances are cut off and started again and the store is down.
    pub has_disturbances: bool,
    /// Whether racks of servers fail.
    pub has_failing_racks: bool,
    /// Length of the history, in milliseconds.
    pub history_ms: u64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            crashing_gap_ms: 20..1_400,
            harmless_gap_ms: 1..50,
            queue_ms: 0..1,
            has_disturbances: true,
            has_failing_racks: true,
            history_ms: 30_000,
        }
    }
}
