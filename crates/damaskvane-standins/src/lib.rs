//! Stand-ins for the platform and the backend servers, with faults that tests switch on and off.
//!
//! # Crate guide
//!
//! - [`backend`]: many backend servers in one process, with a log of the requests that they ran.
//! - [`platform`]: the platform's object API on an in-memory store.
//! - [`config_run`]: randomised runs of the configuration's decision code under faults.
//!
//! ```
//! use damaskvane_standins::{backend, platform};
//!
//! let body = backend::ResponseBody::new("rider-desk-sask-a-1", "r-1", "k-1", "/work", 16);
//! assert!(body.is_intact());
//! assert!(!platform::Faults::default().down);
//! ```

pub mod backend;
pub mod config_run;
pub mod platform;
