//! An HTTP header that is forwarded unchanged.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let header = message::Header::new("accept", "text/plain");
//! assert_eq!(header.name(), "accept");
//! ```

use serde::{Deserialize, Serialize};

/// The name and value of an HTTP header.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header(String, String);

impl Header {
    /// Creates a header; the name must be in lower case.
    #[must_use]
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self(name.into(), value.into())
    }

    /// Returns the name, in lower case.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0
    }

    /// Returns the value, unchanged from the request or response.
    #[must_use]
    pub fn value(&self) -> &str {
        &self.1
    }
}
