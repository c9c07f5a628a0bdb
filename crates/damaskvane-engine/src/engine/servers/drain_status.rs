//! The status of a draining or drained backend server, for operators.
//!
//! A draining server gets no new requests; it is drained once no request runs on it.
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

/// The drain status of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DrainStatus {
    /// The backend server that drains or has drained.
    pub backend_server: ids::BackendServerId,
    /// The phase: `draining` or `drained`.
    pub phase: &'static str,
    /// The time when the phase began.
    pub since: time::TimeMs,
    /// The number of requests of this instance that run on the backend server.
    pub running: u32,
}
