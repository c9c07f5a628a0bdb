//! Deadlines, which travel as the time left.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::deadline;
//!
//! let deadline = deadline::Deadline::after(time::TimeMs::new(100), time::SpanMs::new(50));
//! assert_eq!(deadline.time_left(time::TimeMs::new(120)), time::SpanMs::new(30));
//! assert!(deadline.is_past(time::TimeMs::new(150)));
//! ```

use damaskvane_core::time;

/// The point of this process's clock at which an answer has no use any more.
///
/// Clocks of two processes are not compared: a step of one would make requests live for ever or die
/// on arrival. The span that is left travels instead, and the way costs it nothing but its delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(time::TimeMs);

impl Deadline {
    /// The deadline of a request that arrived now with some time left.
    #[must_use]
    pub fn after(now: time::TimeMs, time_left: time::SpanMs) -> Self {
        Self(now + time_left)
    }

    /// What to send on as the time left.
    #[must_use]
    pub const fn time_left(self, now: time::TimeMs) -> time::SpanMs {
        self.0.since(now)
    }

    /// Whether no time is left.
    #[must_use]
    pub fn is_past(self, now: time::TimeMs) -> bool {
        self.0 <= now
    }
}
