//! Versions of objects and revisions of kinds.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! assert!(api::Revision::new(2) > api::Revision::START);
//! ```

use core::fmt;

use serde::{Deserialize, Serialize};

/// The version of one object in the platform; each write raises it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ObjectVersion(u64);

impl ObjectVersion {
    /// The version of an object that does not exist.
    pub const ABSENT: Self = Self(0);

    /// Creates a version from its number.
    #[must_use]
    pub const fn new(version: u64) -> Self {
        Self(version)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for ObjectVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The revision of a kind; each write of any object of the kind raises it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// The revision of a kind before the first write.
    pub const START: Self = Self(0);

    /// Creates a revision from its number.
    #[must_use]
    pub const fn new(revision: u64) -> Self {
        Self(revision)
    }

    /// Returns the number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
