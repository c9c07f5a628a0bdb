//! The full name of an object: its kind and its name.
//!
//! ```
//! use damaskvane_config::object;
//!
//! let id: object::ObjectId = "region/sask".parse()?;
//! assert_eq!(id.to_string(), "region/sask");
//! # Ok::<(), object::ParseObjectError>(())
//! ```

use core::fmt;
use core::str;

use serde::{Deserialize, Serialize};

use crate::object::error::ParseObjectError;
use crate::object::kind::ObjectKind;
use crate::object::name::ObjectName;

/// The full name of a configuration object, written `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectId {
    kind: ObjectKind,
    name: ObjectName,
}

impl ObjectId {
    /// Returns the full name for a kind and a name.
    #[must_use]
    pub const fn new(kind: ObjectKind, name: ObjectName) -> Self {
        Self { kind, name }
    }

    /// Returns the kind of the object.
    #[must_use]
    pub const fn kind(&self) -> ObjectKind {
        self.kind
    }

    /// Returns the object's name, which is unique within its kind.
    #[must_use]
    pub const fn name(&self) -> &ObjectName {
        &self.name
    }
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind, self.name)
    }
}

impl str::FromStr for ObjectId {
    type Err = ParseObjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text
            .split_once('/')
            .ok_or_else(|| ParseObjectError::Form(text.to_owned()))?;
        Ok(Self::new(kind.parse()?, name.parse()?))
    }
}

impl TryFrom<String> for ObjectId {
    type Error = ParseObjectError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ObjectId> for String {
    fn from(id: ObjectId) -> Self {
        id.to_string()
    }
}
