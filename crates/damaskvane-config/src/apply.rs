//! How an instance takes a head into force, from whatever source, never backwards.
//!
//! ```
//! use damaskvane_config::{apply, manifest};
//!
//! let mut applier = apply::Applier::default();
//! let verdict = applier.offer_head(&manifest::Head::default().encode());
//! assert_eq!(verdict, apply::Verdict::Ignored(apply::IgnoreReason::NotNewer));
//! ```

mod active_config;
mod applier;
mod counts;
mod verdict;

pub use active_config::ActiveConfig;
pub use applier::Applier;
pub use counts::AdoptCounts;
pub use verdict::{IgnoreReason, Verdict};
