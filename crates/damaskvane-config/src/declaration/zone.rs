//! The declarations of regions, availability zones and sites.
//!
//! ```
//! use damaskvane_config::declaration;
//!
//! assert!(declaration::Region::default().description.is_empty());
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, time};
use serde::{Deserialize, Serialize};

/// A region, which contains availability zones.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Region {
    /// Free text for operators, not interpreted.
    #[serde(default)]
    pub description: String,
}

impl Region {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &["description"];
}

/// An availability zone and its delays to other zones.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AvailabilityZone {
    /// The region the zone belongs to.
    pub region: ids::RegionId,
    /// One-way delay to other zones, in milliseconds; a zone without a known delay is absent.
    #[serde(default)]
    pub latency_ms: BTreeMap<ids::AvailabilityZoneId, time::SpanMs>,
}

impl AvailabilityZone {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &["region", "latency_ms"];
}

/// A site: the entry instances (processes that take clients' requests) of one availability zone.
///
/// A client's lookup, its query for the instances to use, directs the client to a site.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Site {
    /// The availability zone whose instances serve the site.
    pub availability_zone: ids::AvailabilityZoneId,
}

impl Site {
    /// The keys that are valid in TOML.
    pub const KEYS: &'static [&'static str] = &["availability_zone"];
}
