//! Settings of a pool.
//!
//! ```
//! use damaskvane_steering::health;
//!
//! assert_eq!(health::Settings::default().removable_permille, 340);
//! ```

use damaskvane_core::time;

/// Settings of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// The part of the pool that reports alone may take out, in thousandths, rounded down.
    ///
    /// The default takes out one server of three.
    pub removable_permille: u32,
    /// A report older than this says nothing.
    pub report_lasts: time::SpanMs,
    /// An answer seen this recently outweighs a report.
    pub answer_outweighs: time::SpanMs,
    /// Failures in a row that take a server out.
    pub failures_out: u32,
    /// How long a server that failed stays out before one request tries it.
    pub retry_after: time::SpanMs,
    /// How long a cold server takes to its full part.
    pub slow_start: time::SpanMs,
    /// The part that a cold server starts with, in thousandths.
    pub cold_permille: u32,
    /// A server this many times slower than the pool's median counts as slow.
    pub slow_multiple: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            removable_permille: 340,
            report_lasts: time::SpanMs::new(5_000),
            answer_outweighs: time::SpanMs::new(1_000),
            failures_out: 3,
            retry_after: time::SpanMs::new(2_000),
            slow_start: time::SpanMs::new(10_000),
            cold_permille: 200,
            slow_multiple: 4,
        }
    }
}
