//! Thresholds and intervals by which an instance finds out whether it reaches the backend servers.

/// Settings of [`Reachability`](crate::reachability::Reachability) and
/// [`TunnelPeers`](crate::reachability::TunnelPeers).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReachabilitySettings {
    /// Number of servers that must have failed, with no connection opened since, before this instance doubts that it
    /// reaches any.
    pub min_failing_servers: usize,
    /// Interval between two checks while this instance doubts that it reaches the servers.
    pub doubt_check_ms: u64,
    /// Interval between two checks of whether servers can be reached without a tunnel again.
    pub return_check_ms: u64,
    /// Number of servers to which connections must open again before the partition counts as ended.
    pub min_reopened_servers: usize,
    /// Time in which these connections must open.
    pub reopened_window_ms: u64,
    /// Largest number of servers in one check.
    pub servers_per_check: usize,
    /// Age from which a failure no longer counts if a server answered since.
    pub failure_ttl_ms: u64,
    /// Time without any answer or opened connection after which failures count as this instance's own.
    pub isolation_ms: u64,
    /// Time for which an instance that could not carry a tunnel isn't asked again.
    pub peer_backoff_ms: u64,
}

impl Default for ReachabilitySettings {
    fn default() -> Self {
        Self {
            // One server alone is more often down than out of this instance's reach.
            min_failing_servers: 2,
            doubt_check_ms: 250,
            return_check_ms: 400,
            min_reopened_servers: 2,
            reopened_window_ms: 1_500,
            servers_per_check: 3,
            failure_ttl_ms: 5_000,
            isolation_ms: 1_000,
            peer_backoff_ms: 1_000,
        }
    }
}
