//! Which entry instances are alive, and which a look-up names.
//!
//! ```
//! use damaskvane_routing::peers;
//!
//! let settings = peers::PeerSettings::default();
//! assert!(settings.silence_ms > settings.heartbeat_ms);
//! ```

mod caller;
mod digest;
mod heartbeat;
mod listed;
mod listing;
mod members;
mod outreach;
mod relay;
mod roster;
mod settings;

pub use digest::{Digest, DigestEntry, IncarnationKey};
pub use heartbeat::{Heartbeat, Phase};
pub use listed::ListedInstance;
pub use members::Members;
pub use relay::Relay;
pub use settings::PeerSettings;
