//! Address of the platform and limits on the calls to it.
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

/// Settings of an [`HttpObjectApi`](crate::http::HttpObjectApi).
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the platform, `host:port`.
    pub address: String,
    /// The access token of this program.
    pub token: Token,
    /// The timeout of a call, and of waiting for the rate budget; a watch adds its own wait to it.
    pub timeout_ms: time::SpanMs,
    /// The maximum rate of calls per second; a waiting watch counts as one call.
    pub calls_per_second: u32,
}

impl PlatformSettings {
    /// Creates settings with a timeout of 2 s and 20 calls per second.
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
