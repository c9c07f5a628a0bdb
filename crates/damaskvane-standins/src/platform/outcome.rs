//! Versions of stored objects, and the outcome of writes.
//!
//! ```
//! use damaskvane_standins::platform;
//!
//! let outcome = platform::WriteOutcome::Conflict(3);
//! assert_eq!(outcome, platform::WriteOutcome::Conflict(3));
//! ```

use std::sync::Arc;

/// One version of an object.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version, from 1; a deletion and a later write increase it further.
    pub version: u64,
    /// The value; `None` if this version is a deletion.
    pub value: Option<Arc<[u8]>>,
    /// The identifier that the writer chose for the write of this version.
    pub write_id: String,
    /// The holder of the token that this version was written with.
    pub author: String,
}

/// The outcome of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and created this version.
    Applied(u64),
    /// The object has this version instead of the expected one; 0 if it doesn't exist.
    Conflict(u64),
}
