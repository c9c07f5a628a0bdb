//! What operators see of a planned stop.
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

/// How far a planned stop is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct Progress {
    /// The phase: `leaving` or `handing_over`.
    pub phase: &'static str,
    /// How many requests still run.
    pub running: usize,
    /// The longest time that is left of this phase.
    pub time_left: time::SpanMs,
}
