//! The process's monotonic clock.
//!
//! ```
//! use damaskvane_entry::clock;
//!
//! let clock = clock::MonotonicClock::start();
//! assert!(clock.now() <= clock.now());
//! ```

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use damaskvane_core::{ids, time};

/// Clock that counts milliseconds from its creation and never goes back.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Creates a clock that starts at zero.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock's creation.
    #[must_use]
    pub fn now(self) -> time::TimeMs {
        let elapsed = self.start.elapsed().as_millis();
        time::TimeMs::new(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// Returns the incarnation of a process that starts now: milliseconds of the wall clock since 1970.
///
/// An incarnation is a number that identifies one start of an instance's process; later starts have higher
/// numbers. An instance stores nothing between two starts, so it can't add one to its previous incarnation.
/// If the wall clock was set back, the platform's list of instances or a peer reports a higher incarnation
/// of the same instance name, and the caller uses a number above the reported one.
#[must_use]
pub fn incarnation() -> ids::Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    ids::Incarnation::new(u64::try_from(since_epoch).unwrap_or(u64::MAX))
}
