//! Steering policy of a deployment.
//!
//! Utilization is the part of a zone's capacity that is in use. A knee is the utilization above
//! which the planner sends further clients to other zones.
//!
//! ```
//! use damaskvane_steering::policy;
//!
//! assert_eq!(policy::Policy::Latency.to_string(), "latency");
//! ```

use core::fmt;
use core::str;

use serde::{Deserialize, Serialize};

/// Trade-off between latency and free capacity in the planner.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Policy {
    /// Clients use near zones until the utilization of these zones passes a high knee, and only the
    /// clients in excess of the knee use zones that are farther away.
    #[default]
    Latency,
    /// Utilization is balanced over all zones, so that the fullest region keeps as much free
    /// capacity as possible.
    Headroom,
}

/// invalid steering policy {text:?}; use "latency" or "headroom"
#[derive(Debug, Clone, PartialEq, Eq, displaydoc::Display, thiserror::Error)]
pub struct ParsePolicyError {
    text: String,
}

impl Policy {
    /// Returns the knee of a zone's utilization, up to which the zone's clients use only this zone,
    /// in thousandths.
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
