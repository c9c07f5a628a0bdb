//! The progress of a planned shutdown, as operators see it.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_dispatch::shutdown;
//!
//! let leaving = shutdown::Serving.leave(time::TimeMs::ZERO, shutdown::ShutdownSettings::default());
//! assert_eq!(leaving.progress(time::TimeMs::new(1_000), 3).running, 3);
//! ```

use damaskvane_core::time;
use serde::Serialize;

/// The current phase of an instance's planned shutdown, the number of requests that still run on the instance, and
/// the maximum time until the phase ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The phase: `leaving` or `handing_over`.
    pub phase: &'static str,
    /// The number of requests that still run on this instance.
    pub running: usize,
    /// The maximum time until this phase ends, in milliseconds.
    pub time_left: time::SpanMs,
}
