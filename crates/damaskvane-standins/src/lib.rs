//! Small stand-ins for what surrounds damaskvane, with fault switches.
//!
//! # Crate guide
//!
//! - [`platform`]: the platform's object API, in memory.
//! - [`config_run`]: randomised runs of the configuration through mixed faults.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! assert!(!platform::Faults::default().down);
//! ```

pub mod config_run;
pub mod platform;
