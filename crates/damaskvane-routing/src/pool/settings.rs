//! Settings of the pool.

use damaskvane_core::ids;

use crate::limit::ColdRateSettings;

/// What the pool must know of its surroundings.
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// The bound on cold servers.
    pub cold_rate: ColdRateSettings,
    /// How long an entry that lapsed while the store was away may be missing after its return.
    pub expiry_grace_ms: u64,
    /// The region of each availability zone.
    pub regions: std::collections::HashMap<ids::AvailabilityZoneId, ids::RegionId>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            cold_rate: ColdRateSettings::default(),
            // Servers write every 1 to 2 seconds; a live one is back within this time.
            expiry_grace_ms: 2_200,
            regions: std::collections::HashMap::new(),
        }
    }
}
