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

/// Counts milliseconds from the start of the process; it never steps back.
#[derive(Debug, Clone, Copy)]
pub struct MonotonicClock {
    start: Instant,
}

impl MonotonicClock {
    /// Starts counting.
    #[must_use]
    pub fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The present point in time.
    #[must_use]
    pub fn now(self) -> time::TimeMs {
        let elapsed = self.start.elapsed().as_millis();
        time::TimeMs::new(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }
}

/// The incarnation of a process that starts now: milliseconds of the wall clock.
///
/// An instance keeps nothing, so that its number has to come from outside. Where the wall clock has
/// stepped back, the platform's list or a peer shows a higher incarnation of the same name, and the
/// caller goes above that one.
#[must_use]
pub fn incarnation() -> ids::Incarnation {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis());
    ids::Incarnation::new(u64::try_from(since_epoch).unwrap_or(u64::MAX))
}
