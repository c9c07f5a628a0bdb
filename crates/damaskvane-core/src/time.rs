//! Points in time and spans, in milliseconds, always passed in by the caller.
//!
//! Decision code never reads a clock. The programs measure [`TimeMs`] from the start of the process
//! with a monotonic clock; simulations in virtual time advance it themselves.
//!
//! ```
//! use damaskvane_core::time;
//!
//! let start = time::TimeMs::new(1_000);
//! let later = start + time::SpanMs::new(250);
//! assert_eq!(later.since(start), time::SpanMs::new(250));
//! assert_eq!(start.since(later), time::SpanMs::ZERO);
//! ```

mod point;
mod span;

pub use point::TimeMs;
pub use span::SpanMs;
