//! What is known of a write.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! let unknown = api::WriteResult::Unknown(api::UnknownReason::NoAnswer("timed out".into()));
//! assert_ne!(unknown, api::WriteResult::Conflict { current: api::ObjectVersion::ABSENT });
//! ```

use core::fmt;
use core::str;

use damaskvane_core::time;
use serde::{Deserialize, Serialize};

use crate::api::version::ObjectVersion;

/// The identity of a write: equal on every try of one write, never equal for two writes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(String);

impl WriteId {
    /// Wraps a text; characters that can't stand in a header are dropped.
    #[must_use]
    pub fn new(text: &str) -> Self {
        Self(text.chars().filter(char::is_ascii_graphic).collect())
    }

    /// The text.
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

/// Why a write had no effect; proven, so that it may be tried again as if for the first time.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum NotAppliedReason {
    /// no connection to the platform ({0}); try again after a pause
    NoConnection(String),
    /// the platform has an outage; try again after a pause
    Outage,
    /// the platform refuses by rate; try again after {0}
    RateLimited(time::SpanMs),
    /// this program's own rate budget is spent; try again after {0} or raise calls_per_second
    BudgetSpent(time::SpanMs),
    /// the platform refuses the token or the author; check the token file and its holder
    Unauthorized,
    /// the value is over one megabyte; split the object
    TooLarge,
    /// the platform refuses the write with status {0}; check the address and the versions
    Refused(u16),
}

impl NotAppliedReason {
    /// The word under which refusals of this kind are counted.
    #[must_use]
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::NoConnection(_) => "no-connection",
            Self::Outage => "outage",
            Self::RateLimited(_) => "rate-limited",
            Self::BudgetSpent(_) => "budget-spent",
            Self::Unauthorized => "unauthorized",
            Self::TooLarge => "too-large",
            Self::Refused(_) => "refused",
        }
    }

    /// Whether the same write can succeed later without anyone mending something first.
    #[must_use]
    pub const fn is_transient(&self) -> bool {
        matches!(
            self,
            Self::NoConnection(_) | Self::Outage | Self::RateLimited(_) | Self::BudgetSpent(_)
        )
    }
}

/// Why it is unknown whether a write had an effect.
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub enum UnknownReason {
    /// no answer came ({0}); read the object back and compare the write's identity
    NoAnswer(String),
    /// the platform answered {0}, which does not tell; read the object back and compare the write's identity
    Status(u16),
}

/// What is known of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteResult {
    /// It took effect and made this version.
    Applied {
        /// The version it made.
        version: ObjectVersion,
    },
    /// It had no effect, since the object has another version.
    Conflict {
        /// The object's version, where the platform told it.
        current: ObjectVersion,
    },
    /// It had no effect, for another reason.
    NotApplied(NotAppliedReason),
    /// It may have taken effect, or may yet.
    Unknown(UnknownReason),
}
