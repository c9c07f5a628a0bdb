//! Switches for the faults of the platform.
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

/// What goes wrong. Counts go down by one with each call they hit.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every call is refused with 503.
    pub down: bool,
    /// Every call takes this much longer.
    pub slow_ms: u64,
    /// So many writes take effect and their answer is lost.
    #[serde(rename = "drop_answer_after_write")]
    pub drop_response_after_write: u32,
    /// So many writes are lost before they take effect.
    pub drop_before_write: u32,
    /// A lost answer is a 504; before it, the caller waits this long.
    pub drop_hang_ms: u64,
    /// Only writes of this kind are lost; all kinds where it is empty.
    pub drop_kind: String,
    /// Watches answer this much later.
    pub watch_late_ms: u64,
    /// So many watches that fired answer as if nothing had happened.
    pub watch_skip: u32,
    /// So many watches answer at once though nothing happened.
    pub watch_repeat: u32,
    /// Watches never answer within their wait; they hang this much beyond it.
    pub watch_silent_ms: u64,
    /// So many reads answer the version before the present one.
    pub stale_read: u32,
    /// The most calls in a second; 0 is no limit.
    pub calls_per_second: u32,
}

/// The faults in force, shared between calls.
#[derive(Debug, Default)]
pub struct Switches {
    faults: Mutex<Faults>,
}

impl Switches {
    /// Puts other faults in force.
    pub fn set(&self, faults: Faults) {
        *self.lock() = faults;
    }

    /// The faults in force.
    #[must_use]
    pub fn get(&self) -> Faults {
        self.lock().clone()
    }

    /// Takes one from a count; whether there was one to take.
    pub fn take(&self, count: impl FnOnce(&mut Faults) -> &mut u32) -> bool {
        let mut faults = self.lock();
        let left = count(&mut faults);
        if *left == 0 {
            return false;
        }
        *left -= 1;
        true
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Faults> {
        self.faults.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
