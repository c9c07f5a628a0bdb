//! The steering experiment: the pure decision code against baselines, in virtual time.
//!
//! Traffic is seeded, reports are delayed, lost or falsified where the decision code takes them in, and
//! every zone of a service is a set of slots with a bounded queue. There is no model of the network or
//! of processes beyond these delays, losses and rates.
//!
//! ```
//! use damaskvane_bench::steering;
//!
//! let case = steering::Case {
//!     deployment: steering::DeploymentName::Prairie,
//!     strategy: steering::Strategy::Nearest,
//!     fault: steering::Fault::None,
//!     load_percent: 10,
//!     seed: 1,
//! };
//! assert!(steering::run_case(&case, steering::Length { warm_s: 1, run_s: 2 }).requests > 0);
//! ```

pub mod command;

mod case;
mod decider;
mod deployment;
mod digests;
mod fault;
mod measure;
mod queue;
mod report;
mod strategy;
mod traffic;
mod world;

pub use case::{Case, Length};
pub use deployment::DeploymentName;
pub use fault::Fault;
pub use measure::Measured;
pub use report::{Interval, Row};
pub use strategy::Strategy;
pub use world::run_case;
