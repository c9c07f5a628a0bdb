//! Spans of time.
//!
//! ```
//! use damaskvane_core::time;
//!
//! assert_eq!(time::SpanMs::new(1500).to_string(), "1500 ms");
//! ```

use core::fmt;
use core::time::Duration;

use serde::{Deserialize, Serialize};

/// A span of time in whole milliseconds.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SpanMs(u64);

impl SpanMs {
    /// The span of zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a span of `ms` milliseconds.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the number of milliseconds.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Converts the span to a [`Duration`].
    #[must_use]
    pub const fn to_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }

    /// Subtracts `other`; returns zero if `other` is longer.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for SpanMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}
