//! Number identifiers.
//!
//! ```
//! use damaskvane_core::ids;
//!
//! assert!(ids::ConfigVersion::new(4) > ids::ConfigVersion::new(3));
//! ```

use core::fmt;
use core::str;

use serde::{Deserialize, Serialize};

use crate::ids::error::ParseIdError;

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates an identifier from a number.
            #[must_use]
            pub const fn new(value: u64) -> Self {
                Self(value)
            }

            /// Returns the identifier as a number.
            #[must_use]
            pub const fn get(self) -> u64 {
                self.0
            }

            /// Returns the identifier that is higher by one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl str::FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.parse().map(Self).map_err(|_| ParseIdError::Number {
                    kind: $kind,
                    text: text.to_owned(),
                })
            }
        }
    };
}

number_id!(
    /// The version of the configuration head; never decreases.
    ConfigVersion,
    "configuration version"
);
number_id!(
    /// The number of an incarnation of an instance; each restart of the instance raises it.
    Incarnation,
    "incarnation"
);
number_id!(
    /// The number of a configuration change ticket.
    TicketNumber,
    "ticket number"
);
