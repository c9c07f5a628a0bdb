//! Counters of the object API's calls and bytes.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let mut stats = platform::Stats::default();
//! stats.count_call("get", "anna");
//! assert_eq!(stats.calls["get"], 1);
//! ```

use std::collections::BTreeMap;

use serde::Serialize;

/// Counters since the start or the last reset.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Stats {
    /// Calls by operation, such as `get` or `put`; a watch counts once, however long it waits.
    pub calls: BTreeMap<&'static str, u64>,
    /// Calls by holder of the token.
    pub calls_by_holder: BTreeMap<String, u64>,
    /// Rejected calls by HTTP status.
    pub refused: BTreeMap<u16, u64>,
    /// Bytes of the values received in writes.
    pub bytes_in: u64,
    /// Bytes of the values and lists sent in responses.
    pub bytes_out: u64,
}

impl Stats {
    /// Counts one call of an operation by the holder of a token.
    pub fn count_call(&mut self, call: &'static str, holder: &str) {
        *self.calls.entry(call).or_default() += 1;
        *self.calls_by_holder.entry(holder.to_owned()).or_default() += 1;
    }

    /// Counts one call that was rejected with an HTTP status.
    pub fn count_refusal(&mut self, status: u16) {
        *self.refused.entry(status).or_default() += 1;
    }
}
