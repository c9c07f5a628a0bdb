//! Counters of calls and of failed calls.
//!
//! ```
//! use damaskvane_objects::http;
//!
//! assert_eq!(http::CallCounts::default().calls(), 0);
//! ```

use std::collections::BTreeMap;

/// Counters since the client was created.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls sent, by label: `get`, `put`, `delete`, `list`, `watch`, `instances`, `holder`.
    pub by_call: BTreeMap<&'static str, u64>,
    /// Failed calls, by the label of the reason; includes conflicts and writes with an unknown effect.
    pub by_reason: BTreeMap<&'static str, u64>,
    /// Bytes of values sent with writes.
    pub bytes_out: u64,
    /// Bytes of response bodies received by reads.
    pub bytes_in: u64,
}

impl CallCounts {
    /// Returns the number of calls sent, of all labels.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.by_call.values().sum()
    }
}
