//! Objects, their keys and listings.
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

/// The key of an object of the platform: its kind and its name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectKey {
    kind: String,
    name: String,
}

impl ObjectKey {
    /// Creates the key of the object `name` of a kind.
    #[must_use]
    pub fn new(kind: impl Into<String>, name: impl Into<String>) -> Self {
        Self {
            kind: kind.into(),
            name: name.into(),
        }
    }

    /// Returns the kind of the object, for instance `head`.
    #[must_use]
    pub fn kind(&self) -> &str {
        &self.kind
    }

    /// Returns the name, which is unique within the kind.
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

/// An object with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// The version to which the value belongs.
    pub version: ObjectVersion,
    /// The value.
    pub value: Vec<u8>,
    /// The id of the write that created this version; `None` if the platform did not send it.
    pub write_id: Option<WriteId>,
    /// The author of this version; `None` if the platform did not send it.
    pub author: Option<String>,
}

/// An object of a listing, without its value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListedObject {
    /// The name of the object within its kind.
    pub name: String,
    /// The version of the object.
    pub version: ObjectVersion,
    /// The id of the write that created this version.
    pub write_id: WriteId,
}

/// The objects of a kind at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The revision of the kind at which the listing was made.
    pub revision: Revision,
    /// All objects of the kind.
    pub objects: Vec<ListedObject>,
}
