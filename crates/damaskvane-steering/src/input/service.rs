//! Service with the slots of its backend servers.
//!
//! A slot is the capacity of a backend server to run one request. A grant is the permission of a
//! zone for another zone to send it requests at a given rate.
//!
//! ```
//! use damaskvane_core::units;
//! use damaskvane_steering::{input, rate};
//!
//! let zone: damaskvane_core::ids::AvailabilityZoneId = "sask-a".parse()?;
//! let service = input::Service {
//!     typical_time_ms: 100,
//!     slots: [(zone.clone(), units::Slots::new(24))].into(),
//!     ..input::Service::default()
//! };
//! assert_eq!(service.capacity(&zone), rate::Rate::per_second(240));
//! # Ok::<(), damaskvane_core::ids::ParseIdError>(())
//! ```

use std::collections::BTreeMap;

use damaskvane_core::{ids, units};

use crate::rate;

const MS_PER_SECOND: u64 = 1_000;

/// Slots of a service by zone, and the cost of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// How long a request typically occupies a slot, in milliseconds.
    pub typical_time_ms: u32,
    /// Bytes of a typical request and its response, charged against the links between regions.
    pub typical_bytes: u32,
    /// Slots of all backend servers of the service, by zone.
    pub slots: BTreeMap<ids::AvailabilityZoneId, units::Slots>,
    /// Part of a zone's capacity that all other zones together may use without a valid grant, in
    /// thousandths.
    pub static_share_permille: u32,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            typical_time_ms: 100,
            typical_bytes: 16_384,
            slots: BTreeMap::new(),
            static_share_permille: 50,
        }
    }
}

impl Service {
    /// Returns the declared capacity of a zone: slots divided by the typical time.
    #[must_use]
    pub fn capacity(&self, zone: &ids::AvailabilityZoneId) -> rate::Rate {
        let slots = self.slots.get(zone).map_or(0, |slots| slots.get());
        let time_ms = u64::from(self.typical_time_ms.max(1));
        rate::Rate::per_second(u64::from(slots)).scaled(MS_PER_SECOND, time_ms)
    }

    /// Returns the rate that each of `others` source zones may send to a zone without a valid
    /// grant.
    #[must_use]
    pub fn static_share(&self, zone: &ids::AvailabilityZoneId, others: usize) -> rate::Rate {
        let together = self.capacity(zone).permille(self.static_share_permille);
        together.scaled(1, others as u64)
    }
}
