//! One HTTP header that is passed on as it is.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! let header = message::Header::new("accept", "text/plain");
//! assert_eq!(header.name(), "accept");
//! ```

use serde::{Deserialize, Serialize};

/// A header's name and value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header(String, String);

impl Header {
    /// A header of a name in lower case and a value.
    #[must_use]
    pub fn new(name: impl Into<String>, value: impl Into<String>) -> Self {
        Self(name.into(), value.into())
    }

    /// The name, in lower case.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.0
    }

    /// The value.
    #[must_use]
    pub fn value(&self) -> &str {
        &self.1
    }
}
