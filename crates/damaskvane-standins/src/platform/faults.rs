//! Faults of the platform's object API, and switches that set them while it runs.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let switches = platform::Switches::default();
//! switches.set(platform::Faults { drop_before_write: 1, ..Default::default() });
//! assert!(switches.take(|faults| &mut faults.drop_before_write));
//! assert!(!switches.take(|faults| &mut faults.drop_before_write));
//! ```

use std::sync::{Mutex, PoisonError};

use serde::{Deserialize, Serialize};

/// The faults of the object API; the default is none.
///
/// A fault given as a number of calls decreases by one with each call that it affects.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is rejected with 503.
    pub down: bool,
    /// The additional delay of every call, in milliseconds.
    pub slow_ms: u64,
    /// The number of writes that take effect but whose response is dropped.
    #[serde(rename = "drop_answer_after_write")]
    pub drop_response_after_write: u32,
    /// The number of writes that are dropped before they take effect.
    pub drop_before_write: u32,
    /// The delay before the 504 that the caller gets for a dropped write or response, in milliseconds.
    pub drop_hang_ms: u64,
    /// The kind of objects whose writes or responses are dropped; empty for all kinds.
    pub drop_kind: String,
    /// The additional delay of a watch's response, in milliseconds.
    pub watch_late_ms: u64,
    /// The number of fired watches that respond, after another full wait, as if nothing had changed.
    pub watch_skip: u32,
    /// The number of watches that respond at once although nothing has changed.
    pub watch_repeat: u32,
    /// The time that a watch hangs after it has fired or its wait has ended, in milliseconds.
    pub watch_silent_ms: u64,
    /// The number of reads that return the version before the current one.
    pub stale_read: u32,
    /// The maximum number of calls in a second; 0 for no limit.
    pub calls_per_second: u32,
}

/// The active faults, shared between calls.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
}

impl Switches {
    /// Replaces all active faults.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// Returns a copy of the active faults.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Decreases the selected counter by one; returns `false` if it was zero already.
    pub fn take(&self, counter: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let remaining = counter(&mut faults);
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
