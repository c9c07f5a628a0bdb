//! Randomised runs of the configuration: operators race, instances adopt, everything fails.
//!
//! The decision code of `damaskvane-config` runs unchanged against an in-memory store and a message
//! queue with virtual time. Faults are drawn by seed; after each step the run checks what must
//! always hold, and at its end, with all faults healed, that the newest ticket is in force
//! everywhere.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! let settings = config_run::RunSettings { seconds: 2, ..Default::default() };
//! let report = config_run::run(settings).expect("nothing broken");
//! assert!(report.instances > 0);
//! ```

mod calls;
mod draft;
mod exchange;
mod fleet;
mod operators;
mod report;
mod settings;
mod spans;
mod truth;
mod world;

pub use report::{Broken, RunReport};
pub use settings::RunSettings;
pub use world::run;
