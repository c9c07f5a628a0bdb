//! What the control thread asks of the platform, and what comes back.
//!
//! ```
//! use damaskvane_entry::store;
//!
//! let report = store::StoreReport::Unavailable { call: "watch" };
//! assert!(format!("{report:?}").contains("watch"));
//! ```

use std::collections::BTreeMap;

use damaskvane_config::{chunk, manifest};
use damaskvane_core::{hash, time};
use damaskvane_platform::api;

/// One call on the platform.
#[derive(Debug, Clone)]
pub enum StoreJob {
    /// Wait until the head changes, then read it.
    WatchHead {
        /// The revision last seen.
        after: api::Revision,
        /// The longest wait.
        wait: time::SpanMs,
    },
    /// Read the head now.
    ReadHead,
    /// Read chunks by their hashes.
    ReadChunks(Vec<hash::ContentHash>),
    /// Read the platform's list of instances.
    ListInstances,
    /// Write this instance's own record.
    Announce(api::InstanceRecord),
}

/// What became of a call.
#[derive(Debug, Clone)]
pub enum StoreReport {
    /// The head as it stands; none before the first ticket.
    Head {
        /// The head.
        head: Option<Box<manifest::Head>>,
        /// The revision it was read at, where a watch told it.
        revision: Option<api::Revision>,
    },
    /// Chunks that were found, each checked against its hash.
    Chunks(BTreeMap<hash::ContentHash, chunk::Chunk>),
    /// The list of instances.
    Instances(Vec<api::InstanceRecord>),
    /// The own record stands in the platform.
    Announced,
    /// The call failed and may be made again later.
    Unavailable {
        /// Which call.
        call: &'static str,
    },
}
