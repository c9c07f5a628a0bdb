//! Small stand-ins for what surrounds damaskvane, with fault switches.
//!
//! # Crate guide
//!
//! - [`platform`]: the platform's object API, in memory.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! assert!(!platform::Faults::default().down);
//! ```

pub mod platform;
