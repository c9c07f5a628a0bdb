//! What the store holds and answers.
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
    /// The version, from 1; it goes on rising over a deletion.
    pub version: u64,
    /// The value; `None` once deleted.
    pub value: Option<Arc<[u8]>>,
    /// The identity of the write that made this version.
    pub write_id: String,
    /// Who wrote it.
    pub author: String,
}

/// What became of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write took effect and made this version.
    Applied(u64),
    /// The object has another version than the write asked for; 0 where it is absent.
    Conflict(u64),
}
