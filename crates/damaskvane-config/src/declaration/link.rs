//! Links between regions.
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
    /// Where the link starts.
    pub from: ids::RegionId,
    /// Where the link ends.
    pub to: ids::RegionId,
    /// What it carries.
    pub capacity_mbps: units::MegabitsPerSecond,
}

impl Link {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &["from", "to", "capacity_mbps"];
}
