//! The priority of a request.
//!
//! ```
//! use damaskvane_dispatch::admission;
//!
//! assert_eq!("high".parse(), Ok(admission::Priority::High));
//! ```

use core::str;

use serde::{Deserialize, Serialize};

/// The priority of a request; the more urgent priority orders before the less urgent one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// Served first.
    High,
    /// Served after high.
    #[default]
    Normal,
    /// Served last, rejected first.
    Low,
}

/// a priority is high, normal or low; leave the header out for normal
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParsePriorityError;

impl str::FromStr for Priority {
    type Err = ParsePriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "high" => Ok(Self::High),
            "normal" => Ok(Self::Normal),
            "low" => Ok(Self::Low),
            _ => Err(ParsePriorityError),
        }
    }
}
