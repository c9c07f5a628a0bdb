//! A small model of clients, entry instances and backend servers, for randomised runs.
//!
//! The entry instances run the decision code of this crate. Everything around them fails: messages are
//! delayed, reordered, repeated and lost; instances are killed, paused and restarted as planned; backend
//! servers refuse requests, crash before and after running them, and send responses that are truncated,
//! delayed or belong to another request. A checker compares the log of executed requests with every answer.
//! Equal seeds give equal runs.
//!
//! ```
//! use damaskvane_dispatch::model;
//!
//! let mut run = model::Run::new(7, model::ModelSettings::default());
//! run.steps(1_000);
//! assert_eq!(run.report().violations, Vec::<String>::new());
//! ```

mod checker;
mod event;
mod exchanges;
mod faults;
mod instance;
mod report;
mod run;
mod settings;

pub use report::Report;
pub use run::Run;
pub use settings::ModelSettings;
