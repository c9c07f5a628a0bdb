//! Settings of a pool, which holds the backend servers of one service in one zone.
//!
//! ```
//! use damaskvane_steering::health;
//!
//! assert_eq!(health::Settings::default().max_excluded_permille, 340);
//! ```

use damaskvane_core::time;

/// Settings of a pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Settings {
    /// Maximum part of the pool's servers that health reports alone may exclude, in thousandths;
    /// the number of servers is rounded down.
    ///
    /// The default excludes one server of three.
    pub max_excluded_permille: u32,
    /// Age beyond which a health report is ignored.
    pub report_lifetime: time::SpanMs,
    /// Age up to which a response takes precedence over an unhealthy report.
    pub response_precedence: time::SpanMs,
    /// Consecutive failures after which a server is excluded.
    pub exclusion_failures: u32,
    /// How long a server stays excluded after a failure before a single request probes it.
    pub probe_delay: time::SpanMs,
    /// How long a cold server, which has started or recovered recently, takes to reach its full
    /// share of new requests.
    pub slow_start: time::SpanMs,
    /// Part of its full share with which a cold server starts, in thousandths.
    pub cold_permille: u32,
    /// Multiple of the pool's median latency above which a server is treated as slow.
    pub slow_multiple: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_excluded_permille: 340,
            report_lifetime: time::SpanMs::new(5_000),
            response_precedence: time::SpanMs::new(1_000),
            exclusion_failures: 3,
            probe_delay: time::SpanMs::new(2_000),
            slow_start: time::SpanMs::new(10_000),
            cold_permille: 200,
            slow_multiple: 4,
        }
    }
}
