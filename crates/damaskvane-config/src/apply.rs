//! Applies heads on an instance, from any source, and never goes back to an older version.
//!
//! A head is the stored list of all objects of one configuration version.
//!
//! ```
//! use damaskvane_config::{apply, manifest};
//!
//! let mut applier = apply::Applier::default();
//! let outcome = applier.offer_head(&manifest::Head::default().encode());
//! assert_eq!(outcome, apply::ApplyOutcome::Ignored(apply::IgnoreReason::NotNewer));
//! ```

mod active_config;
mod applier;
mod counts;
mod outcome;

pub use active_config::ActiveConfig;
pub use applier::Applier;
pub use counts::ApplyCounts;
pub use outcome::{ApplyOutcome, IgnoreReason};
