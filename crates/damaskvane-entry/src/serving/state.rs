//! One snapshot of what look-ups need.
//!
//! ```
//! use damaskvane_entry::serving;
//!
//! let state = serving::ServingState::default();
//! assert!(state.entries.is_empty());
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use damaskvane_config::state;
use damaskvane_core::{hash, ids, time};
use damaskvane_steering::plan;

use crate::serving::client_zones;

/// An entry instance that clients can be told to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryEndpoint {
    /// The instance.
    pub instance: ids::InstanceId,
    /// Which start of it.
    pub incarnation: ids::Incarnation,
    /// Where clients reach it.
    pub client_address: String,
}

/// What a look-up needs of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LookupService {
    /// How long a client may keep the answer.
    pub ttl: time::SpanMs,
}

/// One snapshot of what look-ups need.
#[derive(Debug)]
pub struct ServingState {
    /// The configuration version it rests on.
    pub version: ids::ConfigVersion,
    /// The configuration itself; none before the first.
    pub config: Option<Arc<state::ConfigState>>,
    /// The zone nearest to each declared client block.
    pub clients: Arc<client_zones::ClientZones>,
    /// The zone of this instance, for clients whose block is not declared.
    pub own_zone: Option<ids::AvailabilityZoneId>,
    /// Services by name.
    pub services: BTreeMap<ids::ServiceId, LookupService>,
    /// Where traffic goes.
    pub plan: plan::Plan,
    /// Live entry instances that are not leaving, by zone.
    pub entries: BTreeMap<ids::AvailabilityZoneId, Vec<EntryEndpoint>>,
}

impl Default for ServingState {
    fn default() -> Self {
        Self {
            version: ids::ConfigVersion::default(),
            config: None,
            clients: Arc::default(),
            own_zone: None,
            services: BTreeMap::new(),
            plan: plan::Plan::empty(time::TimeMs::ZERO),
            entries: BTreeMap::new(),
        }
    }
}

impl ServingState {
    /// The zone that a client is steered from: the one nearest to its block, or this instance's own.
    #[must_use]
    pub fn source_zone(
        &self,
        client: Option<&ids::ClientBlock>,
    ) -> Option<&ids::AvailabilityZoneId> {
        client
            .and_then(|client| self.clients.near(client))
            .or(self.own_zone.as_ref())
    }
}

/// A number that stands for a client block, equal on every instance.
#[must_use]
pub fn client_hash(block: &str) -> u64 {
    hash::ContentHash::of(block.as_bytes()).as_bytes()[..8]
        .iter()
        .fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte))
}
