//! A backend server on its way out, as operators see it.
//!
//! ```
//! use damaskvane_core::time;
//! use damaskvane_engine::engine;
//!
//! let status = engine::DrainStatus {
//!     backend_server: "rider-desk-1".parse()?,
//!     phase: "draining",
//!     since: time::TimeMs::ZERO,
//!     running: 2,
//! };
//! assert_eq!(status.running, 2);
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use damaskvane_core::{ids, time};

/// A backend server that drains or has drained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainStatus {
    /// The backend server.
    pub backend_server: ids::BackendServerId,
    /// `draining` or `drained`.
    pub phase: &'static str,
    /// Since when.
    pub since: time::TimeMs,
    /// What this instance still runs on it.
    pub running: u32,
}
