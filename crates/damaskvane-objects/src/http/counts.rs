//! Counts of calls and of what went wrong with them.
//!
//! ```
//! use damaskvane_objects::http;
//!
//! assert_eq!(http::CallCounts::default().calls(), 0);
//! ```

use std::collections::BTreeMap;

/// Counts since the client was made.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls by what they do: `get`, `put`, `delete`, `list`, `watch`, `instances`, `token_holder`.
    pub by_call: BTreeMap<&'static str, u64>,
    /// Calls that gave nothing or were refused, by reason.
    pub by_reason: BTreeMap<&'static str, u64>,
    /// Bytes of values sent.
    pub bytes_out: u64,
    /// Bytes of bodies received.
    pub bytes_in: u64,
}

impl CallCounts {
    /// All calls.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.by_call.values().sum()
    }
}
