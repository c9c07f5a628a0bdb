//! Settings of the pool: the rate limit of cold servers, the grace time for missing entries, and the regions.

use damaskvane_core::ids;

use crate::limit::ColdRateSettings;

/// Settings of a [`ServerPool`](crate::pool::ServerPool).
#[derive(Debug, Clone, PartialEq)]
pub struct PoolSettings {
    /// Limit on the rate of requests to a cold server, which has started recently.
    pub cold_rate: ColdRateSettings,
    /// Time for which a server is retained if its entry in the platform's store is missing after an outage of the
    /// store.
    pub expiry_grace_ms: u64,
    /// Region of each availability zone.
    pub regions: std::collections::HashMap<ids::AvailabilityZoneId, ids::RegionId>,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            cold_rate: ColdRateSettings::default(),
            // Servers write their entries every 1 to 2 seconds, so a live server has written within this time.
            expiry_grace_ms: 2_200,
            regions: std::collections::HashMap::new(),
        }
    }
}
