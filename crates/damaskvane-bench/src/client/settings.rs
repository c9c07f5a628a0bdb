//! How a client behaves.
//!
//! ```
//! use damaskvane_bench::client;
//!
//! assert_eq!(client::ClientSettings::default().tries, 4);
//! ```

use std::net;

/// How a client behaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClientSettings {
    /// Entry instances to ask for the first look-up.
    pub entries: Vec<net::SocketAddr>,
    /// The client block that it belongs to.
    pub client: String,
    /// The time for a request with all its tries, in milliseconds.
    pub deadline_ms: u64,
    /// The time for one try, in milliseconds.
    pub try_limit_ms: u64,
    /// The most tries of one request.
    pub tries: u32,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
            client: "client-0".to_owned(),
            deadline_ms: 2_000,
            try_limit_ms: 1_000,
            tries: 4,
        }
    }
}
