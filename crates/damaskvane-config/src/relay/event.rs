//! Events that an instance reports to its relay.
//!
//! A head lists all objects of one configuration version; a chunk holds the state of one object.
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

/// An input to [`Relay::handle`](super::Relay::handle).
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Time passed; to be reported every 50 to 100 ms, so that deadlines are noticed.
    Tick,
    /// The set of live instances changed; the view holds the new set.
    Membership(View),
    /// A peer reported its active version in an announcement or a heartbeat.
    VersionReported {
        /// The peer.
        from: ids::InstanceId,
        /// The peer's active version.
        version: ids::ConfigVersion,
        /// The hash over the declared objects of that version; `None` if the message has no hash.
        state_hash: Option<ContentHash>,
    },
    /// The watch on the store reported a change of the head.
    WatchFired,
    /// A fetched head arrived.
    Head {
        /// The source that sent it.
        from: Source,
        /// Its bytes, not yet checked.
        bytes: Arc<[u8]>,
    },
    /// Fetched chunks arrived, possibly fewer than requested.
    Chunks {
        /// The source that sent them.
        from: Source,
        /// Their bytes, not yet checked.
        chunks: Vec<Arc<[u8]>>,
    },
    /// A fetch got no response, or the source doesn't have the object.
    FetchFailed {
        /// The source of the fetch.
        from: Source,
    },
}
