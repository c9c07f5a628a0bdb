//! Amounts in whole units, one type for each unit.
//!
//! ```
//! use damaskvane_core::units;
//!
//! let free = units::Slots::new(6).saturating_sub(units::Slots::new(8));
//! assert_eq!(free, units::Slots::ZERO);
//! ```

use core::fmt;
use core::ops;
use core::str;

use serde::{Deserialize, Serialize};

use crate::units::error::ParseUnitError;

macro_rules! amount {
    ($(#[$doc:meta])* $name:ident, $inner:ty, $unit:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// The amount zero.
            pub const ZERO: Self = Self(0);

            /// Creates an amount from its number of units.
            #[must_use]
            pub const fn new(value: $inner) -> Self {
                Self(value)
            }

            /// Returns the number of units.
            #[must_use]
            pub const fn get(self) -> $inner {
                self.0
            }

            /// Subtracts `other`; returns zero if `other` is larger.
            #[must_use]
            pub const fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl ops::Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl core::iter::Sum for $name {
            fn sum<I: Iterator<Item = Self>>(amounts: I) -> Self {
                amounts.fold(Self::ZERO, ops::Add::add)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseUnitError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseUnitError::Number {
                    unit: $unit,
                    text: text.to_owned(),
                })
            }
        }
    };
}

amount!(
    /// A number of bytes.
    Bytes,
    u64,
    "bytes"
);
amount!(
    /// The data rate of a network link in megabits per second.
    MegabitsPerSecond,
    u32,
    "megabits a second"
);
amount!(
    /// A share in thousandths; 1000 means the whole.
    Permille,
    u32,
    "thousandths"
);
amount!(
    /// A request rate in requests per second.
    RequestsPerSecond,
    u32,
    "requests a second"
);
amount!(
    /// A number of slots: requests that a backend server may run concurrently.
    Slots,
    u32,
    "slots"
);
