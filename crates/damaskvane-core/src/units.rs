//! Newtypes for sizes, rates and counts, so that amounts of different units are never added.
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
