//! Growing pauses between tries, with jitter.
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

/// How pauses grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BackoffSettings {
    /// The longest first pause.
    pub first_ms: time::SpanMs,
    /// The longest pause of all.
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

/// Pauses that double up to a limit, each drawn evenly between half of it and the whole.
///
/// Without jitter every instance that lost the platform at one moment would call again at one
/// moment, and the platform would see the whole fleet at once each time it recovers.
#[derive(Debug, Clone)]
pub struct Backoff {
    settings: BackoffSettings,
    rng: Pcg64Mcg,
    tries: u32,
}

impl Backoff {
    /// Starts with the first pause; instances take different seeds.
    #[must_use]
    pub fn new(settings: BackoffSettings, seed: u64) -> Self {
        Self {
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            tries: 0,
        }
    }

    /// The next pause.
    #[must_use]
    pub fn pause(&mut self) -> time::SpanMs {
        let doubled = self
            .settings
            .first_ms
            .get()
            .saturating_mul(1 << self.tries.min(30));
        let longest = doubled.min(self.settings.max_ms.get());
        self.tries = self.tries.saturating_add(1);
        time::SpanMs::new(self.rng.random_range(longest / 2..=longest))
    }

    /// Starts over after a success.
    pub const fn reset(&mut self) {
        self.tries = 0;
    }
}
