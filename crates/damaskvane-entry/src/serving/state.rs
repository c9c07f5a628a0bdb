//! Snapshot of the state that lookups are served from.
//!
//! A client block is a named group of clients; the configuration declares the nearest zone of a block.
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

/// Entry instance that lookup responses can name, with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryEndpoint {
    /// Id of the instance.
    pub instance: ids::InstanceId,
    /// Latest known incarnation of the instance: the number of its process's start, or a higher one if the
    /// process has raised the number since.
    pub incarnation: ids::Incarnation,
    /// Address that the instance accepts clients on.
    pub client_address: String,
}

/// Settings of a service that lookups use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LookupService {
    /// Time for which a client may cache a lookup response.
    pub ttl: time::SpanMs,
}

/// Immutable snapshot of the state that lookups are served from.
#[derive(Debug)]
pub struct ServingState {
    /// Version of the configuration that the snapshot was built from; zero before the first.
    pub version: ids::ConfigVersion,
    /// Configuration that the snapshot was built from; none before the first.
    pub config: Option<Arc<state::ConfigState>>,
    /// Nearest zone of each declared client block.
    pub clients: Arc<client_zones::ClientZones>,
    /// Zone of this instance, for clients whose block is not declared; none before the first configuration.
    pub own_zone: Option<ids::AvailabilityZoneId>,
    /// Declared services.
    pub services: BTreeMap<ids::ServiceId, LookupService>,
    /// Traffic plan: weights that distribute the clients of each source zone over destination zones.
    pub plan: plan::Plan,
    /// Live entry instances that are not shutting down, by zone.
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
    /// Returns the zone that a client is steered from: the nearest zone of its block, or the zone of this
    /// instance if the block is unknown.
    #[must_use]
    pub fn source_zone(
        &self,
        client: Option<&ids::ClientBlock>,
    ) -> Option<&ids::AvailabilityZoneId> {
        client
            .and_then(|client| self.clients.nearest_zone(client))
            .or(self.own_zone.as_ref())
    }
}

/// Returns a hash of a client block that is equal on every instance.
#[must_use]
pub fn client_hash(block: &str) -> u64 {
    hash::ContentHash::of(block.as_bytes()).as_bytes()[..8]
        .iter()
        .fold(0_u64, |sum, byte| (sum << 8) | u64::from(*byte))
}
