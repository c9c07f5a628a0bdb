//! The services, the backend servers of the local availability zone and the other entry instances.
//!
//! The control thread of the instance builds a new directory whenever the configuration or the membership (the
//! set of entry instances) changes.
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

/// An immutable snapshot of the configuration and membership that the engine uses.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    /// The version of the configuration that the snapshot was built from; zero before the first configuration.
    pub version: ids::ConfigVersion,
    /// The availability zone of this instance.
    pub own_zone: Option<ids::AvailabilityZoneId>,
    /// The region of this instance.
    pub own_region: Option<ids::RegionId>,
    /// The longest time for which clients cache a lookup response, which names entry instances to use.
    pub lookup_ttl: time::SpanMs,
    /// Every service that the configuration declares.
    pub services: BTreeMap<ids::ServiceId, Service>,
    /// The backend servers of the local availability zone.
    pub backend_servers: BTreeMap<ids::BackendServerId, BackendServer>,
    /// Every other entry instance in the member table.
    pub instances: BTreeMap<ids::InstanceId, PeerInstance>,
}
