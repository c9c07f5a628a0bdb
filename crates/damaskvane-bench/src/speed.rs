//! What an entry instance adds to a request, and how many look-ups it answers.
//!
//! ```
//! use damaskvane_bench::speed;
//!
//! let bounds = speed::Bounds::default();
//! assert_eq!(bounds.lookups_per_second, 5_000.0);
//! ```

pub mod command;
mod lookups;
mod report;
mod requests;

pub use lookups::{LookupFigures, LookupLoad, measure_lookups};
pub use report::{Bounds, SpeedReport};
pub use requests::{RequestFigures, Targets, measure_requests};
