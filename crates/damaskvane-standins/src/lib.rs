//! Small stand-ins for the platform and the backend servers, with fault switches.
//!
//! # Crate guide
//!
//! - [`backend`]: one process that plays many backend servers, logs what it ran and fails on demand.
//! - [`platform`]: the platform's object API, in memory.
//! - [`config_run`]: randomised runs of the configuration through mixed faults.
//!
//! ```
//! use damaskvane_standins::{backend, platform};
//!
//! let answer = backend::ResponseBody::new("rider-desk-sask-a-1", "r-1", "k-1", "/work", 16);
//! assert!(answer.is_intact());
//! assert!(!platform::Faults::default().down);
//! ```

pub mod backend;
pub mod config_run;
pub mod platform;
