//! Regions, availability zones and sites.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert!(declaration::Region::default().description.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// A region.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// Free text for operators.
    #[serde(default)]
    pub description: String,
}

impl Region {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &["description"];
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityZone {
    /// The region the zone belongs to.
    pub region: ids::RegionId,
    /// Delay one way to other zones, where it is known.
    #[serde(default)]
    pub latency_ms: BTreeMap<ids::AvailabilityZoneId, time::SpanMs>,
}

impl AvailabilityZone {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &["region", "latency_ms"];
}

/// A site that look-ups steer to: the entry instances of one availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The availability zone whose instances serve the site.
    pub availability_zone: ids::AvailabilityZoneId,
}

impl Site {
    /// The keys of the TOML form.
    pub const KEYS: &'static [&'static str] = &["availability_zone"];
}
