//! The calls that the control thread submits, and the reports of their results.
//!
//! An incarnation is a number that identifies one start of an instance's process.
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

/// A call to the platform.
#[derive(Debug, Clone)]
pub enum StoreJob {
    /// Wait until the head of the configuration changes.
    WatchHead {
        /// The revision that the last watch returned; the call returns once the platform has a later one.
        after: api::Revision,
        /// The maximum time to wait.
        wait: time::SpanMs,
    },
    /// Read the head of the configuration without waiting.
    ReadHead,
    /// Read the configuration chunks with these hashes.
    ReadChunks(Vec<hash::ContentHash>),
    /// Read the platform's list of instances.
    ListInstances {
        /// The time at which the control thread submitted the call.
        requested_at: time::TimeMs,
    },
    /// Write this instance's record, unless the stored one is fenced or of a later incarnation.
    Announce(api::InstanceRecord),
    /// Mark another instance's record as fenced, if the stored record still has this incarnation.
    Fence {
        /// The instance to fence.
        instance: ids::InstanceId,
        /// The incarnation to fence.
        incarnation: ids::Incarnation,
        /// Whether the fenced incarnation may keep its authority (the right to act as the owner of its
        /// backend servers) for longer, because it may be the last instance of a zone that is cut off from
        /// the platform.
        goes_on_alone: bool,
        /// Record of this instance. A fenced instance fences no other one: of two that can't reach each
        /// other, both would stop.
        own: api::InstanceRecord,
    },
    /// Delete another instance's record, if the stored record is still marked as fenced and has this
    /// incarnation.
    RemoveFenceRecord {
        /// The fenced instance.
        instance: ids::InstanceId,
        /// The fenced incarnation.
        incarnation: ids::Incarnation,
    },
}

/// The kind of a call, as named in counters and in reports of failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// [`StoreJob::WatchHead`].
    Watch,
    /// [`StoreJob::ReadHead`].
    Head,
    /// One read of a chunk or ticket, as part of [`StoreJob::ReadChunks`].
    Chunk,
    /// [`StoreJob::ListInstances`].
    Instances,
    /// [`StoreJob::Announce`].
    Announce,
    /// [`StoreJob::RemoveFenceRecord`].
    RemoveFenceRecord,
}

impl Call {
    /// Returns the label for counters and logs.
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

/// The result of a call to fence another instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FenceOutcome {
    /// The record is marked as fenced, or no longer exists.
    Applied,
    /// The call certainly did not change the record.
    NotApplied,
    /// The write may or may not have been applied; the membership requests the call again.
    Unknown,
}

/// The result of a call to the platform.
#[derive(Debug, Clone)]
pub enum StoreReport {
    /// A watch ended; the head can have changed only if the revision differs from that of the last watch.
    Watched {
        /// The platform's current revision.
        revision: api::Revision,
    },
    /// The stored head of the configuration, not yet validated.
    Head {
        /// The encoded head.
        bytes: Arc<[u8]>,
    },
    /// The chunks that were found, possibly fewer than requested, not yet validated.
    Chunks {
        /// The encoded chunks.
        chunks: Vec<Arc<[u8]>>,
    },
    /// The platform's list of instances.
    Instances {
        /// One record per listed instance.
        records: Vec<api::InstanceRecord>,
        /// The time at which the control thread submitted the call; the list is at least as recent.
        requested_at: time::TimeMs,
    },
    /// This instance's record is stored.
    Announced,
    /// [`StoreJob::Announce`] did not write this instance's record: another instance has marked the stored record
    /// as fenced, which revokes this instance's authority, or a later incarnation wrote the stored record.
    Superseded,
    /// An old fence record was deleted, had already been replaced, or was replaced during the call. If the
    /// fence record is still listed later, the membership requests the call again.
    FenceRecordRemoved {
        /// The instance that was fenced.
        instance: ids::InstanceId,
    },
    /// The call to fence an instance ended.
    Fenced {
        /// The instance to fence.
        instance: ids::InstanceId,
        /// The incarnation to fence.
        incarnation: ids::Incarnation,
        /// Whether the record is now fenced.
        outcome: FenceOutcome,
    },
    /// The call failed and may be made again later.
    Unavailable {
        /// The kind of the failed call.
        call: Call,
    },
}
