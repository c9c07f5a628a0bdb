//! Tracks which entry instances are alive, which of them a lookup returns, and to which of them messages are sent.
//!
//! A lookup is a client's request for the addresses of entry instances. An aggregator is an instance that sends
//! messages to other zones for its own availability zone.
//!
//! ```
//! use damaskvane_routing::peers;
//!
//! let settings = peers::PeerSettings::default();
//! assert!(settings.heartbeat_timeout_ms > settings.heartbeat_ms);
//! ```

mod caller;
mod digest;
mod heartbeat;
mod heartbeat_targets;
mod instance_list;
mod listed;
mod member_table;
mod members;
mod relay;
mod settings;

pub use digest::{Digest, DigestEntry, IncarnationKey};
pub use heartbeat::{Heartbeat, Phase};
pub use listed::ListedInstance;
pub use members::Members;
pub use relay::Relay;
pub use settings::PeerSettings;
