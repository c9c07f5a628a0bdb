//! Deadlines of requests, which messages between processes carry as the remaining time.
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

/// The time on this process's clock after which the client no longer uses a response.
///
/// Clocks of two processes are not compared: a step of one clock would make requests live for ever or expire on
/// arrival. Messages carry the remaining time instead; the only error is the delay of the message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline(time::TimeMs);

impl Deadline {
    /// Returns the deadline of a request that arrived at `now` with `time_left` remaining.
    #[must_use]
    pub fn after(now: time::TimeMs, time_left: time::SpanMs) -> Self {
        Self(now + time_left)
    }

    /// Returns the remaining time, to be sent with the request; zero once the deadline has passed.
    #[must_use]
    pub const fn time_left(self, now: time::TimeMs) -> time::SpanMs {
        self.0.since(now)
    }

    /// Returns whether the deadline has passed.
    #[must_use]
    pub fn is_past(self, now: time::TimeMs) -> bool {
        self.0 <= now
    }
}
