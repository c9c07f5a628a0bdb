//! Where the platform is and how hard to call it.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_objects::http;
//!
//! let settings = http::PlatformSettings {
//!     timeout_ms: time::SpanMs::new(500),
//!     ..http::PlatformSettings::new("127.0.0.1:1", "secret".parse().expect("a token"))
//! };
//! assert_eq!(settings.calls_per_second, 20);
//! ```

use damaskvane_core::time;

use crate::credential::Token;

/// Settings of the client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The platform's address, `host:port`.
    pub address: String,
    /// The credential.
    pub token: Token,
    /// The longest a call may take; a watch's wait comes on top.
    pub timeout_ms: time::SpanMs,
    /// The most calls in a second, a waiting watch as one.
    pub calls_per_second: u32,
}

impl PlatformSettings {
    /// Settings with the usual limits.
    #[must_use]
    pub fn new(address: impl Into<String>, token: Token) -> Self {
        Self {
            address: address.into(),
            token,
            timeout_ms: time::SpanMs::new(2_000),
            calls_per_second: 20,
        }
    }
}
