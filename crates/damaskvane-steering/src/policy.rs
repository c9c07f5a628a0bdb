//! What a deployment weighs most.
//!
//! ```
//! use damaskvane_steering::policy;
//!
//! assert_eq!(policy::Policy::Latency.to_string(), "latency");
//! ```

use core::fmt;
use core::str;

use serde::{Deserialize, Serialize};

/// How the planner trades latency against free capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Clients stay near until their zone's use passes a knee, and only the rest goes farther.
    #[default]
    Latency,
    /// The use of all zones is levelled, so that the fullest region keeps the most free capacity.
    Headroom,
}

/// {text:?} is no steering policy; write "latency" or "headroom"
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParsePolicyError {
    text: String,
}

impl Policy {
    /// Up to which use of a zone, in thousandths, its clients stay before others are considered.
    #[must_use]
    pub const fn knee_permille(self) -> u32 {
        match self {
            Self::Latency => 850,
            Self::Headroom => 300,
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Latency => "latency",
            Self::Headroom => "headroom",
        })
    }
}

impl str::FromStr for Policy {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "latency" => Ok(Self::Latency),
            "headroom" => Ok(Self::Headroom),
            _ => Err(ParsePolicyError {
                text: text.to_owned(),
            }),
        }
    }
}
