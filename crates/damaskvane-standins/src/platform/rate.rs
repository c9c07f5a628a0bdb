//! Rate limit of the object API.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    started: Instant,
    calls: u32,
}

/// Limits the calls in each fixed window of one second.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    window: Mutex<Option<Window>>,
}

impl RateLimit {
    /// Counts a call; if `limit` is exceeded, fails with the time until the next window.
    ///
    /// A `limit` of 0 allows all calls.
    pub(super) fn take(&self, limit: u32, now: Instant) -> Result<(), Duration> {
        if limit == 0 {
            return Ok(());
        }
        let mut guard = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let window = guard.get_or_insert(Window {
            started: now,
            calls: 0,
        });
        let age = now.duration_since(window.started);
        if age >= WINDOW {
            *window = Window {
                started: now,
                calls: 0,
            };
        }
        if window.calls >= limit {
            return Err(WINDOW.saturating_sub(age));
        }
        window.calls += 1;
        Ok(())
    }
}
