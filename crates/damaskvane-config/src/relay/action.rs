//! What an instance is to do about the head.
//!
//! ```
//! use damaskvane_config::relay;
//!
//! assert_ne!(relay::Action::StopWatching, relay::Action::WatchStore);
//! ```

use damaskvane_core::hash::ContentHash;
use damaskvane_core::ids;

/// Where a head or chunks come from.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// The platform's object API.
    Store,
    /// Another instance.
    Peer(ids::InstanceId),
}

/// Something to do; each is answered by an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Tell an instance the version in force here. It passes this to [`Event::VersionReported`].
    ///
    /// [`Event::VersionReported`]: super::Event::Heard
    Announce {
        /// Whom to tell.
        to: ids::InstanceId,
        /// The version in force.
        version: ids::ConfigVersion,
        /// The hash over its state.
        state_hash: ContentHash,
    },
    /// Get the head; the answer is [`Event::Head`] or [`Event::FetchFailed`].
    ///
    /// [`Event::Head`]: super::Event::Head
    /// [`Event::FetchFailed`]: super::Event::FetchFailed
    FetchHead {
        /// From where.
        from: Source,
    },
    /// Get chunks; the answer is [`Event::Chunks`] or [`Event::FetchFailed`].
    ///
    /// [`Event::Chunks`]: super::Event::Chunks
    /// [`Event::FetchFailed`]: super::Event::FetchFailed
    FetchChunks {
        /// From where.
        from: Source,
        /// Which.
        hashes: Vec<ContentHash>,
    },
    /// Keep a watch on the store's head until told to stop; when it fires, pass
    /// [`Event::WatchFired`]. Given once when this instance becomes a relay.
    ///
    /// [`Event::WatchFired`]: super::Event::WatchFired
    WatchStore,
    /// End the watch: others are relays now.
    StopWatching,
    /// A version came into force; read it from [`Relay::applier`].
    ///
    /// [`Relay::applier`]: super::Relay::adopter
    Activated {
        /// The version.
        version: ids::ConfigVersion,
    },
}
