//! The declaration of a link between regions.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert!(declaration::Link::KEYS.contains(&"capacity_mbps"));
//! ```

use damaskvane_core::{ids, units};
use serde::{Deserialize, Serialize};

/// The link from one region to another, in that direction, shared by all traffic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The region where the link starts.
    pub from: ids::RegionId,
    /// The region where the link ends.
    pub to: ids::RegionId,
    /// The capacity of the link in megabits per second.
    pub capacity_mbps: units::MegabitsPerSecond,
}

impl Link {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &["from", "to", "capacity_mbps"];
}
