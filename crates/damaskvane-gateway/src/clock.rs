//! A steady clock that also runs while the machine is suspended.

use damaskvane_core::time::TimeMs;
use nix::time::{ClockId, clock_gettime};

/// Measures the time since its start, including the time for which the machine was suspended.
///
/// The standard library's clock stands still meanwhile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ContinuousClock {
    started_ms: u64,
}

impl ContinuousClock {
    /// Starts a clock.
    pub(crate) fn start() -> Self {
        Self {
            started_ms: since_boot_ms(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(self) -> TimeMs {
        TimeMs::new(since_boot_ms().saturating_sub(self.started_ms))
    }
}

fn since_boot_ms() -> u64 {
    // Linux has this clock in every version that runs the program, so reading it doesn't fail; if it did, the time
    // would jump to its end, and nothing that expires would be used.
    let Ok(time) = clock_gettime(ClockId::CLOCK_BOOTTIME) else {
        return u64::MAX;
    };
    let (seconds, nanos) = (time.tv_sec(), time.tv_nsec());
    let ms = seconds
        .saturating_mul(1_000)
        .saturating_add(nanos / 1_000_000);
    u64::try_from(ms).unwrap_or(u64::MAX)
}
