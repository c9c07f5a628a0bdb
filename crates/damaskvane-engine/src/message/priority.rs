//! How urgent a request is.
//!
//! ```
//! use damaskvane_engine::message;
//!
//! assert!(message::Priority::High > message::Priority::Normal);
//! ```

use core::str;

use serde::{Deserialize, Serialize};

/// How urgent a request is, as its client says.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    /// May be refused first.
    Low,
    /// Most requests.
    #[default]
    Normal,
    /// Refused last.
    High,
}

/// a priority is high, normal or low; {0:?} is none of them
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParsePriorityError(String);

impl str::FromStr for Priority {
    type Err = ParsePriorityError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "low" => Ok(Self::Low),
            "normal" => Ok(Self::Normal),
            "high" => Ok(Self::High),
            other => Err(ParsePriorityError(other.to_owned())),
        }
    }
}
