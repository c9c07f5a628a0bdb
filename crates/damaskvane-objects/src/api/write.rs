//! Write ids and the results of conditional writes.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! let unknown = api::WriteResult::Unknown(api::UnknownReason::NoResponse("timed out".into()));
//! assert_ne!(unknown, api::WriteResult::Conflict { current: api::ObjectVersion::ABSENT });
//! ```

use core::fmt;
use core::str;

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

use crate::api::version::ObjectVersion;

/// The id of a write: the same on every try of the write, different for two writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(String);

impl WriteId {
    /// Creates an id from a text without the characters that a header can't contain.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.chars().filter(char::is_ascii_graphic).collect())
    }

    /// Returns the id as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for WriteId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for WriteId {
    type Err = core::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self::new(text))
    }
}

/// The reason why a write certainly had no effect, so that a retry is as safe as the first try.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NotAppliedReason {
    /// no connection to the platform ({0}); try again after a pause
    NoConnection(String),
    /// the platform has an outage; try again after a pause
    Outage,
    /// the platform limits the call rate; try again after {0}
    RateLimited(time::SpanMs),
    /// this program has used up its rate budget; try again after {0} or raise calls_per_second
    BudgetExhausted(time::SpanMs),
    /// the platform refuses the token or the author; check the token file and its holder
    Unauthorized,
    /// the value is larger than one megabyte; split the object
    TooLarge,
    /// the platform refuses the write with status {0}; check the address and the versions
    Refused(u16),
}

impl NotAppliedReason {
    /// Returns the label under which writes that failed for this reason are counted.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NoConnection(_) => "no-connection",
            Self::Outage => "outage",
            Self::RateLimited(_) => "rate-limited",
            Self::BudgetExhausted(_) => "budget-spent",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too-large",
            Self::Refused(_) => "refused",
        }
    }

    /// Returns whether the same write can succeed later without a fix by an operator.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::NoConnection(_) | Self::Outage | Self::RateLimited(_) | Self::BudgetExhausted(_)
        )
    }
}

/// The reason why it is unknown whether a write took effect.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UnknownReason {
    /// no response was received ({0}); read the object back and compare its write id
    NoResponse(String),
    /// the platform's status {0} leaves open whether the write took effect; read the object back and compare its write id
    Status(u16),
}

/// The result of one try of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect.
    Applied {
        /// The version that the write created.
        version: ObjectVersion,
    },
    /// The write had no effect, since the object has another version.
    Conflict {
        /// The version of the object; [`ObjectVersion::ABSENT`] if the platform did not send one.
        current: ObjectVersion,
    },
    /// The write had no effect, for another reason.
    NotApplied(NotAppliedReason),
    /// The write may have taken effect, or may still take effect.
    Unknown(UnknownReason),
}
