//! Settings of the idempotency key table.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! let settings = home::HomeSettings { max_entries: 100, ..Default::default() };
//! assert_eq!(settings.window_ms, 600_000);
//! ```

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

/// Retention of outcomes and bounds on the memory of the table.
///
/// A tombstone is the digest of a key whose outcome is no longer retained. An incarnation is one start or
/// renewal of an instance.
///
/// With the defaults a table takes at most 16 MiB for entries, about 6 MiB for 20,000 keys that were
/// answered with *not run*, and about 16 bytes for each of 400,000 tombstones; twice as much while the
/// table of a departed home is held too.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HomeSettings {
    /// Time for which the outcome of a key is retained and replayed, in milliseconds.
    pub window_ms: u64,
    /// Maximum number of keys that are running or stored with their outcome.
    pub max_entries: usize,
    /// Maximum bytes of all keys and outcomes; a running key reserves `max_answer_bytes`.
    pub max_bytes: u64,
    /// Maximum bytes of a response that is stored, to be sent again to repeated attempts.
    pub max_answer_bytes: u64,
    /// Maximum number of keys that one incarnation accepts.
    pub max_tombstones: usize,
    /// Maximum number of attempts that wait for the outcome of one key.
    pub max_waiters: usize,
    /// Time in milliseconds after the request's deadline for which a running key's outcome is awaited.
    pub answer_grace_ms: u64,
    /// Maximum number of keys answered with *not run* that may be attempted again; beyond the maximum,
    /// the key answered first becomes *unknown* before its window is over.
    pub max_superseded: usize,
    /// Maximum number of records in one message of a handover.
    pub handover_records: usize,
}

impl Default for HomeSettings {
    fn default() -> Self {
        Self {
            window_ms: 600_000,
            max_entries: 20_000,
            max_bytes: 16 << 20,
            max_answer_bytes: 64 << 10,
            max_tombstones: 400_000,
            max_waiters: 16,
            answer_grace_ms: 30_000,
            max_superseded: 20_000,
            handover_records: 500,
        }
    }
}

impl HomeSettings {
    pub(super) const fn window(&self) -> time::SpanMs {
        time::SpanMs::new(self.window_ms)
    }
}
