//! How an instance takes a head into force, from whatever source, never backwards.
//!
//! ```
//! use damaskvane_config::{adopt, manifest};
//!
//! let mut adopter = adopt::Adopter::default();
//! let verdict = adopter.offer_head(&manifest::Head::default().encode());
//! assert_eq!(verdict, adopt::Verdict::Ignored(adopt::IgnoreReason::NotNewer));
//! ```

mod adopter;
mod counts;
mod in_force;
mod verdict;

pub use adopter::Adopter;
pub use counts::AdoptCounts;
pub use in_force::InForce;
pub use verdict::{IgnoreReason, Verdict};
