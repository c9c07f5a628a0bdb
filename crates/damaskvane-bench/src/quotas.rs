//! Ways to keep quotas over all instances, compared in virtual time.
//!
//! Instances in six zones of three regions get requests of teams. Each way decides which of them run, by messages that
//! take time, get lost and can't pass where zones are cut off. A central token bucket tells which requests the quota
//! permits.
//!
//! ```
//! use damaskvane_bench::quotas;
//!
//! let case = quotas::Case { instances: 12, teams: 5, seconds: 1, ..quotas::Case::default() };
//! let figure = quotas::play(&case);
//! assert!(figure.requests > 0);
//! ```

pub mod command;

mod case;
mod counts;
mod ledger;
mod network;
mod pools;
mod shares;
mod traffic;
mod way;
mod world;

pub use case::{Case, Pattern, WayName};
pub use ledger::Figure;
pub use world::play;
