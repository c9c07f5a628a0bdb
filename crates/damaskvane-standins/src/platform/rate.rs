//! The platform's limit on calls in a second.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Window {
    started: Instant,
    calls: u32,
}

/// Counts calls in windows of a second.
#[derive(Debug, Default)]
pub(super) struct RateLimit {
    window: Mutex<Option<Window>>,
}

impl RateLimit {
    /// Counts a call; past the limit, how long until the next window.
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
