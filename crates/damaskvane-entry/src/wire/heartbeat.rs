//! The sign of life of an entry instance.
//!
//! ```
//! use damaskvane_entry::wire;
//!
//! assert!(!wire::Heartbeat::default().leaving);
//! ```

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

/// A sign of life. Field names are short because it is sent all the time.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The configuration version in force on the sender.
    #[serde(rename = "v", default)]
    pub config_version: ids::ConfigVersion,
    /// Whether the sender is leaving.
    #[serde(rename = "l", default)]
    pub leaving: bool,
}
