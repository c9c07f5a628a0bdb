//! The name of an object within its kind.
//!
//! ```
//! use damaskvane_config::object;
//!
//! assert!("sask-mb".parse::<object::ObjectName>().is_ok());
//! assert!("a/b".parse::<object::ObjectName>().is_err());
//! ```

use core::fmt;
use core::str;
use std::sync::Arc;

use damaskvane_core::ids;
use serde::{Deserialize, Serialize};

use crate::object::error::ParseObjectError;

/// The name of an object, with the same syntax as the text identifiers of [`damaskvane_core::ids`].
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ObjectName(Arc<str>);

impl ObjectName {
    /// Returns the name as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ObjectName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(&self.0)
    }
}

impl str::FromStr for ObjectName {
    type Err = ParseObjectError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse::<ids::SiteId>()
            .map_err(|_| ParseObjectError::Name(text.to_owned()))?;
        Ok(Self(text.into()))
    }
}

impl TryFrom<String> for ObjectName {
    type Error = ParseObjectError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<ObjectName> for String {
    fn from(name: ObjectName) -> Self {
        name.as_str().to_owned()
    }
}
