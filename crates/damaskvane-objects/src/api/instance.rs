//! An instance's record in the platform, the key-value store outside the instances that all of them use.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! let text = r#"{"instance":"sask-a-1","availability_zone":"sask-a","region":"sask",
//!     "incarnation":3,"client_address":"127.0.0.1:1","peer_address":"127.0.0.1:2",
//!     "operator_address":"127.0.0.1:3"}"#;
//! let record: api::InstanceRecord = serde_json::from_str(text).expect("an entry");
//! assert!(!record.leaving);
//! ```

use std::net;

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// The record that an instance writes to the platform under the key `instance/{id}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// The id of the instance.
    pub instance: ids::InstanceId,
    /// The availability zone in which the instance runs.
    pub availability_zone: ids::AvailabilityZoneId,
    /// The region in which the instance runs.
    pub region: ids::RegionId,
    /// The incarnation of the instance that wrote the record.
    pub incarnation: ids::Incarnation,
    /// The address at which the instance listens for clients.
    pub client_address: net::SocketAddr,
    /// The address at which the instance listens for other instances.
    pub peer_address: net::SocketAddr,
    /// The address at which the instance listens for operators.
    pub operator_address: net::SocketAddr,
    /// Whether the instance is about to stop.
    #[serde(default)]
    pub leaving: bool,
    /// Whether another instance fenced this incarnation and so took away its authority. The record
    /// remains for a while as the fence record.
    #[serde(default)]
    pub fenced: bool,
    /// Whether the fenced incarnation may continue for longer, as the only instance left of a zone that
    /// is cut off.
    #[serde(default)]
    pub goes_on_alone: bool,
}
