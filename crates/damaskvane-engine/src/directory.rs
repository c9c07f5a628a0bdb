//! What the engine knows of its surroundings: services, backend servers of its zone, other instances.
//!
//! The control thread builds a new directory whenever the configuration or the membership changes.
//!
//! ```
//! use damaskvane_engine::directory;
//!
//! let directory = directory::Directory::default();
//! assert!(directory.services.is_empty());
//! ```

mod backend_server;
mod peer_instance;
mod service;

use std::collections::BTreeMap;

pub use backend_server::BackendServer;
use damaskvane_core::{ids, time};
pub use peer_instance::{PeerInstance, Reachability};
pub use service::Service;

/// Everything the engine knows of its surroundings, as one immutable value.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The configuration version that it rests on.
    pub version: ids::ConfigVersion,
    /// The availability zone of this instance.
    pub own_zone: Option<ids::AvailabilityZoneId>,
    /// The region of this instance.
    pub own_region: Option<ids::RegionId>,
    /// The longest time for which clients keep a look-up answer.
    pub lookup_ttl: time::SpanMs,
    /// Every declared service.
    pub services: BTreeMap<ids::ServiceId, Service>,
    /// The backend servers of the own availability zone.
    pub backend_servers: BTreeMap<ids::BackendServerId, BackendServer>,
    /// Every other entry instance that is known.
    pub instances: BTreeMap<ids::InstanceId, PeerInstance>,
}
