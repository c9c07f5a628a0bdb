//! Objects and listings.
//!
//! ```
//! use damaskvane_objects::api;
//!
//! assert!(api::Listing::default().objects.is_empty());
//! ```

use core::fmt;

use serde::{Deserialize, Serialize};

use crate::api::version::{ObjectVersion, Revision};
use crate::api::write::WriteId;

/// Names an object of the platform: its kind and its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectKey {
    kind: String,
    name: String,
}

impl ObjectKey {
    /// Names the object of a kind.
    #[must_use]
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }

    /// The kind.
    #[must_use]
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// The name within the kind.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

/// An object as it was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its version.
    pub version: ObjectVersion,
    /// Its value.
    pub value: Vec<u8>,
    /// The identity of the write that made this version, where the platform tells it.
    pub write_id: Option<WriteId>,
    /// Who wrote it, where the platform tells it.
    pub author: Option<String>,
}

/// An object of a listing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Its version.
    pub version: ObjectVersion,
    /// The identity of the write that made this version.
    pub write_id: WriteId,
}

/// The objects of a kind at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision.
    pub revision: Revision,
    /// The objects by name.
    pub objects: Vec<Listed>,
}
