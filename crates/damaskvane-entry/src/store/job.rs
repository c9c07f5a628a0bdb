//! What the control thread asks of the platform, and what comes back.
//!
//! ```
//! use damaskvane_entry::store;
//!
//! let report = store::StoreReport::Unavailable { call: store::Call::Watch };
//! assert!(format!("{report:?}").contains("Watch"));
//! ```

use std::sync::Arc;

use damaskvane_core::{hash, ids, time};
use damaskvane_objects::api;

/// One call on the platform.
#[derive(Debug, Clone)]
pub enum StoreJob {
    /// Wait until the head changes.
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
    ListInstances {
        /// When the call was asked for.
        requested_at: time::TimeMs,
    },
    /// Write this instance's own record.
    Announce(api::InstanceRecord),
    /// Mark another instance's record as fenced, if it still has this incarnation.
    Fence {
        /// The instance.
        instance: ids::InstanceId,
        /// The start in question.
        incarnation: ids::Incarnation,
        /// Whether that start may go on for longer, as the last of a zone that is cut off.
        goes_on_alone: bool,
    },
    /// Delete another instance's record, if it is still marked as fenced and has this incarnation.
    RemoveFenceRecord {
        /// The instance.
        instance: ids::InstanceId,
        /// The start in question.
        incarnation: ids::Incarnation,
    },
}

/// A call that can fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Waiting for the head to change.
    Watch,
    /// Reading the head.
    Head,
    /// Reading chunks.
    Chunk,
    /// Reading the list of instances.
    Instances,
    /// Writing the own record.
    Announce,
    /// Deleting an old mark on the record of another.
    RemoveFenceRecord,
}

impl Call {
    /// The word for counters and logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Head => "head",
            Self::Chunk => "chunk",
            Self::Instances => "instances",
            Self::Announce => "announce",
            Self::RemoveFenceRecord => "unmark",
        }
    }
}

/// What became of the mark on another instance's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The platform took it.
    Applied,
    /// It surely was not taken.
    NotApplied,
    /// Nobody knows yet; it is tried again.
    Unknown,
}

/// What became of a call.
#[derive(Debug, Clone)]
pub enum StoreReport {
    /// A watch ended; the head may have changed if the revision did.
    Watched {
        /// The revision now.
        revision: api::Revision,
    },
    /// The head as it stands, not yet checked.
    Head {
        /// Its bytes.
        bytes: Arc<[u8]>,
    },
    /// Chunks that were found, not yet checked.
    Chunks {
        /// Their bytes.
        chunks: Vec<Arc<[u8]>>,
    },
    /// The list of instances.
    Instances {
        /// Its entries.
        records: Vec<api::InstanceRecord>,
        /// When the call was asked for.
        requested_at: time::TimeMs,
    },
    /// The own record stands in the platform.
    Announced,
    /// Another instance marked the own record, or a later start of this instance wrote it.
    Superseded,
    /// A mark that was too old was deleted, or is not there any more; if it is, it is tried again.
    FenceRecordRemoved {
        /// The instance.
        instance: ids::InstanceId,
    },
    /// The call to fence an instance ended.
    Fenced {
        /// The instance.
        instance: ids::InstanceId,
        /// The start in question.
        incarnation: ids::Incarnation,
        /// What became of it.
        outcome: FenceOutcome,
    },
    /// The call failed and may be made again later.
    Unavailable {
        /// Which call.
        call: Call,
    },
}
