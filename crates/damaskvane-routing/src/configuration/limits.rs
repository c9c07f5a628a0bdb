//! Bounds on what a client may send.

/// What a client may send, and how long it may take or stay idle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub header_timeout_ms: u64,
    /// Longest time a kept connection stays idle.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// What holds before a configuration is known: common sizes of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
