//! Sizes, rates and counts as newtypes, so that a slot is never added to a byte.
//!
//! ```
//! use damaskvane_core::units;
//!
//! let slots: units::Slots = "6".parse()?;
//! assert_eq!((slots + units::Slots::new(2)).get(), 8);
//! # Ok::<(), units::ParseUnitError>(())
//! ```

mod amount;
mod error;

pub use amount::{Bytes, MegabitsPerSecond, Permille, RequestsPerSecond, Slots};
pub use error::ParseUnitError;
