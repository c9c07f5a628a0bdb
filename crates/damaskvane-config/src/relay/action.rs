//! Actions that a relay returns to the instance that runs it.
//!
//! A head lists all objects of one configuration version; a chunk holds the state of one object.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_ne!(relay::Action::StopWatching, relay::Action::WatchStore);
//! ```

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// The source of a head or of chunks.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's object API.
    Store,
    /// Another instance.
    Peer(ids::InstanceId),
}

/// A request to the instance to send, fetch, watch or publish something.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send the local active version to a peer, which handles it as [`Event::VersionReported`].
    ///
    /// [`Event::VersionReported`]: super::Event::VersionReported
    Announce {
        /// The peer.
        to: ids::InstanceId,
        /// The local active version.
        version: ids::ConfigVersion,
        /// The hash over all declared objects of that version.
        state_hash: ContentHash,
    },
    /// Fetch the head; the result is reported as [`Event::Head`] or [`Event::FetchFailed`].
    ///
    /// [`Event::Head`]: super::Event::Head
    /// [`Event::FetchFailed`]: super::Event::FetchFailed
    FetchHead {
        /// The source to fetch from.
        from: Source,
    },
    /// Fetch chunks; the result is reported as [`Event::Chunks`] or [`Event::FetchFailed`].
    ///
    /// [`Event::Chunks`]: super::Event::Chunks
    /// [`Event::FetchFailed`]: super::Event::FetchFailed
    FetchChunks {
        /// The source to fetch from.
        from: Source,
        /// The hashes of the chunks.
        hashes: Vec<ContentHash>,
    },
    /// Watch the store's head until [`Action::StopWatching`].
    ///
    /// Each change is reported as [`Event::WatchFired`]. The action is returned once, when this
    /// instance becomes a relay.
    ///
    /// [`Event::WatchFired`]: super::Event::WatchFired
    WatchStore,
    /// Stop watching the store, since this instance is no longer a relay.
    StopWatching,
    /// Publish a version that became active; [`Relay::applier`] holds its configuration.
    ///
    /// [`Relay::applier`]: super::Relay::applier
    Activated {
        /// The new active version.
        version: ids::ConfigVersion,
    },
}
