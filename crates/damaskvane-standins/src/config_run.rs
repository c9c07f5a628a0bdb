//! Randomised runs of the configuration: operators submit tickets concurrently while faults occur.
//!
//! The decision code of `damaskvane-config` runs unchanged against an in-memory store and a message
//! queue with virtual time. The seed determines all faults. The run checks its invariants after each
//! step. At the end, after all faults have ended, it checks that the newest ticket is active on every
//! instance.
//!
//! ```
//! use damaskvane_standins::config_run;
//!
//! let settings = config_run::RunSettings { seconds: 2, ..Default::default() };
//! let report = config_run::run(settings).expect("no invariant is violated");
//! assert!(report.instances > 0);
//! ```

mod activation_times;
mod calls;
mod draft;
mod exchange;
mod fleet;
mod operators;
mod oracle;
mod report;
mod settings;
mod world;

pub use report::{InvariantViolation, RunReport};
pub use settings::RunSettings;
pub use world::run;
