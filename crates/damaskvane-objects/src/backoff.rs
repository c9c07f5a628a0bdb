//! Exponential backoff with jitter between the tries of a call to the platform.
//!
//! ```
//! use damaskvane_objects::backoff;
//!
//! let mut backoff = backoff::Backoff::new(backoff::BackoffSettings::default(), 7);
//! let first = backoff.pause();
//! assert!(first.get() <= 100);
//! ```

use damaskvane_core::time;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Limits of the pauses between the tries of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The upper limit of the first pause.
    pub first_ms: time::SpanMs,
    /// The upper limit of every pause.
    pub max_ms: time::SpanMs,
}

impl Default for BackoffSettings {
    fn default() -> Self {
        Self {
            first_ms: time::SpanMs::new(100),
            max_ms: time::SpanMs::new(5_000),
        }
    }
}

/// Pauses whose upper limit doubles with each try, up to a maximum.
///
/// Each pause is drawn evenly between half of the limit and the limit. Without jitter, all instances
/// that lost the platform at the same moment would call again at the same moment, and the platform
/// would receive calls of the whole fleet at once each time it recovers.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    rng: Pcg64Mcg,
    tries: u32,
}

impl Backoff {
    /// Creates a backoff before its first pause; each instance passes a different seed.
    #[must_use]
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            tries: 0,
        }
    }

    /// Returns the next pause and doubles the limit for the one after it.
    #[must_use]
    pub fn pause(&mut self) -> time::SpanMs {
        let doubled = self
            .settings
            .first_ms
            .get()
            .saturating_mul(1 << self.tries.min(30));
        let limit = doubled.min(self.settings.max_ms.get());
        self.tries = self.tries.saturating_add(1);
        time::SpanMs::new(self.rng.random_range(limit / 2..=limit))
    }

    /// Goes back to the first pause; called after a success.
    pub const fn reset(&mut self) {
        self.tries = 0;
    }
}
