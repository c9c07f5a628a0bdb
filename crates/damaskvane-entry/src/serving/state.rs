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
use damaskvane_core::{ids, time};
use damaskvane_steering::plan;

/// An entry instance that clients can be told to use.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryPoint {
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
    /// The zone of this instance, for clients whose block is not declared.
    pub own_zone: Option<ids::AvailabilityZoneId>,
    /// Services by name.
    pub services: BTreeMap<ids::ServiceId, LookupService>,
    /// Where traffic goes.
    pub plan: plan::Plan,
    /// Live entry instances that are not leaving, by zone.
    pub entries: BTreeMap<ids::AvailabilityZoneId, Vec<EntryPoint>>,
}

impl Default for ServingState {
    fn default() -> Self {
        Self {
            version: ids::ConfigVersion::default(),
            config: None,
            own_zone: None,
            services: BTreeMap::new(),
            plan: plan::Plan::empty(time::TimeMs::ZERO),
            entries: BTreeMap::new(),
        }
    }
}
