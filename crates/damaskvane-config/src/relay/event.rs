//! What an instance learns about the head.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_eq!(relay::Event::Tick, relay::Event::Tick);
//! ```

use std::sync::Arc;

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

use crate::relay::action::Source;
use crate::relay::view::View;

/// Something that happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; due every 50 to 100 ms.
    Tick,
    /// The live instances changed.
    Membership(View),
    /// A peer told the version in force there, by announcement or heartbeat.
    VersionReported {
        /// The peer.
        from: ids::InstanceId,
        /// The version in force there.
        version: ids::ConfigVersion,
        /// The hash over its state, where the message holds it.
        state_hash: Option<ContentHash>,
    },
    /// The watch on the store's head fired.
    WatchFired,
    /// A head came.
    Head {
        /// From where.
        from: Source,
        /// Its bytes, not yet checked.
        bytes: Arc<[u8]>,
    },
    /// Chunks came, perhaps not all that were asked for.
    Chunks {
        /// From where.
        from: Source,
        /// Their bytes, not yet checked.
        chunks: Vec<Arc<[u8]>>,
    },
    /// A fetch got no answer or the object was absent.
    FetchFailed {
        /// From where.
        from: Source,
    },
}
