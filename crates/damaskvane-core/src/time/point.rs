//! Points in time on a process's monotonic clock.
//!
//! ```
//! use damaskvane_core::time;
//!
//! assert!(time::TimeMs::new(5) < time::TimeMs::new(6));
//! ```

use core::ops;

use serde::{Deserialize, Serialize};

use crate::time::span::SpanMs;

/// A point in time, in milliseconds since the start of one process's monotonic clock.
///
/// Points in time of two processes can't be compared, so messages between them carry a [`SpanMs`].
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimeMs(u64);

impl TimeMs {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// Creates the point in time `ms` milliseconds after the start of the clock.
    #[must_use]
    pub const fn new(ms: u64) -> Self {
        Self(ms)
    }

    /// Returns the milliseconds since the start of the clock.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the span since `earlier`; zero if `earlier` is not before this point.
    #[must_use]
    pub const fn since(self, earlier: Self) -> SpanMs {
        SpanMs::new(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add<SpanMs> for TimeMs {
    type Output = Self;

    fn add(self, span: SpanMs) -> Self {
        Self(self.0.saturating_add(span.get()))
    }
}
