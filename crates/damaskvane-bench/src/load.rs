//! Open-loop load: requests are due by the clock, whatever became of those before.
//!
//! Latency counts from when a request was due, so that a stall of the system shows in every request
//! that it delayed.
//!
//! ```
//! use damaskvane_bench::load;
//!
//! let settings = load::LoadSettings { rate: 100, seconds: 2, ..load::LoadSettings::default() };
//! assert_eq!(settings.requests(), 200);
//! ```

mod answers;
pub mod command;
mod generator;
mod report;
mod settings;

pub use answers::write_answers;
pub use generator::{Generator, run, run_until};
pub use report::Report;
pub use settings::LoadSettings;
