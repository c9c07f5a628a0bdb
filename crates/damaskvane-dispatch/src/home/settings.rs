//! Settings of the key table.
//!
//! ```
//! use damaskvane_dispatch::home;
//!
//! let settings = home::HomeSettings { max_entries: 100, ..Default::default() };
//! assert_eq!(settings.window_ms, 600_000);
//! ```

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

/// How long outcomes are kept and how much memory that may take.
///
/// With the defaults a table takes at most 16 MiB for entries, about 6 MiB for 20,000 keys that were
/// answered with *not run*, and about 16 bytes for each of 400,000 tombstones; while an adopted table
/// is held as well, twice that.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct HomeSettings {
    /// How long the outcome of a key is kept and replayed.
    pub window_ms: u64,
    /// How many keys are kept with their outcome.
    pub max_entries: usize,
    /// How many bytes the kept keys and outcomes take; a running key reserves `max_answer_bytes`.
    pub max_bytes: u64,
    /// The longest answer that is kept for a repeat.
    pub max_answer_bytes: u64,
    /// How many keys one incarnation takes over its life.
    pub max_tombstones: usize,
    /// How many tries of one key may wait for its outcome.
    pub max_waiters: usize,
    /// How long after its deadline a running key's outcome is still awaited.
    pub answer_grace_ms: u64,
    /// How many keys that were answered with *not run* may be tried again; beyond it, the one that was
    /// answered first is *unknown* before its window is over.
    pub max_superseded: usize,
    /// How many records one message of a handover carries.
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
