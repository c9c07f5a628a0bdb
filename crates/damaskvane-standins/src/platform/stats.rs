//! Counts of calls and bytes.
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

/// Counts since the start or since the last reset.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Stats {
    /// Calls by what they do; a waiting watch is one.
    pub calls: BTreeMap<&'static str, u64>,
    /// Calls by holder of the credential.
    pub calls_by_holder: BTreeMap<String, u64>,
    /// Refused calls by status.
    pub refused: BTreeMap<u16, u64>,
    /// Bytes of values taken in.
    pub bytes_in: u64,
    /// Bytes of values given out.
    pub bytes_out: u64,
}

impl Stats {
    /// Counts one call.
    pub fn count_call(&mut self, call: &'static str, holder: &str) {
        *self.calls.entry(call).or_default() += 1;
        *self.calls_by_holder.entry(holder.to_owned()).or_default() += 1;
    }

    /// Counts one refusal.
    pub fn count_refusal(&mut self, status: u16) {
        *self.refused.entry(status).or_default() += 1;
    }
}
