//! Limits on the sizes and times of clients' requests.

/// Limits on the size of a client's request, the time to send it, and the idle time of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of the request head in bytes: request line and headers.
    pub header_bytes: usize,
    /// Maximum size of the request body in bytes.
    pub body_bytes: usize,
    /// Maximum time that a client may take to send the request head.
    pub header_timeout_ms: u64,
    /// Maximum time that a client's connection stays open without a request.
    pub idle_timeout_ms: u64,
}

impl Default for Limits {
    /// Returns the limits that apply until a configuration is loaded: common limits of HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16_384,
            body_bytes: 1 << 20,
            header_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
