//! The placement experiment: the gateway's own decisions against baselines and its earlier settings, under
//! load, in virtual time.
//!
//! It models load only: backend servers with slots, a short queue and a memory of the objects they handled
//! lately; callers with objectives, some of whom come back at once when they are refused. There are no
//! sockets, no store and no failures but slow servers. The decisions are those of `damaskvane-routing`.
//!
//! ```
//! use damaskvane_bench::placement;
//!
//! let case = placement::Case {
//!     model: placement::Model::Standard,
//!     policy: placement::Policy::Current,
//!     pattern: placement::Pattern::Steady,
//!     load_percent: 50,
//!     seed: 1,
//! };
//! let measured = placement::run_case(&case, placement::Length { run_ms: 2_000 });
//! assert!(measured.owed > 0.0);
//! ```

pub mod command;

mod backend;
mod case;
mod deployment;
mod drawn;
mod instance;
mod measure;
mod mechanism;
mod oracle;
mod plot;
mod policy;
mod ratio;
mod report;
mod traffic;
mod world;

pub use case::{Case, Length, Model, Pattern};
pub use measure::Measured;
pub use mechanism::Mechanism;
pub use policy::Policy;
pub use ratio::Ratios;
pub use report::Row;
pub use world::run_case;
